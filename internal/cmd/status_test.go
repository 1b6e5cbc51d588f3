package cmd

import (
	"testing"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// Guards against sums that leave out a process without naming it, or that count another one.
func TestStatusCounters(t *testing.T) {
	s := newSession(t)
	s.run("status --settings ann.json --counters")
	s.fleet()
	s.run("status --settings ann.json --counters")
	s.run("status --settings ann.json --counters --output json")
	s.run("status --settings ann.json --counters --process orders-a2")
	s.run("status --settings ann.json --counters --process orders-x")
	s.run("status --settings ann.json --process orders-a2")
	s.lag = map[string]store.Revision{"orders-b1": 0}
	s.run("status --settings ann.json --counters")
	s.run("status --settings ann.json --counters --output json")
	s.processes[3].Member = false
	s.run("status --settings ann.json --counters")
	s.assert()
}

// Guards against a status that hides what it does not know.
func TestStatus(t *testing.T) {
	s := newSession(t)
	s.run("contract apply orders.json --settings ann.json --base 0")
	s.run("status --settings ann.json")
	s.fleet()
	s.run("status --settings ann.json")
	s.run("status --settings ann.json --output json")
	s.run("zone out zone-a --settings ann.json --confirm")
	s.run("status --settings ann.json")
	s.wrap = func(store.Store) store.Store { return downStore{} }
	s.run("status --settings ann.json")
	s.run("status --settings ann.json --output json")
	s.assert()
}
