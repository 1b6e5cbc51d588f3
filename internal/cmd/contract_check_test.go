package cmd

import "testing"

// Guards against findings that count lines from the start of the embedded contract instead of from the start of the file.
func TestContractCheck(t *testing.T) {
	s := newSession(t)
	s.writeFile("bad.json", "{\n  \"revision\": -1,\n  \"contract\": {\n    \"service\": \"orders\",\n    \"zones\": []\n  }\n}\n")
	s.run("contract check orders.json")
	s.run("contract check orders.json --output json")
	s.run("contract check bad.json")
	s.run("contract check bad.json --output json")
	s.run("contract check missing.json")
	s.assertGolden()
}
