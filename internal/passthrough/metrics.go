package passthrough

import (
	"net"
	"net/http"
	"net/netip"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const metricsPath = "/metrics"

// flowEvent is what happened to a flow or packet; its text is the value of the event label.
type flowEvent string

// Events of flows and packets.
const (
	eventPlaced   flowEvent = "placed"
	eventAccepted flowEvent = "accepted"
	eventQueued   flowEvent = "held"
	eventPassedOn flowEvent = "passed_on"
	eventRefused  flowEvent = "refused"
	eventRejected flowEvent = "returned"
	eventDropped  flowEvent = "dropped"
	// eventReturned counts packets that an agent sent back to their balancer, eventSearched searches for an owner.
	eventReturned flowEvent = "sent_back"
	eventSearched flowEvent = "searched"
	// eventDenied counts searched flows that an agent's backend server does not hold.
	eventDenied flowEvent = "denied"
	// eventRequest counts requests by outcome.
	eventRequest flowEvent = "request"
	// eventRecorded counts writes of the record of open flows.
	eventRecorded flowEvent = "recorded"
	// eventRequestHeld counts requests on open flows that wait for capacity, by priority, and eventRequestReleased those
	// that are delivered, by reason. eventAbsorbed counts retransmissions of held packets.
	eventRequestHeld     flowEvent = "request_held"
	eventRequestReleased flowEvent = "request_released"
	eventAbsorbed        flowEvent = "copy_absorbed"
	// eventLevelChanged counts changes of the highest refused priority, by its new value.
	eventLevelChanged flowEvent = "level_changed"
)

// reasonBackendEnded is the reason for the reset of a flow whose backend server has ended.
const reasonBackendEnded = "backend_ended"

// reasonNone is the reason label of events without a reason.
const reasonNone = ""

// metrics holds the counters, histograms and gauges of a process.
type metrics struct {
	registry *prometheus.Registry
	events   *prometheus.CounterVec
	packets  prometheus.Counter
	fetches  *prometheus.CounterVec
	unsent   prometheus.Counter
	shares   *prometheus.CounterVec
	answers  prometheus.Histogram
	waits    prometheus.Histogram
	// staleWatches counts watches of the store that were interrupted.
	staleWatches *prometheus.CounterVec
	// storeReturns counts the returns of the store from an older copy.
	storeReturns prometheus.Counter
	holds        prometheus.Histogram
}

// reasonLabel is the label of the reason for a decision.
const reasonLabel = "reason"

// latencyBuckets are upper bounds in seconds, from a round trip within a zone to the longest deadline of a caller.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// gauges are functions that return the current values of the gauges.
type gauges struct {
	revision func() float64
	flows    func() float64
	agents   func() float64
	// refusedPriority may be nil.
	refusedPriority func() float64
}

func newMetrics(role string, g gauges) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleymast_flow_events_total", Help: "Decisions on flows and packets.",
		}, []string{"event", reasonLabel}),
		packets: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleymast_packets_total", Help: "Packets of callers.",
		}),
		fetches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleymast_state_fetches_total", Help: "Calls for state to other processes.",
		}, []string{"outcome"}),
	}
	m.unsent = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "bramleymast_unsent_datagrams_total", Help: "Datagrams that the host did not take for sending; they count as lost.",
	})
	m.shares = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramleymast_split_flows_total", Help: "New flows of routes with several services, by the service that got them.",
	}, []string{"service", reasonLabel})
	m.answers = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "bramleymast_answer_seconds", Help: "Time from a request to the first packet of its answer.", Buckets: latencyBuckets,
	})
	m.waits = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "bramleymast_wait_seconds", Help: "Time that an opening packet waited within the system before it was delivered.", Buckets: latencyBuckets,
	})
	m.staleWatches = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramleymast_stale_watches_total", Help: "Watches of the store that were interrupted, since they lacked a change that other processes knew or the store was silent.",
	}, []string{reasonLabel})
	m.storeReturns = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "bramleymast_store_returns_total", Help: "Returns of the store from an older copy that a balancer has noticed while it ran.",
	})
	m.holds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "bramleymast_hold_seconds", Help: "Time that a request on an open flow waited at its agent for capacity.", Buckets: latencyBuckets,
	})
	labels := prometheus.Labels{"role": role}
	gauge := func(name, help string, f func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, f)
	}
	m.registry.MustRegister(m.events, m.packets, m.fetches, m.unsent, m.shares, m.answers, m.waits, m.staleWatches, m.storeReturns, m.holds,
		gauge("bramleymast_operator_revision", "Store revision of the newest configuration or zone state.", g.revision),
		gauge("bramleymast_flows", "Flows that the process remembers.", g.flows),
		gauge("bramleymast_agents", "Agents that the process knows.", g.agents),
	)
	if g.refusedPriority != nil {
		m.registry.MustRegister(gauge("bramleymast_refused_priority", "Highest priority whose new flows are refused, with all lower ones; 0 if none is.", g.refusedPriority))
	}
	return m
}

// addGauge registers a gauge of an optional feature.
func (m *metrics) addGauge(name, help string, f func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
}

func (m *metrics) count(e flowEvent, reason string) {
	m.events.WithLabelValues(string(e), reason).Inc()
}

// Reasons why a service of a split route gets a flow: its weight, or no room in the service that the weights gave it to.
const (
	reasonWeight = "weight"
	reasonSpill  = "no_room"
)

// countShare counts a new flow of a route with several services.
func (m *metrics) countShare(service string, spilled bool) {
	reason := reasonWeight
	if spilled {
		reason = reasonSpill
	}
	m.shares.WithLabelValues(service, reason).Inc()
}

// send sends a datagram. A datagram that cannot be sent is counted and lost, like one that is lost on the network; its
// sender retransmits it.
func (m *metrics) send(conn *net.UDPConn, b []byte, to netip.AddrPort) {
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		m.unsent.Inc()
	}
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// newServer returns a server of the metrics at an address of the operator's choice, or nil if there is none or it is
// not available. The latter costs these metrics only: they stay at the readiness address, and the process goes on.
func (m *metrics) newServer(a netip.AddrPort, logger hclog.Logger) *httpServer {
	if !a.IsValid() {
		return nil
	}
	s, err := newHTTPServer(a)
	if err != nil {
		logger.Warn("metrics address not available", "address", a, "error", err)
		return nil
	}
	s.mux.Handle("GET "+metricsPath, m.handler())
	return s
}
