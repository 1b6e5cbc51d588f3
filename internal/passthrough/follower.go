package passthrough

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/store"
)

const (
	// staleWatchTimeout is how long a waiting watch may lack a change that other processes know of. A store answers a
	// watch within some tens of milliseconds.
	staleWatchTimeout = 1500 * time.Millisecond
	// startRetryDelay is the delay after a failed store call of a process that cannot serve before the call succeeds.
	startRetryDelay = 100 * time.Millisecond
	// retryDelay is the delay after any other failed store call; it doubles up to maxRetryDelay.
	retryDelay    = 200 * time.Millisecond
	maxRetryDelay = 1600 * time.Millisecond
)

// jitter returns a random duration between 0.5 and 1.5 times d, which spreads the calls of processes that failed
// together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) } //nolint:gosec // no secret

// follower applies the entries of a store prefix and their changes.
type follower struct {
	store  store.Store
	prefix string
	logger hclog.Logger
	// pause returns how long changes are collected before the next call; nil means that they are not.
	pause func() time.Duration
	// rest waits before a watch for as long as other processes watch in place of this one; nil does not wait.
	rest func(ctx context.Context)
	// answered is called after an answer of the store has been applied, with a time at which the applied changes were all
	// that the store had told: when a list began or a watch returned. nil is allowed.
	answered func(at time.Time)
	// apply handles a changed entry; an entry that is missing from a complete list is passed as deleted.
	apply func(e store.Entry)
	// held returns the keys that exist according to the entries in use, with their revisions. These may come from other
	// processes too, which is why a complete list is compared with them.
	held func() map[string]store.Revision
	// settlingPeriod is how long after the first list of an era an entry of an earlier era stays in use although its key is
	// missing: its writer writes it again.
	settlingPeriod time.Duration
	// settled is called after a list that shows which entries of earlier eras are gone; nil is allowed.
	settled func(era uint64)
	// eraChanged is called after the first list in another era than the one before; nil is allowed.
	eraChanged func()
	// applied is called with the store revision up to which all changes have been applied; nil is allowed.
	applied func(revision uint64)
	// changed is called after the changes of a response have been applied.
	changed func()
	// loaded is called after each complete list.
	loaded func()
	// listedAt is when the first complete list was applied, or nil.
	listedAt atomic.Pointer[time.Time]
	// at is the store revision up to which all changes have been applied.
	at atomic.Uint64

	// expected is the highest revision of the prefix that other processes know of.
	expected maxRevision
	// contact is shared by the followers of a process.
	contact *storeContact

	mu            sync.Mutex
	cancelWatch   context.CancelFunc // ends the waiting watch; nil if there is none
	beganAt       time.Time          // when the last watch began
	interruptedAt time.Time          // when a watch was last interrupted
	eraListedAt   time.Time          // when the prefix was first listed in the era
	listDue       bool               // entries of earlier eras have settled, so the next call is a list
	behindSince   time.Time          // since when the waiting watch lacks the expected revision; zero if it does not
}

// run lists the prefix and watches its changes until the context ends.
func (f *follower) run(ctx context.Context) error {
	var at store.Revision
	listed, reachable := false, true
	delay := retryDelay
	for ctx.Err() == nil {
		var err error
		switch {
		case !listed:
			at, err = f.list(ctx)
			listed = err == nil
		case !reachable:
			err = f.checkStore(ctx)
		default:
			if f.rest != nil {
				f.rest(ctx)
			}
			at, err = f.watch(ctx, at)
		}
		if f.takeListDue() {
			listed = false
			continue
		}
		if errors.Is(err, store.ErrCompacted) {
			f.logger.Info("store history compacted, listing again", "prefix", f.prefix, "revision", loggedRevision(at))
			listed = false
			continue
		}
		if err == nil {
			if !reachable {
				f.logger.Info("store answers again", "prefix", f.prefix, "revision", loggedRevision(at))
			}
			reachable, delay = true, retryDelay
			continue
		}
		if reachable && ctx.Err() == nil {
			f.logger.Warn("store does not answer", "prefix", f.prefix, "revision", loggedRevision(at), "error", err)
		}
		reachable = false
		if !listed {
			delay = startRetryDelay
		}
		wait(ctx, jitter(delay))
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

// checkStore makes a call that the store answers at once. A watch would show only at its end that the store is silent, or
// that it answers again.
func (f *follower) checkStore(ctx context.Context) error {
	_, err := f.store.Get(ctx, f.prefix)
	if errors.Is(err, store.ErrNotFound) { // No entry has the key.
		err = nil
	}
	f.recordOutcome(err)
	return err
}

// listedFor reports whether the first complete list was applied a period ago or earlier.
func (f *follower) listedFor(now time.Time, period time.Duration) bool {
	at := f.listedAt.Load()
	return at != nil && now.Sub(*at) >= period
}

// covers reports whether the prefix has been listed and all changes up to a store revision have been applied.
func (f *follower) covers(revision uint64) bool {
	at := f.at.Load()
	return at > 0 && at >= revision
}

func (f *follower) list(ctx context.Context) (store.Revision, error) {
	began := time.Now()
	before := store.Revision(f.at.Load())
	page, err := f.store.List(ctx, f.prefix)
	f.recordOutcome(err)
	if err != nil {
		return 0, err
	}
	listed := make(map[string]bool)
	for _, e := range page.Entries {
		listed[e.Key] = true
		f.apply(e)
	}
	settled := f.enterEra(before, page.Revision, began)
	kept := 0
	for key, at := range f.held() {
		switch {
		case listed[key]:
		case at.Era() < page.Revision.Era() && !settled:
			kept++
		default:
			f.apply(store.Entry{Key: key, Revision: page.Revision, Deleted: true})
		}
	}
	if settled && f.settled != nil {
		f.settled(page.Revision.Era())
	}
	if before != 0 && before.Era() != page.Revision.Era() {
		if f.eraChanged != nil {
			f.eraChanged()
		}
		f.logger.Warn("listed in a new era of the store", "prefix", f.prefix, "era", page.Revision.Era(), "before", loggedRevision(before), "revision", loggedRevision(page.Revision), "entries", len(page.Entries), "kept", kept)
	}
	f.changed()
	f.setApplied(page.Revision)
	now := time.Now()
	f.listedAt.CompareAndSwap(nil, &now)
	f.notifyAnswered(began)
	f.loaded()
	return page.Revision, nil
}

// enterEra records a list that began at a time, and reports whether the entries of earlier eras have settled.
func (f *follower) enterEra(before, now store.Revision, began time.Time) (settled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.eraListedAt.IsZero() || before.Era() != now.Era() {
		f.eraListedAt = began
	}
	return began.Sub(f.eraListedAt) >= f.settlingPeriod
}

// listIfSettled ends the waiting watch and makes a list due if entries of earlier eras are in use and have settled.
func (f *follower) listIfSettled(now time.Time) {
	era := store.Revision(f.at.Load()).Era()
	earlier := false
	for _, at := range f.held() {
		earlier = earlier || at.Era() < era
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !earlier || f.cancelWatch == nil || now.Sub(f.eraListedAt) < f.settlingPeriod {
		return
	}
	f.listDue = true
	f.cancelWatch()
	f.cancelWatch = nil
	f.logger.Info("entries of an earlier era have settled, listing again", "prefix", f.prefix, "era", era)
}

// takeListDue reports whether a list is due, once.
func (f *follower) takeListDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	due := f.listDue
	f.listDue = false
	return due
}

func (f *follower) watch(ctx context.Context, at store.Revision) (store.Revision, error) {
	watchCtx, end := f.beginWatch(ctx)
	page, err := f.store.Watch(watchCtx, f.prefix, at)
	returned := time.Now()
	interrupted := watchCtx.Err() != nil && ctx.Err() == nil
	end()
	if interrupted {
		return at, nil
	}
	f.recordOutcome(err)
	if err != nil {
		return at, err
	}
	for _, e := range page.Entries {
		f.apply(e)
	}
	f.setApplied(max(at, page.Revision))
	if len(page.Entries) > 0 {
		f.changed()
		if f.pause != nil {
			wait(ctx, f.pause())
		}
	}
	f.notifyAnswered(returned)
	return max(at, page.Revision), nil
}

// notifyAnswered notifies that an answer of the store from a time has been applied.
func (f *follower) notifyAnswered(at time.Time) {
	if f.answered != nil {
		f.answered(at)
	}
}

// recordOutcome records whether the store has answered a call. A rejection is an answer.
func (f *follower) recordOutcome(err error) {
	switch {
	case errors.Is(err, store.ErrUnknownOutcome):
		f.contact.unanswered(time.Now())
	case !errors.Is(err, store.ErrUnavailable):
		f.contact.answered(time.Now())
	}
}

// beginWatch returns the context of a watch that interruptStaleWatch can end, and a function that must be called after
// the watch.
func (f *follower) beginWatch(ctx context.Context) (watchCtx context.Context, end func()) {
	watchCtx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch, f.behindSince, f.beganAt = cancel, time.Time{}, time.Now()
	return watchCtx, func() {
		f.mu.Lock()
		f.cancelWatch = nil
		f.mu.Unlock()
		cancel()
	}
}

// Reasons for interrupting a watch.
const (
	reasonKnownChange = "lacks_known_change"
	reasonStoreSilent = "store_was_silent"
	reasonNewEra      = "new_era"
)

// interruptStaleWatch ends a waiting watch that may never be answered, and returns the reason or "". The next watch opens
// another connection.
func (f *follower) interruptStaleWatch(now time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	reason := f.staleReason(now)
	if reason == "" {
		return ""
	}
	f.cancelWatch()
	f.cancelWatch, f.interruptedAt = nil, now
	f.listDue = reason == reasonNewEra // Another watch might wait for as long.
	f.logger.Warn("watch interrupted", "prefix", f.prefix, "reason", reason, "revision", loggedRevision(f.at.Load()), "expected", loggedRevision(f.expected.get()))
	return reason
}

// staleReason returns why the waiting watch may never be answered, or "". It lacks a change that other processes have known
// of for staleWatchTimeout, or the store has been silent since it began, or has begun a new era.
func (f *follower) staleReason(now time.Time) string {
	switch {
	case f.cancelWatch == nil:
		f.behindSince = time.Time{}
	case f.contact.silentSince(f.beganAt) && f.contact.recovered():
		return reasonStoreSilent
	case f.covers(f.expected.get()):
		f.behindSince = time.Time{}
	case store.Revision(f.expected.get()).Era() > store.Revision(f.at.Load()).Era():
		return reasonNewEra
	case f.behindSince.IsZero():
		f.behindSince = now
	case now.Sub(f.behindSince) >= staleWatchTimeout:
		return reasonKnownChange
	}
	return ""
}

// mayLackChanges reports whether the store has been silent since the last watch began, or the watch has just replaced an
// interrupted one.
func (f *follower) mayLackChanges(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact.silentSince(f.beganAt) || now.Sub(f.interruptedAt) < staleWatchTimeout
}

// setApplied records the store revision up to which all changes have been applied.
func (f *follower) setApplied(revision store.Revision) {
	f.at.Store(uint64(revision))
	if f.applied != nil {
		f.applied(uint64(revision))
	}
}

// wait pauses until the duration has passed or the context ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
