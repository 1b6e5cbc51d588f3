package passthrough

import "time"

// window is the period over which the requests of a cold backend server are counted.
const window = time.Second

// SlidingWindowLimiter limits the number of events in any window; the zero value has no events.
type SlidingWindowLimiter struct {
	times []time.Time
}

// Allow reports whether an event stays within the limit, and counts it if it does.
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
