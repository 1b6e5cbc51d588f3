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
	// Directory are the agents that are told the owner of the flow.
	Directory Path
	// Hops is how many agents the packet has visited before.
	Hops uint8
	// Delay is how long the packet has been on its way within the system.
	Delay time.Duration
	// Objective is the latency objective of the caller's requests; 0 means that there is none.
	Objective time.Duration
	// IsRetry means that an earlier attempt of the caller got no answer.
	IsRetry bool
	// Unconfigured means that the balancer has no configuration and acts on an observed route.
	Unconfigured bool
	Packet       []byte
}

// waited returns how long the caller has waited at least.
func (a *OpeningPacket) waited() time.Duration {
	return a.Delay + copyAges[min(a.Segment.Retransmissions(), len(copyAges)-1)]
}

// objectiveShare is the part of a latency objective that may be spent waiting; the rest is for the handshake, the
// requests ahead at the backend server, and the work.
const objectiveShare = 3

// freshTime returns how long the caller may wait before it counts as late: while it has not sent a copy and its
// request can still be answered within its objective.
func (a *OpeningPacket) freshTime() time.Duration {
	if a.Objective <= 0 {
		return copyAges[1]
	}
	return min(copyAges[1], a.Objective/objectiveShare)
}

// late reports whether the caller has waited for too long, or has tried before.
func (a *OpeningPacket) late() bool { return a.IsRetry || a.waited() >= a.freshTime() }

// TimedOut reports whether the caller has given up the attempt.
func (a *OpeningPacket) TimedOut() bool { return a.waited() >= attemptTime }

// maxWaiting bounds the memory of a waiting line.
const maxWaiting = 512

// attemptTime is when a caller gives up an attempt that was not answered.
const attemptTime = 1400 * time.Millisecond

// copyAges are the times after which a caller sends the copies of an opening packet.
var copyAges = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// waitingLine holds opening packets until the backend server can take them; the zero value is empty.
//
// It answers a wave of callers after an outage. Callers whose first packet has just come can still be answered in
// time, so they go first, the newest before the others; callers that wait for long get what is left.
type waitingLine struct {
	arrivals []waitingArrival
}

type waitingArrival struct {
	OpeningPacket
	// began is when the caller sent its first packet.
	began time.Time
	// pushed is when the packet came into the line.
	pushed time.Time
	// told means that the balancers have been told of the attempt.
	told bool
}

// leave returns the arrival with the time in the line added to its delay.
func (a *waitingArrival) leave(now time.Time) OpeningPacket {
	r := a.OpeningPacket
	r.Delay += now.Sub(a.pushed)
	return r
}

func (w *waitingLine) len() int { return len(w.arrivals) }

// push adds a copy of a packet; it replaces an earlier copy of the flow.
func (w *waitingLine) push(now time.Time, a OpeningPacket) {
	w.remove(a.Segment.Flow())
	if len(w.arrivals) >= maxWaiting {
		w.arrivals = w.arrivals[1:]
	}
	a.Packet = bytes.Clone(a.Packet)
	w.arrivals = append(w.arrivals, waitingArrival{OpeningPacket: a, began: now.Add(-a.waited()), pushed: now})
}

func (w *waitingLine) remove(f FlowID) {
	for i := range w.arrivals {
		if w.arrivals[i].Segment.Flow() == f {
			w.arrivals = append(w.arrivals[:i], w.arrivals[i+1:]...)
			return
		}
	}
}

// pop removes the packet that goes next: the one whose caller has waited for the shortest time. The flags say
// whether a fresh and a late one may go.
func (w *waitingLine) pop(now time.Time, fresh, late bool) (OpeningPacket, bool) {
	w.expire(now)
	best := -1
	for i := range w.arrivals {
		a := &w.arrivals[i]
		isFresh := !a.IsRetry && now.Sub(a.began) < a.freshTime()
		if (isFresh && !fresh) || (!isFresh && !late) {
			continue
		}
		if best < 0 || a.began.After(w.arrivals[best].began) {
			best = i
		}
	}
	if best < 0 {
		return OpeningPacket{}, false
	}
	a := w.arrivals[best].leave(now)
	w.arrivals = append(w.arrivals[:best], w.arrivals[best+1:]...)
	return a, true
}

// expire drops the packets of callers that have given up the attempt.
func (w *waitingLine) expire(now time.Time) {
	kept := w.arrivals[:0]
	for _, a := range w.arrivals {
		if now.Sub(a.began) < attemptTime {
			kept = append(kept, a)
		}
	}
	w.arrivals = kept
}

// tellAge is the age of an attempt of which balancers are told: no copy of its opening packet comes any more, and
// balancers hear of it before the caller tries again.
const tellAge = time.Second

// unanswered returns the attempts that have reached tellAge since the last call.
func (w *waitingLine) unanswered(now time.Time) []UnansweredAttempt {
	var all []UnansweredAttempt
	for i := range w.arrivals {
		a := &w.arrivals[i]
		if age := now.Sub(a.began); !a.told && age >= tellAge && age < attemptTime {
			a.told = true
			all = append(all, UnansweredAttempt{Flow: a.Segment.Flow(), Age: age})
		}
	}
	return all
}

// takeAll removes all packets whose callers still wait.
func (w *waitingLine) takeAll(now time.Time) []OpeningPacket {
	w.expire(now)
	all := make([]OpeningPacket, 0, len(w.arrivals))
	for i := range w.arrivals {
		all = append(all, w.arrivals[i].leave(now))
	}
	w.arrivals = nil
	return all
}
