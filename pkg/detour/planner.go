package detour

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// silentAfter is several round trips between zones.
	silentAfter = 150 * time.Millisecond
	// silentAsks is how many datagrams without an answer make a peer silent. On a link that loses 5% in each direction,
	// one of a hundred pairs stays unanswered; it costs a check.
	silentAsks = 2
	// lostAsks is how many datagrams in a row must be lost before a detour is used. A link that loses 5% loses three in
	// a row once in 8,000 times.
	lostAsks = 3
	// transitTime is the time that a datagram may be on its way, directly or through a relay.
	transitTime = 50 * time.Millisecond
	// checkInterval is the interval between checks of a silent peer.
	checkInterval = 100 * time.Millisecond
	// maxChecks is how many checks without an answer show that the peer is down; then it is checked at absentInterval.
	maxChecks = 6
	// absentInterval is the interval between checks of a peer that no relay reaches.
	absentInterval = 2 * time.Second
	// verifyInterval is the interval between checks of a detour in use.
	verifyInterval = 500 * time.Millisecond
	// freshArrival is the age of a direct datagram that was sent just before the check.
	freshArrival = 2 * transitTime
	// relayChecks is how many checks in a row a relay in use may leave unanswered before another one is used.
	relayChecks = 2
	// lostChecks is how many checks in a row must be unanswered before a detour ends because no relay reaches the peer.
	lostChecks = 8
	// relayAnswerTTL is the age of the last answer of a peer that may be a relay. A peer is probed twice as often.
	relayAnswerTTL = 1500 * time.Millisecond
	// checksPerSecond limits the cost of checks for a balancer with many agents.
	checksPerSecond = 100
	// maxCheckedPerZone limits how many silent peers of a zone are checked at the same time. A few suffice to find out
	// that nothing passes to the zone.
	maxCheckedPerZone = 4
)

// Planner decides which peers of a process are reached through a relay. It is safe for concurrent use.
type Planner struct {
	// seed lets processes check different peers of a zone first.
	seed  uint64
	zone  string
	table *Table

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	order []*peer // by zone and address; in each zone it begins with other peers in each process
	// first is the index in order at which the next call of Tick begins, so that checks are limited for all alike.
	first int
	zones map[string]*zoneState
	// zoneOrder holds the zones in the order of their first peers.
	zoneOrder []*zoneState
	checks    Limiter
	// others limits the checks of detours that samples stand for.
	others Limiter
	// limited counts the checks that the limits have refused.
	limited int
	outside outside
	// linksDown means that a link to or from another zone was down at the last call of Tick, or has come up lately.
	linksDown bool
	// pending holds actions that the next call of Tick returns.
	pending []Action
}

// NewPlanner returns the planner of a process with an address in a zone, which writes the detours in use into the table.
func NewPlanner(self netip.AddrPort, zone string, table *Table) *Planner {
	return &Planner{seed: addressHash(self), zone: zone, table: table, peers: make(map[netip.AddrPort]*peer), zones: make(map[string]*zoneState), checks: Limiter{Rate: checksPerSecond}, others: Limiter{Rate: othersPerSecond}}
}

// SetPeers replaces the peers, with the zone of each. It keeps what is known of those that stay.
func (p *Planner) SetPeers(zones map[netip.AddrPort]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.peers {
		if _, ok := zones[a]; !ok {
			delete(p.peers, a)
			p.table.Remove(a)
		}
	}
	old := p.zones
	p.zones = make(map[string]*zoneState)
	p.order, p.zoneOrder = p.order[:0], p.zoneOrder[:0]
	for _, a := range slices.SortedFunc(maps.Keys(zones), netip.AddrPort.Compare) {
		zone := zones[a]
		q, ok := p.peers[a]
		if !ok || q.zone != zone {
			p.table.Remove(a)
			q = &peer{address: a, zone: zone}
			p.peers[a] = q
		}
		z, ok := p.zones[zone]
		if !ok {
			z = &zoneState{name: zone}
			if o, ok := old[zone]; ok {
				z.thereDown, z.backDown, z.sharedAt = o.thereDown, o.backDown, o.sharedAt
				z.released, z.releasedAt = o.released, o.releasedAt
			}
			p.zones[zone] = z
			p.zoneOrder = append(p.zoneOrder, z)
		}
		z.peers = append(z.peers, q)
	}
	for _, z := range p.zoneOrder {
		n := p.seed % uint64(len(z.peers))
		p.order = append(append(p.order, z.peers[n:]...), z.peers[:n]...)
		z.peers = p.order[len(p.order)-len(z.peers):]
		z.keepSample()
		z.released = slices.DeleteFunc(z.released, func(q *peer) bool { return p.peers[q.address] != q })
	}
	p.first = 0
}

// Asked records that a datagram that requires an answer was sent to a peer.
func (p *Planner) Asked(now time.Time, a netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q, ok := p.peers[a]; ok {
		p.asked(now, q)
	}
}

func (p *Planner) asked(now time.Time, q *peer) {
	q.asked(now)
	if q.zone != p.zone {
		p.outside.asked(now)
	}
}

func (p *Planner) answered(now time.Time, q *peer) {
	if q.zone != p.zone {
		p.outside.answered()
	}
	if !q.there.dead {
		q.answered(now)
	}
}

// Received records a datagram that arrived directly from a peer. isAnswer means that the peer sends it only in reply.
func (p *Planner) Received(now time.Time, a netip.AddrPort, isAnswer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.peers[a]
	if !ok {
		return
	}
	q.undelivered = 0
	if isAnswer {
		p.answered(now, q)
	}
	if q.back.pass(now) {
		p.changed(now, q)
	}
}

// Checked records the answer to a check that arrived through a relay. age is the time since the peer last received a
// datagram directly from this process.
func (p *Planner) Checked(now time.Time, a, relay netip.AddrPort, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.peers[a]
	if !ok {
		return
	}
	q.checks = 0
	p.outside.answered()
	if r, ok := p.peers[relay]; ok && !r.detoured() {
		r.answered(now)
	}
	if !q.detoured() {
		q.relay = relay
	}
	q.undelivered++
	changed := p.judgeThere(now, q, age)
	if q.undelivered > lostAsks && q.back.fail(now) {
		changed = true
		if !q.there.dead {
			q.lostSince = q.silentSince
		}
	}
	if changed {
		p.changed(now, q)
	}
}

// judgeThere compares the age of the last datagram that arrived at a peer with those that were sent since, and reports
// whether this changes the way to the peer.
func (p *Planner) judgeThere(now time.Time, q *peer, age time.Duration) bool {
	after := now.Add(transitTime - age)
	if after.Before(q.answeredAt) {
		after = q.answeredAt
	}
	lost, first := q.asks.between(after, now.Add(-transitTime))
	switch {
	case lost >= lostAsks:
		if q.there.fail(now) {
			q.lostSince = first
			return true
		}
	case age < freshArrival:
		return q.there.pass(now)
	default:
		q.there.miss()
	}
	return false
}

// changed applies a change of the directions or the relay of a peer.
func (p *Planner) changed(now time.Time, q *peer) {
	if q.there.dead {
		p.table.Set(q.address, q.relay, time.Time{})
	} else {
		p.table.Remove(q.address)
	}
	if q.detoured() {
		p.pending = append(p.pending, Chosen{Peer: q.address, Relay: q.relay, Zone: q.zone, There: q.there.dead, Back: q.back.dead})
		return
	}
	q.answered(now)
	p.pending = append(p.pending, Ended{Peer: q.address, Zone: q.zone})
}

// lose ends the detour of a peer that no relay reaches.
func (p *Planner) lose(now time.Time, q *peer) {
	q.there, q.back = direction{changedAt: now}, direction{changedAt: now}
	q.checks = maxChecks
	p.table.Remove(q.address)
	p.pending = append(p.pending, Ended{Peer: q.address, Zone: q.zone, Lost: true})
}

// Tick returns what to do now. It is called every 50 ms.
func (p *Planner) Tick(now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, z := range p.zoneOrder {
		z.checked = 0
	}
	unreached, refused := false, -1
	for i := range p.order {
		at := (p.first + i) % len(p.order)
		q, limited := p.order[at], p.limited
		switch {
		case q.detoured():
			unreached = true
			p.verify(now, q)
		case q.silent(now):
			unreached = true
			p.checkSilent(now, q)
		}
		if refused < 0 && p.limited > limited {
			refused = at
		}
	}
	p.first = max(refused, 0)
	if unreached || p.linksDown {
		p.linksDown = false
		for _, z := range p.zoneOrder {
			p.judgeZone(now, z)
			p.linksDown = p.linksDown || z.thereDown || z.backDown || z.sampled != nil
		}
	}
	p.judgeOutside(now)
	actions := p.pending
	p.pending = nil
	return actions
}

// checkSilent checks a peer that does not answer.
func (p *Planner) checkSilent(now time.Time, q *peer) {
	interval := checkInterval
	if q.checks >= maxChecks {
		interval = absentInterval
	} else {
		z := p.zones[q.zone]
		z.checked++
		if z.checked > maxCheckedPerZone {
			return
		}
	}
	if now.Sub(q.checkedAt) < interval {
		return
	}
	if relay, ok := p.relayFor(now, q); ok {
		p.check(now, q, relay)
	}
}

// check sends a check with a direct trial before it, if the rate limit allows.
func (p *Planner) check(now time.Time, q *peer, relay netip.AddrPort) {
	if !p.allow(&p.checks, now) {
		return
	}
	q.checkedAt = now
	q.checks++
	p.asked(now, q)
	p.pending = append(p.pending, Trial{To: q.address}, Check{To: q.address, Relay: relay, AnswerByRelay: q.back.dead})
}

// allow takes a token of a limiter and counts refusals.
func (p *Planner) allow(l *Limiter, now time.Time) bool {
	ok := l.Allow(now)
	if !ok {
		p.limited++
	}
	return ok
}

// probe sends trials to at most n peers that have no unanswered datagram.
func (p *Planner) probe(now time.Time, peers []*peer, n int) {
	for _, q := range peers {
		if n == 0 {
			return
		}
		if q.unanswered == 0 && !q.detoured() {
			n--
			p.asked(now, q)
			p.pending = append(p.pending, Trial{To: q.address})
		}
	}
}

// verify checks a detour in use, and chooses another relay if the present one does not answer.
func (p *Planner) verify(now time.Time, q *peer) {
	due := now.Sub(q.checkedAt) >= verifyInterval
	if due && q.checks >= lostChecks {
		p.lose(now, q)
		return
	}
	if s := p.standIn(q); s != nil {
		p.follow(now, q, s)
		return
	}
	r, known := p.peers[q.relay]
	if !known || !r.canRelay(now) || due && q.checks >= relayChecks {
		relay, ok := p.relayFor(now, q)
		if ok && relay != q.relay {
			q.relay = relay
			p.changed(now, q)
			p.check(now, q, relay)
			return
		}
	}
	interval := verifyInterval
	if q.undelivered > 1 && !q.back.dead {
		interval = checkInterval // Find out soon whether the way back is down too.
	}
	if now.Sub(q.checkedAt) >= interval {
		p.check(now, q, q.relay)
	}
}

// follow uses the relay of the peer that stands for a detour, and checks the detour now and then.
func (p *Planner) follow(now time.Time, q, standIn *peer) {
	if standIn.detoured() && standIn.relay != q.relay && standIn.relay != q.address {
		q.relay = standIn.relay
		p.changed(now, q)
	}
	if now.Sub(q.checkedAt) >= verifyInterval && p.allow(&p.others, now) {
		p.check(now, q, q.relay)
	}
}
