// Package store is a stand-in for the platform's configuration store, for tests and trials only.
package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// Limits of the stand-in.
const (
	// maxHistory is the number of changes kept; a watch from an older revision fails with store.ErrCompacted, after which
	// its client must list again.
	maxHistory = 4096
	// minLeaseTTL replaces a shorter TTL in Grant.
	minLeaseTTL = 100 * time.Millisecond
)

// Call is a kind of store call.
type Call string

// Kinds of store calls.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallSwap   Call = "swap"
	CallDelete Call = "delete"
	CallWatch  Call = "watch"
	CallGrant  Call = "grant"
	CallRenew  Call = "renew"
	CallRevoke Call = "revoke"
)

// Fault describes how the store fails; the zero value injects no fault.
type Fault struct {
	// Down makes every call fail before it takes effect.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the number of following writes that take effect but return store.ErrUnknownOutcome.
	LoseAnswers int
	// LoseOnly restricts LoseAnswers to one kind of call; empty means every kind of write.
	LoseOnly Call
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

type entry struct {
	store.Entry
	lease store.LeaseID
}

// Memory is a store in memory with keys, leases and a limited history; the zero value is empty and ready to use.
type Memory struct {
	mu        sync.Mutex
	fault     Fault
	calls     map[Call]int
	revision  store.Revision
	compacted store.Revision
	entries   map[string]entry
	history   []store.Entry
	leases    map[store.LeaseID]lease
	lastLease store.LeaseID
	changed   chan struct{}
}

var _ store.Store = (*Memory)(nil)

// SetFault injects a fault into the following calls; if it takes the store down, blocked watches fail too.
func (m *Memory) SetFault(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
	m.notifyWatchers()
}

// Calls returns the number of calls of each kind, including failed ones.
func (m *Memory) Calls() map[Call]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	calls := make(map[Call]int, len(m.calls))
	for k, n := range m.calls {
		calls[k] = n
	}
	return calls
}

// notifyWatchers wakes the blocked watches; the caller holds the lock.
func (m *Memory) notifyWatchers() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// changeSignal returns a channel that is closed at the next change; the caller holds the lock.
func (m *Memory) changeSignal() <-chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// beginCall counts a call, applies the injected delay and removes expired leases; it returns with the lock held unless
// it fails.
func (m *Memory) beginCall(ctx context.Context, call Call) error {
	m.mu.Lock()
	if m.calls == nil {
		m.calls = make(map[Call]int)
	}
	m.calls[call]++
	delay := m.fault.Delay
	m.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return store.ErrUnknownOutcome
		}
	}
	m.mu.Lock()
	if m.fault.Down {
		m.mu.Unlock()
		return store.ErrUnavailable
	}
	m.expireLeases(time.Now())
	return nil
}

// loseAnswer returns store.ErrUnknownOutcome if the injected fault drops the answer of a write that took effect.
func (m *Memory) loseAnswer(call Call) error {
	if m.fault.LoseAnswers == 0 || m.fault.LoseOnly != "" && m.fault.LoseOnly != call {
		return nil
	}
	m.fault.LoseAnswers--
	return store.ErrUnknownOutcome
}

func (m *Memory) expireLeases(now time.Time) {
	for id, l := range m.leases {
		if !l.expiresAt.After(now) {
			m.endLease(id)
		}
	}
}

// untilNextExpiry returns the time until the next lease expires, between a millisecond and an hour.
func (m *Memory) untilNextExpiry() time.Duration {
	next := time.Hour
	for _, l := range m.leases {
		next = min(next, time.Until(l.expiresAt))
	}
	return max(next, time.Millisecond)
}

// endLease removes a lease and deletes the keys that were written under it, in sorted order.
func (m *Memory) endLease(id store.LeaseID) {
	delete(m.leases, id)
	var keys []string
	for key, e := range m.entries {
		if e.lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		m.write(entry{Entry: store.Entry{Key: key, Deleted: true}})
	}
}

// write stores or deletes an entry at the next revision and notifies the watches.
func (m *Memory) write(e entry) store.Revision {
	m.revision++
	e.Revision = m.revision
	if m.entries == nil {
		m.entries = make(map[string]entry)
	}
	if e.Deleted {
		delete(m.entries, e.Key)
	} else {
		m.entries[e.Key] = e
	}
	m.history = append(m.history, e.Entry)
	if len(m.history) > maxHistory {
		m.compacted = m.history[0].Revision
		m.history = m.history[1:]
	}
	m.notifyWatchers()
	return m.revision
}

// Get returns the entry of a key, or store.ErrNotFound.
func (m *Memory) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := m.beginCall(ctx, CallGet); err != nil {
		return store.Entry{}, err
	}
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e.Entry, nil
}

// List returns the entries whose keys begin with a prefix, sorted by key.
func (m *Memory) List(ctx context.Context, prefix string) (store.Page, error) {
	if err := m.beginCall(ctx, CallList); err != nil {
		return store.Page{}, err
	}
	defer m.mu.Unlock()
	page := store.Page{Revision: m.revision}
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			page.Entries = append(page.Entries, e.Entry)
		}
	}
	sortEntries(page.Entries)
	return page, nil
}

func sortEntries(es []store.Entry) {
	slices.SortFunc(es, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
}

// CompareAndSwap writes a value if the key is at the expected revision, and ties it to a lease unless id is 0.
func (m *Memory) CompareAndSwap(ctx context.Context, key string, value []byte, expected store.Revision, id store.LeaseID) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	if err := m.beginCall(ctx, CallSwap); err != nil {
		return 0, err
	}
	defer m.mu.Unlock()
	if m.entries[key].Revision != expected {
		return 0, store.ErrConflict
	}
	if _, ok := m.leases[id]; id != 0 && !ok {
		return 0, store.ErrNotFound
	}
	r := m.write(entry{Entry: store.Entry{Key: key, Value: slices.Clone(value)}, lease: id})
	if err := m.loseAnswer(CallSwap); err != nil {
		return 0, err
	}
	return r, nil
}

// Delete removes a key if it is at the expected revision.
func (m *Memory) Delete(ctx context.Context, key string, expected store.Revision) error {
	if err := m.beginCall(ctx, CallDelete); err != nil {
		return err
	}
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	if !ok {
		return store.ErrNotFound
	}
	if e.Revision != expected {
		return store.ErrConflict
	}
	m.write(entry{Entry: store.Entry{Key: key, Deleted: true}})
	return m.loseAnswer(CallDelete)
}

// Watch blocks until a key with the prefix has changed after a revision and returns the latest entry of each such key.
func (m *Memory) Watch(ctx context.Context, prefix string, after store.Revision) (store.Page, error) {
	if err := m.beginCall(ctx, CallWatch); err != nil {
		return store.Page{}, err
	}
	for {
		page, err := m.changes(prefix, after)
		changed, expiry := m.changeSignal(), m.untilNextExpiry()
		m.mu.Unlock()
		if err != nil || len(page.Entries) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-time.After(expiry):
		case <-ctx.Done():
			return store.Page{}, ctx.Err()
		}
		m.mu.Lock()
		m.expireLeases(time.Now())
	}
}

// changes returns the latest entry of each key with the prefix that changed after a revision, or store.ErrCompacted if
// the history does not cover that revision.
func (m *Memory) changes(prefix string, after store.Revision) (store.Page, error) {
	if m.fault.Down {
		return store.Page{}, store.ErrUnknownOutcome
	}
	if after < m.compacted || after > m.revision {
		return store.Page{}, store.ErrCompacted
	}
	page := store.Page{Revision: m.revision}
	seen := make(map[string]bool)
	for i := len(m.history) - 1; i >= 0 && m.history[i].Revision > after; i-- {
		e := m.history[i]
		if strings.HasPrefix(e.Key, prefix) && !seen[e.Key] {
			seen[e.Key] = true
			page.Entries = append(page.Entries, e)
		}
	}
	sortEntries(page.Entries)
	return page, nil
}

// Grant creates a lease that expires after its TTL unless it is renewed.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := m.beginCall(ctx, CallGrant); err != nil {
		return 0, err
	}
	defer m.mu.Unlock()
	ttl = max(ttl, minLeaseTTL)
	m.lastLease++
	if m.leases == nil {
		m.leases = make(map[store.LeaseID]lease)
	}
	m.leases[m.lastLease] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	if err := m.loseAnswer(CallGrant); err != nil {
		return 0, err
	}
	return m.lastLease, nil
}

// Renew restarts the TTL of a lease.
func (m *Memory) Renew(ctx context.Context, id store.LeaseID) error {
	if err := m.beginCall(ctx, CallRenew); err != nil {
		return err
	}
	defer m.mu.Unlock()
	l, ok := m.leases[id]
	if !ok {
		return store.ErrNotFound
	}
	l.expiresAt = time.Now().Add(l.ttl)
	m.leases[id] = l
	return m.loseAnswer(CallRenew)
}

// Revoke removes a lease and deletes the keys that were written under it.
func (m *Memory) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := m.beginCall(ctx, CallRevoke); err != nil {
		return err
	}
	defer m.mu.Unlock()
	if _, ok := m.leases[id]; !ok {
		return store.ErrNotFound
	}
	m.endLease(id)
	return m.loseAnswer(CallRevoke)
}
