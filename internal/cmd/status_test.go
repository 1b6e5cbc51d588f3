package cmd

import (
	"testing"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// Guards against sums that leave out a process without naming it, or that include a process which was not selected.
func TestStatusCounters(t *testing.T) {
	s := newSession(t)
	s.run("status --settings ann.json --counters")
	s.addProcesses()
	s.run("status --settings ann.json --counters")
	s.run("status --settings ann.json --counters --output json")
	s.run("status --settings ann.json --counters --process orders-a2")
	s.run("status --settings ann.json --counters --process orders-x")
	s.run("status --settings ann.json --process orders-a2")
	s.appliedRevisions = map[string]store.Revision{"orders-b1": 0}
	s.run("status --settings ann.json --counters")
	s.run("status --settings ann.json --counters --output json")
	s.processes[3].Member = false
	s.run("status --settings ann.json --counters")
	s.assertGolden()
}

// Guards against a status that does not show which information is missing.
func TestStatus(t *testing.T) {
	s := newSession(t)
	s.run("contract apply orders.json --settings ann.json --base 0")
	s.run("status --settings ann.json")
	s.addProcesses()
	s.run("status --settings ann.json")
	s.run("status --settings ann.json --output json")
	s.run("zone out zone-a --settings ann.json --confirm")
	s.run("status --settings ann.json")
	s.wrapStore = func(store.Store) store.Store { return unavailableStore{} }
	s.run("status --settings ann.json")
	s.run("status --settings ann.json --output json")
	s.assertGolden()
}
