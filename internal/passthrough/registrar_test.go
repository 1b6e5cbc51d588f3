package passthrough

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// fakeStore is a store in memory whose calls can fail, whose leases can end and whose history can go.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]store.Entry
	leases   map[store.LeaseID]bool
	holder   map[string]store.LeaseID
	next     store.LeaseID
	revision store.Revision
	err      error // of every call
	loseSwap bool  // swaps take effect and are not answered
	calls    int
	events   []store.Entry
	compact  store.Revision // watches from before are refused
	changed  chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries: make(map[string]store.Entry), leases: make(map[store.LeaseID]bool),
		holder: make(map[string]store.LeaseID), revision: 10, changed: make(chan struct{}),
	}
}

func (s *fakeStore) call() error {
	s.calls++
	return s.err
}

func (s *fakeStore) Get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return store.Entry{}, err
	}
	e, ok := s.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

func (s *fakeStore) List(context.Context, string) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return store.Page{}, err
	}
	p := store.Page{Revision: s.revision}
	for _, e := range s.entries {
		p.Entries = append(p.Entries, e)
	}
	return p, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return 0, err
	}
	if s.entries[key].Revision != expected {
		return 0, store.ErrConflict
	}
	if lease != 0 && !s.leases[lease] {
		return 0, store.ErrNotFound
	}
	s.holder[key] = lease
	s.put(store.Entry{Key: key, Value: value})
	if s.loseSwap {
		s.loseSwap = false
		return 0, store.ErrUnknownOutcome
	}
	return s.revision, nil
}

func (s *fakeStore) put(e store.Entry) {
	s.revision++
	e.Revision = s.revision
	if e.Deleted {
		delete(s.entries, e.Key)
	} else {
		s.entries[e.Key] = e
	}
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Delete(context.Context, string, store.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.call()
}

// set changes the store between calls.
func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// callCount returns the number of calls.
func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after store.Revision) (store.Page, error) {
	for first := true; ; first = false {
		p, changed, err := s.since(after, first)
		if err != nil || len(p.Entries) > 0 {
			return p, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.Page{}, ctx.Err()
		}
	}
}

func (s *fakeStore) since(after store.Revision, first bool) (store.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		if err := s.call(); err != nil {
			return store.Page{}, nil, err
		}
	}
	if after < s.compact {
		return store.Page{}, nil, store.ErrCompacted
	}
	p := store.Page{Revision: s.revision}
	for _, e := range s.events {
		if e.Revision > after {
			p.Entries = append(p.Entries, e)
		}
	}
	return p, s.changed, nil
}

func (s *fakeStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return 0, err
	}
	s.next++
	s.leases[s.next] = true
	return s.next, nil
}

func (s *fakeStore) Renew(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return err
	}
	if !s.leases[id] {
		return store.ErrNotFound
	}
	return nil
}

func (s *fakeStore) Revoke(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return err
	}
	s.end(id)
	return nil
}

func (s *fakeStore) end(id store.LeaseID) {
	delete(s.leases, id)
	for key, lease := range s.holder {
		if lease == id {
			delete(s.holder, key)
			s.put(store.Entry{Key: key, Deleted: true})
		}
	}
}

// runRegistrar runs a registrar on a fake store until the test ends.
func runRegistrar(t *testing.T, s *fakeStore) *registrar {
	t.Helper()
	e := agentEntry{Service: "orders", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:7720")}
	r := newRegistrar(s, "agent-1", e, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

func (s *fakeStore) agent(t *testing.T) (agent agentEntry, ok bool) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[agentsPrefix+"agent-1"]
	if !ok {
		return agentEntry{}, false
	}
	a, err := decodeAgent(e.Value)
	assert.NilError(t, err)
	return agentEntry{Service: a.Service, Zone: a.Zone, Address: a.DataAddress, Draining: a.Phase.String() == "draining"}, true
}

// Guards against an agent that is found before its backend server is there.
func TestRegistrarWaitsForBackend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r := runRegistrar(t, s)
		time.Sleep(time.Minute)
		assert.Equal(t, s.callCount(), 0)
		r.announce()
		synctest.Wait()
		_, ok := s.agent(t)
		assert.Assert(t, ok)
	})
}

// Guards against an entry that is not back within two seconds of the store's return.
func TestRegistrarReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r := runRegistrar(t, s)
		r.announce()
		synctest.Wait()
		s.set(func() {
			s.end(1)
			s.err = store.ErrUnavailable
		})
		time.Sleep(time.Minute)
		_, ok := s.agent(t)
		assert.Assert(t, !ok)
		s.set(func() { s.err = nil })
		time.Sleep(2 * time.Second)
		_, ok = s.agent(t)
		assert.Assert(t, ok)
	})
}

// Guards against an entry that goes with a lease of an earlier process, or is lost because an answer was.
func TestRegistrarReplacesEarlierEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(store.Entry{Key: agentsPrefix + "agent-1", Value: agentEntry{Service: "orders", Address: netip.MustParseAddrPort("10.0.0.9:1")}.encode()})
		s.loseSwap = true
		r := runRegistrar(t, s)
		r.announce()
		time.Sleep(2 * time.Second)
		e, ok := s.agent(t)
		assert.Assert(t, ok)
		assert.Equal(t, e.Address, netip.MustParseAddrPort("10.0.0.1:7720"))
		s.set(func() { s.end(s.next) })
		_, ok = s.agent(t)
		assert.Assert(t, !ok, "the entry does not go with the newest lease")
	})
}

// Guards against others that do not learn at once that a backend server leaves, and against entries that stay.
func TestRegistrarTellsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r := runRegistrar(t, s)
		r.announce()
		synctest.Wait()
		r.setDraining(true)
		synctest.Wait()
		e, _ := s.agent(t)
		assert.Assert(t, e.Draining)
		r.remove(t.Context())
		_, ok := s.agent(t)
		assert.Assert(t, !ok)
		time.Sleep(time.Minute)
		_, ok = s.agent(t)
		assert.Assert(t, !ok)
	})
}

// Guards against a store that is called too often while it is away or nothing changes.
func TestRegistrarCallsFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r := runRegistrar(t, s)
		r.announce()
		time.Sleep(time.Minute)
		quiet := s.callCount()
		assert.Assert(t, quiet <= 25, "%d calls in a quiet minute", quiet)
		s.set(func() { s.err = store.ErrUnavailable })
		time.Sleep(time.Minute)
		away := s.callCount() - quiet
		assert.Assert(t, away <= 150, "%d calls in a minute without the store", away)
	})
}
