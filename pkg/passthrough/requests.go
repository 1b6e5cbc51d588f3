package passthrough

import (
	"net/netip"
	"time"
)

// maxTrackedFlows limits the memory of a request tracker to a few megabytes.
const maxTrackedFlows = 16 << 10

// requestTracker follows the requests on the flows of one backend server by the headers of their packets. It is not safe
// for concurrent use. A call costs the same however many flows there are.
//
// A backend server answers the requests of a flow in order. New data of the caller starts a request if the answer to the
// previous request has begun; otherwise it is the rest of that request. A pipelined request cannot be told from such a
// rest, so requests that are sent before the answer to the first one begins count as one. Retransmissions and duplicates
// change nothing.
type requestTracker struct {
	flows  map[FlowID]*trackedFlow
	routes map[netip.AddrPort]int // requests in progress by service address
	// lists holds the flows by state, each ordered by the time at which the flow entered the state.
	lists [numRequestStates]flowList
	free  *trackedFlow // removed flows for reuse, linked by next
}

func newRequestTracker() requestTracker {
	return requestTracker{flows: make(map[FlowID]*trackedFlow), routes: make(map[netip.AddrPort]int)}
}

// requestState is the state of the last request of a flow.
type requestState uint8

const (
	// requestClosed means that an endpoint has ended the flow; later packets are retransmissions.
	requestClosed requestState = iota
	requestIdle
	// requestAnswering means that the answer has begun and the caller has not acknowledged all that was sent of it.
	requestAnswering
	// requestExpected means that an opening packet was delivered and the request is about to follow.
	requestExpected
	// requestOvertaken means that the request hangs and one that was delivered hangTimeout later has been answered, so it
	// does not keep the others waiting.
	requestOvertaken
	// requestHung means that the request has had no answer for hangTimeout.
	requestHung
	requestProcessing
	numRequestStates
)

// inProgress reports whether the backend server works on the request or is about to receive it.
func (s requestState) inProgress() bool { return s >= requestExpected }

// started reports whether the request has been delivered and its answer has not begun.
func (s requestState) started() bool { return s >= requestOvertaken }

// trackedFlow is the record of one flow.
type trackedFlow struct {
	id         FlowID
	state      requestState
	since      time.Time // when the flow entered the state; for a hung request, when the request was delivered
	callerNext uint32    // the number after the last data of the caller
	serverNext uint32    // the number after the last data of the backend server
	hasCaller  bool      // callerNext is known
	hasServer  bool      // serverNext is known
	first      uint32    // the first number of the request
	ack        uint32    // what the caller had acknowledged when it sent the request
	exact      bool      // the start of the request is known exactly
	processing int       // requests that were being processed when this one was delivered, with it
	prev, next *trackedFlow
}

// requestOutcome says what a packet of the backend server means for the request of its flow.
type requestOutcome struct {
	// ended means that the answer has begun, or that the backend server has ended the flow without one.
	ended bool
	// failed means that there is no answer or that it reports a failure.
	failed bool
	// hung means that the request has been counted as hung before.
	hung bool
	// exact means that took is the time of this request alone: its start was seen, and no earlier answer was unfinished.
	exact bool
	// took is the time from the delivery of the request to its end.
	took time.Duration
	// processing is the number of requests that were being processed when this one was delivered, with it.
	processing int
}

// maxSentBeforeDuplicate is how much data a caller may have sent when a duplicate of its opening packet arrives. A packet
// with another initial sequence number opens a new flow with the same endpoints.
const maxSentBeforeDuplicate = 1 << 20

// onOpening records the delivery of an opening packet. The flow counts as in progress until its request is answered or
// handshakeTimeout has passed.
func (t *requestTracker) onOpening(now time.Time, seg Segment) {
	f := t.get(now, seg.Flow())
	next := seg.Seq() + 1
	if f.hasCaller && f.state != requestClosed && f.callerNext-next < maxSentBeforeDuplicate {
		if f.state == requestIdle && f.callerNext == next {
			t.move(now, f, requestExpected)
		}
		return
	}
	t.move(now, f, requestExpected)
	f.callerNext, f.hasCaller, f.hasServer = next, true, false
}

// onCallerPacket records a packet that was delivered to the backend server and reports whether it starts a request.
func (t *requestTracker) onCallerPacket(now time.Time, seg Segment) (started bool) {
	f, known := t.flows[seg.Flow()]
	switch {
	case seg.Has(FlagReset):
		if known {
			t.move(now, f, requestClosed)
		}
		return false
	case seg.Size() == 0 && !known:
		return false
	case !known:
		f = t.get(now, seg.Flow())
	}
	if f.state == requestAnswering && f.hasServer && !isAfter(f.serverNext, seg.Ack()) {
		t.move(now, f, requestIdle)
	}
	return seg.Size() > 0 && f.state != requestClosed && t.onCallerData(now, f, seg)
}

func (t *requestTracker) onCallerData(now time.Time, f *trackedFlow, seg Segment) (started bool) {
	end := seg.Seq() + uint32(seg.Size()) //nolint:gosec // a packet is shorter than 64 KiB
	if f.hasCaller && !isAfter(end, f.callerNext) {
		return false
	}
	contiguous := f.hasCaller && !isAfter(seg.Seq(), f.callerNext)
	f.callerNext, f.hasCaller = end, true
	if f.state.started() {
		f.exact = f.exact && contiguous
		return false
	}
	f.first, f.ack = seg.Seq(), seg.Ack()
	f.exact = contiguous && (!f.hasServer || !isAfter(f.serverNext, seg.Ack()))
	t.move(now, f, requestProcessing)
	f.processing = t.processing()
	return true
}

// onServerPacket records a packet of the backend server; failed means that it starts the response to a failed request.
func (t *requestTracker) onServerPacket(now time.Time, seg Segment, failed bool) requestOutcome {
	if f, known := t.flows[seg.Flow()]; known && f.finishOvertakes(seg) {
		return requestOutcome{} // The answer is about to arrive.
	}
	return t.onOrderedServerPacket(now, seg, failed)
}

func (t *requestTracker) onOrderedServerPacket(now time.Time, seg Segment, failed bool) requestOutcome {
	f, known := t.flows[seg.Flow()]
	ends := seg.Has(FlagReset) || seg.Has(FlagFinish)
	if !known {
		if seg.Size() == 0 || ends {
			return requestOutcome{}
		}
		f = t.get(now, seg.Flow())
		f.callerNext, f.hasCaller = seg.Ack(), seg.Has(FlagAck)
	}
	isNew := f.advanceServer(seg)
	begins := isNew && seg.Size() > 0
	var o requestOutcome
	if f.state.started() && (ends || begins && f.isAnswer(seg)) {
		t.overtake(f.since)
		o = requestOutcome{ended: true, failed: failed || !begins, hung: f.state != requestProcessing, exact: f.exact, took: now.Sub(f.since), processing: f.processing}
	}
	switch {
	case f.state == requestClosed:
	case ends:
		t.move(now, f, requestClosed)
	case o.ended, begins && !f.state.started():
		t.move(now, f, requestAnswering)
	}
	return o
}

// overtake marks the hung requests that were delivered hangTimeout before an answered one.
func (t *requestTracker) overtake(answered time.Time) {
	for f := t.lists[requestHung].first; f != nil && answered.Sub(f.since) > hangTimeout; f = t.lists[requestHung].first {
		t.move(f.since, f, requestOvertaken)
	}
}

// finishOvertakes reports whether a packet is the end of an answer that has not arrived yet. A short packet overtakes
// longer ones that the backend server has sent just before it.
func (f *trackedFlow) finishOvertakes(seg Segment) bool {
	return f.state.started() && seg.Has(FlagFinish) && seg.Size() == 0 && f.hasServer && isAfter(seg.Seq(), f.serverNext)
}

// advanceServer applies the sequence numbers of a packet and reports whether it has new data.
func (f *trackedFlow) advanceServer(seg Segment) bool {
	end := seg.Seq() + uint32(seg.Size()) //nolint:gosec // a packet is shorter than 64 KiB
	if seg.Has(FlagOpen) {
		end++
	}
	if f.hasServer && !isAfter(end, f.serverNext) {
		return false
	}
	f.serverNext, f.hasServer = end, true
	return true
}

// isAnswer reports whether new data of the backend server belongs to the answer of the request in progress: it
// acknowledges data of the request, or follows all that the caller had received when it sent the request.
func (f *trackedFlow) isAnswer(seg Segment) bool {
	return seg.Has(FlagAck) && isAfter(seg.Ack(), f.first) || !isAfter(f.ack, seg.Seq())
}

// onEnd forgets a flow that the backend server does not hold.
func (t *requestTracker) onEnd(id FlowID) {
	if f, ok := t.flows[id]; ok {
		t.remove(f)
	}
}

// expire moves requests on whose time has passed: openings without a request, requests that hang, and requests that
// count as lost. It returns how many requests have exceeded hangTimeout since the last call.
func (t *requestTracker) expire(now time.Time) (hung int) {
	for f := t.lists[requestExpected].first; f != nil && now.Sub(f.since) > handshakeTimeout; f = t.lists[requestExpected].first {
		t.move(now, f, requestIdle)
	}
	for f := t.lists[requestProcessing].first; f != nil && now.Sub(f.since) > hangTimeout; f = t.lists[requestProcessing].first {
		t.move(f.since, f, requestHung)
		hung++
	}
	for _, s := range [...]requestState{requestOvertaken, requestHung} {
		for f := t.lists[s].first; f != nil && now.Sub(f.since) > requestTimeout; f = t.lists[s].first {
			t.move(now, f, requestIdle)
		}
	}
	return hung
}

// closedTTL is longer than the endpoints retransmit packets of a flow that has ended.
const closedTTL = 5 * time.Second

// sweep forgets flows that have ended, and flows without a request for longer than idle.
func (t *requestTracker) sweep(now time.Time, idle time.Duration) {
	ttls := [...]time.Duration{requestClosed: min(idle, closedTTL), requestIdle: idle, requestAnswering: idle}
	for state, ttl := range ttls {
		for f := t.lists[state].first; f != nil && now.Sub(f.since) > ttl; f = t.lists[state].first {
			t.remove(f)
		}
	}
}

// inProgress returns the number of requests in progress, with those expected after a handshake. Call expire first.
func (t *requestTracker) inProgress() int {
	return t.lists[requestExpected].n + t.lists[requestOvertaken].n + t.processing()
}

// processing returns the number of requests that have been delivered and neither been answered nor overtaken.
func (t *requestTracker) processing() int {
	return t.lists[requestHung].n + t.lists[requestProcessing].n
}

// delivered returns the number of requests that have been delivered and not been answered, whether overtaken or not.
func (t *requestTracker) delivered() int { return t.lists[requestProcessing].n + t.hung() }

// hung returns the number of requests in progress that have had no answer for hangTimeout.
func (t *requestTracker) hung() int { return t.lists[requestOvertaken].n + t.lists[requestHung].n }

// inProgressAt returns the number of requests in progress to a service address.
func (t *requestTracker) inProgressAt(address netip.AddrPort) int { return t.routes[address] }

// age returns how long the request of a flow has been in progress, or false if the flow has none.
func (t *requestTracker) age(now time.Time, id FlowID) (time.Duration, bool) {
	f, ok := t.flows[id]
	if !ok || !f.state.inProgress() {
		return 0, false
	}
	return now.Sub(f.since), true
}

// oldest returns the age of the oldest request that has been delivered, or 0 if there is none.
func (t *requestTracker) oldest(now time.Time) time.Duration {
	for _, s := range [...]requestState{requestOvertaken, requestHung, requestProcessing} {
		if f := t.lists[s].first; f != nil {
			return now.Sub(f.since)
		}
	}
	return 0
}

// get returns the record of a flow, which it adds if there is none.
func (t *requestTracker) get(now time.Time, id FlowID) *trackedFlow {
	if f, ok := t.flows[id]; ok {
		return f
	}
	if len(t.flows) >= maxTrackedFlows {
		t.evict()
	}
	f := t.free
	if f == nil {
		f = new(trackedFlow)
	}
	t.free = f.next
	*f = trackedFlow{id: id, state: requestIdle, since: now}
	t.flows[id] = f
	t.lists[requestIdle].push(f)
	return f
}

// evict removes the flow that matters least: one that has ended or has been idle for longest, if there is one.
func (t *requestTracker) evict() {
	for s := range t.lists {
		if f := t.lists[s].first; f != nil {
			t.remove(f)
			return
		}
	}
}

func (t *requestTracker) remove(f *trackedFlow) {
	t.lists[f.state].remove(f)
	if f.state.inProgress() {
		t.countAt(f.id, -1)
	}
	delete(t.flows, f.id)
	f.next, t.free = t.free, f
}

// move sets the state of a flow that it enters at the given time.
func (t *requestTracker) move(since time.Time, f *trackedFlow, state requestState) {
	t.lists[f.state].remove(f)
	if f.state.inProgress() {
		t.countAt(f.id, -1)
	}
	f.state, f.since = state, since
	if state.inProgress() {
		t.countAt(f.id, 1)
	}
	t.lists[state].push(f)
}

// countAt adds to the requests in progress to the service address of a flow.
func (t *requestTracker) countAt(id FlowID, n int) {
	address := id.Address()
	if n += t.routes[address]; n > 0 {
		t.routes[address] = n
		return
	}
	delete(t.routes, address)
}

// flowList is a doubly linked list of flows; the zero value is empty.
type flowList struct {
	first, last *trackedFlow
	n           int
}

func (l *flowList) push(f *trackedFlow) {
	f.prev, f.next = l.last, nil
	if l.last != nil {
		l.last.next = f
	} else {
		l.first = f
	}
	l.last = f
	l.n++
}

func (l *flowList) remove(f *trackedFlow) {
	if f.prev != nil {
		f.prev.next = f.next
	} else {
		l.first = f.next
	}
	if f.next != nil {
		f.next.prev = f.prev
	} else {
		l.last = f.prev
	}
	f.prev, f.next = nil, nil
	l.n--
}
