package admission

import (
	"slices"
	"time"
)

const (
	// recentSamples is the number of service times whose median stands for the present.
	recentSamples = 8
	// learnSamples is the number of service times after which a baseline is used.
	learnSamples = 2 * recentSamples
	// slowFactor is how many times the baseline the recent median must exceed. Caches that are empty
	// after a restart cost more than that; queueing within the slots costs less.
	slowFactor = 3
	// baselineShare is the part of the baseline by which one sample moves it, so that the baseline
	// follows a lasting change of the requests within some dozens of answers.
	baselineShare = 32
	// slowFloor keeps the noise of very short service times from counting as slowness.
	slowFloor = 5 * time.Millisecond
)

// level is what is known of the service time at one number of requests in progress.
type level struct {
	recent   [recentSamples]time.Duration
	n        int
	baseline time.Duration
}

func (v *level) median() time.Duration {
	s := v.recent
	slices.Sort(s[:])
	return s[recentSamples/2]
}

// add notes a service time and reports whether the recent ones are far above the baseline.
func (v *level) add(d time.Duration) bool {
	v.recent[v.n%recentSamples] = d
	v.n++
	if v.n <= learnSamples {
		v.baseline = v.median()
		return false
	}
	step := max(v.baseline/baselineShare, time.Microsecond)
	if d > v.baseline {
		v.baseline += step
	} else {
		v.baseline -= step
	}
	return v.median() > slowFactor*v.baseline+slowFloor
}

// learn judges from an observation whether the backend server is cold.
func (l *Limiter) learn(now time.Time, concurrency int, o Observation) {
	switch o.Result {
	case ResultAnswered:
		l.lastAnswer = now
		l.learnTime(now, concurrency, o.ServiceTime)
	case ResultShed:
		l.lastAnswer = now
		l.shed(now)
	case ResultRefused:
		l.MarkCold(now, ColdRefused)
	case ResultNone:
	}
}

func (l *Limiter) learnTime(now time.Time, concurrency int, d time.Duration) {
	if concurrency >= len(l.levels) {
		return
	}
	slow := l.levels[concurrency].add(d)
	if _, cold := l.Cold(now); slow && !cold {
		l.MarkCold(now, ColdSlow)
	}
}

// shed halves the limit. A server that goes on shedding reaches the cold limit within a few answers,
// and a single 503 that an application gives for its own reasons costs only half of a ramp.
func (l *Limiter) shed(now time.Time) {
	from := max(float64(l.limits.ColdSlots), float64(l.Slots(now))/2)
	l.MarkCold(now, ColdShedding)
	l.rampFrom = from
}
