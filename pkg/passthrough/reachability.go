package passthrough

import "time"

const (
	// openingTimeout is how long a backend server on the same host may take to answer an opening packet.
	openingTimeout = 100 * time.Millisecond
	// trialInterval is the interval between opening packets that are delivered to an unreachable backend server as a
	// trial.
	trialInterval = 250 * time.Millisecond
)

// reachability tracks whether the backend server answers; in the zero value this is not known.
//
// A host may run an agent whose backend server has not started or has stopped. Such an agent has no load, so without
// this check all new flows would go to it.
type reachability struct {
	confirmed       bool      // the backend server has been seen, and has not rejected an opening packet since
	rejected        bool      // it rejected an opening packet after it was last seen
	lastTrialAt     time.Time // when an opening packet was last delivered or rejected
	unansweredSince time.Time // when the oldest unanswered opening packet was delivered; zero if there is none
}

// onSeen records a heartbeat or packet of the backend server.
func (r *reachability) onSeen(time.Time) { *r = reachability{confirmed: true} }

// onDelivered records the delivery of an opening packet.
func (r *reachability) onDelivered(now time.Time) {
	r.lastTrialAt = now
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
}

// onRejected records that the backend server rejected an opening packet.
func (r *reachability) onRejected(now time.Time) {
	*r = reachability{rejected: true, lastTrialAt: now}
}

// unreachable reports whether the backend server rejected an opening packet or did not answer one in time.
func (r *reachability) unreachable(now time.Time) bool {
	if !r.unansweredSince.IsZero() && now.Sub(r.unansweredSince) > openingTimeout {
		return true
	}
	return r.rejected
}

// allowsOpening reports whether an opening packet may be delivered: always if the backend server is confirmed, one at a
// time if it has not been seen yet, and one per trialInterval if it is unreachable.
func (r *reachability) allowsOpening(now time.Time) bool {
	switch {
	case r.unreachable(now):
		return now.Sub(r.lastTrialAt) >= trialInterval
	case r.confirmed:
		return true
	}
	return r.unansweredSince.IsZero()
}
