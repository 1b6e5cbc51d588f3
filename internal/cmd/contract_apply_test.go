package cmd

import (
	"strings"
	"testing"

	standin "github.com/bramleymast/bramleymast/internal/standin/store"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Guards against unintended changes in the output of "contract apply", also when two operators change the same contract.
func TestContractApply(t *testing.T) {
	s := newSession(t)
	s.run("contract apply orders.json --settings ann.json")
	s.run("contract apply orders.json --settings ann.json --base 0 --dry-run")
	s.run("contract apply orders.json --settings ann.json --base 0")
	s.run("contract apply orders.json --settings ben.json --base 0")
	shown := s.run("contract show orders --settings ann.json --output json")
	s.writeFile("ann-orders.json", strings.Replace(shown, `"slots": 2`, `"slots": 3`, 1))
	s.writeFile("ben-orders.json", strings.Replace(shown, `"zone-b"`, `"zone-c"`, 1))
	s.run("contract apply ann-orders.json --settings ann.json")
	s.run("contract apply ben-orders.json --settings ben.json")
	s.run("contract apply ben-orders.json --settings ben.json --output json")
	s.run("contract apply orders.json --settings ben.json --base 77")
	s.writeFile("bad.json", strings.Replace(shown, `"slots": 1`, `"slots": 5`, 1))
	s.run("contract apply bad.json --settings ann.json --base x --output xml")
	s.assertGolden()
}

// Guards against unintended changes in the output of "contract apply" while the store loses answers or is unavailable.
func TestContractApplyWhileTheStoreFails(t *testing.T) {
	s := newSession(t)
	s.store.SetFault(standin.Fault{LoseAnswers: 1})
	s.run("contract apply orders.json --settings ann.json --base 0")
	s.store.SetFault(standin.Fault{})
	s.writeFile("orders.json", strings.Replace(ordersFile, `"slots": 2`, `"slots": 3`, 1))
	s.wrapStore = func(st store.Store) store.Store { return &lostAnswerStore{Store: st} }
	s.run("contract apply orders.json --settings ann.json --base 1")
	s.run("contract apply orders.json --settings ann.json --base 1 --output json")
	s.wrapStore = func(store.Store) store.Store { return unavailableStore{} }
	s.run("contract apply orders.json --settings ann.json --base 1")
	s.assertGolden()
}

// Guards against "contract apply --wait" that does not name the processes with an older revision.
func TestContractApplyWait(t *testing.T) {
	s := newSession(t)
	s.addProcesses()
	s.run("contract apply orders.json --settings ann.json --base 0 --wait")
	s.appliedRevisions = map[string]store.Revision{"orders-b1": 0}
	s.run("contract apply orders.json --settings ann.json --base 1 --wait --wait-seconds 5")
	s.run("contract apply orders.json --settings ann.json --base 1 --wait --output json")
	s.writeFile("orders.json", strings.Replace(ordersFile, `"zone-a", "zone-b"`, `"zone-b"`, 1))
	s.run("contract apply orders.json --settings ann.json --base 1")
	s.run("contract apply orders.json --settings ann.json --base 1 --confirm")
	s.assertGolden()
}
