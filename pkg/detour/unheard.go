package detour

import (
	"net/netip"
	"time"
)

const (
	// unheardAsks and unheardAfter are how many datagrams to other zones must stay unanswered, and for how long, before
	// nothing counts as reaching them. Any answer from another zone starts the count again;
	// what agents send unasked, such as announcements to seeds, does not.
	unheardAsks  = 8
	unheardAfter = 300 * time.Millisecond
	// unheardTTL is how long the report of an agent that it is checked from another zone counts. Agents without an answer
	// are checked at absentInterval.
	unheardTTL = 2 * absentInterval
	// unheardTrials is how many peers of each other zone, of those that have no unanswered datagram, get a trial before
	// nothing counts as reaching them: the datagrams before may all have gone to hosts that have failed.
	unheardTrials = 16
	// trialTimeout is how long the trials may stay unanswered.
	trialTimeout = silentAfter
)

// outside is what a planner knows of all other zones together: whether anything from its own zone is heard there.
//
// If nothing of what the zone sends reaches the others, there is no relay. Then silence has two possible causes: the
// others have failed, or the own zone is unheard. Balancers of other zones tell them apart: they check agents of this
// zone, because these do not answer them, and the checks arrive.
type outside struct {
	unanswered int
	since      time.Time
	// checkedAt is when an agent of the own zone last reported that it is checked from another zone.
	checkedAt time.Time
	// triedAt is when trials were sent; zero if there were none since the last answer.
	triedAt time.Time
	unheard bool
}

func (o *outside) asked(now time.Time) {
	if o.unanswered == 0 {
		o.since = now
	}
	o.unanswered++
}

func (o *outside) answered() { o.unanswered, o.triedAt = 0, time.Time{} }

// suspected reports whether the own zone seems to be unheard. A check from before the silence does not show that what
// others send arrives now.
func (o *outside) suspected(now time.Time) bool {
	return o.unanswered >= unheardAsks && now.Sub(o.since) >= unheardAfter && o.checkedAt.After(o.since) && now.Sub(o.checkedAt) < unheardTTL
}

// CheckedFromOutside records the report of an agent that a balancer of another zone checks it.
func (p *Planner) CheckedFromOutside(now time.Time, agent netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q, ok := p.peers[agent]; ok && q.zone == p.zone {
		p.outside.checkedAt = now
	}
}

// Unheard reports whether nothing that the own zone sends reaches another zone, although what others send arrives. Callers
// are then better served by balancers of other zones.
func (p *Planner) Unheard() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outside.unheard
}

// judgeOutside updates whether the own zone is unheard.
func (p *Planner) judgeOutside(now time.Time) {
	o := &p.outside
	suspected := o.suspected(now)
	if suspected && o.triedAt.IsZero() {
		o.triedAt = now
		for _, z := range p.zoneOrder {
			if z.name != p.zone {
				p.probe(now, z.peers, unheardTrials)
			}
		}
	}
	unheard := suspected && now.Sub(o.triedAt) >= trialTimeout
	if unheard == o.unheard {
		return
	}
	o.unheard = unheard
	p.pending = append(p.pending, ZoneUnheard{Zone: p.zone, Unheard: unheard})
}
