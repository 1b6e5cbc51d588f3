package passthrough

import (
	"sync"
	"time"
)

const (
	// returnEarly and returnLate bound when a caller opens the next flow after the start of an attempt that got no
	// answer: it gives up after attemptTime and tries again at once.
	// The margins hold the delays of links and of a message from an agent.
	returnEarly = attemptTime - 30*time.Millisecond
	returnLate  = attemptTime + 40*time.Millisecond
	// maxAttempts bounds what is remembered of one caller's address.
	maxAttempts = 64
)

// UnansweredAttempt is an attempt that waits at an agent.
type UnansweredAttempt struct {
	Flow FlowID
	// Age is the time since the caller sent its first packet.
	Age time.Duration
}

// Attempts remembers the unanswered attempts of callers, so that a caller that tries again is told from one that has
// just come; the zero value is empty. It is safe for concurrent use.
//
// Under overload as many callers come back as come, and all their packets look fresh. Served in turn with the others,
// they leave half of the answers too late for everyone. An address may stand for several callers: an unanswered
// attempt marks one opening packet only, so the number of marked packets is right even when the packet is another's.
type Attempts struct {
	mu      sync.Mutex
	callers map[uint32][]attempt
}

// attempt is a flow that its caller has begun to open.
type attempt struct {
	flow  FlowID
	began time.Time
}

// Add remembers the attempt of an opening packet, until Answered is called for its flow.
func (t *Attempts) Add(now time.Time, a OpeningPacket) {
	t.note(a.Segment.Flow(), now.Add(-a.waited()))
}

// AddUnanswered remembers an attempt of which an agent has told. The caller may come back through any balancer.
func (t *Attempts) AddUnanswered(now time.Time, a UnansweredAttempt) {
	t.note(a.Flow, now.Add(-a.Age))
}

func (t *Attempts) note(f FlowID, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.callers[f.caller]
	for _, known := range list {
		if known.flow == f {
			return
		}
	}
	if t.callers == nil {
		t.callers = make(map[uint32][]attempt)
	}
	if len(list) >= maxAttempts {
		list = list[1:]
	}
	t.callers[f.caller] = append(list, attempt{flow: f, began: began})
}

// Remove forgets the attempt of a flow that a backend server gets.
func (t *Attempts) Remove(f FlowID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeMatching(f.caller, func(a attempt) bool { return a.flow == f })
}

// IsRetry reports whether an opening packet is that of a caller whose earlier attempt got no answer.
func (t *Attempts) IsRetry(now time.Time, f FlowID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.callers[f.caller] {
		if age := now.Sub(a.began); age >= returnEarly && age <= returnLate {
			t.removeMatching(f.caller, func(o attempt) bool { return o == a })
			return true
		}
	}
	return false
}

// Sweep forgets attempts whose callers have come back or never will.
func (t *Attempts) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for caller := range t.callers {
		t.removeMatching(caller, func(a attempt) bool { return now.Sub(a.began) > returnLate })
	}
}

func (t *Attempts) removeMatching(caller uint32, of func(a attempt) bool) {
	kept := t.callers[caller][:0]
	for _, a := range t.callers[caller] {
		if !of(a) {
			kept = append(kept, a)
		}
	}
	if len(kept) == 0 {
		delete(t.callers, caller)
		return
	}
	t.callers[caller] = kept
}
