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
	// LeaseTime is how long the lease of the relay role lasts without renewal.
	LeaseTime = 10 * time.Second
	// renewInterval allows two failed renewals before the lease lapses.
	renewInterval = 3 * time.Second
	// refreshInterval is the time between two records that say that the holder still holds the role.
	// Every renewal on the board would cost each node of a large zone 400 bytes a second;
	// a holder that dies is noticed by its heartbeats.
	refreshInterval = 30 * time.Second
	// relayLapse is the age of the relay record after which others try to take the role.
	relayLapse = 3 * refreshInterval
	// rankWait is the head start of each candidate over the next one.
	rankWait = 2 * time.Second
	// candidates is the number of balancers that try to take the role of a zone.
	candidates = 3
	// acquireWait is the time between two attempts of one candidate.
	acquireWait = 5 * time.Second
	// readWait is the wait after a failed read of the store.
	readWait = 2 * time.Second
)

type relayState uint8

const (
	relayIdle relayState = iota
	relayAcquiring
	relayHolding
)

// relay is the role of the one balancer of a zone that reads the store.
type relay struct {
	state   relayState
	next    time.Time
	vacant  time.Time
	fencing uint64
	seq     uint64
	renewed time.Time
	renewAt time.Time
	shownAt time.Time
	readAt  time.Time
	reading bool
	after   store.Revision
	seen    board.Version
	seenAt  time.Time
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
		n.considerRelay()
	case relayAcquiring:
	case relayHolding:
		n.hold()
	}
}

// isVacant reports whether nobody seems to hold the relay role of the zone.
func (n *Node) isVacant() bool {
	rec, ok := n.board.Get(n.relayID())
	if !ok {
		return true
	}
	if rec.Version != n.relay.seen {
		n.relay.seen = rec.Version
		n.relay.seenAt = n.now
	}
	v, _ := rec.Value.(board.Relay)
	if v.Balancer == "" || v.Balancer == n.cfg.ID || n.now.Sub(n.relay.seenAt) > relayLapse {
		return true
	}
	holder, ok := n.board.Get(board.ID{Kind: board.KindBalancer, Key: v.Balancer})
	b, _ := holder.Value.(board.Balancer)
	return !ok || holder.Version.Liveness != board.Alive || b.Leaving
}

// considerRelay takes the role after a wait that grows with the rank among the balancers of the zone.
func (n *Node) considerRelay() {
	r := &n.relay
	if !n.stated || !n.mayRead() || n.isLeaving() || !n.isVacant() {
		r.vacant = time.Time{}
		return
	}
	rank := n.relayRank()
	if rank >= candidates {
		return
	}
	if r.vacant.IsZero() {
		r.vacant = n.now.Add(time.Duration(rank)*rankWait + n.jitter(rankWait/4))
	}
	if n.now.Before(r.vacant) {
		return
	}
	r.state = relayAcquiring
	n.emit(AcquireLease{})
}

// mayRead keeps a new process from the store until every seed was tried once.
func (n *Node) mayRead() bool {
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

func (n *Node) leaseAnswer(e LeaseAnswer) {
	r := &n.relay
	if e.Err != nil {
		n.note(ReasonRelayRefused, n.relayID(), board.Version{})
		r.state = relayIdle
		r.vacant = n.now.Add(n.jitter(2 * acquireWait * 2 / 3))
		return
	}
	r.state = relayHolding
	r.fencing = uint64(e.Fencing)
	r.seq = 0
	r.renewed = n.now
	r.renewAt = n.now.Add(renewInterval)
	r.after = 0
	r.readAt = n.now
	n.note(ReasonRelayTaken, n.relayID(), board.Version{Epoch: r.fencing})
	n.showRelay(n.cfg.ID)
	n.hold()
}

// showRelay writes the relay record of the zone.
func (n *Node) showRelay(holder string) {
	r := &n.relay
	r.seq++
	r.shownAt = n.now
	rec := board.Record{
		ID:      n.relayID(),
		Version: board.Version{Epoch: r.fencing, Seq: r.seq},
		Value:   board.Relay{Balancer: holder, Applied: r.after},
	}
	if n.merge(rec) {
		// Other zones learn who holds the role, and not that the holder still does.
		n.spread(rec, netip.AddrPort{}, r.seq == 1 || holder == "")
	}
}

// hold renews the lease, shows that the role is held and keeps one read of the store waiting.
func (n *Node) hold() {
	r := &n.relay
	if n.now.Sub(r.renewed) > LeaseTime {
		n.lose()
		return
	}
	if due(n.now, r.renewAt) {
		r.renewAt = n.now.Add(renewInterval)
		n.emit(RenewLease{})
	}
	if n.now.Sub(r.shownAt) >= refreshInterval {
		n.showRelay(n.cfg.ID)
	}
	if !r.reading && due(n.now, r.readAt) {
		r.reading = true
		n.emit(ReadStore{After: r.after})
	}
}

func (n *Node) lose() {
	n.note(ReasonRelayLost, n.relayID(), board.Version{Epoch: n.relay.fencing})
	n.relay.state = relayIdle
	n.relay.vacant = n.now.Add(n.jitter(acquireWait))
	n.emit(StopReading{})
	n.showRelay("")
}

// release gives the role up because the process stops.
func (n *Node) release() {
	if n.relay.state != relayHolding {
		return
	}
	n.lose()
	n.emit(ReleaseLease{})
}

func (n *Node) renewAnswer(e RenewAnswer) {
	r := &n.relay
	switch {
	case r.state != relayHolding:
	case e.Err == nil:
		r.renewed = n.now
	case errors.Is(e.Err, store.ErrNotFound):
		n.lose()
	}
}

// storeRead takes what was read; records of a lapsed relay carry store revisions and cannot revert anything.
func (n *Node) storeRead(e StoreRead) {
	r := &n.relay
	r.reading = false
	if e.Err != nil {
		if errors.Is(e.Err, store.ErrCompacted) {
			r.after = 0
		}
		n.note(ReasonStoreFailed, n.relayID(), board.Version{})
		r.readAt = n.now.Add(n.jitter(readWait))
		return
	}
	for _, rec := range e.Records {
		n.take(rec, netip.AddrPort{}, false)
	}
	if e.Revision >= r.after {
		r.after = e.Revision
	}
	n.synchronised()
	r.readAt = n.now
	if r.state == relayHolding {
		n.hold()
	}
}
