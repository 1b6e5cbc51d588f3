package agent

import (
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// Reasons for which an agent drops a packet; the text is the value of the reason label of the metric.
const (
	errUnknownService = errors.ConstError("unknown_service")
	errTriedAll       = errors.ConstError("tried_all")
	errNoFlow         = errors.ConstError("no_flow")
)

type action uint8

const (
	actionDeliver action = iota + 1
	actionPass
	actionDrop
)

// verdict is the decision on one forward datagram.
type verdict struct {
	action action
	next   *flow.Member
	reason error
}

// steering decides on forward datagrams without I/O.
type steering struct {
	view  *flow.View
	tag   connTag
	self  flow.ShortID
	flows *flowTable
}

// decide returns what happens to a packet.
func (s *steering) decide(now time.Time, d *wire.Datagram) verdict {
	if s.tag.owns(d.Payload) {
		s.flows.adopt(now, d.Caller, d.Balancer)
		s.flows.heard(d.Caller, d.Balancer)
		return verdict{action: actionDeliver}
	}
	if !d.Opening {
		return s.next(d, false)
	}
	if s.flows.heard(d.Caller, d.Balancer) {
		return verdict{action: actionDeliver}
	}
	s.flows.accept(now, d.Caller, d.Balancer)
	return verdict{action: actionDeliver}
}

// next passes a packet to the next member of the ranking.
func (s *steering) next(d *wire.Datagram, opening bool) verdict {
	tried := d.Tried
	if !tried.Add(s.self) {
		return verdict{action: actionDrop, reason: errTriedAll}
	}
	hash := flow.NewKey(d.Caller, d.Service).Hash()
	m := s.view.First(hash, opening, tried)
	if m == nil {
		return verdict{action: actionDrop, reason: errTriedAll}
	}
	return verdict{action: actionPass, next: m}
}

// route is where a packet for a caller goes.
type route struct {
	balancer    netip.AddrPort
	established bool
}

// route returns the way back to a caller.
func (t *flowTable) route(now time.Time, caller netip.AddrPort) (route, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[caller]
	if !ok {
		return route{}, false
	}
	if r.unanswered.IsZero() {
		r.unanswered = now
	}
	return route{balancer: r.balancer, established: r.established}, true
}
