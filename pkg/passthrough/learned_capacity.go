package passthrough

import (
	"time"

	"github.com/bramleymast/bramleymast/pkg/concurrency"
)

// patiencePeriod is how long the shortest fresh period of opening packets counts.
const patiencePeriod = 10 * time.Second

// learnedCapacity limits the requests in progress by what the backend server has shown; the zero value knows nothing and
// learns nothing.
//
// A request may wait at the backend server for as long as its caller's packet stays fresh in the queue of the agent. A
// slow server therefore has fewer waiting requests than a fast one, and the agent passes the others on.
type learnedCapacity struct {
	estimator *concurrency.Estimator
	estimate  concurrency.Estimate // at the last call of update
	// patience is the shortest fresh period of the opening packets since patienceAt.
	patience   time.Duration
	patienceAt time.Time
}

// onOpening updates what is known when an opening packet arrives whose caller waits for the given time.
func (c *learnedCapacity) onOpening(now time.Time, fresh time.Duration) {
	if c.estimator == nil {
		return
	}
	if c.patienceAt.IsZero() || fresh <= c.patience || now.Sub(c.patienceAt) > patiencePeriod {
		c.patience, c.patienceAt = fresh, now
	}
	c.update(now)
}

func (c *learnedCapacity) update(now time.Time) { c.estimate = c.estimator.Estimate(now) }

func (c *learnedCapacity) setInProgress(now time.Time, n int) {
	if c.estimator != nil {
		c.estimator.SetInProgress(now, n)
	}
}

func (c *learnedCapacity) add(now time.Time, a concurrency.Answer) {
	if c.estimator != nil {
		c.estimator.Add(now, a)
		c.update(now)
	}
}

// reset forgets an earlier run of the backend server.
func (c *learnedCapacity) reset() {
	if c.estimator != nil {
		c.estimator.Reset()
		c.estimate = concurrency.Estimate{}
	}
}

// limit returns the number of requests in progress beyond which answers only get slower, or false if it is not known.
func (c *learnedCapacity) limit() (int, bool) { return c.estimate.Limit, c.estimate.IsKnown() }

// requestLimit returns the number of requests in progress at which the next one would wait for too long, or false if it
// is not known.
func (c *learnedCapacity) requestLimit() (int, bool) {
	return c.estimate.InProgressFor(c.patience), c.estimate.IsKnown()
}

// report adds what is known to a load with the given number of requests in progress.
func (c *learnedCapacity) report(now time.Time, inProgress int, l *Load) {
	if c.estimator == nil {
		return
	}
	c.update(now)
	if !c.estimate.IsKnown() {
		return
	}
	l.Limit = uint16(min(c.estimate.Limit, 1<<15)) //nolint:gosec // bounded by min
	l.ServiceTime = c.estimate.ServiceTime
	l.Wait = c.estimate.Wait(inProgress)
}
