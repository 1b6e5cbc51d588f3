package passthrough

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// startFollower runs a follower on a fake store until the test ends and returns the entries that it has applied.
func startFollower(t *testing.T, s *fakeStore) map[string]string {
	t.Helper()
	_, applied := runFollower(t, s)
	return applied
}

// runFollower is startFollower, and returns the follower too.
func runFollower(t *testing.T, s *fakeStore) (*follower, map[string]string) {
	t.Helper()
	return runRestingFollower(t, s, nil)
}

// runRestingFollower is runFollower with a rest before each watch.
func runRestingFollower(t *testing.T, s *fakeStore, rest func(ctx context.Context)) (*follower, map[string]string) {
	t.Helper()
	applied := make(map[string]string)
	f := &follower{
		rest: rest, contact: &storeContact{}, store: s, logger: hclog.NewNullLogger(), changed: func() {}, loaded: func() {},
		apply: func(e store.Entry) {
			if e.Deleted {
				delete(applied, e.Key)
			} else {
				applied[e.Key] = string(e.Value)
			}
		},
		held: func() map[string]store.Revision {
			keys := make(map[string]store.Revision)
			for key := range applied {
				keys[key] = 0
			}
			return keys
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, applied
}

func noKeys() map[string]store.Revision { return nil }

// Guards against a balancer that does not know new agents, as in case 4 of the review: the connection of its watch has
// gone silent without a reset, and other processes know of the change.
func TestFollowerInterruptsSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(store.Entry{Key: "a", Value: []byte("1")})
		s.silent = true
		f, applied := runFollower(t, s)
		synctest.Wait()
		f.expected.add(f.at.Load())
		assert.Equal(t, f.interruptStaleWatch(time.Now()), "")
		s.set(func() {
			s.put(store.Entry{Key: "b", Value: []byte("1")})
			s.silent = false
		})
		f.expected.add(uint64(s.revision))
		assert.Equal(t, f.interruptStaleWatch(time.Now()), "", "the change may be on its way")
		time.Sleep(staleWatchTimeout)
		assert.Equal(t, f.interruptStaleWatch(time.Now()), reasonKnownChange)
		synctest.Wait()
		assert.DeepEqual(t, applied, map[string]string{"a": "1", "b": "1"})
		assert.Equal(t, f.interruptStaleWatch(time.Now().Add(time.Hour)), "", "the new watch has the change")
	})
}

// Guards against a balancer that does not know new agents, as in cases 7 and 8 of the review: the store was silent while the
// watch waited, and no other process has a sound watch either. Only another call of the process has noticed.
func TestFollowerInterruptsWatchAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(store.Entry{Key: "a", Value: []byte("1")})
		s.silent = true
		f, applied := runFollower(t, s)
		synctest.Wait()
		assert.Assert(t, !f.mayLackChanges(time.Now()))
		time.Sleep(time.Second)
		f.contact.unanswered(time.Now())
		assert.Equal(t, f.interruptStaleWatch(time.Now()), "", "the store is still silent")
		assert.Assert(t, f.mayLackChanges(time.Now()))
		s.set(func() {
			s.put(store.Entry{Key: "b", Value: []byte("1")})
			s.silent = false
		})
		time.Sleep(time.Second)
		f.contact.answered(time.Now())
		assert.Equal(t, f.interruptStaleWatch(time.Now()), reasonStoreSilent)
		synctest.Wait()
		assert.DeepEqual(t, applied, map[string]string{"a": "1", "b": "1"})
		assert.Equal(t, f.interruptStaleWatch(time.Now()), "", "the new watch began after the silence")
		assert.Assert(t, f.mayLackChanges(time.Now()), "its answer may be on its way")
		assert.Assert(t, !f.mayLackChanges(time.Now().Add(staleWatchTimeout)))
	})
}

// Guards against a silence that followers of one process do not tell each other about, and against a rejection that counts
// as silence, so that each one interrupts all watches.
func TestStoreContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		for err, silent := range map[error]bool{nil: false, store.ErrUnavailable: false, store.ErrCompacted: false, store.ErrUnknownOutcome: true} {
			s := newFakeStore()
			s.err = err
			f := &follower{store: s, contact: &storeContact{}, logger: hclog.NewNullLogger(), changed: func() {}, loaded: func() {}, apply: func(store.Entry) {}, held: noKeys}
			_, _ = f.list(t.Context())
			assert.Equal(t, f.contact.silentSince(begin), silent, "%v", err)
		}
	})
}

// Guards against changes that are lost when the store compacts its history while they are made.
func TestFollowerListsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(store.Entry{Key: "a", Value: []byte("1")})
		s.put(store.Entry{Key: "b", Value: []byte("1")})
		applied := startFollower(t, s)
		synctest.Wait()
		assert.DeepEqual(t, applied, map[string]string{"a": "1", "b": "1"})
		s.set(func() {
			delete(s.entries, "a")
			s.entries["b"] = store.Entry{Key: "b", Value: []byte("2"), Revision: s.revision + 1}
			s.revision += 2
			s.compactedAt = s.revision
			close(s.changed)
			s.changed = make(chan struct{})
		})
		synctest.Wait()
		assert.DeepEqual(t, applied, map[string]string{"b": "2"})
	})
}

// Guards against a balancer that takes its agents for all that there are, although it has not listed them yet or another
// one was created since.
func TestFollowerCovers(t *testing.T) {
	s := newFakeStore()
	f := &follower{store: s, contact: &storeContact{}, logger: hclog.NewNullLogger(), changed: func() {}, loaded: func() {}, apply: func(store.Entry) {}, held: noKeys}
	assert.Assert(t, !f.covers(0), "before the first list")
	s.put(store.Entry{Key: "a"})
	at, err := f.list(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, f.covers(uint64(at)))
	assert.Assert(t, !f.listedFor(time.Now(), time.Minute), "entries may be missing from the first list")
	assert.Assert(t, f.listedFor(time.Now().Add(time.Hour), time.Minute))
	s.put(store.Entry{Key: "b"})
	assert.Assert(t, !f.covers(uint64(at)+1))
	_, err = f.watch(t.Context(), at)
	assert.NilError(t, err)
	assert.Assert(t, f.covers(uint64(at)+1))
}

// Guards against a process that does not serve soon after the store's return, and against too many calls while the
// store is unavailable.
func TestFollowerRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.entries["a"] = store.Entry{Key: "a", Value: []byte("1"), Revision: 5}
		s.err = store.ErrUnavailable
		applied := startFollower(t, s)
		time.Sleep(10 * time.Second)
		n := s.callCount()
		assert.Assert(t, n <= 200, "%d calls", n)
		s.set(func() { s.err = nil })
		time.Sleep(150 * time.Millisecond)
		synctest.Wait()
		assert.DeepEqual(t, applied, map[string]string{"a": "1"})
		s.set(func() { s.put(store.Entry{Key: "a", Value: []byte("2")}) })
		synctest.Wait()
		assert.DeepEqual(t, applied, map[string]string{"a": "2"})
	})
}

// Guards against a zone that stays out of service at a weak host: others passed on that it was taken out during a rest,
// and it is taken back before the host reads the entries again.
func TestDeletionAfterRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(store.Entry{Key: "a", Value: []byte("1")})
		resume := make(chan struct{})
		f, applied := runRestingFollower(t, s, func(context.Context) { <-resume })
		synctest.Wait()
		s.set(func() { s.put(store.Entry{Key: "zone", Value: []byte("out")}) })
		f.apply(store.Entry{Key: "zone", Value: []byte("out"), Revision: 2}) // by a fetch
		s.set(func() { s.put(store.Entry{Key: "zone", Deleted: true}) })
		close(resume)
		synctest.Wait()
		assert.DeepEqual(t, applied, map[string]string{"a": "1"})
	})
}

// Guards against vouchers that are younger than the answer of the store, because a slow host takes long to apply it.
func TestAnswerTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(store.Entry{Key: "a"})
		var answered time.Time
		f := &follower{
			store: s, contact: &storeContact{}, logger: hclog.NewNullLogger(), changed: func() {}, loaded: func() {}, held: noKeys,
			apply: func(store.Entry) { time.Sleep(time.Second) }, answered: func(at time.Time) { answered = at },
		}
		begin := time.Now()
		at, err := f.list(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, answered.Equal(begin), "list: %s later", answered.Sub(begin))
		s.put(store.Entry{Key: "b"})
		begin = time.Now()
		_, err = f.watch(t.Context(), at)
		assert.NilError(t, err)
		assert.Assert(t, answered.Equal(begin), "watch: %s later", answered.Sub(begin))
	})
}
