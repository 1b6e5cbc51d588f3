package passthrough

import (
	"math"
	"time"
)

const (
	// outcomeHalfLife is after which time an outcome counts half, so that a backend server is tried again.
	outcomeHalfLife = 3 * time.Second
	// outcomePrior is how many good outcomes are assumed, so that one failure says little.
	outcomePrior = 4
	// hangTime is far longer than a request waits and works at a backend server that is only busy.
	hangTime = 700 * time.Millisecond
)

// outcomes counts how the requests at a backend server have ended lately; the zero value has seen none.
//
// A backend server may fail requests while its health check is good, so only what it answers counts.
type outcomes struct {
	good, bad float64
	at        time.Time
}

func (o *outcomes) decay(now time.Time) {
	if !o.at.IsZero() {
		f := math.Exp2(-float64(now.Sub(o.at)) / float64(outcomeHalfLife))
		o.good *= f
		o.bad *= f
	}
	o.at = now
}

// note counts the outcome of a request.
func (o *outcomes) note(now time.Time, failed bool) {
	o.decay(now)
	if failed {
		o.bad++
	} else {
		o.good++
	}
}

// failing returns the share of requests that fail, in percent.
func (o *outcomes) failing(now time.Time) uint8 {
	o.decay(now)
	return uint8(math.Round(100 * o.bad / (o.good + o.bad + outcomePrior)))
}
