package detour

import (
	"net/netip"
	"time"
)

const (
	// lostPeers is how many peers of a zone must be out of direct reach before the whole zone counts as such, or all of
	// them if there are fewer.
	lostPeers = 3
	// judgedPeers is how many peers of a large zone must be out of direct reach or silent, instead of half of them.
	judgedPeers = 32
	// sampleSize is how many detours to a zone are verified all the time while a link is down. They stand for the others,
	// so that their verification needs half of the checks.
	sampleSize = 24
	// othersPerSecond is how many of the other detours are verified each second.
	othersPerSecond = 25
	// releasedAnswers is how many released peers must answer for each one that does not. On a link that loses 5% in each
	// direction, one of ten does not.
	releasedAnswers = 8
	// zoneProbes is how many peers get a trial at a time while a link may be down, so that all are known soon.
	zoneProbes = 4
	// shareInterval is the interval between reports of the detours to a zone, which expire after ShareTTL.
	shareInterval = time.Second
	// ShareTTL is how long a detour that another process has shared is used.
	ShareTTL = 2500 * time.Millisecond
	// AnswerTTL is how long a peer answers through the relay of a check.
	AnswerTTL = 3 * verifyInterval
	// maxShared limits the detours in one report to those that fit into one datagram.
	maxShared = 100
)

// zoneState is what a planner knows of the links between its zone and another.
type zoneState struct {
	name  string
	peers []*peer
	// thereDown means that nothing passes directly to the zone, backDown that nothing passes from it.
	thereDown, backDown bool
	sharedAt            time.Time
	// checked counts the silent peers that are being checked.
	checked int
	// sampled are the peers that stand for the others while a link is down, and until these are released.
	sampled []*peer
	// released are the peers that were released last, at releasedAt, after the link came up.
	released   []*peer
	releasedAt time.Time
}

// judgeZone finds out whether nothing passes directly to or from a whole zone. Then all of its peers get a detour,
// without a check of each, and the processes of the own zone are told.
func (p *Planner) judgeZone(now time.Time, z *zoneState) {
	if z.name == p.zone {
		return
	}
	p.judgeLink(now, z, &z.thereDown, peerThere, LinkDown{From: p.zone, To: z.name}, LinkUp{From: p.zone, To: z.name})
	p.judgeLink(now, z, &z.backDown, peerBack, LinkDown{From: z.name, To: p.zone}, LinkUp{From: z.name, To: p.zone})
	if !z.thereDown && !z.backDown {
		p.release(now, z)
		return
	}
	z.released = nil
	p.probe(now, z.peers, zoneProbes)
	for _, q := range z.peers {
		p.detourUnchecked(now, z, q)
	}
	z.sample()
	if z.thereDown {
		p.share(now, z)
	}
}

// peerThere and peerBack return a direction of a peer.
func peerThere(q *peer) *direction { return &q.there }
func peerBack(q *peer) *direction  { return &q.back }

// judgeLink finds out whether a link is down: enough peers have lost what was sent in this direction, most others are
// silent, and none has answered since.
func (p *Planner) judgeLink(now time.Time, z *zoneState, isDown *bool, of func(*peer) *direction, down LinkDown, up LinkUp) {
	if *isDown {
		z.sample()
		if 2*z.lostSampled(of) < min(sampleSize, len(z.peers)) {
			*isDown = false
			p.pending = append(p.pending, up)
		}
		return
	}
	lost, silent, since := z.count(of)
	if lost == 0 || lost < min(lostPeers, len(z.peers)) || z.answeredAfter(since.Add(transitTime)) {
		return
	}
	if lost+silent < min(judgedPeers, (len(z.peers)+1)/2) {
		p.probe(now, z.peers, zoneProbes)
		return
	}
	*isDown = true
	p.pending = append(p.pending, down)
}

// count returns how many peers have lost datagrams in a direction, how many others are silent, and since when datagrams
// are lost.
func (z *zoneState) count(of func(*peer) *direction) (lost, silent int, since time.Time) {
	for _, q := range z.peers {
		switch {
		case of(q).dead:
			lost++
			if since.IsZero() || q.lostSince.Before(since) {
				since = q.lostSince
			}
		case q.unanswered > 0:
			silent++
		}
	}
	return lost, silent, since
}

// answeredAfter reports whether a peer has answered directly after a time.
func (z *zoneState) answeredAfter(t time.Time) bool {
	for _, q := range z.peers {
		if q.answeredAt.After(t) {
			return true
		}
	}
	return false
}

// detourUnchecked uses a detour to a silent peer because a link between its zone and the own one is down.
func (p *Planner) detourUnchecked(now time.Time, z *zoneState, q *peer) {
	there, back := z.thereDown && q.there.canFail(now), z.backDown && q.back.canFail(now)
	if q.unanswered == 0 || !there && !back {
		return
	}
	if !q.detoured() {
		relay, ok := p.relayFor(now, q)
		if !ok {
			return
		}
		q.lostSince, q.relay = q.silentSince, relay
	}
	if there {
		q.there.fail(now)
	}
	if back {
		q.back.fail(now)
	}
	p.changed(now, q)
}

// keepSample finds the peers of the sample after the peers of the zone have changed.
func (z *zoneState) keepSample() {
	z.sampled = nil
	for _, q := range z.peers {
		if q.sampled {
			z.sampled = append(z.sampled, q)
		}
	}
}

// sample chooses the detours that stand for the others of the zone, in place of those of peers that have left.
func (z *zoneState) sample() {
	if len(z.sampled) >= sampleSize {
		return
	}
	for _, q := range z.peers {
		if len(z.sampled) < sampleSize && q.detoured() && !q.sampled {
			q.sampled = true
			z.sampled = append(z.sampled, q)
		}
	}
}

// endSample verifies each detour for itself again.
func (z *zoneState) endSample() {
	for _, q := range z.sampled {
		q.sampled = false
	}
	z.sampled, z.released = nil, nil
}

// lostSampled returns how many peers of the sample have lost datagrams in a direction.
func (z *zoneState) lostSampled(of func(*peer) *direction) int {
	n := 0
	for _, q := range z.sampled {
		if of(q).dead {
			n++
		}
	}
	return n
}

// release uses the direct way to the peers outside the sample again, after the link has come up. Each batch is twice as
// large as the one before, and follows when nearly all of that have answered; so a zone of which a part is still out of reach
// keeps most of its detours, which then end one by one.
func (p *Planner) release(now time.Time, z *zoneState) {
	if z.sampled == nil {
		return
	}
	n := len(z.sampled)
	if z.released != nil {
		if now.Sub(z.releasedAt) < verifyInterval {
			p.probe(now, z.released, zoneProbes)
			return
		}
		if !z.releasedAnswer(now) {
			z.endSample()
			return
		}
		n = 2 * len(z.released)
	}
	z.released, z.releasedAt = nil, now
	for _, q := range z.peers {
		if q.sampled || !q.detoured() || len(z.released) == n {
			continue
		}
		q.there.release(now)
		q.back.release(now)
		p.changed(now, q)
		z.released = append(z.released, q)
	}
	if z.released == nil {
		z.endSample()
	}
}

// releasedAnswer reports whether nearly all released peers that were asked have answered.
func (z *zoneState) releasedAnswer(now time.Time) bool {
	answered, silent := 0, 0
	for _, q := range z.released {
		switch {
		case q.answeredAt.After(z.releasedAt):
			answered++
		case q.unanswered > 0 && now.Sub(q.silentSince) >= silentAfter:
			silent++
		}
	}
	return answered > releasedAnswers*silent
}

// standIn returns the peer of the sample that stands for a detour: it uses the same relay, whose failure its checks show.
// It returns nil if the detour is verified for itself, as one whose last check was not answered.
func (p *Planner) standIn(q *peer) *peer {
	sampled := p.zones[q.zone].sampled
	if q.sampled || q.checks > 0 || len(sampled) < sampleSize {
		return nil
	}
	return sampled[addressHash(q.address)%uint64(len(sampled))]
}

// share tells processes of the own zone the relays to a zone.
func (p *Planner) share(now time.Time, z *zoneState) {
	if now.Sub(z.sharedAt) < shareInterval {
		return
	}
	z.sharedAt = now
	var s Share
	for _, q := range z.peers {
		if q.there.dead && len(s.Detours) < maxShared {
			s.Detours = append(s.Detours, Detour{To: q.address, Relay: q.relay})
		}
	}
	own, ok := p.zones[p.zone]
	if !ok {
		return
	}
	s.To = make([]netip.AddrPort, 0, len(own.peers))
	for _, q := range own.peers {
		if !q.detoured() {
			s.To = append(s.To, q.address)
		}
	}
	p.pending = append(p.pending, s)
}
