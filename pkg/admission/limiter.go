// Package admission keeps a backend server within the load that its contract states.
//
// The package does no I/O and reads no clock: callers pass the time in and carry out what is returned.
package admission

import (
	"math"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Reasons for which a request gets no slot; the text is the value of the reason label of a metric.
const (
	ErrQueueFull   = errors.ConstError("queue_full")
	ErrWaitTimeout = errors.ConstError("no_slot_in_time")
	ErrDeadline    = errors.ConstError("deadline")
)

const (
	// queuePerSlot bounds the waiting requests: a longer queue only adds requests that time out.
	queuePerSlot = 4
	// DefaultWarmPeriod is how long a backend server counts as warm after its last answer.
	DefaultWarmPeriod = time.Minute
)

// ColdReason is why a backend server counts as cold.
type ColdReason string

// Reasons of coldness; each is also the value of the reason label of a metric.
const (
	ColdStarted   ColdReason = "started"
	ColdRestarted ColdReason = "sentinel_closed"
	ColdRefused   ColdReason = "dial_refused"
	ColdShedding  ColdReason = "shedding"
	ColdSlow      ColdReason = "slow"
	ColdIdle      ColdReason = "idle"
	ColdReturned  ColdReason = "returned"
)

// Limits is what the contract states for one backend server.
type Limits struct {
	// Slots is the number of requests in progress of a warm backend server.
	Slots int
	// ColdSlots is the number of requests in progress of a cold one.
	ColdSlots int
	// Connections is the number of open flows.
	Connections int
	// Ramp is how long the limit takes to rise from ColdSlots to Slots.
	Ramp time.Duration
	// Wait is how long a request may wait for a slot.
	Wait time.Duration
	// WarmPeriod is how long the server counts as warm after its last answer; 0 means DefaultTrust.
	WarmPeriod time.Duration
}

// ID names a request within its Limiter.
type ID uint64

// Decision is what becomes of a request.
type Decision struct {
	ID ID
	// Err is nil when the request holds a slot now, and otherwise the reason of its refusal.
	Err error
}

// Result is how a request that held a slot ended.
type Result uint8

// Results of a request.
const (
	// ResultNone means that nothing can be learned, such as after a cancellation.
	ResultNone Result = iota
	// ResultAnswered means that the backend server answered.
	ResultAnswered
	// ResultShed means that the backend server answered 503.
	ResultShed
	// ResultRefused means that the backend server refused the connection.
	ResultRefused
)

// Observation is what a request has shown of the backend server.
type Observation struct {
	Result Result
	// ServiceTime is the time from the request to the first byte of the answer.
	ServiceTime time.Duration
}

type waiter struct {
	id    ID
	until time.Time
	err   error
}

// Limiter admits requests to the slots of one backend server, which it takes to be cold at first.
// It is not safe for concurrent use.
type Limiter struct {
	limits     Limits
	nextID     ID
	running    map[ID]int // concurrency at the start of each request
	waiting    []waiter
	flows      int
	rampStart  time.Time
	rampFrom   float64
	reason     ColdReason
	lastAnswer time.Time
	levels     []level
	cold       map[ColdReason]int
}

// NewLimiter returns a limiter for a backend server of which nothing is known.
func NewLimiter(now time.Time, limits Limits) *Limiter {
	l := &Limiter{running: make(map[ID]int), cold: make(map[ColdReason]int), lastAnswer: now}
	l.SetLimits(limits)
	l.MarkCold(now, ColdStarted)
	return l
}

// SetLimits takes the limits of a changed contract; requests that hold a slot keep it.
func (l *Limiter) SetLimits(limits Limits) {
	if limits.WarmPeriod == 0 {
		limits.WarmPeriod = DefaultWarmPeriod
	}
	l.limits = limits
	if n := limits.Slots + 1 - len(l.levels); n > 0 {
		l.levels = append(l.levels, make([]level, n)...)
	}
}

// MarkCold starts the ramp again from the cold limit.
func (l *Limiter) MarkCold(now time.Time, reason ColdReason) {
	l.rampStart = now
	l.rampFrom = float64(l.limits.ColdSlots)
	l.reason = reason
	l.cold[reason]++
}

// Slots returns how many requests may be in progress at a time.
func (l *Limiter) Slots(now time.Time) int {
	full, cold := float64(l.limits.Slots), float64(l.limits.ColdSlots)
	if l.limits.Ramp <= 0 {
		return l.limits.Slots
	}
	risen := (full - cold) * float64(now.Sub(l.rampStart)) / float64(l.limits.Ramp)
	return int(math.Floor(min(full, max(cold, l.rampFrom+risen))))
}

// Cold reports whether the limit is below that of a warm backend server, and why.
func (l *Limiter) Cold(now time.Time) (ColdReason, bool) {
	return l.reason, l.Slots(now) < l.limits.Slots
}

// ColdCount returns how often the backend server was taken to be cold for a reason.
func (l *Limiter) ColdCount(reason ColdReason) int { return l.cold[reason] }

// Limits returns the limits in force.
func (l *Limiter) Limits() Limits { return l.limits }

// InProgress returns how many requests hold a slot.
func (l *Limiter) InProgress() int { return len(l.running) }

// Waiting returns how many requests wait for a slot.
func (l *Limiter) Waiting() int { return len(l.waiting) }

// Acquire asks for a slot for a request with a deadline. The request waits when decided is false;
// its decision then comes from Leave or Advance.
func (l *Limiter) Acquire(now, deadline time.Time) (d Decision, decided bool) {
	l.distrust(now)
	l.nextID++
	id := l.nextID
	if !now.Before(deadline) {
		return Decision{ID: id, Err: ErrDeadline}, true
	}
	if len(l.waiting) == 0 && len(l.running) < l.Slots(now) {
		l.start(id)
		return Decision{ID: id}, true
	}
	if len(l.waiting) >= queuePerSlot*l.limits.Slots || l.limits.Wait <= 0 {
		return Decision{ID: id, Err: ErrQueueFull}, true
	}
	w := waiter{id: id, until: now.Add(l.limits.Wait), err: ErrWaitTimeout}
	if deadline.Before(w.until) {
		w.until, w.err = deadline, ErrDeadline
	}
	l.waiting = append(l.waiting, w)
	return Decision{ID: id}, false
}

// distrust takes the server to be cold when it has not answered for a long time.
func (l *Limiter) distrust(now time.Time) {
	if len(l.running) == 0 && now.Sub(l.lastAnswer) > l.limits.WarmPeriod {
		l.lastAnswer = now
		l.MarkCold(now, ColdIdle)
	}
}

func (l *Limiter) start(id ID) { l.running[id] = len(l.running) + 1 }

// Release ends a request that holds a slot or waits for one, and returns the requests that are decided by it.
func (l *Limiter) Release(now time.Time, id ID, o Observation) []Decision {
	if concurrency, ok := l.running[id]; ok {
		delete(l.running, id)
		l.learn(now, concurrency, o)
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(w waiter) bool { return w.id == id })
	return l.Advance(now)
}

// Advance returns the waiting requests that get a slot or are refused now.
func (l *Limiter) Advance(now time.Time) []Decision {
	var ds []Decision
	l.waiting = slices.DeleteFunc(l.waiting, func(w waiter) bool {
		if now.Before(w.until) {
			return false
		}
		ds = append(ds, Decision{ID: w.id, Err: w.err})
		return true
	})
	for len(l.waiting) > 0 && len(l.running) < l.Slots(now) {
		id := l.waiting[0].id
		l.waiting = l.waiting[1:]
		l.start(id)
		ds = append(ds, Decision{ID: id})
	}
	return ds
}

// NextAdvance returns when Advance must be called next, if a request waits.
func (l *Limiter) NextAdvance(now time.Time) (time.Time, bool) {
	if len(l.waiting) == 0 {
		return time.Time{}, false
	}
	next := l.waiting[0].until
	for _, w := range l.waiting {
		if w.until.Before(next) {
			next = w.until
		}
	}
	if _, cold := l.Cold(now); cold && l.limits.Slots > l.limits.ColdSlots {
		step := l.limits.Ramp / time.Duration(l.limits.Slots-l.limits.ColdSlots)
		if at := now.Add(step); at.Before(next) {
			next = at
		}
	}
	return next, true
}

// Connect counts a new flow and reports whether the limit allowed it.
func (l *Limiter) Connect() bool {
	if l.flows >= l.limits.Connections {
		return false
	}
	l.flows++
	return true
}

// Disconnect counts the end of a flow.
func (l *Limiter) Disconnect() { l.flows-- }

// Flows returns the number of open flows.
func (l *Limiter) Flows() int { return l.flows }
