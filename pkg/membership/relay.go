package membership

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/store"
)

const (
	// LeaseTTL is how long the relay lease lasts without renewal.
	LeaseTTL = 10 * time.Second
	// renewInterval allows two failed renewals before the lease expires.
	renewInterval = 3 * time.Second
	// refreshInterval is the time between two updates of the relay record. An update per renewal would cost each node of
	// a large zone 400 bytes per second; missed heartbeats show the failure of a relay sooner.
	refreshInterval = 30 * time.Second
	// relayRecordTTL is the age of the relay record after which other balancers try to acquire the lease.
	relayRecordTTL = 3 * refreshInterval
	// rankDelay is the head start of each candidate over the next one.
	rankDelay = 2 * time.Second
	// relayCandidates is the number of balancers per zone that try to acquire the lease.
	relayCandidates = 3
	// acquireInterval is the mean time between two attempts of one candidate.
	acquireInterval = 5 * time.Second
	// readRetryDelay is the maximum wait after a failed read of the store.
	readRetryDelay = 2 * time.Second
)

type relayState uint8

const (
	relayIdle relayState = iota
	relayAcquiring
	relayHolding
)

// relay is the state of the relay role, which makes one balancer per zone read the store.
type relay struct {
	state relayState
	next  time.Time
	// acquireAt is when to try to acquire the lease; zero while it is not vacant.
	acquireAt time.Time
	fencing   uint64
	seq       uint64
	renewedAt time.Time
	renewAt   time.Time
	// publishedAt is when the relay record was last written.
	publishedAt time.Time
	readAt      time.Time
	reading     bool
	// after is the store revision up to which the store was read.
	after store.Revision
	// lastVersion is the last version seen of the zone's relay record, and lastVersionAt when it was first seen.
	lastVersion   board.Version
	lastVersionAt time.Time
}

func (n *Node) relayID() board.ID { return board.ID{Kind: board.KindRelay, Key: n.cfg.Zone} }

func (n *Node) tickRelay() {
	r := &n.relay
	r.next = n.now.Add(renewInterval / 6)
	if !n.cfg.Store {
		return
	}
	switch r.state {
	case relayIdle:
		n.acquireIfVacant()
	case relayAcquiring:
	case relayHolding:
		n.maintainRelay()
	}
}

// isVacant reports whether no other live balancer holds the relay role of the zone.
func (n *Node) isVacant() bool {
	rec, ok := n.board.Get(n.relayID())
	if !ok {
		return true
	}
	if rec.Version != n.relay.lastVersion {
		n.relay.lastVersion = rec.Version
		n.relay.lastVersionAt = n.now
	}
	v, _ := rec.Value.(board.Relay)
	if v.Balancer == "" || v.Balancer == n.cfg.ID || n.now.Sub(n.relay.lastVersionAt) > relayRecordTTL {
		return true
	}
	holder, ok := n.board.Get(board.ID{Kind: board.KindBalancer, Key: v.Balancer})
	b, _ := holder.Value.(board.Balancer)
	return !ok || holder.Version.Liveness != board.Alive || b.Leaving
}

// acquireIfVacant tries to acquire a vacant lease after a delay that grows with the rank in the zone.
func (n *Node) acquireIfVacant() {
	r := &n.relay
	if !n.hasOwnRecord || !n.mayReadStore() || n.isLeaving() || !n.isVacant() {
		r.acquireAt = time.Time{}
		return
	}
	rank := n.relayRank()
	if rank >= relayCandidates {
		return
	}
	if r.acquireAt.IsZero() {
		r.acquireAt = n.now.Add(time.Duration(rank)*rankDelay + n.jitter(rankDelay/4))
	}
	if n.now.Before(r.acquireAt) {
		return
	}
	r.state = relayAcquiring
	n.emit(AcquireLease{})
}

// mayReadStore is false while a new process has not yet synchronised and has seeds left to try.
func (n *Node) mayReadStore() bool {
	return n.catchUp.done || n.catchUp.failures >= max(1, len(n.cfg.Seeds)-1)
}

func (n *Node) isLeaving() bool {
	own, _ := n.board.Get(n.self)
	b, ok := own.Value.(board.Balancer)
	return !ok || b.Leaving
}

func (n *Node) relayRank() int {
	n.peers.refresh(n)
	key := xxhash.Sum64String(n.cfg.Zone)
	own := score(key, xxhash.Sum64String(n.cfg.ID))
	above := 0
	for _, p := range n.peers.byZone[n.cfg.Zone] {
		if score(key, p.hash) > own {
			above++
		}
	}
	return above
}

func (n *Node) handleLeaseResult(e LeaseResult) {
	r := &n.relay
	if e.Err != nil {
		n.trace(ReasonRelayRefused, n.relayID(), board.Version{})
		r.state = relayIdle
		r.acquireAt = n.now.Add(n.jitter(2 * acquireInterval * 2 / 3))
		return
	}
	r.state = relayHolding
	r.fencing = uint64(e.Fencing)
	r.seq = 0
	r.renewedAt = n.now
	r.renewAt = n.now.Add(renewInterval)
	r.after = 0
	r.readAt = n.now
	n.trace(ReasonRelayAcquired, n.relayID(), board.Version{Epoch: r.fencing})
	n.publishRelay(n.cfg.ID)
	n.maintainRelay()
}

// publishRelay writes the relay record of the zone.
func (n *Node) publishRelay(holder string) {
	r := &n.relay
	r.seq++
	r.publishedAt = n.now
	rec := board.Record{
		ID:      n.relayID(),
		Version: board.Version{Epoch: r.fencing, Seq: r.seq},
		Value:   board.Relay{Balancer: holder, Applied: r.after},
	}
	if n.merge(rec) {
		// Only changes of the holder are pushed to other zones, not its refreshes.
		n.gossip(rec, netip.AddrPort{}, r.seq == 1 || holder == "")
	}
}

// maintainRelay renews the lease, refreshes the relay record and keeps one read of the store pending.
func (n *Node) maintainRelay() {
	r := &n.relay
	if n.now.Sub(r.renewedAt) > LeaseTTL {
		n.loseRelay()
		return
	}
	if due(n.now, r.renewAt) {
		r.renewAt = n.now.Add(renewInterval)
		n.emit(RenewLease{})
	}
	if n.now.Sub(r.publishedAt) >= refreshInterval {
		n.publishRelay(n.cfg.ID)
	}
	if !r.reading && due(n.now, r.readAt) {
		r.reading = true
		n.emit(ReadStore{After: r.after})
	}
}

func (n *Node) loseRelay() {
	n.trace(ReasonRelayLost, n.relayID(), board.Version{Epoch: n.relay.fencing})
	n.relay.state = relayIdle
	n.relay.acquireAt = n.now.Add(n.jitter(acquireInterval))
	n.emit(StopReading{})
	n.publishRelay("")
}

// releaseRelay gives up the role when the process stops.
func (n *Node) releaseRelay() {
	if n.relay.state != relayHolding {
		return
	}
	n.loseRelay()
	n.emit(ReleaseLease{})
}

func (n *Node) handleRenewResult(e RenewResult) {
	r := &n.relay
	switch {
	case r.state != relayHolding:
	case e.Err == nil:
		r.renewedAt = n.now
	case errors.Is(e.Err, store.ErrNotFound):
		n.loseRelay()
	}
}

// handleReadResult merges the records read. They carry store revisions, so a relay whose lease has expired cannot
// revert anything.
func (n *Node) handleReadResult(e ReadResult) {
	r := &n.relay
	r.reading = false
	if e.Err != nil {
		if errors.Is(e.Err, store.ErrCompacted) {
			r.after = 0
		}
		n.trace(ReasonStoreFailed, n.relayID(), board.Version{})
		r.readAt = n.now.Add(n.jitter(readRetryDelay))
		return
	}
	for _, rec := range e.Records {
		n.apply(rec, netip.AddrPort{}, false)
	}
	if e.Revision >= r.after {
		r.after = e.Revision
	}
	n.markSynchronised()
	r.readAt = n.now
	if r.state == relayHolding {
		n.maintainRelay()
	}
}
