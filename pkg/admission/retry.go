package admission

import "time"

const (
	// percentBase is the cost of one retry in budget units, each of which is one percent of a success.
	percentBase = 100
	// maxSavedRetries bounds the burst of retries after a long time without failures.
	maxSavedRetries = 10
)

// RetryBudget allows retries as a share of the successes; the zero value allows none.
// It is not safe for concurrent use.
type RetryBudget struct {
	percent int
	units   int
}

// NewRetryBudget returns an empty budget that gains percent retries with every 100 successes.
func NewRetryBudget(percent int) *RetryBudget { return &RetryBudget{percent: percent} }

// SetPercent changes the share of retries.
func (b *RetryBudget) SetPercent(percent int) { b.percent = percent }

// RecordSuccess counts a success.
func (b *RetryBudget) RecordSuccess() {
	b.units = min(b.units+b.percent, maxSavedRetries*percentBase)
}

// Allow reports whether a retry is allowed and counts it.
func (b *RetryBudget) Allow() bool {
	if b.units < percentBase {
		return false
	}
	b.units -= percentBase
	return true
}

// Defaults of Backoff.
const (
	DefaultBackoffBase = 20 * time.Millisecond
	DefaultBackoffMax  = time.Second
)

// Backoff gives the times between retries: exponential, with full jitter so that callers that failed
// together do not retry together. The zero value uses the defaults.
type Backoff struct {
	// Base bounds the first delay.
	Base time.Duration
	// Max bounds every delay.
	Max time.Duration
}

// Delay returns the time before retry number n, counted from 0, for a random number in [0, 1).
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
