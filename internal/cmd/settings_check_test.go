package cmd

import "testing"

// Guards against a settings check that accepts an unknown kind of process or leaves out findings.
func TestSettingsCheck(t *testing.T) {
	s := newSession(t)
	s.run("settings check operator ann.json")
	s.run("settings check operator ann.json --output json")
	s.run("settings check balancer orders.json")
	s.run("settings check router ann.json")
	s.run("contract list --settings orders.json")
	s.assertGolden()
}
