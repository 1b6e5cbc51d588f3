package cmd

import (
	"testing"

	"github.com/bramleymast/bramleymast/pkg/store"
)

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
