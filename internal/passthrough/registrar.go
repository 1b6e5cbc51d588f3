package passthrough

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/store"
)

const (
	// leaseTTL is longer than a restart of the process takes, so that balancers keep the agent meanwhile.
	leaseTTL = 12 * time.Second
	// maxEntryDelay limits the delay after a failed call; an entry must be restored within 2 s of the store's return.
	maxEntryDelay = 800 * time.Millisecond
	// renewInterval leaves time for two failed renewals.
	renewInterval = leaseTTL / 4
	// eraSpread is the time over which agents write their entries again in a new era of the store, with two writes each. An
	// entry must be restored within 2 s of the store's return.
	eraSpread = 1500 * time.Millisecond
)

// registrar keeps the agent's entry in the store.
type registrar struct {
	store  store.Store
	key    string
	logger hclog.Logger
	wake   chan struct{}
	// newEra has a value if the store has begun an era that the entry was not written in.
	newEra chan struct{}
	// era is the newest era that is known.
	era maxRevision
	// backendSeen is closed after the first heartbeat of the backend server.
	backendSeen chan struct{}
	seenOnce    sync.Once

	mu    sync.Mutex
	entry agentEntry
	dirty bool

	written atomic.Bool // the store has accepted an entry of this process

	// onFirstWrite is called after the first write with the entry that an earlier process of the agent had written, if
	// there was one, and the entry that has replaced it. It must be set before run.
	onFirstWrite func(previous *agentEntry, e agentEntry)

	// onWrite is called after each write with the revisions of the entry. It must be set before run.
	onWrite func(r entryRevisions)

	calls    sync.Mutex // locked during a call, and guards the fields below
	lease    store.LeaseID
	revision store.Revision
	created  store.Revision // of the key; 0 if it is not known
	removed  bool
	previous *agentEntry // the entry of an earlier process, once it is known
}

func newRegistrar(s store.Store, id string, e agentEntry, logger hclog.Logger) *registrar {
	e.Process = rand.Uint64()
	return &registrar{store: s, key: agentsPrefix + id, entry: e, dirty: true, logger: logger, wake: make(chan struct{}, 1), newEra: make(chan struct{}, 1), backendSeen: make(chan struct{})}
}

// setDraining changes the draining state of the entry.
func (r *registrar) setDraining(draining bool) {
	r.change(func(e *agentEntry) { e.Draining = draining })
}

// setRun changes the run of the backend server in the entry.
func (r *registrar) setRun(run backendRun) {
	r.change(func(e *agentEntry) { e.Run = run })
}

// change changes the entry and has it written if it is different.
func (r *registrar) change(apply func(e *agentEntry)) {
	r.mu.Lock()
	old := r.entry
	apply(&r.entry)
	changed := r.entry != old
	r.dirty = r.dirty || changed
	r.mu.Unlock()
	if !changed {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default: // A wake-up is already due.
	}
}

// onBackendSeen lets the entry be written, since the backend server has sent a heartbeat.
func (r *registrar) onBackendSeen() { r.seenOnce.Do(func() { close(r.backendSeen) }) }

// run keeps the entry up to date until the context ends.
func (r *registrar) run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-r.backendSeen:
	}
	delay := retryDelay
	for ctx.Err() == nil {
		if err := r.writeOrRenew(ctx); err != nil && ctx.Err() == nil {
			r.logger.Warn("entry not written", "key", r.key, "error", err)
			wait(ctx, jitter(delay))
			delay = min(2*delay, maxEntryDelay)
			continue
		}
		delay = retryDelay
		r.pause(ctx)
	}
	return nil
}

// pause waits until the next renewal is due or the entry changes.
func (r *registrar) pause(ctx context.Context) {
	t := time.NewTimer(renewInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.wake:
	case <-r.newEra:
		wait(ctx, rand.N(eraSpread)) //nolint:gosec // no secret
	}
}

// noticeEra has the entry written again if a revision that another process knows of shows that the store has begun a new
// era: the store may have lost the entry and its lease. The next renewal would notice it later.
func (r *registrar) noticeEra(revision uint64) {
	era := store.Revision(revision).Era()
	if era == 0 || era <= r.era.get() {
		return
	}
	r.era.add(era)
	select {
	case r.newEra <- struct{}{}:
	default: // A wake-up is already due.
	}
}

// writeOrRenew renews the lease, or writes the entry if it has changed or its lease has expired.
func (r *registrar) writeOrRenew(ctx context.Context) error {
	r.calls.Lock()
	defer r.calls.Unlock()
	if r.removed {
		return nil
	}
	r.mu.Lock()
	entry, dirty := r.entry, r.dirty
	r.mu.Unlock()
	if r.lease != 0 && !dirty {
		err := r.store.Renew(ctx, r.lease)
		if !errors.Is(err, store.ErrNotFound) {
			return err
		}
		r.logger.Warn("lease has expired, writing the entry again", "key", r.key)
		r.lease = 0
	}
	if err := r.write(ctx, entry); err != nil {
		return err
	}
	r.mu.Lock()
	r.dirty = r.entry != entry
	r.mu.Unlock()
	return nil
}

func (r *registrar) write(ctx context.Context, entry agentEntry) error {
	if r.lease == 0 {
		lease, err := r.store.Grant(ctx, leaseTTL)
		if err != nil {
			return err
		}
		r.lease = lease
	}
	value := entry.encode()
	revision, err := r.store.CompareAndSwap(ctx, r.key, value, r.revision, r.lease)
	if err == nil && r.revision == 0 {
		r.created = revision
	}
	if errors.Is(err, store.ErrConflict) {
		revision, err = r.replace(ctx, entry.Process, value)
	}
	if errors.Is(err, store.ErrNotFound) {
		r.lease = 0
	}
	if err != nil {
		return err
	}
	r.revision = revision
	r.era.add(revision.Era())
	if r.onWrite != nil {
		r.onWrite(entryRevisions{created: uint64(r.created), written: uint64(revision)})
	}
	if !r.written.Swap(true) && r.onFirstWrite != nil {
		r.onFirstWrite(r.previous, entry)
	}
	r.logger.Info("entry written", "key", r.key, "revision", loggedRevision(revision), "draining", entry.Draining)
	return nil
}

// replace overwrites the entry of an earlier process, or of a write whose response was lost.
func (r *registrar) replace(ctx context.Context, process uint64, value []byte) (store.Revision, error) {
	old, err := r.store.Get(ctx, r.key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	var e agentEntry
	if err == nil && json.Unmarshal(old.Value, &e) == nil && e.Process != process {
		r.previous = &e
	}
	revision, err := r.store.CompareAndSwap(ctx, r.key, value, old.Revision, r.lease)
	if err == nil {
		r.created = old.Created
		if old.Revision == 0 {
			r.created = revision
		}
	}
	return revision, err
}

// draining reports whether the entry marks the agent as draining.
func (r *registrar) draining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry.Draining
}

// currentLease returns the lease of the entry, or 0 if there is none.
func (r *registrar) currentLease() store.LeaseID {
	r.calls.Lock()
	defer r.calls.Unlock()
	if r.removed {
		return 0
	}
	return r.lease
}

// listed reports whether the store has accepted an entry of this process.
func (r *registrar) listed() bool { return r.written.Load() }

// remove deletes the entry of a stopping agent. If that fails, the entry expires with its lease.
func (r *registrar) remove(ctx context.Context) {
	r.calls.Lock()
	defer r.calls.Unlock()
	r.removed = true
	if r.lease == 0 {
		return
	}
	if err := r.store.Revoke(ctx, r.lease); err != nil {
		r.logger.Warn("entry not removed, it expires with its lease", "key", r.key, "error", err)
	}
}
