package admission

import "time"

const (
	// unitsPerRetry is the cost of one retry in budget units; a success adds one unit per percent.
	unitsPerRetry = 100
	// maxRetryBurst is the maximum number of retries that a budget accumulates while there are no failures.
	maxRetryBurst = 10
)

// RetryBudget limits retries to a percentage of the successes; the zero value allows none.
// It is not safe for concurrent use.
type RetryBudget struct {
	percent int
	units   int
}

// NewRetryBudget returns an empty budget that allows percent retries per 100 successes.
func NewRetryBudget(percent int) *RetryBudget { return &RetryBudget{percent: percent} }

// SetPercent changes the percentage.
func (b *RetryBudget) SetPercent(percent int) { b.percent = percent }

// RecordSuccess adds the share of one success to the budget.
func (b *RetryBudget) RecordSuccess() {
	b.units = min(b.units+b.percent, maxRetryBurst*unitsPerRetry)
}

// Allow reports whether a retry is allowed, and if so deducts it from the budget.
func (b *RetryBudget) Allow() bool {
	if b.units < unitsPerRetry {
		return false
	}
	b.units -= unitsPerRetry
	return true
}

// Defaults of Backoff.
const (
	DefaultBackoffBase = 20 * time.Millisecond
	DefaultBackoffMax  = time.Second
)

// Backoff computes the delays between retries: exponential backoff with full jitter, so that callers whose requests
// failed together do not retry together. The zero value uses the defaults.
type Backoff struct {
	// Base is the maximum first delay.
	Base time.Duration
	// Max is the maximum delay.
	Max time.Duration
}

// Delay returns the delay before retry n, counted from 0, for a random number in [0, 1).
func (b Backoff) Delay(n int, random float64) time.Duration {
	base, limit := b.Base, b.Max
	if base <= 0 {
		base = DefaultBackoffBase
	}
	if limit <= 0 {
		limit = DefaultBackoffMax
	}
	for range n {
		if base >= limit {
			break
		}
		base *= 2
	}
	return time.Duration(random * float64(min(base, limit)))
}
