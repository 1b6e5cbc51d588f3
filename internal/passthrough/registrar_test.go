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

// fakeStore is an in-memory store whose calls can fail, whose leases can expire and whose history can be compacted.
type fakeStore struct {
	mu          sync.Mutex
	entries     map[string]store.Entry
	leases      map[store.LeaseID]bool
	leaseOf     map[string]store.LeaseID
	lastLease   store.LeaseID
	revision    store.Revision
	err         error // returned by every call if not nil
	loseSwap    bool  // the next swap takes effect, but its response is lost
	calls       int
	events      []store.Entry
	compactedAt store.Revision // watches from earlier revisions fail
	silent      bool           // watches that begin now never return
	changed     chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries: make(map[string]store.Entry), leases: make(map[store.LeaseID]bool),
		leaseOf: make(map[string]store.LeaseID), revision: 10, changed: make(chan struct{}),
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
	s.leaseOf[key] = lease
	s.put(store.Entry{Key: key, Value: value})
	if s.loseSwap {
		s.loseSwap = false
		return 0, store.ErrUnknownOutcome
	}
	return s.revision, nil
}

func (s *fakeStore) put(e store.Entry) {
	s.revision++
	e.Revision, e.Created = s.revision, s.revision
	if old, ok := s.entries[e.Key]; ok {
		e.Created = old.Created
	}
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

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after store.Revision) (store.Page, error) {
	if s.isSilent() {
		<-ctx.Done()
		return store.Page{}, ctx.Err()
	}
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

func (s *fakeStore) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *fakeStore) since(after store.Revision, first bool) (store.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		if err := s.call(); err != nil {
			return store.Page{}, nil, err
		}
	}
	if after < s.compactedAt {
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
	s.lastLease++
	s.leases[s.lastLease] = true
	return s.lastLease, nil
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
	s.removeLease(id)
	return nil
}

func (s *fakeStore) removeLease(id store.LeaseID) {
	delete(s.leases, id)
	for key, lease := range s.leaseOf {
		if lease == id {
			delete(s.leaseOf, key)
			s.put(store.Entry{Key: key, Deleted: true})
		}
	}
}

// runRegistrar runs a registrar on a fake store until the test ends.
func runRegistrar(t *testing.T, s *fakeStore) *registrar {
	t.Helper()
	r := newTestRegistrar(s)
	runRegistrarUntilEnd(t, r)
	return r
}

func newTestRegistrar(s *fakeStore) *registrar {
	e := agentEntry{Service: "orders", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:7720")}
	return newRegistrar(s, "agent-1", e, hclog.NewNullLogger())
}

// runRegistrarUntilEnd runs a registrar until the test ends.
func runRegistrarUntilEnd(t *testing.T, r *registrar) {
	t.Helper()
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

// Guards against an agent entry that is written before the backend server has sent a heartbeat.
func TestRegistrarWaitsForBackend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r := runRegistrar(t, s)
		time.Sleep(time.Minute)
		assert.Equal(t, s.callCount(), 0)
		r.onBackendSeen()
		synctest.Wait()
		_, ok := s.agent(t)
		assert.Assert(t, ok)
	})
}

// Guards against an entry that is not restored within 2 s of the store's return.
func TestRegistrarRestoresEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r := runRegistrar(t, s)
		r.onBackendSeen()
		synctest.Wait()
		s.set(func() {
			s.removeLease(1)
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

// Guards against an entry that expires with the lease of an earlier process, or is missing because the response to a
// write was lost.
func TestRegistrarReplacesEarlierEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(store.Entry{Key: agentsPrefix + "agent-1", Value: agentEntry{Service: "orders", Address: netip.MustParseAddrPort("10.0.0.9:1")}.encode()})
		s.loseSwap = true
		r := runRegistrar(t, s)
		r.onBackendSeen()
		time.Sleep(2 * time.Second)
		e, ok := s.agent(t)
		assert.Assert(t, ok)
		assert.Equal(t, e.Address, netip.MustParseAddrPort("10.0.0.1:7720"))
		s.set(func() { s.removeLease(s.lastLease) })
		_, ok = s.agent(t)
		assert.Assert(t, !ok, "the entry does not expire with the newest lease")
	})
}

// Guards against a draining state that is not written at once, and against entries that stay after a removal.
func TestRegistrarWritesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r := runRegistrar(t, s)
		r.onBackendSeen()
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

// Guards against balancers that don't learn that their watch lacks an entry, because the agent does not know at which
// revisions its entry was created and written.
func TestRegistrarReportsRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r := newTestRegistrar(s)
		var last entryRevisions
		r.onWrite = func(e entryRevisions) { last = e }
		runRegistrarUntilEnd(t, r)
		r.onBackendSeen()
		synctest.Wait()
		assert.Equal(t, last, entryRevisions{created: 11, written: 11})
		r.setDraining(true)
		synctest.Wait()
		assert.Equal(t, last, entryRevisions{created: 11, written: 12})

		successor := newTestRegistrar(s)
		successor.onWrite = r.onWrite
		runRegistrarUntilEnd(t, successor)
		successor.onBackendSeen()
		synctest.Wait()
		assert.Equal(t, last, entryRevisions{created: 11, written: 13}, "the entry of an earlier process is replaced")
		s.set(func() { s.put(store.Entry{Key: agentsPrefix + "agent-1", Deleted: true}) })
		successor.setDraining(true)
		synctest.Wait()
		assert.Equal(t, last, entryRevisions{created: 15, written: 15}, "the entry had expired")
	})
}

// Guards against too many store calls while the store is unavailable or nothing changes.
func TestRegistrarLimitsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r := runRegistrar(t, s)
		r.onBackendSeen()
		time.Sleep(time.Minute)
		unchanged := s.callCount()
		assert.Assert(t, unchanged <= 25, "%d calls in a minute without changes", unchanged)
		s.set(func() { s.err = store.ErrUnavailable })
		time.Sleep(time.Minute)
		unavailable := s.callCount() - unchanged
		assert.Assert(t, unavailable <= 150, "%d calls in a minute without the store", unavailable)
	})
}
