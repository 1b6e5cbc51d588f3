package cmd

import "testing"

// Guards against findings whose lines are those of the contract inside the file and not of the file.
func TestContractCheck(t *testing.T) {
	s := newSession(t)
	s.file("bad.json", "{\n  \"revision\": -1,\n  \"contract\": {\n    \"service\": \"orders\",\n    \"zones\": []\n  }\n}\n")
	s.run("contract check orders.json")
	s.run("contract check orders.json --output json")
	s.run("contract check bad.json")
	s.run("contract check bad.json --output json")
	s.run("contract check missing.json")
	s.assert()
}
