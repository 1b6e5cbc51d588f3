package cmd

import (
	"strings"
	"testing"

	standin "github.com/bramleymast/bramleymast/internal/standin/store"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Guards against a change in what operators read when they change a contract, alone and two at once.
func TestContractApply(t *testing.T) {
	s := newSession(t)
	s.run("contract apply orders.json --settings ann.json")
	s.run("contract apply orders.json --settings ann.json --base 0 --dry-run")
	s.run("contract apply orders.json --settings ann.json --base 0")
	s.run("contract apply orders.json --settings ben.json --base 0")
	shown := s.run("contract show orders --settings ann.json --output json")
	s.file("ann-orders.json", strings.Replace(shown, `"slots": 2`, `"slots": 3`, 1))
	s.file("ben-orders.json", strings.Replace(shown, `"zone-b"`, `"zone-c"`, 1))
	s.run("contract apply ann-orders.json --settings ann.json")
	s.run("contract apply ben-orders.json --settings ben.json")
	s.run("contract apply ben-orders.json --settings ben.json --output json")
	s.run("contract apply orders.json --settings ben.json --base 77")
	s.file("bad.json", strings.Replace(shown, `"slots": 1`, `"slots": 5`, 1))
	s.run("contract apply bad.json --settings ann.json --base x --output xml")
	s.assert()
}

// Guards against a change in what operators read while the store fails.
func TestContractApplyWhileTheStoreFails(t *testing.T) {
	s := newSession(t)
	s.store.SetFault(standin.Fault{LoseAnswers: 1})
	s.run("contract apply orders.json --settings ann.json --base 0")
	s.store.SetFault(standin.Fault{})
	s.file("orders.json", strings.Replace(ordersFile, `"slots": 2`, `"slots": 3`, 1))
	s.wrap = func(st store.Store) store.Store { return &cutOff{Store: st} }
	s.run("contract apply orders.json --settings ann.json --base 1")
	s.run("contract apply orders.json --settings ann.json --base 1 --output json")
	s.wrap = func(store.Store) store.Store { return downStore{} }
	s.run("contract apply orders.json --settings ann.json --base 1")
	s.assert()
}

// Guards against a wait that does not name who is behind.
func TestContractApplyWait(t *testing.T) {
	s := newSession(t)
	s.fleet()
	s.run("contract apply orders.json --settings ann.json --base 0 --wait")
	s.lag = map[string]store.Revision{"orders-b1": 0}
	s.run("contract apply orders.json --settings ann.json --base 1 --wait --wait-seconds 5")
	s.run("contract apply orders.json --settings ann.json --base 1 --wait --output json")
	s.file("orders.json", strings.Replace(ordersFile, `"zone-a", "zone-b"`, `"zone-b"`, 1))
	s.run("contract apply orders.json --settings ann.json --base 1")
	s.run("contract apply orders.json --settings ann.json --base 1 --confirm")
	s.assert()
}
