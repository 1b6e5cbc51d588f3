package agent

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/placement"
)

// Reasons for which an agent drops a packet; the text is the value of the reason label of the metric.
const (
	errUnknownService = errors.ConstError("unknown_service")
	errTriedAll       = errors.ConstError("tried_all")
	errNoCapacity     = errors.ConstError("no_capacity")
	errNoFlow         = errors.ConstError("no_flow")
	errZoneOut        = errors.ConstError("zone_out")
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
	// up is true when the packet goes to a higher-ranked member before this agent has decided on its flow.
	up bool
	// settled is true when the packet goes to the agent that takes the flow without a further decision.
	settled bool
	reason  error
}

// hop notes in the tried list that an agent passes the packet on, and reports whether there was room.
// A packet that goes up leaves an entry that names no agent: it counts as a hop, and the agent can still be
// chosen when the higher-ranked member has no room.
func (v verdict) hop(self flow.ShortID, tried *flow.Visited) bool {
	if v.settled {
		return true
	}
	if v.up {
		return tried.Add(0)
	}
	return tried.Add(self)
}

// situation is the state of the agent that a decision depends on.
type situation struct {
	view *flow.View
	// opens is false once the agent takes no new flows.
	opens bool
	// closed is true once the grace period of the agent's zone is over.
	closed bool
	// room is true while the connection limit allows another flow.
	room bool
	load placement.Load
}

// steering decides on forward datagrams without I/O.
type steering struct {
	tag       connTag
	self      flow.ShortID
	flows     flowTable
	redirects redirectTable
	placer    placement.Placer
}

// decide returns what happens to a packet.
func (s *steering) decide(now time.Time, d *wire.Datagram, at situation) verdict {
	owned := s.tag.owns(d.Payload)
	if at.closed {
		return s.decideClosed(d, at.view, owned)
	}
	if owned {
		s.flows.adopt(now, d.Caller, originOf(d))
		return verdict{action: actionDeliver}
	}
	if !d.Opening {
		return s.pass(d, at.view, false)
	}
	first := openingID(d.Payload)
	if s.flows.opens(d.Caller, originOf(d), first, at.opens) {
		return verdict{action: actionDeliver}
	}
	return s.decideOpening(now, d, at, first)
}

// decideClosed drops the packets of the agent's own flows, which have ended with the grace of its zone. Others may come
// from a balancer that has heard of the zone late, and go on to the agents that serve.
func (s *steering) decideClosed(d *wire.Datagram, v *flow.View, owned bool) verdict {
	if !owned {
		if next := s.pass(d, v, d.Opening); next.action == actionPass {
			return next
		}
	}
	return verdict{action: actionDrop, reason: errZoneOut}
}

// decideOpening decides on an opening packet of an unknown flow.
func (s *steering) decideOpening(now time.Time, d *wire.Datagram, at situation, first uint64) verdict {
	if d.FinalHop {
		return s.acceptSettled(now, d, at, first)
	}
	if v, ok := s.redirected(now, d, at.view); ok {
		return v
	}
	if !at.opens {
		return s.pass(d, at.view, true)
	}
	hash := flow.NewKey(d.Caller, d.Service).Hash()
	tried := d.Visited
	if m := s.higher(now, d, at, hash); m != nil && tried.Add(0) {
		return verdict{action: actionPass, next: m, up: true}
	}
	if at.room && s.placer.Accepts(now, at.load, at.view, s.self) {
		return s.accept(now, d, first)
	}
	s.decline(now, d, at)
	tried = d.Visited
	if tried.Add(s.self) {
		if m := s.placer.NextMember(now, at.load, at.view, s.self, hash, tried); m != nil {
			s.redirects.put(now, d.Caller, m.ShortID(), false)
			return verdict{action: actionPass, next: m}
		}
	}
	return s.settle(now, d, at, first)
}

// decline notes the own load in the datagram if it is the lowest so far, and learns the lowest of the others.
func (s *steering) decline(now time.Time, d *wire.Datagram, at situation) {
	least := loadOf(d.LowestLoad)
	if d.LeastLoaded != 0 {
		s.placer.SetLoad(now, d.LeastLoaded, least)
	}
	if at.room && (d.LeastLoaded == 0 || at.load.Relative() < least.Relative()) {
		d.LeastLoaded = s.self
		d.LowestLoad = wireLoad(at.load)
	}
}

// settle gives a flow that every agent has declined to the least loaded one. The loads that co-members report are
// up to 500 ms old, so after a burst of flows the last agent of the ranking can be the fullest.
func (s *steering) settle(now time.Time, d *wire.Datagram, at situation, first uint64) verdict {
	if m, ok := at.view.Member(d.LeastLoaded); ok && d.LeastLoaded != s.self && m.AcceptsFlows() {
		s.redirects.put(now, d.Caller, d.LeastLoaded, true)
		d.FinalHop = true
		return verdict{action: actionPass, next: m, settled: true}
	}
	if at.room {
		return s.accept(now, d, first)
	}
	return verdict{action: actionDrop, reason: errNoCapacity}
}

// acceptSettled takes a flow that the agent had declined before, because all others are more loaded.
func (s *steering) acceptSettled(now time.Time, d *wire.Datagram, at situation, first uint64) verdict {
	if at.opens && at.room {
		return s.accept(now, d, first)
	}
	return verdict{action: actionDrop, reason: errNoCapacity}
}

func loadOf(l wire.Load) placement.Load {
	return placement.Load{InProgress: uint32(l.InProgress), Flows: uint32(l.Flows), Slots: uint32(l.Slots)}
}

func wireLoad(l placement.Load) wire.Load {
	return wire.Load{InProgress: clamp(l.InProgress), Flows: clamp(l.Flows), Slots: clamp(l.Slots)}
}

func clamp(n uint32) uint16 { return uint16(min(n, math.MaxUint16)) }

// redirected returns where earlier opening packets of the flow went.
func (s *steering) redirected(now time.Time, d *wire.Datagram, v *flow.View) (verdict, bool) {
	r, ok := s.redirects.get(now, d.Caller)
	if !ok || (d.Visited.Has(r.to) && !r.settled) {
		return verdict{}, false
	}
	m, ok := v.Member(r.to)
	if !ok || !m.AcceptsFlows() {
		return verdict{}, false
	}
	d.FinalHop = r.settled
	return verdict{action: actionPass, next: m, settled: r.settled}, true
}

// higher returns the higher-ranked member that should decide on a flow first. After another agent has passed
// the flow on, a higher-ranked member is asked only when it seems to have room: the other may have left it out.
func (s *steering) higher(now time.Time, d *wire.Datagram, at situation, hash uint64) *flow.Member {
	m := at.view.TopRanked(hash, true, d.Visited)
	if m == nil || m.ShortID() == s.self {
		return nil
	}
	if !declined(d.Visited) {
		return m
	}
	if !s.placer.HasCapacity(now, at.load, at.view, s.self, m.ShortID()) {
		return nil
	}
	s.redirects.put(now, d.Caller, m.ShortID(), false)
	return m
}

// declined reports whether an agent has decided to pass the packet on.
func declined(tried flow.Visited) bool {
	return slices.ContainsFunc(tried.IDs(), func(id flow.ShortID) bool { return id != 0 })
}

func originOf(d *wire.Datagram) origin {
	return origin{balancer: d.Balancer, address: d.Address}
}

func (s *steering) accept(now time.Time, d *wire.Datagram, first uint64) verdict {
	s.flows.accept(now, d.Caller, originOf(d), first)
	return verdict{action: actionDeliver}
}

// pass sends a packet to the next member of the ranking that it has not visited.
func (s *steering) pass(d *wire.Datagram, v *flow.View, opening bool) verdict {
	tried := d.Visited
	if !tried.Add(s.self) {
		return verdict{action: actionDrop, reason: errTriedAll}
	}
	m := v.TopRanked(flow.NewKey(d.Caller, d.Service).Hash(), opening, tried)
	if m == nil {
		return verdict{action: actionDrop, reason: errTriedAll}
	}
	return verdict{action: actionPass, next: m}
}

const (
	// redirectLifetime is longer than a handshake with its repetitions, all packets of which must reach one agent.
	redirectLifetime = 30 * time.Second
	// maxRedirects bounds the memory against opening packets with invented callers.
	maxRedirects = 4096
)

type redirect struct {
	caller  netip.AddrPort
	to      flow.ShortID
	settled bool
	expires time.Time
}

// redirectTable remembers to which agent opening packets of a flow were passed; the zero value is ready to use.
// It is used by the goroutine that reads the data socket.
type redirectTable struct {
	index map[netip.AddrPort]int
	ring  []redirect
	next  int
}

func (t *redirectTable) get(now time.Time, caller netip.AddrPort) (redirect, bool) {
	i, ok := t.index[caller]
	if !ok || !now.Before(t.ring[i].expires) {
		return redirect{}, false
	}
	return t.ring[i], true
}

// put stores an entry in place of the oldest one when the table is full.
func (t *redirectTable) put(now time.Time, caller netip.AddrPort, to flow.ShortID, settled bool) {
	r := redirect{caller: caller, to: to, settled: settled, expires: now.Add(redirectLifetime)}
	if t.index == nil {
		t.index = make(map[netip.AddrPort]int)
	}
	if i, ok := t.index[caller]; ok {
		t.ring[i] = r
		return
	}
	if len(t.ring) < maxRedirects {
		t.index[caller] = len(t.ring)
		t.ring = append(t.ring, r)
		return
	}
	delete(t.index, t.ring[t.next].caller)
	t.ring[t.next] = r
	t.index[caller] = t.next
	t.next = (t.next + 1) % maxRedirects
}
