package passthrough

import (
	"math"
	"time"
)

// SetPriorities makes the admitter order waiting requests by the priority of their routes. It must be called before the
// admitter is used. It includes TrackRequests.
func (ad *Admitter) SetPriorities() {
	ad.TrackRequests()
	ad.room.shortage = new(shortage)
}

// Hold decides whether a packet of an open flow waits, which it does only while the backend server has no free slot or
// other requests wait. A packet that is not held is to be decided on like any other. Held packets are returned by
// DequeueByPriority, so the same goroutine or lock must deliver them and the packets that are not held.
func (ad *Admitter) Hold(now time.Time, p FlowPacket) Held {
	lf, known := ad.flows.Get(now, p.Segment.Flow())
	if !known || !lf.ownsPacket(p.Segment) || ad.backendGone.Load() {
		return NotHeld
	}
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if ad.room.shortage == nil {
		return NotHeld
	}
	held := ad.room.shortage.hold(now, p, ad.room.hasFreeSlot(now), ad.room.requests.startsRequest(p.Segment))
	if held == HeldRequest {
		ad.room.requests.onHeld(now, p.Segment.Flow())
	}
	return held
}

// DequeueByPriority removes and returns what no longer waits. It replaces Dequeue after SetPriorities.
func (ad *Admitter) DequeueByPriority(now time.Time) Dequeued {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	s := ad.room.shortage
	var d Dequeued
	if s.isIdle() {
		return d
	}
	ad.room.queue.expire(now)
	for _, r := range s.released(now, ad.room.hasFreeSlot(now)) {
		ad.release(now, &d, r)
	}
	if reason, closed := ad.room.closed(now); closed {
		for _, p := range ad.room.queue.dequeueAll(now) {
			s.remove(p.Segment.Flow())
			d.PassOn = append(d.PassOn, Rerouted{p, reason})
		}
	}
	for ad.startNext(now, &d) {
	}
	d.LevelChanged = s.updateLevel(now)
	d.Level = s.level.Refused()
	return d
}

// startNext moves the request that gets capacity next to d, or returns false if there is no capacity or no request.
func (ad *Admitter) startNext(now time.Time, d *Dequeued) bool {
	s, r := ad.room.shortage, &ad.room
	f, h, ok := s.start(now, r.waitingAllowed(now))
	if !ok {
		return false
	}
	if !h.isOpening() {
		ad.release(now, d, h.release(now, ReleaseCapacity))
		return true
	}
	p, ok := r.queue.take(now, f)
	switch {
	case !ok:
	case !r.coldAllows(now):
		d.PassOn = append(d.PassOn, Rerouted{p, ReasonCold})
		return false
	default:
		ad.recordDelivery(now, p.Segment)
		d.Openings = append(d.Openings, p)
	}
	return true
}

func (ad *Admitter) release(now time.Time, d *Dequeued, r ReleasedRequest) {
	for i := range r.Packets {
		ad.room.onCallerPacket(now, r.Packets[i].Segment)
	}
	d.Requests = append(d.Requests, r)
}

// hasFreeSlot reports whether a request that is delivered now starts at once, or nearly so: one more than the slots keeps
// them busy while an answer and the next request cross.
func (r *room) hasFreeSlot(now time.Time) bool {
	r.expireRequests(now)
	return r.requests.delivered() < r.lateRequestLimit()
}

// waitingAllowed returns a function that reports whether a waiting request may be delivered now. A request on an open flow
// needs a slot. An opening packet needs a place among the requests in progress, which are then those that its own
// request follows; held requests of its priority and higher ones take theirs first.
func (r *room) waitingAllowed(now time.Time) allowedFunc {
	inProgress, hasSlot, awaitsLimits := r.inProgress(now), r.hasFreeSlot(now), r.awaitsLimits(now)
	ahead := make(map[int]int)
	return func(w waitingRequest, h *heldRequest, late bool) bool {
		if !h.isOpening() {
			return hasSlot
		}
		if awaitsLimits {
			return false
		}
		n, ok := ahead[w.Priority]
		if !ok {
			n = r.shortage.ahead(w.Priority)
			ahead[w.Priority] = n
		}
		if late {
			return inProgress+n < r.lateRequestLimit()
		}
		return inProgress+n < r.requestLimit()
	}
}

// heldAhead returns how many held requests go before an opening packet.
func (r *room) heldAhead(p OpeningPacket) int {
	if r.shortage == nil {
		return 0
	}
	return r.shortage.ahead(p.Priority)
}

// heldRequests returns the number of held requests.
func (r *room) heldRequests() int {
	if r.shortage == nil {
		return 0
	}
	return r.shortage.held
}

func (r *room) refusedPriority() uint8 {
	if r.shortage == nil {
		return 0
	}
	return uint8(min(r.shortage.level.Refused(), math.MaxUint8)) //nolint:gosec // bounded by min, never negative
}

// enqueue queues an opening packet.
func (r *room) enqueue(now time.Time, p OpeningPacket) Decision {
	p.IsRetry = p.IsRetry || r.queue.isRetry(p.Segment.Flow())
	if r.shortage != nil && !r.shortage.enqueueOpening(now, p) {
		return PassOn{ReasonBusy}
	}
	r.queue.enqueue(now, p)
	return Queued{}
}

// startsRequest reports whether a caller's packet starts a request. A packet of a flow without a record may belong to a
// request that was in progress before the agent started.
func (t *requestTracker) startsRequest(seg Segment) bool {
	f, known := t.flows[seg.Flow()]
	if !known || seg.Size() == 0 || seg.Has(FlagReset) || f.state == requestClosed || f.state.started() {
		return false
	}
	end := seg.Seq() + uint32(seg.Size()) //nolint:gosec // a packet is shorter than 64 KiB
	return !f.hasCaller || isAfter(end, f.callerNext)
}

// onHeld records that the request of a flow has arrived and waits, so that it is no longer expected.
func (t *requestTracker) onHeld(now time.Time, id FlowID) {
	if f, ok := t.flows[id]; ok && f.state == requestExpected {
		t.move(now, f, requestIdle)
	}
}

// forgetWaiting removes what waits on a flow that is opened anew or that the backend server does not hold.
func (r *room) forgetWaiting(f FlowID) {
	r.queue.remove(f)
	if r.shortage != nil {
		r.shortage.remove(f)
	}
}
