package agent

import (
	"net/netip"
	"sync"
	"time"
)

// Times that a flow record outlives its use.
const (
	// openTimeout ends a record whose opening packet started no connection, such as an invalid Initial.
	openTimeout = time.Second
	// closeLinger lets the closing packet of a connection be repeated to a caller that has not seen it.
	closeLinger = 3 * time.Second
)

// flowRecord is what an agent knows of a flow that it has accepted.
type flowRecord struct {
	// balancer is the one from which the flow's last packet came.
	balancer netip.AddrPort
	// unanswered is when the first packet was sent since the last one from the caller; zero when there is none.
	unanswered time.Time
	// touched is when the record was made or its last connection ended.
	touched time.Time
	// connections counts the QUIC connections that are open from the caller's address.
	connections int
	established bool
	// finished is true once every connection has ended.
	finished bool
}

// flowTable holds the flows of one agent; the zero value is empty and ready to use.
type flowTable struct {
	mu      sync.Mutex
	records map[netip.AddrPort]*flowRecord
	open    int
}

// heard notes a packet of a known flow and reports whether the flow is known and has not ended.
func (t *flowTable) heard(caller, balancer netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[caller]
	if !ok {
		return false
	}
	r.balancer = balancer
	r.unanswered = time.Time{}
	return !r.finished
}

// accept makes the record of a new flow.
func (t *flowTable) accept(now time.Time, caller, balancer netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		t.records = make(map[netip.AddrPort]*flowRecord)
	}
	if r, ok := t.records[caller]; !ok || r.finished {
		t.open++
	}
	t.records[caller] = &flowRecord{balancer: balancer, touched: now}
}

// adopt makes the record of a packet that carries the agent's tag but comes from an address without a
// record, such as that of a caller whose address has changed.
func (t *flowTable) adopt(now time.Time, caller, balancer netip.AddrPort) {
	t.mu.Lock()
	_, known := t.records[caller]
	t.mu.Unlock()
	if !known {
		t.accept(now, caller, balancer)
	}
}

// connected counts a connection of a flow.
func (t *flowTable) connected(caller netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[caller]; ok {
		r.connections++
	}
}

// establish marks a flow whose handshake is complete.
func (t *flowTable) establish(caller netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[caller]; ok {
		r.established = true
	}
}

// disconnected counts the end of a connection of a flow.
func (t *flowTable) disconnected(now time.Time, caller netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[caller]
	if !ok || r.connections == 0 {
		return
	}
	r.connections--
	if r.connections == 0 {
		r.finished = true
		r.touched = now
		t.open--
	}
}

// sweep removes the records whose time is over.
func (t *flowTable) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for caller, r := range t.records {
		age := now.Sub(r.touched)
		switch {
		case r.finished && age >= closeLinger:
			delete(t.records, caller)
		case !r.finished && r.connections == 0 && age >= openTimeout:
			delete(t.records, caller)
			t.open--
		}
	}
}
