package agent

import (
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts what the agent passes on, drops and refuses.
type metrics struct {
	dropped *prometheus.CounterVec
	passed  prometheus.Counter
	rotated prometheus.Counter
	outcome *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleymast_agent_packets_dropped_total",
			Help: "Packets that the agent dropped, by reason.",
		}, []string{"reason"}),
		passed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleymast_agent_packets_passed_total",
			Help: "Packets that the agent passed on to another agent.",
		}),
		rotated: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleymast_agent_return_rotations_total",
			Help: "Changes of the balancer through which a flow is answered, after silence or the loss of the balancer.",
		}),
		outcome: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleymast_agent_requests_total",
			Help: "Requests by outcome and reason.",
		}, []string{"outcome", "reason"}),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.dropped, m.passed, m.rotated, m.outcome} {
		if err := r.Register(c); err != nil {
			return nil, errors.Annotate(err, "cannot register the agent's metrics")
		}
	}
	return m, nil
}

func (m *metrics) drop(reason error) { m.dropped.WithLabelValues(reason.Error()).Inc() }
