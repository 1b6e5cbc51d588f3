package operator_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// fault is a failure of one write.
type fault int

const (
	none       fault = iota
	lostAfter        // takes effect, the answer is lost
	lostBefore       // has no effect, the answer is lost
	delayed          // takes effect later, the answer is lost
	down             // the store cannot be reached
)

// effect is a write that took effect, with the revision that it replaced and the new one.
type effect struct {
	operation string
	replaced  store.Revision
	revision  store.Revision
	value     []byte
}

// fakeStore is a store whose calls fail as the test sets; it records every configuration write that takes effect.
type fakeStore struct {
	store.Store
	revision store.Revision
	entries  map[string]store.Entry
	effects  []effect
	delayed  []func()
	faults   []fault
	// next returns the fault of a write, nextHistory that of a write to the history, and before runs before every call.
	next, nextHistory func() fault
	before            func()
	// reads returns the error of a read or a deletion.
	reads func() error
}

func newFake() *fakeStore {
	return &fakeStore{
		entries:     map[string]store.Entry{},
		next:        func() fault { return none },
		nextHistory: func() fault { return none },
		before:      func() {},
		reads:       func() error { return nil },
	}
}

func (f *fakeStore) swap(key string, value []byte, expected store.Revision) (store.Revision, error) {
	if f.entries[key].Revision != expected {
		return 0, store.ErrConflict
	}
	f.revision++
	f.entries[key] = store.Entry{Key: key, Value: value, Revision: f.revision}
	if !strings.HasPrefix(key, configvalue.HistoryPrefix) {
		f.effects = append(f.effects, effect{operationOf(key, value), expected, f.revision, value})
	}
	return f.revision, nil
}

func operationOf(key string, value []byte) string {
	if strings.HasPrefix(key, configvalue.ContractsPrefix) {
		v, _ := configvalue.DecodeContract(value)
		return v.OperationID
	}
	v, _ := configvalue.DecodeState(value)
	return v.OperationID
}

func (f *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, expected store.Revision, _ store.LeaseID) (store.Revision, error) {
	f.before()
	var next fault
	if strings.HasPrefix(key, configvalue.HistoryPrefix) {
		next = f.nextHistory()
	} else {
		next = f.next()
		f.faults = append(f.faults, next)
	}
	switch next {
	case lostAfter:
		_, _ = f.swap(key, value, expected)
		return 0, store.ErrUnknownOutcome
	case lostBefore:
		return 0, store.ErrUnknownOutcome
	case delayed:
		f.delayed = append(f.delayed, func() { _, _ = f.swap(key, value, expected) })
		return 0, store.ErrUnknownOutcome
	case down:
		return 0, store.ErrUnavailable
	default:
		return f.swap(key, value, expected)
	}
}

// runDelayed executes the delayed writes.
func (f *fakeStore) runDelayed() {
	for _, write := range f.delayed {
		write()
	}
	f.delayed = nil
}

// injectFaults draws the outcome of every call. Between the calls it runs others and may execute the delayed writes.
func (f *fakeStore) injectFaults(rt *rapid.T, others func()) {
	faults := rapid.SampledFrom([]fault{none, lostAfter, lostBefore, delayed, down})
	next := func() fault { return faults.Draw(rt, "fault") }
	reads := func() error {
		return rapid.SampledFrom([]error{nil, nil, store.ErrUnavailable, store.ErrUnknownOutcome}).Draw(rt, "read")
	}
	var before func()
	before = func() {
		f.before, f.next, f.nextHistory, f.reads = func() {}, faultSequence(none), faultSequence(none), func() error { return nil }
		others()
		if rapid.Bool().Draw(rt, "run delayed writes") {
			f.runDelayed()
		}
		f.before, f.next, f.nextHistory, f.reads = before, next, next, reads
	}
	f.before = before
}

func (f *fakeStore) effectsOf(operation string) int {
	n := 0
	for _, e := range f.effects {
		if e.operation == operation {
			n++
		}
	}
	return n
}

func (f *fakeStore) hasLostAnswer() bool {
	return slices.ContainsFunc(f.faults, func(x fault) bool { return x == lostAfter || x == lostBefore || x == delayed })
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Entry, error) {
	f.before()
	if err := f.reads(); err != nil {
		return store.Entry{}, err
	}
	e, ok := f.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

// Delete fails as reads do: the caller handles a lost answer of a deletion like a failed deletion.
func (f *fakeStore) Delete(_ context.Context, key string, expected store.Revision) error {
	f.before()
	if err := f.reads(); err != nil {
		return err
	}
	if f.entries[key].Revision != expected {
		return store.ErrConflict
	}
	f.revision++
	delete(f.entries, key)
	return nil
}

func (f *fakeStore) List(_ context.Context, prefix string) (store.Page, error) {
	f.before()
	if err := f.reads(); err != nil {
		return store.Page{}, err
	}
	page := store.Page{Revision: f.revision}
	for key, e := range f.entries {
		if strings.HasPrefix(key, prefix) {
			page.Entries = append(page.Entries, e)
		}
	}
	return page, nil
}

// fakeStatus is a status source whose replies the test sets.
type fakeStatus struct {
	processes []operator.Process
	progress  func() []operator.Progress
	err       error
}

func (s *fakeStatus) Processes(context.Context) ([]operator.Process, error) {
	return slices.Clone(s.processes), s.err
}

func (s *fakeStatus) AppliedRecords(context.Context) ([]operator.AppliedRecord, error) {
	return nil, s.err
}

func (s *fakeStatus) Progress(_ context.Context, balancers []netip.AddrPort, _ string) []operator.ProgressReply {
	replies := make([]operator.ProgressReply, len(balancers))
	for i := range replies {
		replies[i].Progress = s.progress()
	}
	return replies
}

func (s *fakeStatus) Counters(context.Context, []netip.AddrPort) []operator.CountersReply { return nil }

// clock advances only when an operator sleeps.
type clock struct{ now time.Time }

func (c *clock) sleep(ctx context.Context, d time.Duration) error {
	c.now = c.now.Add(d)
	return ctx.Err()
}

// newOperator returns an operator whose operation ids consist of the author and a sequence number.
func newOperator(author string, s store.Store, status operator.StatusSource) *operator.Operator {
	c := &clock{now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	n := 0
	return operator.New(operator.Config{
		Store: s, Status: status, Author: author, Sleep: c.sleep,
		Now:            func() time.Time { return c.now },
		NewOperationID: func() string { n++; return fmt.Sprintf("%s-%d", author, n) },
	})
}

func orders(t *testing.T, slots int, zones ...string) contract.Contract {
	t.Helper()
	c, list := contract.Decode("", fmt.Appendf(nil, `{"service": "orders", "addresses": ["10.0.0.1:443"], "zones": ["%s"],
  "backend": {"slots": %d}, "cold_start": {"slots": 1}, "change": {"min_backends_in_service": 2}}`, strings.Join(zones, `", "`), slots))
	assert.NilError(t, list.Err())
	return c
}
