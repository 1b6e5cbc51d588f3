package cmd

import (
	"context"
	"testing"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// Guards against a change in what operators read when they take zones and backend servers out and bring them back.
func TestAvailability(t *testing.T) {
	s := newSession(t)
	s.fleet()
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
	s.wrap = func(st store.Store) store.Store { return &cutOff{Store: st} }
	s.run("zone out zone-b --settings ann.json")
	s.assert()
}

// downStore cannot be reached.
type downStore struct{ store.Store }

func (downStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, store.ErrUnavailable
}

func (downStore) List(context.Context, string) (store.Page, error) {
	return store.Page{}, store.ErrUnavailable
}
