package operator_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	_ "github.com/bramleymast/bramleymast/internal/fixedseed"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// checkHistory checks that the history holds exactly the values written at the last revisions.
func checkHistory(t assert.TestingT, f *fakeStore, reader *operator.Operator) {
	s, err := reader.ContractHistory(context.Background(), "orders")
	assert.NilError(t, err)
	revisions := s.Revisions()
	assert.Equal(t, len(revisions), min(len(f.effects), configvalue.MaxHistory+1))
	for i, r := range revisions {
		e := f.effects[len(f.effects)-1-i]
		v, err := configvalue.DecodeContract(e.value)
		assert.NilError(t, err)
		assert.DeepEqual(t, []any{r.Revision, r.OperationID, r.Author}, []any{e.revision, v.OperationID, v.Author})
		assert.Equal(t, len(contract.Diff(r.Contract, v.Contract)), 0)
	}
}

// errProcessEnded is the panic value that simulates the end of an operator's process.
const errProcessEnded = errors.ConstError("the process ended")

// untilProcessEnds runs f and recovers from errProcessEnded.
func untilProcessEnds(f func()) {
	defer func() {
		if r := recover(); r != nil && r != any(errProcessEnded) {
			panic(r)
		}
	}()
	f()
}

func historyKeys(f *fakeStore) int {
	n := 0
	for key := range f.entries {
		if strings.HasPrefix(key, configvalue.HistoryPrefix) {
			n++
		}
	}
	return n
}

// Guards against an accepted contract that is missing from the history, and against a history that grows without bound,
// under any interleaving of faults, processes that end between two calls and other operators' changes.
func TestHistoryHoldsEveryAcceptedContract(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFake()
		other := newOperator("other", f, nil)
		slots := 0
		change := func() {
			slots++
			now := f.entries[configvalue.ContractKey("orders")].Revision
			assert.Equal(rt, other.Apply(context.Background(), orders(t, slots, "a"), now, false).Outcome(), operator.Accepted)
		}
		for range rapid.SampledFrom([]int{1, configvalue.MaxHistory - 1, configvalue.MaxHistory + 2}).Draw(rt, "changes before") {
			change()
		}
		base := f.entries[configvalue.ContractKey("orders")].Revision
		f.injectFaults(rt, func() {
			for range rapid.SampledFrom([]int{0, 0, 0, 1, 2, configvalue.MaxHistory}).Draw(rt, "changes of others") {
				change()
			}
			if rapid.IntRange(0, 5).Draw(rt, "end") == 0 {
				panic(errProcessEnded)
			}
		})
		untilProcessEnds(func() {
			newOperator("ann", f, nil).Apply(context.Background(), orders(t, 100, "a", "b"), base, false)
		})
		f.before, f.next, f.nextHistory, f.reads = func() {}, faultSequence(none), faultSequence(none), func() error { return nil }
		f.runDelayed()
		checkHistory(rt, f, other)
		change()
		checkHistory(rt, f, other)
		assert.Assert(rt, historyKeys(f) <= configvalue.MaxHistory, "the history holds %d contracts", historyKeys(f))
	})
}

// Guards against replacing a contract that may not be in the history yet.
func TestApplyWritesTheHistoryFirst(t *testing.T) {
	for _, failure := range []fault{lostBefore, down} {
		f := newFake()
		ann := newOperator("ann", f, nil)
		base := ann.Apply(context.Background(), orders(t, 1, "a"), 0, false).Revision()
		f.nextHistory = faultSequence(failure)
		a := ann.Apply(context.Background(), orders(t, 2, "a"), base, false)
		assert.Equal(t, a.Outcome(), operator.NotAccepted)
		assert.ErrorContains(t, a.Cause(), "cannot write revision 1 to the history")
		assert.Equal(t, len(f.effects), 1)
	}
}

// Guards against the loss of the earlier contracts of a value in the first format, which holds them itself.
func TestFirstFormatMovesToTheHistory(t *testing.T) {
	f := newFake()
	ann := newOperator("ann", f, nil)
	type old map[string]any
	body := func(slots int) json.RawMessage {
		b, err := orders(t, slots, "a").Encode()
		assert.NilError(t, err)
		return b
	}
	var history []old
	for i := configvalue.MaxHistory; i > 0; i-- {
		history = append(history, old{"revision": i, "operation_id": "op", "author": "ben", "time": "2026-01-01T00:00:00Z", "contract": body(i)})
	}
	value, err := json.Marshal(old{"operation_id": "op", "author": "ben", "time": "2026-01-02T00:00:00Z", "contract": body(99), "history": history})
	assert.NilError(t, err)
	f.revision = 500
	base, err := f.swap(configvalue.ContractKey("orders"), value, 0)
	assert.NilError(t, err)
	a := ann.Apply(context.Background(), orders(t, 100, "a"), base, false)
	assert.Equal(t, a.Outcome(), operator.Accepted)
	s, err := ann.ContractHistory(context.Background(), "orders")
	assert.NilError(t, err)
	slots := make([]int, 0, configvalue.MaxHistory+1)
	for _, r := range s.Revisions() {
		slots = append(slots, r.Contract.Slots())
	}
	assert.DeepEqual(t, slots, []int{100, 99, 20, 19, 18, 17, 16, 15, 14, 13, 12, 11, 10, 9, 8, 7, 6, 5, 4, 3, 2})
	assert.Equal(t, s.Revisions()[2].Revision, store.Revision(configvalue.MaxHistory))
	assert.Equal(t, historyKeys(f), configvalue.MaxHistory)
}
