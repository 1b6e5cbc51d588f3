package balancer

import (
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleymast/bramleymast/internal/wire"
)

// Reasons why a packet is dropped, in addition to those of package wire.
const (
	errUnknownService = errors.ConstError("unknown_service")
	errUnknownAddress = errors.ConstError("unknown_address")
	errShortOpening   = errors.ConstError("short_opening")
	errNoMember       = errors.ConstError("no_member")
	errSendFailed     = errors.ConstError("send_failed")
	errReadFailed     = errors.ConstError("read_failed")
)

// Values of the direction label.
const (
	directionForward = "forward"
	directionReturn  = "return"
)

// dropCounters holds one counter of dropped packets for each reason.
type dropCounters struct {
	malformed, oversized, unauthentic, unknownSender       prometheus.Counter
	unknownService, unknownAddress, noMember, shortOpening prometheus.Counter
	sendFailed, readFailed                                 prometheus.Counter
}

func newDropCounters(v *prometheus.CounterVec, direction string) dropCounters {
	of := func(reason error) prometheus.Counter { return v.WithLabelValues(direction, reason.Error()) }
	return dropCounters{
		malformed:      of(wire.ErrMalformed),
		oversized:      of(wire.ErrOversized),
		unauthentic:    of(wire.ErrUnauthentic),
		unknownSender:  of(wire.ErrUnknownSender),
		unknownService: of(errUnknownService),
		unknownAddress: of(errUnknownAddress),
		noMember:       of(errNoMember),
		shortOpening:   of(errShortOpening),
		sendFailed:     of(errSendFailed),
		readFailed:     of(errReadFailed),
	}
}

// count increments the counter of a reason; an unknown reason counts as readFailed.
func (c *dropCounters) count(reason error) {
	switch {
	case errors.Is(reason, wire.ErrMalformed):
		c.malformed.Inc()
	case errors.Is(reason, wire.ErrOversized):
		c.oversized.Inc()
	case errors.Is(reason, wire.ErrUnknownSender):
		c.unknownSender.Inc()
	case errors.Is(reason, wire.ErrUnauthentic):
		c.unauthentic.Inc()
	case errors.Is(reason, errUnknownService):
		c.unknownService.Inc()
	case errors.Is(reason, errUnknownAddress):
		c.unknownAddress.Inc()
	case errors.Is(reason, errShortOpening):
		c.shortOpening.Inc()
	case errors.Is(reason, errNoMember):
		c.noMember.Inc()
	case errors.Is(reason, errSendFailed):
		c.sendFailed.Inc()
	default:
		c.readFailed.Inc()
	}
}

type metrics struct {
	fromCallers, fromAgents   prometheus.Counter
	forwarded, returned       prometheus.Counter
	cached, ranked            prometheus.Counter
	bindFailures              prometheus.Counter
	forwardDrops, returnDrops dropCounters
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	packets := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramleymast_balancer_packets_total",
		Help: "Packets sent on, by direction.",
	}, []string{"direction"})
	received := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramleymast_balancer_received_total",
		Help: "Packets read, by direction; each is then sent on or dropped.",
	}, []string{"direction"})
	steered := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramleymast_balancer_steered_total",
		Help: "Packets of callers by how their member was chosen: from the cache or by the ranking.",
	}, []string{"by"})
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramleymast_balancer_dropped_total",
		Help: "Packets dropped, by direction and reason.",
	}, []string{"direction", "reason"})
	m := &metrics{
		fromCallers: received.WithLabelValues(directionForward),
		fromAgents:  received.WithLabelValues(directionReturn),
		forwarded:   packets.WithLabelValues(directionForward),
		returned:    packets.WithLabelValues(directionReturn),
		cached:      steered.WithLabelValues("cache"),
		ranked:      steered.WithLabelValues("ranking"),
		bindFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleymast_balancer_bind_failures_total",
			Help: "Failed attempts to bind a service address.",
		}),
		forwardDrops: newDropCounters(dropped, directionForward),
		returnDrops:  newDropCounters(dropped, directionReturn),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{received, packets, steered, dropped, m.bindFailures} {
		if err := r.Register(c); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return m, nil
}
