package control

import (
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	sent, received     prometheus.Counter
	refused, decisions *prometheus.CounterVec
	refusedValues      *prometheus.CounterVec
	storeCalls         *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		sent:          counter("control_sent_bytes_total", "Bytes of control datagrams sent."),
		received:      counter("control_received_bytes_total", "Bytes of control datagrams received."),
		refused:       counterVec("control_refused_total", "Control datagrams and calls refused.", "reason"),
		decisions:     counterVec("control_decisions_total", "Decisions of the control core.", "reason"),
		refusedValues: counterVec("control_store_values_refused_total", "Store values that could not be used.", "reason"),
		storeCalls:    counterVec("control_store_calls_total", "Calls to the store.", "call"),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.sent, m.received, m.refused, m.decisions, m.refusedValues, m.storeCalls} {
		if err := r.Register(c); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return m, nil
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "bramleymast", Name: name, Help: help})
}

func counterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "bramleymast", Name: name, Help: help}, []string{label})
}
