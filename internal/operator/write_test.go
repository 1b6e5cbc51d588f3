package operator_test

import (
	"context"
	"testing"

	_ "github.com/bramleymast/bramleymast/internal/fixedseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// faultSequence returns a function that returns the given faults in order and repeats the last.
func faultSequence(faults ...fault) func() fault {
	return func() fault {
		next := faults[0]
		if len(faults) > 1 {
			faults = faults[1:]
		}
		return next
	}
}

// Guards against an outcome that does not match the content of the store, one fault at a time.
func TestApplyUnderEachFault(t *testing.T) {
	for name, c := range map[string]struct {
		next    func() fault
		outcome operator.Outcome
		effects int
	}{
		"no fault":                       {faultSequence(none), operator.Accepted, 1},
		"answer lost after the effect":   {faultSequence(lostAfter, none), operator.Accepted, 1},
		"answer lost before the effect":  {faultSequence(lostBefore, none), operator.Accepted, 1},
		"delayed write after the retry":  {faultSequence(delayed, none), operator.Accepted, 1},
		"store down from the start":      {faultSequence(down), operator.NotAccepted, 0},
		"store down after a lost answer": {faultSequence(lostBefore, down), operator.Unknown, 0},
		"no write is ever answered":      {faultSequence(lostAfter), operator.Accepted, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFake()
			f.next = c.next
			a := newOperator("ann", f, nil).Apply(context.Background(), orders(t, 2, "a"), 0, false)
			f.runDelayed()
			assert.Equal(t, a.Outcome(), c.outcome)
			assert.Equal(t, len(f.effects), c.effects)
		})
	}
}

// Guards against reporting to two operators that both of their contracts are in force, whether the first change comes
// before the second operator reads the store or between the read and the write.
func TestConcurrentApply(t *testing.T) {
	for name, call := range map[string]int{"before the read": 1, "between read and write": 4} {
		t.Run(name, func(t *testing.T) {
			f := newFake()
			ann, ben := newOperator("ann", f, nil), newOperator("ben", f, nil)
			first := ann.Apply(context.Background(), orders(t, 2, "a"), 0, false)
			assert.Equal(t, first.Outcome(), operator.Accepted)
			calls := 0
			f.before = func() {
				if calls++; calls == call {
					f.before = func() {}
					a := ann.Apply(context.Background(), orders(t, 3, "a"), first.Revision(), false)
					assert.Equal(t, a.Outcome(), operator.Accepted)
				}
			}
			b := ben.Apply(context.Background(), orders(t, 2, "a", "b"), first.Revision(), false)
			assert.Equal(t, b.Outcome(), operator.Conflict)
			assert.Equal(t, b.Winner().Author, "ann")
			assert.DeepEqual(t, texts(b.Theirs()), []string{"backend.slots: 2 -> 3"})
			assert.DeepEqual(t, texts(b.Ours()), []string{"zones: a -> a, b"})
		})
	}
}

func texts(changes []contract.Change) []string {
	all := make([]string, 0, len(changes))
	for _, c := range changes {
		all = append(all, c.String())
	}
	return all
}

// Guards against reporting a conflict for a change that took effect and whose answer was lost, when later changes have
// replaced it or have removed it from the history.
func TestApplyReplacedByLaterChanges(t *testing.T) {
	for later, outcome := range map[int]operator.Outcome{1: operator.Accepted, configvalue.MaxHistory + 2: operator.Unknown} {
		f := newFake()
		other := newOperator("other", f, nil)
		base := other.Apply(context.Background(), orders(t, 1, "a"), 0, false).Revision()
		f.next = faultSequence(lostAfter, none)
		f.before = func() {
			if len(f.effects) < 2 {
				return
			}
			f.before = func() {}
			for i := range later {
				now := f.entries[configvalue.ContractKey("orders")].Revision
				assert.Equal(t, other.Apply(context.Background(), orders(t, i+3, "a"), now, false).Outcome(), operator.Accepted)
			}
		}
		a := newOperator("ann", f, nil).Apply(context.Background(), orders(t, 2, "a"), base, false)
		assert.Equal(t, f.effects[1].operation, a.OperationID())
		assert.Equal(t, a.Outcome(), outcome, "%d later changes", later)
	}
}

// Guards against a retry that replaces a change made since the first attempt.
func TestApplyRetriesAtTheSameBase(t *testing.T) {
	f := newFake()
	f.next = faultSequence(lostBefore, none)
	calls := 0
	f.before = func() {
		if calls++; calls == 6 { // after three reads, the first attempt and the read that is to resolve it
			f.before = func() {}
			newOperator("other", f, nil).Apply(context.Background(), orders(t, 9, "a"), 0, false)
		}
	}
	f.reads = func() error {
		if calls == 5 {
			return store.ErrUnavailable
		}
		return nil
	}
	a := newOperator("ann", f, nil).Apply(context.Background(), orders(t, 2, "a"), 0, false)
	assert.Equal(t, a.Outcome(), operator.Conflict)
	assert.Equal(t, len(f.effects), 1)
}

// Guards against wrong outcomes under any interleaving of faults, delayed writes and other operators' changes.
func TestApplyNeverReportsAWrongOutcome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFake()
		other := newOperator("other", f, nil)
		base := other.Apply(context.Background(), orders(t, 1, "a"), 0, false).Revision()
		if rapid.Bool().Draw(rt, "new service") {
			base, f.entries, f.effects = 0, map[string]store.Entry{}, nil
		}
		slots := 2
		f.injectFaults(rt, func() {
			for range rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 1, 1, 1, configvalue.MaxHistory + 2}).Draw(rt, "changes of others") {
				slots++
				now, err := other.Contract(context.Background(), "orders")
				assert.NilError(t, err)
				other.Apply(context.Background(), orders(t, slots, "a"), now.Revision(), false)
			}
		})
		a := newOperator("ann", f, nil).Apply(context.Background(), orders(t, 100, "a", "b"), base, false)
		f.runDelayed()
		effects := f.effectsOf(a.OperationID())
		for _, e := range f.effects {
			if e.operation == a.OperationID() {
				assert.Equal(rt, e.replaced, base, "the change replaced one that its author had not seen")
			}
		}
		assert.Assert(rt, effects <= 1, "the change took effect %d times", effects)
		switch a.Outcome() {
		case operator.Accepted:
			assert.Equal(rt, effects, 1)
		case operator.Conflict, operator.NotAccepted:
			assert.Equal(rt, effects, 0, "reported as %s", a.Outcome())
		case operator.Unknown:
			assert.Assert(rt, f.hasLostAnswer(), "unknown although no answer was lost")
		default:
			rt.Fatalf("outcome %s", a.Outcome())
		}
	})
}
