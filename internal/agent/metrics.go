package agent

import (
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleymast/bramleymast/pkg/admission"
)

// metrics counts forwarded and dropped packets, requests, retries and closed flows.
type metrics struct {
	dropped  *prometheus.CounterVec
	passedOn prometheus.Counter
	rotated  prometheus.Counter
	requests *prometheus.CounterVec
	retries  *prometheus.CounterVec
	flowsCut *prometheus.CounterVec
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "bramleymast_agent_" + name, Help: help})
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleymast_agent_" + name, Help: help}, labels)
}

func newMetrics(r prometheus.Registerer, adm *admitter) (*metrics, error) {
	m := &metrics{
		dropped:  counterVec("packets_dropped_total", "Packets that the agent dropped.", "reason"),
		passedOn: counter("packets_passed_total", "Packets that the agent passed on to another agent."),
		rotated:  counter("return_rotations_total", "Changes of the balancer through which a flow is answered."),
		requests: counterVec("requests_total", "Requests by outcome.", "outcome", "reason"),
		retries:  counterVec("retries_total", "Failed attempts that were repeated or not, by reason.", "reason"),
		flowsCut: counterVec("flows_cut_total", "Flows that were open at the end of a drain.", "reason"),
	}
	if r == nil {
		return m, nil
	}
	all := []prometheus.Collector{m.dropped, m.passedOn, m.rotated, m.requests, m.retries, m.flowsCut}
	for _, reason := range []admission.ColdReason{
		admission.ColdStarted, admission.ColdRestarted, admission.ColdRefused, admission.ColdShedding,
		admission.ColdSlow, admission.ColdIdle, admission.ColdReturned,
	} {
		all = append(all, prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "bramleymast_agent_cold_starts_total", Help: "How often the backend server was taken to be cold.",
			ConstLabels: prometheus.Labels{"reason": string(reason)},
		}, func() float64 { return adm.coldCount(reason) }))
	}
	for _, c := range all {
		if err := r.Register(c); err != nil {
			return nil, errors.Annotate(err, "cannot register the agent's metrics")
		}
	}
	return m, nil
}

func (m *metrics) drop(reason error) { m.dropped.WithLabelValues(reason.Error()).Inc() }

func (m *metrics) request(o outcome, reason error) {
	m.requests.WithLabelValues(string(o), reason.Error()).Inc()
}

func (m *metrics) answered(reason string) {
	m.requests.WithLabelValues(string(outcomeAnswered), reason).Inc()
}

func (m *metrics) retry(reason error) { m.retries.WithLabelValues(reason.Error()).Inc() }
