package cmd

import (
	"context"
	"testing"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// Guards against unintended changes in the output of the commands that take zones and backend servers out of service and bring them back.
func TestAvailability(t *testing.T) {
	s := newSession(t)
	s.addProcesses()
	s.run("contract apply orders.json --settings ann.json --base 0")
	s.run("zone list --settings ann.json")
	s.run("zone out zone-x --settings ann.json")
	s.run("zone out zone-a --settings ann.json")
	s.run("zone out zone-b --settings ann.json --dry-run --reason", "power work")
	s.run("zone out zone-b --settings ann.json --wait --reason", "power work")
	s.run("zone out zone-b --settings ben.json")
	s.run("backend out orders-a1 --settings ben.json")
	s.run("backend out orders-a1 --settings ben.json --confirm --reason", "memory errors")
	s.run("backend list --settings ann.json")
	s.run("zone list --settings ann.json --output json")
	s.run("zone in zone-b --settings ann.json --wait --output json")
	s.run("backend in orders-a1 --settings ann.json")
	s.run("backend list --settings ann.json --output json")
	s.processes = nil
	s.run("backend out orders-a1 --settings ann.json")
	s.run("backend list --settings ann.json")
	s.wrapStore = func(st store.Store) store.Store { return &lostAnswerStore{Store: st} }
	s.run("zone out zone-b --settings ann.json")
	s.assertGolden()
}

// unavailableStore is a store whose reads fail with ErrUnavailable.
type unavailableStore struct{ store.Store }

func (unavailableStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, store.ErrUnavailable
}

func (unavailableStore) List(context.Context, string) (store.Page, error) {
	return store.Page{}, store.ErrUnavailable
}
