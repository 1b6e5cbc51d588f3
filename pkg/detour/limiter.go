package detour

import (
	"sync"
	"time"
)

// Limiter limits a rate of events with a token bucket that holds the tokens of a second. The zero value allows nothing
// until Rate is set. It is safe for concurrent use.
type Limiter struct {
	// Rate is the number of events per second.
	Rate float64

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// Allow takes a token and reports whether there was one.
func (l *Limiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(l.tokens+max(now.Sub(l.at).Seconds(), 0)*l.Rate, l.Rate)
	l.at = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
