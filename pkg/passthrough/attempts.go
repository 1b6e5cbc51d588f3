package passthrough

import (
	"sync"
	"time"
)

const (
	// minRetryDelay and maxRetryDelay limit when the opening packet of a retry arrives after the end of the unanswered
	// attempt: the caller gives up after attemptTimeout and retries at once. The margins cover link delays and the
	// delay of a report from an agent.
	minRetryDelay = -30 * time.Millisecond
	maxRetryDelay = 40 * time.Millisecond
	maxRetryAge   = attemptTimeout + maxRetryDelay
	// retryPause is how long a caller that has given up an attempt early may pause before the next one, at most twice as
	// long after a retry.
	retryPause = 100 * time.Millisecond
	// maxAttemptsPerCaller limits the attempts kept for one caller address.
	maxAttemptsPerCaller = 64
)

// UnansweredAttempt is an attempt whose opening packet is queued at an agent.
type UnansweredAttempt struct {
	Flow FlowID
	// Age is the time since the caller sent its first opening packet.
	Age time.Duration
	// IsRetry means that an earlier attempt of the caller was not answered.
	IsRetry bool
}

// Attempts records the unanswered attempts of callers, so that the opening packet of a retry can be distinguished from
// that of a new request. The zero value is empty. It is safe for concurrent use.
//
// Under overload as many callers retry as send new requests, and all their opening packets look new. Serving retries in
// turn with new requests makes half of all answers late. One address may stand for several callers; since an unanswered
// attempt marks only one opening packet, the number of marked packets is right even if the wrong packet is marked.
type Attempts struct {
	mu      sync.Mutex
	callers map[uint32][]attempt
}

// attempt is a flow that its caller has started to open.
type attempt struct {
	flow      FlowID
	startedAt time.Time
	// timeout is how long the caller waits before it gives up the attempt.
	timeout time.Duration
	isRetry bool
}

// mayBeRetried reports whether the opening packet of a retry may arrive at an age of the attempt. A caller that is expected
// to give up early may also wait for the whole attempt.
func (a *attempt) mayBeRetried(age time.Duration) bool {
	pause := retryPause
	if a.isRetry {
		pause = 2 * retryPause
	}
	early := a.timeout < attemptTimeout && age >= a.timeout+minRetryDelay && age <= a.timeout+pause+maxRetryDelay
	return early || age >= attemptTimeout+minRetryDelay && age <= maxRetryAge
}

// Add records the attempt of an opening packet as unanswered.
func (t *Attempts) Add(now time.Time, p OpeningPacket) {
	t.add(p.Segment.Flow(), now.Add(-p.waitTime()), p.attemptTimeout(), p.IsRetry)
}

// AddUnanswered records an attempt that an agent has reported, since the caller may retry through any balancer.
// answerTimeout is how long the caller waits for an answer before it tries again; 0 if that is not known.
func (t *Attempts) AddUnanswered(now time.Time, a UnansweredAttempt, answerTimeout time.Duration) {
	t.add(a.Flow, now.Add(-a.Age), limitAttempt(answerTimeout, a.IsRetry), a.IsRetry)
}

func (t *Attempts) add(f FlowID, startedAt time.Time, timeout time.Duration, isRetry bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.callers[f.caller]
	for _, other := range list {
		if other.flow == f {
			return
		}
	}
	if t.callers == nil {
		t.callers = make(map[uint32][]attempt)
	}
	if len(list) >= maxAttemptsPerCaller {
		list = list[1:]
	}
	t.callers[f.caller] = append(list, attempt{flow: f, startedAt: startedAt, timeout: timeout, isRetry: isRetry})
}

// Remove deletes the attempt of a flow whose opening packet was delivered to a backend server.
func (t *Attempts) Remove(f FlowID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeMatching(f.caller, func(a attempt) bool { return a.flow == f })
}

// IsRetry reports whether the opening packet of a flow is a retry after an unanswered attempt of the same caller. If it
// is, that attempt is deleted.
func (t *Attempts) IsRetry(now time.Time, f FlowID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.callers[f.caller] {
		if age := now.Sub(a.startedAt); a.mayBeRetried(age) {
			t.removeMatching(f.caller, func(o attempt) bool { return o == a })
			return true
		}
	}
	return false
}

// Sweep removes attempts that are too old for a retry.
func (t *Attempts) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for caller := range t.callers {
		t.removeMatching(caller, func(a attempt) bool { return now.Sub(a.startedAt) > maxRetryAge })
	}
}

func (t *Attempts) removeMatching(caller uint32, match func(a attempt) bool) {
	kept := t.callers[caller][:0]
	for _, a := range t.callers[caller] {
		if !match(a) {
			kept = append(kept, a)
		}
	}
	if len(kept) == 0 {
		delete(t.callers, caller)
		return
	}
	t.callers[caller] = kept
}
