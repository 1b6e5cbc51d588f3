package passthrough

import (
	"sync"
	"time"
)

// storeContact records which calls of a process the store has answered; the zero value is ready to use.
//
// A watch that waits while the store is silent, or that begins then, may never be answered, although the store answers
// other calls again. Nothing but the next call shows it, which may be a long time away.
type storeContact struct {
	mu                       sync.Mutex
	answeredAt, unansweredAt time.Time
}

func (c *storeContact) answered(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredAt = now
}

func (c *storeContact) unanswered(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unansweredAt = now
}

// silentSince reports whether a call was left unanswered at a time or later.
func (c *storeContact) silentSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unansweredAt.IsZero() && !c.unansweredAt.Before(t)
}

// recovered reports whether the store has answered since the last call that it left unanswered.
func (c *storeContact) recovered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answeredAt.After(c.unansweredAt)
}
