// Package detour decides when datagrams between two processes go through a third one, because nothing passes on the
// direct way in one direction or in both.
//
// A Planner, one in each balancer, watches which agents answer. It checks a silent agent through a relay: the answer
// tells whether the agent still receives what is sent directly. A host that is paused or has failed answers neither way
// and gets no detour. The Planner writes the detours in use into a Table, which the process consults for each datagram
// that it sends.
package detour

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// maxDetours limits the memory of a Table.
const maxDetours = 4096

// Table holds the relays through which a process sends to others. The zero value has none. It is safe for concurrent
// use.
type Table struct {
	n       atomic.Int32
	mu      sync.RWMutex
	entries map[netip.AddrPort]entry
}

// entry is a detour; it is valid until a time, or until it is removed if that is zero.
type entry struct {
	relay netip.AddrPort
	until time.Time
}

// Set sends datagrams for a process through a relay until the given time, or until Remove if that is zero.
func (t *Table) Set(to, relay netip.AddrPort, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.entries[to]; !known && len(t.entries) >= maxDetours {
		return
	}
	if t.entries == nil {
		t.entries = make(map[netip.AddrPort]entry)
	}
	t.entries[to] = entry{relay: relay, until: until}
	t.n.Store(int32(len(t.entries))) //nolint:gosec // at most maxDetours
}

// Remove sends datagrams for a process directly again.
func (t *Table) Remove(to netip.AddrPort) {
	if t.n.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, to)
	t.n.Store(int32(len(t.entries))) //nolint:gosec // at most maxDetours
}

// Relay returns the relay through which datagrams for a process go, or false if they go directly.
func (t *Table) Relay(now time.Time, to netip.AddrPort) (relay netip.AddrPort, ok bool) {
	if t.n.Load() == 0 {
		return netip.AddrPort{}, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[to]
	if !ok || !e.until.IsZero() && now.After(e.until) {
		return netip.AddrPort{}, false
	}
	return e.relay, true
}

// Len returns the number of detours, including those that have expired since the last call of Sweep.
func (t *Table) Len() int { return int(t.n.Load()) }

// Sweep removes expired detours.
func (t *Table) Sweep(now time.Time) {
	if t.n.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for to, e := range t.entries {
		if !e.until.IsZero() && now.After(e.until) {
			delete(t.entries, to)
		}
	}
	t.n.Store(int32(len(t.entries))) //nolint:gosec // at most maxDetours
}
