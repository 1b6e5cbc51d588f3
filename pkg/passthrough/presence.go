package passthrough

import "time"

const (
	// answerTime is how long a backend server on the same host may take to answer an opening packet.
	answerTime = 100 * time.Millisecond
	// trialInterval is how often an absent backend server gets one opening packet.
	trialInterval = 250 * time.Millisecond
)

// presence is whether the backend server answers; the zero value does not know it.
//
// A host may run an agent whose backend server has not started or is gone. Such an agent has no load, so without
// presence all new flows would go to it.
type presence struct {
	confirmed bool      // the backend server has been seen since the last sign of its absence
	refused   bool      // it gave a packet back, or did not answer, after it was last seen
	trial     time.Time // when an unconfirmed backend server last got a packet
	since     time.Time // when the oldest packet without an answer was delivered; zero when there is none
}

// seen notes a heartbeat or packet of the backend server.
func (p *presence) seen(time.Time) { *p = presence{confirmed: true} }

// delivered notes that the backend server gets an opening packet.
func (p *presence) delivered(now time.Time) {
	p.trial = now
	if p.since.IsZero() {
		p.since = now
	}
}

// returned notes that the backend server gave an opening packet back.
func (p *presence) returned(now time.Time) {
	*p = presence{refused: true, trial: now}
}

// absent reports whether the backend server is known not to take packets.
func (p *presence) absent(now time.Time) bool {
	if !p.since.IsZero() && now.Sub(p.since) > answerTime {
		return true
	}
	return p.refused
}

// allows reports whether the backend server may get an opening packet: any number when it is present, and otherwise
// one at a time.
func (p *presence) allows(now time.Time) bool {
	switch {
	case p.absent(now):
		return now.Sub(p.trial) >= trialInterval
	case p.confirmed:
		return true
	}
	return p.since.IsZero()
}
