package agent

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// openingTTL is the lifetime of a record whose opening packet started no connection, such as an invalid Initial.
	openingTTL = time.Second
	// closedFlowTTL keeps the return path of a closed flow, so that the closing packet can be retransmitted to a
	// caller that has not received it.
	closedFlowTTL = 3 * time.Second
	// unansweredTimeout is how long the agent sends without receiving a packet from the caller before it uses
	// another balancer. It exceeds the round trip between zones plus the acknowledgement delay (25 ms each).
	unansweredTimeout = 200 * time.Millisecond
	// unusableTimeout is the same for a balancer that is unusable according to the board. It is not zero, so that a
	// packet that has just come through the balancer takes precedence over the board: the balancer may only have been
	// paused, and it may be the only one that reaches the caller.
	unusableTimeout = 50 * time.Millisecond
)

// flowOrigin is the path on which a packet of a caller reached the agent.
type flowOrigin struct {
	// balancer is the data address of the balancer that forwarded the packet.
	balancer netip.AddrPort
	// address is the service address that the caller used; answers must have it as their source.
	address netip.AddrPort
}

// flowRecord is the state of a flow that the agent owns.
type flowRecord struct {
	// balancer forwarded the last packet of the flow, or was chosen since then for the return path.
	balancer netip.AddrPort
	address  netip.AddrPort
	// openingID identifies the packet that opened the newest connection of the flow.
	openingID uint64
	// unansweredSince is when the first packet after the caller's last one was sent; zero if none was.
	unansweredSince time.Time
	// idleSince is when the record was created or its last connection ended.
	idleSince time.Time
	// connections counts the QUIC connections that are open from the caller's address.
	connections int
	established bool
	// finished is true once the last connection has ended.
	finished bool
}

func (r *flowRecord) received(from flowOrigin) {
	r.balancer = from.balancer
	r.address = from.address
	r.unansweredSince = time.Time{}
}

// flowTable holds the flow records of one agent; the zero value is empty and ready to use.
type flowTable struct {
	mu        sync.Mutex
	records   map[netip.AddrPort]*flowRecord
	openCount int
}

// openingID identifies an opening packet by its destination connection ID, which the caller does not change
// until it has received a packet from the agent.
func openingID(packet []byte) uint64 {
	id, _ := destinationConnID(packet)
	return xxhash.Sum64(id)
}

// matchOpening reports whether an opening packet belongs to a flow in the table, and updates its record. With
// newConnections, a caller in the table may open another connection.
func (t *flowTable) matchOpening(caller netip.AddrPort, from flowOrigin, openingID uint64, newConnections bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[caller]
	if !ok || r.finished || (r.openingID != openingID && !newConnections) {
		return false
	}
	r.openingID = openingID
	r.received(from)
	return true
}

// insert adds the record of a new flow.
func (t *flowTable) insert(now time.Time, caller netip.AddrPort, from flowOrigin, openingID uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(caller, &flowRecord{balancer: from.balancer, address: from.address, openingID: openingID, idleSince: now})
}

func (t *flowTable) add(caller netip.AddrPort, r *flowRecord) {
	if t.records == nil {
		t.records = make(map[netip.AddrPort]*flowRecord)
	}
	if old, ok := t.records[caller]; !ok || old.finished {
		t.openCount++
	}
	t.records[caller] = r
}

// recordOwned updates the flow record for a packet that carries the agent's tag. If the address of a caller has changed,
// there is no record yet and a new one takes the return path from the packet.
func (t *flowTable) recordOwned(now time.Time, caller netip.AddrPort, from flowOrigin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[caller]; ok {
		r.received(from)
		return
	}
	t.add(caller, &flowRecord{balancer: from.balancer, address: from.address, idleSince: now})
}

// connected counts a new connection of a flow.
func (t *flowTable) connected(caller netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[caller]; ok {
		r.connections++
	}
}

// markEstablished marks a flow as established once its handshake is complete.
func (t *flowTable) markEstablished(caller netip.AddrPort) {
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
		r.idleSince = now
		t.openCount--
	}
}

// sweep removes expired records.
func (t *flowTable) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for caller, r := range t.records {
		age := now.Sub(r.idleSince)
		switch {
		case r.finished && age >= closedFlowTTL:
			delete(t.records, caller)
		case !r.finished && r.connections == 0 && age >= openingTTL:
			delete(t.records, caller)
			t.openCount--
		}
	}
}

// returnBalancers holds the balancers that can carry answers to callers. It is immutable.
type returnBalancers struct {
	// usable are the balancers to rotate over, in the same order at every agent.
	usable []netip.AddrPort
	// unusable are the balancers that are dead, leaving, or in a closed or unreachable zone according to the board.
	unusable map[netip.AddrPort]struct{}
	// control maps the data address of each balancer to its control address.
	control map[netip.AddrPort]netip.AddrPort
}

// next returns the usable balancer that follows b in the rotation, or b if none is usable.
func (rb *returnBalancers) next(b netip.AddrPort) netip.AddrPort {
	if len(rb.usable) == 0 {
		return b
	}
	i, found := slices.BinarySearchFunc(rb.usable, b, netip.AddrPort.Compare)
	if found {
		i++
	}
	return rb.usable[i%len(rb.usable)]
}

// returnPath is the path of a packet back to its caller.
type returnPath struct {
	flowOrigin
	established bool
	rotated     bool
}

// returnPath returns the path back to a caller. It rotates to the next usable balancer if the caller has sent nothing
// since packets were sent to it: for unusableTimeout if the current balancer is unusable, else for unansweredTimeout.
func (t *flowTable) returnPath(now time.Time, caller netip.AddrPort, rb *returnBalancers) (returnPath, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[caller]
	if !ok {
		return returnPath{}, false
	}
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
	timeout := unansweredTimeout
	if _, unusable := rb.unusable[r.balancer]; unusable {
		timeout = unusableTimeout
	}
	rotated := now.Sub(r.unansweredSince) >= timeout
	if rotated {
		r.balancer = rb.next(r.balancer)
		r.unansweredSince = now
	}
	return returnPath{flowOrigin: flowOrigin{r.balancer, r.address}, established: r.established, rotated: rotated}, true
}
