package agent

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// openTimeout ends a record whose opening packet started no connection, such as an invalid Initial.
	openTimeout = time.Second
	// closeLinger lets the closing packet of a connection be repeated to a caller that has not seen it.
	closeLinger = 3 * time.Second
	// silence is how long the agent sends without hearing from the caller before it uses another balancer.
	// It is above the round trip between zones with the delay of an acknowledgement (25 ms each).
	silence = 200 * time.Millisecond
	// lostSilence is the same for a balancer that the board knows to be lost. A packet that has just come through
	// it outweighs the verdict, which is wrong when the balancer was paused and the only one that the caller hears.
	lostSilence = 50 * time.Millisecond
)

// origin is how a packet of a caller came to the agent.
type origin struct {
	// balancer is the data address of the balancer that forwarded it.
	balancer netip.AddrPort
	// address is the service address that the caller used, from which answers must come.
	address netip.AddrPort
}

// flowRecord is what an agent knows of a flow that it has accepted.
type flowRecord struct {
	// balancer is the one from which the flow's last packet came, or to which the way back was moved.
	balancer netip.AddrPort
	address  netip.AddrPort
	// first identifies the packet that opened the newest connection of the flow.
	first uint64
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

func (r *flowRecord) heard(from origin) {
	r.balancer = from.balancer
	r.address = from.address
	r.unanswered = time.Time{}
}

// flowTable holds the flows of one agent; the zero value is empty and ready to use.
type flowTable struct {
	mu      sync.Mutex
	records map[netip.AddrPort]*flowRecord
	open    int
}

// openingID identifies an opening packet by its destination connection id, which the caller keeps
// until it has heard from the agent.
func openingID(packet []byte) uint64 {
	id, _ := destination(packet)
	return xxhash.Sum64(id)
}

// opens notes an opening packet and reports whether it belongs to a flow of the table. With newConnections,
// a caller of the table may open a further connection.
func (t *flowTable) opens(caller netip.AddrPort, from origin, first uint64, newConnections bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[caller]
	if !ok || r.finished || (r.first != first && !newConnections) {
		return false
	}
	r.first = first
	r.heard(from)
	return true
}

// accept makes the record of a new flow.
func (t *flowTable) accept(now time.Time, caller netip.AddrPort, from origin, first uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(caller, &flowRecord{balancer: from.balancer, address: from.address, first: first, touched: now})
}

func (t *flowTable) add(caller netip.AddrPort, r *flowRecord) {
	if t.records == nil {
		t.records = make(map[netip.AddrPort]*flowRecord)
	}
	if old, ok := t.records[caller]; !ok || old.finished {
		t.open++
	}
	t.records[caller] = r
}

// adopt notes a packet that carries the agent's tag. Its caller is unknown when the address of a caller has
// changed; the way back then follows the packet.
func (t *flowTable) adopt(now time.Time, caller netip.AddrPort, from origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[caller]; ok {
		r.heard(from)
		return
	}
	t.add(caller, &flowRecord{balancer: from.balancer, address: from.address, touched: now})
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

// ways are the balancers through which answers can go; a value is never changed after it is made.
type ways struct {
	// live are the balancers to rotate over, in the same order at every agent.
	live []netip.AddrPort
	// lost are the balancers that the board knows not to be usable: dead, leaving or in a closed zone.
	lost map[netip.AddrPort]struct{}
	// control holds the control address of each balancer by its data address.
	control map[netip.AddrPort]netip.AddrPort
}

// after returns the live balancer that follows another one.
func (w *ways) after(b netip.AddrPort) netip.AddrPort {
	if len(w.live) == 0 {
		return b
	}
	i, found := slices.BinarySearchFunc(w.live, b, netip.AddrPort.Compare)
	if found {
		i++
	}
	return w.live[i%len(w.live)]
}

// route is the way of a packet back to its caller.
type route struct {
	origin
	established bool
	rotated     bool
}

// route returns the way back to a caller. It moves on to the next live balancer when the last one is lost, or when
// nothing was heard from the caller for a while in spite of what was sent.
func (t *flowTable) route(now time.Time, caller netip.AddrPort, w *ways) (route, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[caller]
	if !ok {
		return route{}, false
	}
	if r.unanswered.IsZero() {
		r.unanswered = now
	}
	patience := silence
	if _, lost := w.lost[r.balancer]; lost {
		patience = lostSilence
	}
	rotated := now.Sub(r.unanswered) >= patience
	if rotated {
		r.balancer = w.after(r.balancer)
		r.unanswered = now
	}
	return route{origin: origin{r.balancer, r.address}, established: r.established, rotated: rotated}, true
}
