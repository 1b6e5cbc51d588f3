package detour

import (
	"net/netip"
	"time"
)

// peer is what a planner knows of another process.
type peer struct {
	address netip.AddrPort
	zone    string
	asks    asks
	// answeredAt is when the last direct answer was received, silentSince when the oldest datagram without one was sent,
	// and unanswered how many were sent since.
	answeredAt  time.Time
	silentSince time.Time
	unanswered  int
	// checkedAt is when the last check was sent, checks how many in a row have not been answered.
	checkedAt time.Time
	checks    int
	// relay is the one of the detour, or else of the last answered check.
	relay netip.AddrPort
	// undelivered counts answers through relays since the last direct datagram of the peer.
	undelivered int
	// lostSince is when the first datagram that did not arrive was sent.
	lostSince time.Time
	// there is the direction to the peer, back the one from it.
	there, back direction
	// sampled means that the peer stands for others of its zone while a link is down.
	sampled bool
}

// detoured reports whether datagrams of at least one direction need a relay.
func (p *peer) detoured() bool { return p.there.dead || p.back.dead }

// silent reports whether the peer has left enough datagrams unanswered to be checked.
func (p *peer) silent(now time.Time) bool {
	return p.unanswered >= silentAsks && now.Sub(p.silentSince) >= silentAfter
}

// canRelay reports whether the peer has answered lately.
func (p *peer) canRelay(now time.Time) bool {
	return !p.detoured() && !p.answeredAt.IsZero() && now.Sub(p.answeredAt) < relayAnswerTTL &&
		(p.silentSince.IsZero() || now.Sub(p.silentSince) < silentAfter)
}

func (p *peer) asked(now time.Time) {
	p.asks.add(now)
	p.unanswered++
	if p.silentSince.IsZero() {
		p.silentSince = now
	}
}

func (p *peer) answered(now time.Time) {
	p.answeredAt = now
	p.silentSince, p.unanswered, p.checks = time.Time{}, 0, 0
}

// maxAsks is how many times of asks are kept; more than lostAsks and those that were sent after the last one arrived.
const maxAsks = 16

// asks holds the times of the last datagrams that require an answer; the zero value is empty.
type asks struct {
	times [maxAsks]time.Time
	next  int
}

func (a *asks) add(now time.Time) {
	a.times[a.next] = now
	a.next = (a.next + 1) % maxAsks
}

// between returns how many datagrams were sent after a time and before another, and when the first of them was sent.
func (a *asks) between(after, before time.Time) (n int, first time.Time) {
	for _, at := range a.times {
		if at.IsZero() || !at.After(after) || !at.Before(before) {
			continue
		}
		n++
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return n, first
}
