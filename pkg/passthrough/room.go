package passthrough

import (
	"time"

	"github.com/bramleymast/bramleymast/pkg/route"
)

const (
	// handshakeTimeout is several round trips to a caller. A caller that takes longer to send its request after the
	// handshake is assumed not to send one.
	handshakeTimeout = 80 * time.Millisecond
	// requestTimeout is how long a request without a response counts as in progress.
	requestTimeout = 2 * time.Second
	// maxBusyHops limits how often a packet is passed on because backend servers are busy. When all are busy, another
	// hop gains nothing and costs time at every agent.
	maxBusyHops = 1
)

// room decides whether the backend server has room for another request. It is not safe for concurrent use.
type room struct {
	pending      map[FlowID]pendingRequest
	queue        waitQueue
	reachability reachability
	failureRate  failureRate
	slots        int
	draining     bool
	zoneOut      bool
	coldUntil    time.Time
	coldLimit    SlidingWindowLimiter
	limits       route.ServiceLimits
	// limitsKnown means that the agent has a configuration, heard that the backend server has sent a heartbeat.
	// A restarted agent has neither at first, and its backend server may be cold.
	limitsKnown, heard bool
	started            time.Time
	observeAnswer      func(d time.Duration)
	// observeOutcome is called with the outcome of each tracked request; nil if nobody observes them.
	observeOutcome func(o RequestOutcome)
	// requests follows the requests of all flows; nil if only the first request of a flow counts.
	requests *requestTracker
	capacity learnedCapacity
	// shortage is nil unless requests are ordered by priority.
	shortage *shortage
}

func newRoom(started time.Time) room {
	return room{pending: make(map[FlowID]pendingRequest), slots: defaultSlots, started: started}
}

// pendingRequest is a request that the backend server is processing, or is expected to receive after a handshake.
type pendingRequest struct {
	since      time.Time // when the opening packet or, if processing, the request was delivered
	processing bool
	timedOut   bool // exceeded hangTimeout and was counted as failed
}

// inProgress returns the number of pending requests, after removing those that have timed out. It counts a request
// without a response as failed after hangTimeout.
func (r *room) inProgress(now time.Time) int {
	if r.requests != nil {
		r.expireRequests(now)
		return r.requests.inProgress()
	}
	for f, p := range r.pending {
		limit := handshakeTimeout
		if p.processing {
			limit = requestTimeout
		}
		if p.processing && !p.timedOut && now.Sub(p.since) > hangTimeout {
			p.timedOut = true
			r.pending[f] = p
			r.failureRate.add(now, true)
		}
		if now.Sub(p.since) > limit {
			delete(r.pending, f)
		}
	}
	return len(r.pending)
}

// requestLimit is the maximum number of requests in progress: enough that no slot is idle while a caller's request is
// on its way, and fewer than a backend server queues.
func (r *room) requestLimit() int {
	limit := 2*r.slots + 2
	if l, known := r.capacity.requestLimit(); known {
		return min(l, limit)
	}
	return limit
}

// lateRequestLimit is the maximum number of requests in progress when a late packet is admitted: it may take a free
// slot, but not a place ahead of callers that can still be answered in time.
func (r *room) lateRequestLimit() int {
	if l, known := r.capacity.limit(); known {
		return l + 1
	}
	return r.slots + 1
}

func (r *room) admit(now time.Time, p OpeningPacket) Decision {
	if reason, closed := r.closed(now); closed {
		return PassOn{reason}
	}
	if p.Unconfigured && now.Before(r.coldUntil) {
		return PassOn{ReasonCold} // Its cold request rate is not known without a configuration.
	}
	if !p.Unconfigured && r.awaitsLimits(now) {
		return r.enqueue(now, p)
	}
	r.capacity.onOpening(now, p.freshPeriod())
	limit := r.requestLimit()
	if p.isLate() {
		limit = r.lateRequestLimit()
	}
	if r.inProgress(now)+r.heldAhead(p) >= limit {
		if p.Path.Len() > 0 && p.Hops < maxBusyHops && !p.isLate() {
			return PassOn{ReasonBusy}
		}
		return r.enqueue(now, p)
	}
	if !r.coldAllows(now) {
		return PassOn{ReasonCold}
	}
	return Deliver{}
}

// awaitsLimits reports whether the backend server is cold, or may be, and its cold request rate is not known yet. A
// restarted agent fetches the configuration from the balancer that sends it the first message.
func (r *room) awaitsLimits(now time.Time) bool { return !r.limitsKnown && r.mayBeCold(now) }

// mayBeCold reports whether the backend server is cold or no heartbeat has shown yet that it is not.
func (r *room) mayBeCold(now time.Time) bool { return !r.heard || now.Before(r.coldUntil) }

// coldAllows reports whether the rate limit of a cold backend server allows another request, and counts it if it does.
// In the first period an agent allows half of the rate, because an earlier process may have used it up.
func (r *room) coldAllows(now time.Time) bool {
	limit := r.limits.ColdRequestsPerSecond
	if limit <= 0 || !r.mayBeCold(now) {
		return true
	}
	if now.Sub(r.started) < window {
		limit /= 2
	}
	return r.coldLimit.Allow(now, max(1, int(limit)))
}

// closed reports whether the agent accepts no flows, and why.
func (r *room) closed(now time.Time) (Reason, bool) {
	switch {
	case r.draining:
		return ReasonDraining, true
	case r.zoneOut:
		return ReasonZoneOut, true
	case !r.reachability.allowsOpening(now):
		return ReasonAbsent, true
	}
	return "", false
}
