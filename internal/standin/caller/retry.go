package caller

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// tokensPerSuccess allows one retry for every ten answered requests.
	tokensPerSuccess = 10
	// maxTokens allows a burst of 20 retries.
	maxTokens      = 2000
	tokensPerRetry = 100
	firstBackoff   = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	maxAttempts    = 8
)

// retryBudget is a token bucket that limits retries to a share of the answered requests, so that retries do not
// multiply an overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens int
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxTokens} }

func (b *retryBudget) success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokensPerSuccess, maxTokens)
}

// take removes the tokens of one retry and reports whether there were enough.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}

// backoff returns the delay before a retry: exponential with jitter, from half to all of a time that doubles up to
// maxBackoff.
func backoff(r *rand.Rand, attempt int) time.Duration {
	d := min(firstBackoff<<min(attempt, 10), maxBackoff)
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
