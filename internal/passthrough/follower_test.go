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
	f, applied := newFollower(s)
	run(t, f)
	return f, applied
}

// newFollower returns a follower of a fake store and the entries that it will have applied.
func newFollower(s *fakeStore) (*follower, map[string]string) {
	applied := make(map[string]string)
	f := &follower{
		store: s, logger: hclog.NewNullLogger(), changed: func() {}, loaded: func() {},
		apply: func(e store.Entry) {
			if e.Deleted {
				delete(applied, e.Key)
			} else {
				applied[e.Key] = string(e.Value)
			}
		},
	}
	return f, applied
}

// run runs a follower until the test ends.
func run(t *testing.T, f *follower) {
	t.Helper()
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
}

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
		assert.Assert(t, !f.interruptStaleWatch(time.Now()))
		s.set(func() {
			s.put(store.Entry{Key: "b", Value: []byte("1")})
			s.silent = false
		})
		f.expected.add(uint64(s.revision))
		assert.Assert(t, !f.interruptStaleWatch(time.Now()), "the change may be on its way")
		time.Sleep(staleWatchTimeout)
		assert.Assert(t, f.interruptStaleWatch(time.Now()))
		synctest.Wait()
		assert.DeepEqual(t, applied, map[string]string{"a": "1", "b": "1"})
		assert.Assert(t, !f.interruptStaleWatch(time.Now().Add(time.Hour)), "the new watch has the change")
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
	f := &follower{store: s, logger: hclog.NewNullLogger(), changed: func() {}, loaded: func() {}, apply: func(store.Entry) {}, keys: make(map[string]bool)}
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

// Guards against a link that is filled with each version of a configuration that others have passed on during a rest, and
// against frequent calls if the store does not answer then.
func TestFollowerListsAfterRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(store.Entry{Key: "a", Value: []byte("1")})
		f, applied := newFollower(s)
		resume, versions, rested := make(chan struct{}), 0, false
		apply := f.apply
		f.apply = func(e store.Entry) { versions++; apply(e) }
		f.rest = func(context.Context, store.Revision) bool {
			if rested {
				return false
			}
			<-resume
			rested = true
			return true
		}
		run(t, f)
		synctest.Wait()
		for _, v := range []string{"2", "3", "4"} {
			s.set(func() { s.put(store.Entry{Key: "a", Value: []byte(v)}) })
		}
		calls := s.callCount()
		s.set(func() { s.err = store.ErrUnavailable })
		close(resume)
		time.Sleep(10 * time.Second)
		assert.Assert(t, s.callCount()-calls <= 20, "%d calls", s.callCount()-calls)
		s.set(func() { s.err = nil })
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, applied, map[string]string{"a": "4"})
		assert.Equal(t, versions, 2, "the first and the newest version are read")
	})
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
