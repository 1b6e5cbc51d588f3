package passthrough

import "time"

// window is the span in which a cold backend server's requests are counted.
const window = time.Second

// SlidingWindowLimiter allows at most a number of events in any second; the zero value has seen none.
type SlidingWindowLimiter struct {
	times []time.Time
}

// Allow notes an event and reports whether it stays within the limit.
func (l *SlidingWindowLimiter) Allow(now time.Time, limit int) bool {
	i := 0
	for i < len(l.times) && now.Sub(l.times[i]) >= window {
		i++
	}
	l.times = l.times[i:]
	if len(l.times) >= limit {
		return false
	}
	l.times = append(l.times, now)
	return true
}
