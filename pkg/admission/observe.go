package admission

import (
	"slices"
	"time"
)

const (
	// recentSamples is the number of service times of which the recent median is taken.
	recentSamples = 8
	// baselineSamples is the number of service times that initialise a baseline.
	baselineSamples = 2 * recentSamples
	// slowFactor is the multiple of the baseline above which the recent median is slow. Empty caches after a
	// restart slow a server down by more than that, and queueing within the slots by less.
	slowFactor = 3
	// baselineStepDivisor sets the step of one sample to 1/32 of the baseline, so that the baseline follows a
	// lasting change of the requests within a few dozen answers.
	baselineStepDivisor = 32
	// slowMargin is added to the threshold, so that noise in very short service times does not exceed it.
	slowMargin = 5 * time.Millisecond
)

// serviceTimes holds the recent service times and the baseline for one number of requests in progress.
type serviceTimes struct {
	recent   [recentSamples]time.Duration
	n        int // samples added
	baseline time.Duration
}

func (t *serviceTimes) median() time.Duration {
	s := t.recent
	slices.Sort(s[:])
	return s[recentSamples/2]
}

// add stores a service time and reports whether the recent median is far above the baseline.
func (t *serviceTimes) add(d time.Duration) bool {
	t.recent[t.n%recentSamples] = d
	t.n++
	if t.n <= baselineSamples {
		t.baseline = t.median()
		return false
	}
	step := max(t.baseline/baselineStepDivisor, time.Microsecond)
	if d > t.baseline {
		t.baseline += step
	} else {
		t.baseline -= step
	}
	return t.median() > slowFactor*t.baseline+slowMargin
}

// observe updates the state of the backend server from an observation, and marks it as cold if that shows a cold start.
func (l *Limiter) observe(now time.Time, concurrency int, o Observation) {
	switch o.Result {
	case ResultAnswered:
		l.lastAnswer = now
		l.observeServiceTime(now, concurrency, o.ServiceTime)
	case ResultShed:
		l.lastAnswer = now
		l.observeShed(now)
	case ResultRefused:
		l.MarkCold(now, ColdRefused)
	case ResultNone:
	}
}

func (l *Limiter) observeServiceTime(now time.Time, concurrency int, d time.Duration) {
	if concurrency >= len(l.serviceTimes) {
		return
	}
	slow := l.serviceTimes[concurrency].add(d)
	if _, cold := l.Cold(now); slow && !cold {
		l.MarkCold(now, ColdSlow)
	}
}

// observeShed halves the limit. A server that keeps shedding reaches the cold limit within a few answers, and a
// single 503 that the application returns for a reason of its own costs only half a ramp.
func (l *Limiter) observeShed(now time.Time) {
	slots := max(float64(l.limits.ColdSlots), float64(l.Slots(now))/2)
	l.MarkCold(now, ColdShedding)
	l.rampStartSlots = slots
}
