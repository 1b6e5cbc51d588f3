// Package admission limits the load of a backend server to what its contract allows.
//
// The package does no I/O and reads no clock: callers pass the time in and act on the returned decisions.
package admission

import (
	"math"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Reasons for refusing a slot to a request; the text is the value of the reason label of a metric.
const (
	ErrQueueFull   = errors.ConstError("queue_full")
	ErrWaitTimeout = errors.ConstError("no_slot_in_time")
	ErrDeadline    = errors.ConstError("deadline")
)

const (
	// maxQueuedPerSlot is the maximum length of the wait queue per slot; requests in a longer queue would time out.
	maxQueuedPerSlot = 4
	// DefaultWarmPeriod is how long a backend server stays warm after its last answer.
	DefaultWarmPeriod = time.Minute
)

// ColdReason is the reason for a cold start of a backend server.
type ColdReason string

// Reasons for a cold start; each is also the value of the reason label of a metric.
const (
	ColdStarted   ColdReason = "started"
	ColdRestarted ColdReason = "sentinel_closed"
	ColdRefused   ColdReason = "dial_refused"
	ColdShedding  ColdReason = "shedding"
	ColdSlow      ColdReason = "slow"
	ColdIdle      ColdReason = "idle"
	ColdReturned  ColdReason = "returned"
)

// Limits are the limits of the contract for one backend server.
type Limits struct {
	// Slots is the maximum number of requests in progress at a warm backend server.
	Slots int
	// ColdSlots is the maximum number of requests in progress at a cold backend server.
	ColdSlots int
	// Connections is the maximum number of open flows.
	Connections int
	// Ramp is how long the limit takes to rise from ColdSlots to Slots.
	Ramp time.Duration
	// Wait is the longest time that a request may wait for a slot.
	Wait time.Duration
	// WarmPeriod is how long the server stays warm after its last answer; 0 means DefaultWarmPeriod.
	WarmPeriod time.Duration
}

// ID identifies a request within its Limiter.
type ID uint64

// Decision is the admission decision for a request.
type Decision struct {
	ID ID
	// Err is nil if the request now holds a slot, and otherwise the reason for its refusal.
	Err error
}

// Result is the result of a request that held a slot.
type Result uint8

// Results of a request.
const (
	// ResultNone means that the request shows nothing about the backend server, such as after a cancellation.
	ResultNone Result = iota
	// ResultAnswered means that the backend server answered.
	ResultAnswered
	// ResultShed means that the backend server answered 503.
	ResultShed
	// ResultRefused means that the backend server refused the connection.
	ResultRefused
)

// Observation is the result of a request and the service time of the backend server.
type Observation struct {
	Result Result
	// ServiceTime is the time from the request to the first byte of the answer.
	ServiceTime time.Duration
}

type queuedRequest struct {
	id      ID
	expires time.Time
	err     error // the reason for the refusal at expires
}

// Limiter admits requests to the slots of one backend server. It is not safe for concurrent use.
type Limiter struct {
	limits         Limits
	nextID         ID
	running        map[ID]int // concurrency at the start of each request
	queue          []queuedRequest
	flows          int
	rampStart      time.Time
	rampStartSlots float64
	coldReason     ColdReason
	lastAnswer     time.Time
	serviceTimes   []serviceTimes // by concurrency
	coldStarts     map[ColdReason]int
}

// NewLimiter returns a limiter that treats the backend server as cold, because its state is unknown.
func NewLimiter(now time.Time, limits Limits) *Limiter {
	l := &Limiter{running: make(map[ID]int), coldStarts: make(map[ColdReason]int), lastAnswer: now}
	l.SetLimits(limits)
	l.MarkCold(now, ColdStarted)
	return l
}

// SetLimits replaces the limits; requests that hold a slot keep it.
func (l *Limiter) SetLimits(limits Limits) {
	if limits.WarmPeriod == 0 {
		limits.WarmPeriod = DefaultWarmPeriod
	}
	l.limits = limits
	if n := limits.Slots + 1 - len(l.serviceTimes); n > 0 {
		l.serviceTimes = append(l.serviceTimes, make([]serviceTimes, n)...)
	}
}

// MarkCold restarts the ramp from the cold limit.
func (l *Limiter) MarkCold(now time.Time, reason ColdReason) {
	l.rampStart = now
	l.rampStartSlots = float64(l.limits.ColdSlots)
	l.coldReason = reason
	l.coldStarts[reason]++
}

// Slots returns the current maximum number of requests in progress.
func (l *Limiter) Slots(now time.Time) int {
	full, cold := float64(l.limits.Slots), float64(l.limits.ColdSlots)
	if l.limits.Ramp <= 0 {
		return l.limits.Slots
	}
	gain := (full - cold) * float64(now.Sub(l.rampStart)) / float64(l.limits.Ramp)
	return int(math.Floor(min(full, max(cold, l.rampStartSlots+gain))))
}

// Cold reports whether the current limit is below that of a warm backend server, and the reason of the last cold start.
func (l *Limiter) Cold(now time.Time) (ColdReason, bool) {
	return l.coldReason, l.Slots(now) < l.limits.Slots
}

// ColdCount returns the number of cold starts for a reason.
func (l *Limiter) ColdCount(reason ColdReason) int { return l.coldStarts[reason] }

// Limits returns the current limits.
func (l *Limiter) Limits() Limits { return l.limits }

// InProgress returns the number of requests that hold a slot.
func (l *Limiter) InProgress() int { return len(l.running) }

// Waiting returns the number of requests in the wait queue.
func (l *Limiter) Waiting() int { return len(l.queue) }

// Acquire requests a slot for a request with a deadline. If decided is false, the request is in the wait queue, and
// Release or Advance returns its decision later.
func (l *Limiter) Acquire(now, deadline time.Time) (d Decision, decided bool) {
	l.checkIdle(now)
	l.nextID++
	id := l.nextID
	if !now.Before(deadline) {
		return Decision{ID: id, Err: ErrDeadline}, true
	}
	if len(l.queue) == 0 && len(l.running) < l.Slots(now) {
		l.start(id)
		return Decision{ID: id}, true
	}
	if len(l.queue) >= maxQueuedPerSlot*l.limits.Slots || l.limits.Wait <= 0 {
		return Decision{ID: id, Err: ErrQueueFull}, true
	}
	r := queuedRequest{id: id, expires: now.Add(l.limits.Wait), err: ErrWaitTimeout}
	if deadline.Before(r.expires) {
		r.expires, r.err = deadline, ErrDeadline
	}
	l.queue = append(l.queue, r)
	return Decision{ID: id}, false
}

// checkIdle marks the server as cold if no request is in progress and the last answer is older than the warm period.
func (l *Limiter) checkIdle(now time.Time) {
	if len(l.running) == 0 && now.Sub(l.lastAnswer) > l.limits.WarmPeriod {
		l.lastAnswer = now
		l.MarkCold(now, ColdIdle)
	}
}

func (l *Limiter) start(id ID) { l.running[id] = len(l.running) + 1 }

// Release removes a request that holds a slot or waits for one, and returns the decisions that this allows.
func (l *Limiter) Release(now time.Time, id ID, o Observation) []Decision {
	if concurrency, ok := l.running[id]; ok {
		delete(l.running, id)
		l.observe(now, concurrency, o)
	}
	l.queue = slices.DeleteFunc(l.queue, func(r queuedRequest) bool { return r.id == id })
	return l.Advance(now)
}

// Advance returns the decisions for queued requests that get a slot or are refused at the time now.
func (l *Limiter) Advance(now time.Time) []Decision {
	var ds []Decision
	l.queue = slices.DeleteFunc(l.queue, func(r queuedRequest) bool {
		if now.Before(r.expires) {
			return false
		}
		ds = append(ds, Decision{ID: r.id, Err: r.err})
		return true
	})
	for len(l.queue) > 0 && len(l.running) < l.Slots(now) {
		id := l.queue[0].id
		l.queue = l.queue[1:]
		l.start(id)
		ds = append(ds, Decision{ID: id})
	}
	return ds
}

// NextAdvance returns the time at which Advance must be called next, or false if no request waits.
func (l *Limiter) NextAdvance(now time.Time) (time.Time, bool) {
	if len(l.queue) == 0 {
		return time.Time{}, false
	}
	next := l.queue[0].expires
	for _, r := range l.queue {
		if r.expires.Before(next) {
			next = r.expires
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

// Connect adds a flow. It returns false if the number of open flows is at the limit.
func (l *Limiter) Connect() bool {
	if l.flows >= l.limits.Connections {
		return false
	}
	l.flows++
	return true
}

// Disconnect removes a flow.
func (l *Limiter) Disconnect() { l.flows-- }

// Flows returns the number of open flows.
func (l *Limiter) Flows() int { return l.flows }
