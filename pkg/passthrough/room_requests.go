package passthrough

import (
	"time"

	"github.com/bramleymast/bramleymast/pkg/concurrency"
)

// RequestOutcome is how a request ended. Its text is the value of the reason label of a metric.
type RequestOutcome string

// Outcomes of requests.
const (
	RequestAnswered RequestOutcome = "answered"
	RequestFailed   RequestOutcome = "failed"
	// RequestHung means that there was no answer for hangTimeout.
	RequestHung RequestOutcome = "hung"
)

// trackRequests makes the room count every request of a flow and not only the first one.
func (r *room) trackRequests() {
	t := newRequestTracker()
	r.requests = &t
}

// onOpening records that an opening packet is delivered.
func (r *room) onOpening(now time.Time, seg Segment) {
	if r.requests == nil {
		r.pending[seg.Flow()] = pendingRequest{since: now}
		return
	}
	r.requests.onOpening(now, seg)
	r.capacity.setInProgress(now, r.requests.processing())
}

// onCallerPacket records that a packet of an open flow is delivered.
func (r *room) onCallerPacket(now time.Time, seg Segment) {
	if r.requests != nil {
		r.requests.onCallerPacket(now, seg)
		r.capacity.setInProgress(now, r.requests.processing())
		return
	}
	p, ok := r.pending[seg.Flow()]
	switch {
	case ok && seg.Has(FlagReset):
		delete(r.pending, seg.Flow())
	case ok && seg.Size() > 0 && !p.processing:
		r.pending[seg.Flow()] = pendingRequest{since: now, processing: true}
	}
}

// onServerPacket records a packet of the backend server; failed means that it starts the response to a failed request.
func (r *room) onServerPacket(now time.Time, seg Segment, failed bool) {
	if r.requests != nil {
		r.expireRequests(now)
		r.onOutcome(now, seg, r.requests.onServerPacket(now, seg, failed))
		return
	}
	if seg.Size() == 0 && !seg.Has(FlagReset) && !seg.Has(FlagFinish) {
		return
	}
	if p, ok := r.pending[seg.Flow()]; ok && p.processing && !p.timedOut {
		r.failureRate.add(now, failed || seg.Size() == 0)
		r.answered(now.Sub(p.since))
	}
	delete(r.pending, seg.Flow())
}

// onOutcome applies the end of a request to failure rate, answer times and capacity.
func (r *room) onOutcome(now time.Time, seg Segment, o requestOutcome) {
	if o.ended && !o.hung {
		r.failureRate.add(now, o.failed)
		r.answered(o.took)
		r.count(o)
	}
	if o.ended && !o.failed {
		a := concurrency.Answer{Route: seg.Flow().Address(), InProgress: o.processing}
		if o.exact {
			a.Took = o.took
		}
		r.capacity.add(now, a)
	}
	r.capacity.setInProgress(now, r.requests.processing())
}

// count passes an outcome on to the observer. A hung request is counted once, whatever becomes of it.
func (r *room) count(o requestOutcome) {
	if r.observeOutcome == nil {
		return
	}
	switch {
	case o.hung:
		r.observeOutcome(RequestHung)
	case o.failed:
		r.observeOutcome(RequestFailed)
	default:
		r.observeOutcome(RequestAnswered)
	}
}

func (r *room) answered(took time.Duration) {
	if r.shortage != nil {
		r.shortage.onAnswer(took)
	}
	if r.observeAnswer != nil {
		r.observeAnswer(took)
	}
}

// onEnd records that the backend server does not hold a flow.
func (r *room) onEnd(now time.Time, f FlowID) {
	if r.requests == nil {
		delete(r.pending, f)
		return
	}
	r.requests.onEnd(f)
	r.capacity.setInProgress(now, r.requests.processing())
}

// expireRequests counts requests that hang as failed and drops those that are lost.
func (r *room) expireRequests(now time.Time) {
	for range r.requests.expire(now) {
		r.failureRate.add(now, true)
		r.count(requestOutcome{hung: true})
	}
	r.capacity.setInProgress(now, r.requests.processing())
}

// dropRequests forgets all requests, because the run of the backend server that had them has ended.
func (r *room) dropRequests(now time.Time) {
	if r.requests != nil {
		r.trackRequests()
		r.capacity.setInProgress(now, 0)
	}
	if r.shortage != nil {
		r.shortage.dropHeld()
	}
}

func (r *room) sweepRequests(now time.Time, idle time.Duration) {
	if r.requests != nil {
		r.requests.sweep(now, idle)
	}
}

func (r *room) setSlots(slots int) {
	r.slots = slots
	if r.capacity.estimator != nil {
		r.capacity.estimator.SetSlots(slots)
	}
}
