package caller

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// budgetPercent is how many retries a success earns, in percent of a retry.
	budgetPercent = 10
	// budgetBurst is how many retries can be saved up, in percent of a retry.
	budgetBurst  = 2000
	retryCost    = 100
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	maxAttempts  = 8
)

// budget bounds retries to a share of the successes, so that retries cannot multiply an overload.
type budget struct {
	mu     sync.Mutex
	tokens int
}

func newBudget() *budget { return &budget{tokens: budgetBurst} }

func (b *budget) success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetPercent, budgetBurst)
}

// take reports whether a retry is allowed.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < retryCost {
		return false
	}
	b.tokens -= retryCost
	return true
}

// backoff returns the time to wait before a retry: exponential, with full jitter above half of it.
func backoff(r *rand.Rand, attempt int) time.Duration {
	d := min(firstBackoff<<min(attempt, 10), maxBackoff)
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
