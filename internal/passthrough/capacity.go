package passthrough

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

const (
	// capacityLogInterval limits the log lines about the capacity of a backend server.
	capacityLogInterval = 2 * time.Second
	// capacityLogFactor is the change of the service time from which on it is logged.
	capacityLogFactor = 1.5
)

// observeRequests makes the agent follow the requests of all flows and learn the capacity of its backend server, if the
// deployment asks for features that need it, and registers their metrics.
func (a *Agent) observeRequests(features Features) {
	learns := features.Has(LearnedCapacity)
	switch {
	case learns:
		a.admitter.LearnCapacity()
	case features.Has(RequestPriorities):
		a.admitter.TrackRequests()
	default:
		return
	}
	gauge := func(name, help string, value func(l passthrough.Load) float64) {
		a.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			return value(a.admitter.Load(time.Now()))
		}))
	}
	gauge("bramleymast_requests_in_progress", "Requests at the backend server or in the queue for it.", func(l passthrough.Load) float64 {
		return float64(l.InProgress)
	})
	a.admitter.SetOutcomeObserver(func(o passthrough.RequestOutcome) { a.metrics.count(eventRequest, string(o)) })
	if !learns {
		return
	}
	gauge("bramleymast_capacity_limit", "Requests in progress beyond which answers only get slower; 0 if not known.", func(l passthrough.Load) float64 {
		return float64(l.Limit)
	})
	gauge("bramleymast_service_seconds", "Time that the backend server takes for a typical request; 0 if not known.", func(l passthrough.Load) float64 {
		return l.ServiceTime.Seconds()
	})
}

// capacityLog is what was last logged of the capacity of a backend server; the zero value is nothing.
type capacityLog struct {
	limit       uint16
	serviceTime time.Duration
	at          time.Time
}

// isDue reports whether the known capacity differs enough from what was last logged. That of a backend server which stops
// matters to nobody.
func (c capacityLog) isDue(now time.Time, l passthrough.Load) bool {
	if l.ServiceTime == 0 || !l.AcceptsFlows || now.Sub(c.at) < capacityLogInterval {
		return false
	}
	ratio := float64(l.ServiceTime) / float64(max(c.serviceTime, 1))
	return l.Limit != c.limit || ratio > capacityLogFactor || ratio < 1/capacityLogFactor
}

// logCapacity logs the capacity of the backend server if it has changed.
func (a *Agent) logCapacity(now time.Time) {
	if !a.cfg.Features.Has(LearnedCapacity) {
		return
	}
	l := a.admitter.Load(now)
	if !a.capacityLog.isDue(now, l) {
		return
	}
	a.cfg.Logger.Info("capacity changed", "limit", l.Limit, "slots", l.Slots, "service_ms", l.ServiceTime.Milliseconds(), "wait_ms", l.Wait.Milliseconds(), "in_progress", l.InProgress, "previous_limit", a.capacityLog.limit, "previous_service_ms", a.capacityLog.serviceTime.Milliseconds())
	a.capacityLog = capacityLog{limit: l.Limit, serviceTime: l.ServiceTime, at: now}
}
