package detour

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// maxSenders limits the memory of Arrivals; there are 2,900 balancers at the design size.
	maxSenders = 4096
	// arrivalTTL is how long a sender is remembered after its last datagram.
	arrivalTTL = time.Minute
)

// Arrivals holds when a process last received a datagram directly from each sender. It is safe for concurrent use.
type Arrivals struct {
	started time.Time

	mu   sync.Mutex
	last map[netip.AddrPort]time.Time
}

// NewArrivals returns the arrivals of a process that starts now. Datagrams from before its start are not counted as
// lost, because the age of a sender never exceeds that of the process.
func NewArrivals(now time.Time) *Arrivals {
	return &Arrivals{started: now, last: make(map[netip.AddrPort]time.Time)}
}

// Add records a datagram that was received directly.
func (a *Arrivals) Add(now time.Time, from netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.last[from]; known || len(a.last) < maxSenders {
		a.last[from] = now
	}
}

// Age returns the time since the last datagram of a sender, or since the start of the process if there was none.
func (a *Arrivals) Age(now time.Time, from netip.AddrPort) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok := a.last[from]; ok {
		return now.Sub(at)
	}
	return now.Sub(a.started)
}

// Senders returns at most n senders that are remembered.
func (a *Arrivals) Senders(n int) []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]netip.AddrPort, 0, min(n, len(a.last)))
	for from := range a.last {
		if len(all) == n {
			break
		}
		all = append(all, from)
	}
	return all
}

// Sweep forgets senders from which nothing has arrived for a minute.
func (a *Arrivals) Sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for from, at := range a.last {
		if now.Sub(at) > arrivalTTL {
			delete(a.last, from)
		}
	}
}
