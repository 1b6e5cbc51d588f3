// Package concurrency estimates how fast a server works and how many requests it processes at a time without making each
// of them slower. The estimates come from the traffic itself: from the number of requests in progress and from the
// answers. The package does no I/O, starts no goroutines and reads no clock.
package concurrency

import (
	"math"
	"net/netip"
	"time"
)

const (
	// speedHalfLife is the half-life of the evidence of speed. It covers enough answers at a lightly used server, and is
	// shorter than the time for which callers put up with a server that has become slow again.
	speedHalfLife = 3 * time.Second
	// minAnswers is the number of answers below which nothing is known.
	minAnswers = 8
	// idleTTL is how long the speed of a server without requests is remembered. A server that gets none because it was
	// slow is tried again after that.
	idleTTL = 3 * time.Second
	// assumedServiceTime is how much busy time counts as much evidence as an answer, if answers do not come.
	assumedServiceTime = 200 * time.Millisecond
	// dispersion is the variance of the number of answers divided by their mean. Service times with a long tail have
	// one above that of independent answers, which is 1.
	dispersion = 2
	// maxServiceTime limits estimates of a server that has stopped answering.
	maxServiceTime = 5 * time.Second
)

// Answer is a request that a server has answered with success.
type Answer struct {
	// Route is the service address of the request. Requests of one route take about the same time.
	Route netip.AddrPort
	// Took is the time from the request to its answer, or 0 if it is not known exactly.
	Took time.Duration
	// InProgress is the number of requests in progress when the request started, with this one.
	InProgress int
}

// Estimator estimates the speed of one server; the zero value is ready to use. It is not safe for concurrent use.
//
// The speed is the number of answers for the time in which slots were busy, so requests that are still in progress count
// as well as answered ones: a server that stops answering gets slower with every moment. Answers are weighted by the work
// of their routes, so the estimate does not depend on the mix of routes.
type Estimator struct {
	slots      int
	inProgress int
	at         time.Time // when the counts were last updated
	usedAt     time.Time // when the number in progress last changed

	speed          speed
	slower, faster change
	// extraWork is by how much the work of the recent answers exceeds that of a typical one, as a share of it.
	extraWork float64
	// known means that there is enough evidence.
	known bool

	routes routeWork
	knee   knee

	fittedAt time.Time // when the knee was last looked for
}

// SetSlots sets how many requests the server processes at a time.
func (e *Estimator) SetSlots(slots int) {
	if slots != e.slots {
		e.slots = slots
		e.knee = newKnee(slots)
	}
}

// Reset forgets what was learned of the server, because another run of it has started. What its routes cost in
// comparison to each other stays.
func (e *Estimator) Reset() {
	e.forgetSpeed()
	e.knee = newKnee(e.slots)
}

func (e *Estimator) forgetSpeed() {
	e.speed, e.slower, e.faster, e.known = speed{}, change{}, change{}, false
}

// SetInProgress sets the number of requests in progress.
func (e *Estimator) SetInProgress(now time.Time, n int) {
	if n == e.inProgress {
		return
	}
	e.advance(now)
	e.inProgress = n
	e.usedAt = now
}

// Add records an answer, before SetInProgress reduces the number of requests in progress.
func (e *Estimator) Add(now time.Time, a Answer) {
	e.advance(now)
	work := e.routes.work(a.Route)
	e.speed.answers += work
	e.extraWork += (work - 1 - e.extraWork) / meanWorkAnswers
	e.knee.add(work)
	if typical, known := e.serviceTime(); known && a.Took > 0 {
		// A request that started behind others has waited for its share of the time.
		served := a.Took.Seconds() * min(1, float64(e.limit())/float64(max(a.InProgress, 1)))
		e.routes.add(now, a.Route, served/typical)
	}
	e.observe(0, work)
}

// fitInterval is how often the knee is looked for.
const fitInterval = 500 * time.Millisecond

// meanWorkAnswers is the number of answers over which the mean work of an answer is taken.
const meanWorkAnswers = 32

// advance accounts for the time since the last update, in which the number of requests in progress has not changed.
func (e *Estimator) advance(now time.Time) {
	if e.at.IsZero() {
		e.at = now
	}
	d := now.Sub(e.at)
	if d <= 0 {
		return
	}
	e.at = now
	if e.inProgress == 0 && now.Sub(e.usedAt) > idleTTL {
		e.forgetSpeed()
	}
	busy := float64(min(e.inProgress, e.limit())) * d.Seconds()
	e.speed.advance(d, busy)
	if typical, known := e.serviceTime(); known {
		e.knee.advance(d, e.inProgress, typical)
	}
	if now.Sub(e.fittedAt) >= fitInterval {
		e.fittedAt = now
		e.speed.busy *= e.knee.fit()
		e.routes.expire(now)
	}
	e.observe(busy, 0)
}

// observe compares what has happened with the estimate, and replaces the evidence if the speed has changed.
func (e *Estimator) observe(busy, answers float64) {
	typical, known := e.serviceTime()
	if !known {
		return
	}
	for _, c := range []struct {
		*change
		factor float64
	}{{&e.slower, 1 / changeFactor}, {&e.faster, changeFactor}} {
		if c.observe(c.factor, busy, answers, busy/typical) {
			e.speed = c.since
			e.slower, e.faster = change{}, change{}
			return
		}
	}
}

// serviceTime returns the time of a typical request with a free slot in seconds, or false if it is not known. What is
// known stays so until half of the necessary evidence has decayed.
func (e *Estimator) serviceTime() (seconds float64, known bool) {
	necessary := float64(minAnswers)
	if e.known {
		necessary /= 2
	}
	e.known = e.speed.busy > 0 && max(e.speed.answers, e.speed.busy/assumedServiceTime.Seconds()) >= necessary
	if !e.known {
		return 0, false
	}
	return min(e.speed.busy/max(e.speed.answers, 1), maxServiceTime.Seconds()), true
}

func (e *Estimator) limit() int { return max(e.knee.limit, 1) }

// Estimate returns what is known at the given time.
func (e *Estimator) Estimate(now time.Time) Estimate {
	e.advance(now)
	typical, known := e.serviceTime()
	if !known {
		return Estimate{}
	}
	return Estimate{
		Limit:       e.limit(),
		ServiceTime: time.Duration(typical * float64(time.Second)),
		perRequest:  time.Duration(typical * (1 + e.extraWork) * float64(time.Second)),
	}
}

// Estimate is what is known of a server; the zero value means that nothing is known.
type Estimate struct {
	// Limit is the number of requests in progress beyond which answers only get slower.
	Limit int
	// ServiceTime is how long a typical request of the service takes with a free slot, whatever the mix of routes.
	ServiceTime time.Duration
	// perRequest is how long a request takes with the recent mix of routes.
	perRequest time.Duration
}

// IsKnown reports whether there was enough evidence.
func (e Estimate) IsKnown() bool { return e.ServiceTime > 0 }

// Wait returns how long one more request waits for a slot behind the given number of requests in progress.
func (e Estimate) Wait(inProgress int) time.Duration {
	ahead := inProgress + 1 - e.Limit
	if !e.IsKnown() || ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * e.perRequest / time.Duration(e.Limit)
}

// InProgressFor returns the number of requests in progress at which another one waits for longer than the given time.
// It is above Limit, so that a slot that becomes free has a request waiting.
func (e Estimate) InProgressFor(wait time.Duration) int {
	waiting := int(min(wait*time.Duration(e.Limit)/max(e.perRequest, 1), math.MaxInt16))
	return e.Limit + max(waiting, 1)
}

// speed is decaying evidence of how fast a server works.
type speed struct {
	busy    float64 // slot-seconds in which requests were in progress
	answers float64 // weighted by the work of their routes
}

func (s *speed) advance(d time.Duration, busy float64) {
	f := math.Exp2(-float64(d) / float64(speedHalfLife))
	s.busy = s.busy*f + busy
	s.answers *= f
}
