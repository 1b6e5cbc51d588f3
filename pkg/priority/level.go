package priority

import "time"

const (
	// AllAdmitted is the level at which no priority is refused.
	AllAdmitted = 0
	// lowestRefusable is the highest priority that a level may refuse, so that some requests are always admitted.
	lowestRefusable = 1
	// LastingOverload is how long requests must wait too long before any are refused. It is the time for which a caller
	// tries to open a flow, with its retries: overload that ends within it costs callers less by a wait than by refusals,
	// which use up their tries at once.
	LastingOverload = 4200 * time.Millisecond
	// gapWeight is the weight of one interval between starts in their mean.
	gapWeight = 1.0 / 8
)

// Level is the highest priority that is refused because its requests would wait for longer than their callers do, and
// with it all lower ones; the zero value admits all. It is not safe for concurrent use.
//
// A level answers load that lasts: order alone serves the higher priorities in time, but the callers of the lower ones
// wait until they give up, although a refusal would let them go elsewhere at once. It refuses no more than is needed to
// keep the wait at what callers bear, so the queue does not run empty while callers are refused.
type Level struct {
	refused int
	starts  map[int]*startRate
	// overloadedSince is since when requests have waited too long, with pauses of less than patience, and overloadedAt when
	// they last did.
	overloadedSince, overloadedAt time.Time
}

// startRate is how often waiting requests of a priority get capacity.
type startRate struct {
	// at is the last start, or when a request began to wait after a time without any.
	at  time.Time
	gap time.Duration // mean time between starts
}

// Refused returns the highest refused priority, or AllAdmitted.
func (l *Level) Refused() int { return l.refused }

// OnWait records that a request waits; others is the number of others of its priority that do.
func (l *Level) OnWait(now time.Time, priority, others int) {
	if r := l.rate(priority); others == 0 {
		r.at = now
	}
}

// OnStart records that a waiting request got capacity.
func (l *Level) OnStart(now time.Time, priority int) {
	r := l.rate(priority)
	if d := now.Sub(r.at); r.gap == 0 {
		r.gap = d
	} else {
		r.gap += time.Duration(float64(d-r.gap) * gapWeight)
	}
	r.at = now
}

func (l *Level) rate(priority int) *startRate {
	r, ok := l.starts[priority]
	if !ok {
		r = new(startRate)
		if l.starts == nil {
			l.starts = make(map[int]*startRate)
		}
		l.starts[priority] = r
	}
	return r
}

// Update sets the level by the waiting requests and reports whether it has changed. waiting returns the number of waiting
// requests of a priority, lowest is the lowest priority that waits, and patience is how long a caller waits. A priority
// is refused if a further request would wait for longer than patience, once one has for LastingOverload, and admitted
// again when it would wait for half of that.
func (l *Level) Update(now time.Time, lowest int, patience time.Duration, waiting func(priority int) int) bool {
	old := l.refused
	l.refused = l.excess(now, lowest, patience, waiting)
	if l.refused != AllAdmitted {
		if now.Sub(l.overloadedAt) > patience {
			l.overloadedSince = now
		}
		l.overloadedAt = now
	}
	if old == AllAdmitted && now.Sub(l.overloadedSince) < LastingOverload {
		l.refused = AllAdmitted
	}
	return l.refused != old
}

// excess returns the highest priority whose requests wait too long, or AllAdmitted.
func (l *Level) excess(now time.Time, lowest int, patience time.Duration, waiting func(priority int) int) int {
	for p := lowestRefusable; p <= lowest; p++ {
		limit := patience
		if l.refused != AllAdmitted && l.refused <= p {
			limit = patience / 2
		}
		if l.wait(now, p, waiting(p)) > limit {
			return p
		}
	}
	return AllAdmitted
}

// wait returns how long one more request would wait behind n others of its priority.
func (l *Level) wait(now time.Time, priority, n int) time.Duration {
	if n == 0 {
		return 0
	}
	r := l.rate(priority)
	return time.Duration(n)*r.gap + max(r.gap, now.Sub(r.at))
}

// Admits reports whether a level that another process has reported admits a priority.
func Admits(refused, priority int) bool { return refused < lowestRefusable || priority < refused }
