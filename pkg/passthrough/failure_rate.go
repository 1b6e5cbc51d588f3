package passthrough

import (
	"math"
	"time"
)

const (
	// outcomeHalfLife is the time after which an outcome counts half, so that a backend server that failed is tried
	// again.
	outcomeHalfLife = 3 * time.Second
	// assumedSuccesses is added to the count of requests, so that a single failure has little weight.
	assumedSuccesses = 4
	// hangTimeout is the time without a response after which a request counts as failed. It is far longer than a busy
	// backend server queues and processes a request.
	hangTimeout = 700 * time.Millisecond
)

// failureRate is the decaying share of failed requests at a backend server; the zero value has no requests.
//
// A backend server may fail requests while its health check succeeds, so only its responses count.
type failureRate struct {
	successes, failures float64
	at                  time.Time // when the counts were last decayed
}

func (r *failureRate) decay(now time.Time) {
	if !r.at.IsZero() {
		f := math.Exp2(-float64(now.Sub(r.at)) / float64(outcomeHalfLife))
		r.successes *= f
		r.failures *= f
	}
	r.at = now
}

// add counts the outcome of a request.
func (r *failureRate) add(now time.Time, failed bool) {
	r.decay(now)
	if failed {
		r.failures++
	} else {
		r.successes++
	}
}

// percent returns the share of requests that fail, in percent.
func (r *failureRate) percent(now time.Time) uint8 {
	r.decay(now)
	return uint8(math.Round(100 * r.failures / (r.successes + r.failures + assumedSuccesses)))
}
