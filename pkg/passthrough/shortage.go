package passthrough

import (
	"bytes"
	"time"

	"github.com/bramleymast/bramleymast/pkg/priority"
)

const (
	// answerTimes is how many mean answer times of the backend server are left of an objective when a request must start
	// to be in time: answers vary, and a request may wait a little for its slot.
	answerTimes = 2
	// answerWeight is the weight of one answer time in their mean.
	answerWeight = 1.0 / 16
	// defaultHold is how long a request is held at most if it is not known how long its caller waits.
	defaultHold = 800 * time.Millisecond
	// holdDivisor limits how long a request is held to a part of its caller's timeout. The rest is for the requests at the
	// backend server, which may be slow when requests are held for that long.
	holdDivisor = 2
	// maxHold limits how long a request is held. Callers with long timeouts get an answer or the refusal of the backend
	// server while they still wait.
	maxHold = 2 * time.Second
	// maxHeldPackets limits the held packets of a flow; a caller has no more in flight.
	maxHeldPackets = 16
	// maxHeldWait is the expected wait of held requests from which on holding does not help: the backend server takes far
	// fewer requests than its flows bring, and its refusals let callers go elsewhere.
	maxHeldWait = time.Second
	// startGapWeight is the weight of one interval between starts of waiting requests in their mean.
	startGapWeight = 1.0 / 8
	// copyMargin is how much later than usual a copy of an opening packet may arrive: several round trips.
	copyMargin = 50 * time.Millisecond
	// attemptPatience is how long an opening packet may wait so that the request on the flow still follows within the
	// attempt of its caller.
	attemptPatience = attemptTimeout - 400*time.Millisecond
)

// FlowPacket is a caller's packet of an open flow, with what the flow's route says of its requests.
type FlowPacket struct {
	Segment Segment
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Objective is the latency objective of the request; 0 if there is none.
	Objective time.Duration
	// Timeout is how long the caller waits for an answer; 0 if it is not known.
	Timeout time.Duration
	Packet  []byte
}

// Held is what Admitter.Hold did with a packet.
type Held uint8

// What Admitter.Hold did.
const (
	// NotHeld means that the packet is to be decided on like any other.
	NotHeld Held = iota
	// HeldRequest means that the packet starts a request that waits for capacity.
	HeldRequest
	// HeldBehind means that the packet waits behind others of its flow.
	HeldBehind
	// AbsorbedCopy means that the packet repeats a held one and is dropped.
	AbsorbedCopy
)

// Release is why held packets are delivered. Its text is the value of the reason label of a metric.
type Release string

// Reasons for the delivery of held packets.
const (
	// ReleaseCapacity means that the request gets capacity.
	ReleaseCapacity Release = "capacity"
	// ReleaseTimeout means that the request was held for as long as it may be.
	ReleaseTimeout Release = "timeout"
	// ReleaseSaturated means that the backend server takes fewer requests than its flows bring.
	ReleaseSaturated Release = "saturated"
)

// ReleasedRequest holds the packets of a request that is delivered now, in order of arrival.
type ReleasedRequest struct {
	Packets []FlowPacket
	Reason  Release
	// Waited is how long the first packet was held.
	Waited time.Duration
}

// Dequeued is what waits no longer.
type Dequeued struct {
	// Openings and Requests are delivered to the backend server.
	Openings []OpeningPacket
	Requests []ReleasedRequest
	// PassOn must go to other agents.
	PassOn []Rerouted
	// Level is the highest refused priority, and LevelChanged whether it has changed.
	Level        int
	LevelChanged bool
}

// shortage orders waiting requests by the priority of their routes; the zero value holds none. It is not safe for
// concurrent use.
//
// It answers bursts of important requests on new flows among others on kept flows. A backend server takes requests in
// order of arrival, so while they queue there, those on kept flows take their places first. While a backend server has
// no free slot, its agent holds them instead.
type shortage struct {
	queue priority.Queue[FlowID, *heldRequest]
	level priority.Level
	// held counts the waiting requests on open flows; the others wait as opening packets in the wait queue.
	held int
	// saturated means that requests are delivered without waiting.
	saturated bool
	// startedAt is when a waiting request last got capacity or began to wait alone, gap the mean time between starts.
	startedAt time.Time
	gap       time.Duration
	// answerTime is the mean time from the delivery of a request to its answer; 0 if there was none.
	answerTime time.Duration
}

type (
	waitingRequest = priority.Request
	// allowedFunc reports whether a waiting request may be delivered.
	allowedFunc = func(r waitingRequest, h *heldRequest, late bool) bool
)

// heldRequest holds the packets of a request; it has none for an opening packet.
type heldRequest struct {
	packets []FlowPacket
	heldAt  time.Time
}

func (h *heldRequest) isOpening() bool { return len(h.packets) == 0 }

func (h *heldRequest) has(seg Segment) bool {
	for i := range h.packets {
		if p := h.packets[i].Segment; p.Seq() == seg.Seq() && p.Size() == seg.Size() && p.Has(FlagFinish) == seg.Has(FlagFinish) {
			return true
		}
	}
	return false
}

// waitingRequest returns the request for which a packet of an open flow waits.
func (s *shortage) waitingRequest(now time.Time, p *FlowPacket) priority.Request {
	fresh := retransmissionAges[1]
	if p.Objective > 0 {
		fresh = p.Objective - answerTimes*s.answerTime
	}
	hold := defaultHold
	if p.Timeout > 0 {
		hold = min(maxHold, p.Timeout/holdDivisor)
	}
	return priority.Request{
		Priority: p.Priority, Caller: p.Segment.Flow().Caller().Addr(),
		StartedAt: now, StartBy: now.Add(fresh), ReleaseAt: now.Add(hold),
	}
}

// waitingRequest returns the request for which an opening packet waits. A caller that still waits sends copies of it, and
// one whose attempt should be over has probably sent a retry.
func (p *OpeningPacket) waitingRequest(now time.Time) priority.Request {
	r := priority.Request{Priority: p.Priority, Caller: p.Segment.Flow().Caller().Addr(), StartedAt: now.Add(-p.waitTime())}
	r.ExpiresAt = r.StartedAt.Add(attemptTimeout)
	copies := min(p.Segment.Retransmissions(), len(retransmissionAges)-1)
	r.HeardAt = r.StartedAt.Add(retransmissionAges[copies])
	if next, ok := nextCopyDue(p.Segment); ok {
		r.HeardBy = r.HeardAt.Add(next)
	}
	if end := p.attemptTimeout(); end < attemptTimeout && (r.HeardBy.IsZero() || r.StartedAt.Add(end).Before(r.HeardBy)) {
		r.HeardBy = r.StartedAt.Add(end)
	}
	if !p.IsRetry {
		r.StartBy = r.StartedAt.Add(p.freshPeriod())
	}
	return r
}

// nextCopyDue returns how long after an opening packet the next copy of it has arrived, or false if there is none.
func nextCopyDue(seg Segment) (time.Duration, bool) {
	next := seg.Retransmissions() + 1
	if next >= len(retransmissionAges) {
		return 0, false
	}
	return retransmissionAges[next] - retransmissionAges[next-1] + copyMargin, true
}

// IsCallerSilent reports whether the next copy of an opening packet, which has waited for some time, is overdue. Its caller
// has probably given up the attempt.
func IsCallerSilent(seg Segment, waited time.Duration) bool {
	next, ok := nextCopyDue(seg)
	return ok && waited > next
}

// hold decides whether a packet waits. hasRoom means that the backend server has room for a request, and starts that the
// packet starts one.
func (s *shortage) hold(now time.Time, p FlowPacket, hasRoom, starts bool) Held {
	f := p.Segment.Flow()
	h := s.queue.Get(f)
	switch {
	case h != nil && !(*h).isOpening():
		return s.holdBehind(*h, p)
	case h != nil, !starts, s.saturated, hasRoom && s.held == 0:
		return NotHeld
	}
	r := s.waitingRequest(now, &p)
	s.onWait(now, r.Priority)
	p.Packet = bytes.Clone(p.Packet)
	if !s.queue.Push(f, r, &heldRequest{packets: []FlowPacket{p}, heldAt: now}) {
		return NotHeld
	}
	s.held++
	return HeldRequest
}

// holdBehind decides on a packet of a flow with held packets. A packet without data overtakes them: the answer to an
// earlier request may need its acknowledgement.
func (s *shortage) holdBehind(h *heldRequest, p FlowPacket) Held {
	switch {
	case p.Segment.Has(FlagReset):
		s.remove(p.Segment.Flow())
		return NotHeld
	case p.Segment.Size() == 0 && !p.Segment.Has(FlagFinish):
		return NotHeld
	case h.has(p.Segment), len(h.packets) >= maxHeldPackets:
		return AbsorbedCopy
	}
	p.Packet = bytes.Clone(p.Packet)
	h.packets = append(h.packets, p)
	return HeldBehind
}

// enqueueOpening adds an opening packet that is in the wait queue, or returns false if the queue is full. It replaces a
// held request of the flow: the first opening packet may be late, or the caller uses its port again.
func (s *shortage) enqueueOpening(now time.Time, p OpeningPacket) bool {
	if h := s.queue.Get(p.Segment.Flow()); h != nil && !(*h).isOpening() {
		s.remove(p.Segment.Flow())
	}
	r := p.waitingRequest(now)
	s.onWait(now, r.Priority)
	return s.queue.Push(p.Segment.Flow(), r, &heldRequest{heldAt: now})
}

// isIdle reports whether nothing waits and none of the decisions of an earlier shortage is in force.
func (s *shortage) isIdle() bool {
	return s.queue.Len() == 0 && !s.saturated && s.level.Refused() == priority.AllAdmitted
}

func (s *shortage) onWait(now time.Time, p int) {
	s.level.OnWait(now, p, s.queue.Waiting(p))
	if s.queue.Len() == 0 {
		s.startedAt = now
	}
}

// onAnswer records the time from the delivery of a request to its answer.
func (s *shortage) onAnswer(took time.Duration) {
	s.answerTime = mean(s.answerTime, took, answerWeight)
}

// mean returns a moving mean after another value; 0 is the mean of no values.
func mean(old, d time.Duration, weight float64) time.Duration {
	if old == 0 {
		return d
	}
	return old + time.Duration(float64(d-old)*weight)
}

func (s *shortage) remove(f FlowID) {
	if h, ok := s.queue.Remove(f); ok && !h.isOpening() {
		s.held--
	}
}

// dropHeld removes the held requests, because the run of the backend server that has their flows has ended.
func (s *shortage) dropHeld() {
	s.queue.RemoveAll(func(_ priority.Request, h *heldRequest) bool { return !h.isOpening() })
	s.held = 0
}

// ahead returns how many held requests go before an opening packet of a priority.
func (s *shortage) ahead(p int) int {
	return s.queue.Count(func(r priority.Request, h *heldRequest) bool { return r.Priority <= p && !h.isOpening() })
}

// start returns the request that gets capacity next, or false.
func (s *shortage) start(now time.Time, allowed allowedFunc) (FlowID, *heldRequest, bool) {
	f, r, h, ok := s.queue.Pop(now, allowed)
	if !ok {
		return FlowID{}, nil, false
	}
	s.level.OnStart(now, r.Priority)
	s.gap = mean(s.gap, now.Sub(s.startedAt), startGapWeight)
	s.startedAt = now
	if !h.isOpening() {
		s.held--
	}
	return f, h, true
}

// released returns the requests that are delivered without capacity: those held for as long as they may be, and all if
// the backend server is saturated. hasRoom ends the saturation.
func (s *shortage) released(now time.Time, hasRoom bool) []ReleasedRequest {
	var all []ReleasedRequest
	s.queue.Expired(now)
	for _, h := range s.queue.Released(now) {
		s.held--
		all = append(all, h.release(now, ReleaseTimeout))
	}
	s.updateSaturated(now, hasRoom)
	for s.saturated && s.held > 0 {
		_, _, h, ok := s.queue.Pop(now, func(_ priority.Request, h *heldRequest, _ bool) bool { return !h.isOpening() })
		if !ok {
			break
		}
		s.held--
		all = append(all, h.release(now, ReleaseSaturated))
	}
	return all
}

func (s *shortage) updateSaturated(now time.Time, hasRoom bool) {
	switch {
	case hasRoom:
		s.saturated = false
	case s.held > 0 && time.Duration(s.held)*s.gap+now.Sub(s.startedAt) > maxHeldWait:
		s.saturated = true
	}
}

func (h *heldRequest) release(now time.Time, reason Release) ReleasedRequest {
	return ReleasedRequest{Packets: h.packets, Reason: reason, Waited: now.Sub(h.heldAt)}
}

// updateLevel sets the level by the waiting requests and reports whether it has changed.
func (s *shortage) updateLevel(now time.Time) bool {
	lowest, _ := s.queue.Lowest()
	return s.level.Update(now, lowest, attemptPatience, s.queue.Waiting)
}
