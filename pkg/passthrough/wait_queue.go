package passthrough

import (
	"bytes"
	"net/netip"
	"time"
)

// OpeningPacket is a packet that opens a flow, with what is needed to send it on.
type OpeningPacket struct {
	Segment Segment
	// Origin is the balancer that sent the packet.
	Origin netip.AddrPort
	// Path lists the agents that the packet may still visit.
	Path Path
	// Directory lists the agents that are notified of the owner of the flow.
	Directory Path
	// Hops is how many agents the packet has visited before this one.
	Hops uint8
	// Delay is how long the packet has been within the system.
	Delay time.Duration
	// Objective is the latency objective of the caller's requests; 0 if there is none.
	Objective time.Duration
	// Priority is the rank of the caller's requests; 0 is the highest.
	Priority int
	// AttemptTimeout is how long the caller waits for an answer before it tries again; 0 if that is not known.
	AttemptTimeout time.Duration
	// IsRetry means that an earlier attempt of the caller was not answered.
	IsRetry bool
	// Unconfigured means that the balancer has no configuration and used an observed route.
	Unconfigured bool
	Packet       []byte
}

// waitTime returns the minimum time that the caller has waited, given the number of retransmissions and the delay.
func (p *OpeningPacket) waitTime() time.Duration {
	return p.Delay + retransmissionAges[min(p.Segment.Retransmissions(), len(retransmissionAges)-1)]
}

// objectiveDivisor limits the wait to a third of a latency objective. The rest is for the handshake, the requests ahead
// at the backend server, and the processing.
const objectiveDivisor = 3

// freshPeriod returns how long the caller may wait before the packet is late: until its first retransmission, and only
// while its request can still be answered within its objective.
func (p *OpeningPacket) freshPeriod() time.Duration {
	if p.Objective <= 0 {
		return retransmissionAges[1]
	}
	return min(retransmissionAges[1], p.Objective/objectiveDivisor)
}

// isLate reports whether the caller has waited for longer than the fresh period, or the packet is a retry.
func (p *OpeningPacket) isLate() bool { return p.IsRetry || p.waitTime() >= p.freshPeriod() }

// TimedOut reports whether the caller has given up the attempt.
func (p *OpeningPacket) TimedOut() bool { return p.waitTime() >= attemptTimeout }

// attemptTimeout returns the time after which the caller is expected to give up the attempt. It may also wait for longer,
// so the packet stays in the queue.
func (p *OpeningPacket) attemptTimeout() time.Duration {
	return limitAttempt(p.AttemptTimeout, p.IsRetry)
}

// limitAttempt returns the time after which a caller gives up an attempt, given how long it waits for the answer to its
// first one; 0 if that is not known. A retry gets the same part of the time that is left then.
func limitAttempt(first time.Duration, isRetry bool) time.Duration {
	if isRetry {
		first -= first / 3
	}
	if first <= 0 {
		return attemptTimeout
	}
	return min(first, attemptTimeout)
}

// maxQueued limits the memory of a wait queue.
const maxQueued = 512

// attemptTimeout is the time after which a caller gives up an unanswered attempt.
const attemptTimeout = 1400 * time.Millisecond

// retransmissionAges are the times after the start of an attempt at which a caller sends the opening packet.
var retransmissionAges = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// waitQueue holds opening packets until the backend server has capacity for them; the zero value is empty.
//
// It handles the burst of callers after an outage. Callers whose first packet has just arrived can still be answered in
// time, so their packets go first, the newest before the others; late packets get the remaining capacity.
type waitQueue struct {
	packets []queuedPacket
}

type queuedPacket struct {
	OpeningPacket
	// startedAt is when the caller sent its first opening packet.
	startedAt time.Time
	// enqueuedAt is when the packet was enqueued.
	enqueuedAt time.Time
	// reported means that the attempt was reported to the balancers.
	reported bool
}

// dequeued returns the opening packet with its time in the queue added to the delay.
func (p *queuedPacket) dequeued(now time.Time) OpeningPacket {
	opening := p.OpeningPacket
	opening.Delay += now.Sub(p.enqueuedAt)
	return opening
}

func (q *waitQueue) len() int { return len(q.packets) }

// enqueue adds a clone of a packet and replaces an earlier packet of the flow. If the queue is full, the packet that
// was enqueued first is dropped.
func (q *waitQueue) enqueue(now time.Time, p OpeningPacket) {
	q.remove(p.Segment.Flow())
	if len(q.packets) >= maxQueued {
		q.packets = q.packets[1:]
	}
	p.Packet = bytes.Clone(p.Packet)
	q.packets = append(q.packets, queuedPacket{OpeningPacket: p, startedAt: now.Add(-p.waitTime()), enqueuedAt: now})
}

// isRetry reports whether a queued packet of a flow opens it for a retry; a retransmission of it doesn't tell.
func (q *waitQueue) isRetry(f FlowID) bool {
	i := q.index(f)
	return i >= 0 && q.packets[i].IsRetry
}

func (q *waitQueue) remove(f FlowID) {
	if i := q.index(f); i >= 0 {
		q.packets = append(q.packets[:i], q.packets[i+1:]...)
	}
}

// take removes and returns the packet of a flow, or returns false if its caller has given up.
func (q *waitQueue) take(now time.Time, f FlowID) (OpeningPacket, bool) {
	i := q.index(f)
	if i < 0 || now.Sub(q.packets[i].startedAt) >= attemptTimeout {
		return OpeningPacket{}, false
	}
	p := q.packets[i].dequeued(now)
	q.remove(f)
	return p, true
}

func (q *waitQueue) index(f FlowID) int {
	for i := range q.packets {
		if q.packets[i].Segment.Flow() == f {
			return i
		}
	}
	return -1
}

// dequeue removes and returns the packet whose caller has waited for the shortest time. allowFresh and allowLate say
// whether packets within and after their fresh period may be taken; retries count as late.
func (q *waitQueue) dequeue(now time.Time, allowFresh, allowLate bool) (OpeningPacket, bool) {
	q.expire(now)
	best := -1
	for i := range q.packets {
		p := &q.packets[i]
		isFresh := !p.IsRetry && now.Sub(p.startedAt) < p.freshPeriod()
		if (isFresh && !allowFresh) || (!isFresh && !allowLate) {
			continue
		}
		if best < 0 || p.startedAt.After(q.packets[best].startedAt) {
			best = i
		}
	}
	if best < 0 {
		return OpeningPacket{}, false
	}
	p := q.packets[best].dequeued(now)
	q.packets = append(q.packets[:best], q.packets[best+1:]...)
	return p, true
}

// expire drops the packets of callers that have given up the attempt.
func (q *waitQueue) expire(now time.Time) {
	kept := q.packets[:0]
	for _, p := range q.packets {
		if now.Sub(p.startedAt) < attemptTimeout {
			kept = append(kept, p)
		}
	}
	q.packets = kept
}

const (
	// unansweredReportAge is the age at which an attempt is reported to the balancers: after the last retransmission of its
	// opening packet, and early enough that the report arrives before the caller retries.
	unansweredReportAge = time.Second
	// unansweredReportLead is how long before the caller retries an attempt is reported at the latest.
	unansweredReportLead = 250 * time.Millisecond
)

// unansweredAttempts returns the attempts that have reached unansweredReportAge since the last call.
func (q *waitQueue) unansweredAttempts(now time.Time) []UnansweredAttempt {
	var all []UnansweredAttempt
	for i := range q.packets {
		p := &q.packets[i]
		if age := now.Sub(p.startedAt); !p.reported && age >= min(unansweredReportAge, p.attemptTimeout()-unansweredReportLead) && age < p.attemptTimeout() {
			p.reported = true
			all = append(all, UnansweredAttempt{Flow: p.Segment.Flow(), Age: age, IsRetry: p.IsRetry})
		}
	}
	return all
}

// dequeueAll removes all packets and returns those whose callers have not given up.
func (q *waitQueue) dequeueAll(now time.Time) []OpeningPacket {
	q.expire(now)
	all := make([]OpeningPacket, 0, len(q.packets))
	for i := range q.packets {
		all = append(all, q.packets[i].dequeued(now))
	}
	q.packets = nil
	return all
}
