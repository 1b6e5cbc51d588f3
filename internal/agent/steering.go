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

// Reasons why an agent drops a packet; the text is the value of the metric's reason label.
const (
	errUnknownService = errors.ConstError("unknown_service")
	errAllVisited     = errors.ConstError("tried_all")
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

// decision is what the agent does with one forward datagram.
type decision struct {
	action action
	next   *flow.Member
	// toHigherRanked is true if a higher-ranked member must decide on the flow before this agent does.
	toHigherRanked bool
	// finalHop is true if the next agent accepts the flow without a further decision.
	finalHop bool
	reason   error
}

// markVisited adds self, which passes the packet on, to the visited list and reports whether the list had space. On a
// final hop it adds nothing. For a packet to a higher-ranked member it adds an entry without an agent: this counts as a
// hop, and self can still be chosen if the higher-ranked member has no capacity.
func (dec decision) markVisited(self flow.ShortID, visited *flow.Visited) bool {
	if dec.finalHop {
		return true
	}
	if dec.toHigherRanked {
		return visited.Add(0)
	}
	return visited.Add(self)
}

// agentState is the state of the agent that a decision depends on.
type agentState struct {
	view *flow.View
	// acceptsFlows is false while the agent is draining.
	acceptsFlows bool
	// zoneClosed is true once the zone of the agent is out and its grace period is over.
	zoneClosed bool
	// belowLimit is true while the connection limit allows another flow.
	belowLimit bool
	load       placement.Load
}

// steering decides which agent gets a forward datagram; it does no I/O.
type steering struct {
	tag       connTag
	self      flow.ShortID
	flows     flowTable
	redirects redirectTable
	placer    placement.Placer
}

// decide returns the decision on a packet.
func (s *steering) decide(now time.Time, d *wire.Datagram, state agentState) decision {
	owned := s.tag.matches(d.Payload)
	if state.zoneClosed {
		return s.decideZoneClosed(d, state.view, owned)
	}
	if owned {
		s.flows.recordOwned(now, d.Caller, originOf(d))
		return decision{action: actionDeliver}
	}
	if !d.Opening {
		return s.passOn(d, state.view, false)
	}
	id := openingID(d.Payload)
	if s.flows.matchOpening(d.Caller, originOf(d), id, state.acceptsFlows) {
		return decision{action: actionDeliver}
	}
	return s.decideOpening(now, d, state, id)
}

// decideZoneClosed drops the packets of the agent's own flows, which ended with the grace period of its zone. Other
// packets may come from a balancer with an outdated zone state and are passed on to agents that still serve.
func (s *steering) decideZoneClosed(d *wire.Datagram, v *flow.View, owned bool) decision {
	if !owned {
		if dec := s.passOn(d, v, d.Opening); dec.action == actionPass {
			return dec
		}
	}
	return decision{action: actionDrop, reason: errZoneOut}
}

// decideOpening decides on an opening packet of a flow that is not in the flow table.
func (s *steering) decideOpening(now time.Time, d *wire.Datagram, state agentState, openingID uint64) decision {
	if d.FinalHop {
		return s.acceptFinalHop(now, d, state, openingID)
	}
	if dec, ok := s.followRedirect(now, d, state.view); ok {
		return dec
	}
	if !state.acceptsFlows {
		return s.passOn(d, state.view, true)
	}
	hash := flow.NewKey(d.Caller, d.Service).Hash()
	visited := d.Visited
	if m := s.higherRanked(now, d, state, hash); m != nil && visited.Add(0) {
		return decision{action: actionPass, next: m, toHigherRanked: true}
	}
	if state.belowLimit && s.placer.Accepts(now, state.load, state.view, s.self) {
		return s.accept(now, d, openingID)
	}
	s.recordDecline(now, d, state)
	visited = d.Visited
	if visited.Add(s.self) {
		if m := s.placer.NextMember(now, state.load, state.view, s.self, hash, visited); m != nil {
			s.redirects.put(now, d.Caller, m.ShortID(), false)
			return decision{action: actionPass, next: m}
		}
	}
	return s.assignLeastLoaded(now, d, state, openingID)
}

// recordDecline stores the lowest load in the datagram in the placer. If the agent is below its connection limit and has
// a lower load, it then replaces that load in the datagram.
func (s *steering) recordDecline(now time.Time, d *wire.Datagram, state agentState) {
	least := fromWireLoad(d.LowestLoad)
	if d.LeastLoaded != 0 {
		s.placer.SetLoad(now, d.LeastLoaded, least)
	}
	if state.belowLimit && (d.LeastLoaded == 0 || state.load.Relative() < least.Relative()) {
		d.LeastLoaded = s.self
		d.LowestLoad = toWireLoad(state.load)
	}
}

// assignLeastLoaded assigns to the least loaded agent a flow that every agent has declined. Reported loads are up to
// 500 ms old, so after a burst of flows the last agent of the ranking can have the highest load.
func (s *steering) assignLeastLoaded(now time.Time, d *wire.Datagram, state agentState, openingID uint64) decision {
	if m, ok := state.view.Member(d.LeastLoaded); ok && d.LeastLoaded != s.self && m.AcceptsFlows() {
		s.redirects.put(now, d.Caller, d.LeastLoaded, true)
		d.FinalHop = true
		return decision{action: actionPass, next: m, finalHop: true}
	}
	if state.belowLimit {
		return s.accept(now, d, openingID)
	}
	return decision{action: actionDrop, reason: errNoCapacity}
}

// acceptFinalHop accepts, if the agent still can, a flow that it declined earlier, because all other agents have a
// higher load.
func (s *steering) acceptFinalHop(now time.Time, d *wire.Datagram, state agentState, openingID uint64) decision {
	if state.acceptsFlows && state.belowLimit {
		return s.accept(now, d, openingID)
	}
	return decision{action: actionDrop, reason: errNoCapacity}
}

func fromWireLoad(l wire.Load) placement.Load {
	return placement.Load{InProgress: uint32(l.InProgress), Flows: uint32(l.Flows), Slots: uint32(l.Slots)}
}

func toWireLoad(l placement.Load) wire.Load {
	return wire.Load{InProgress: clamp(l.InProgress), Flows: clamp(l.Flows), Slots: clamp(l.Slots)}
}

func clamp(n uint32) uint16 { return uint16(min(n, math.MaxUint16)) }

// followRedirect returns the decision to pass a packet on to the agent to which earlier opening packets of its flow were
// passed, and reports whether that agent can be used.
func (s *steering) followRedirect(now time.Time, d *wire.Datagram, v *flow.View) (decision, bool) {
	r, ok := s.redirects.get(now, d.Caller)
	if !ok || (d.Visited.Has(r.agent) && !r.finalHop) {
		return decision{}, false
	}
	m, ok := v.Member(r.agent)
	if !ok || !m.AcceptsFlows() {
		return decision{}, false
	}
	d.FinalHop = r.finalHop
	return decision{action: actionPass, next: m, finalHop: r.finalHop}, true
}

// higherRanked returns the higher-ranked member that must decide on a flow first, or nil. If another agent has declined
// the flow, a higher-ranked member is returned only if it seems to have capacity, because the other agent may have
// skipped it.
func (s *steering) higherRanked(now time.Time, d *wire.Datagram, state agentState, hash uint64) *flow.Member {
	m := state.view.TopRanked(hash, true, d.Visited)
	if m == nil || m.ShortID() == s.self {
		return nil
	}
	if !declined(d.Visited) {
		return m
	}
	if !s.placer.HasCapacity(now, state.load, state.view, s.self, m.ShortID()) {
		return nil
	}
	s.redirects.put(now, d.Caller, m.ShortID(), false)
	return m
}

// declined reports whether an agent has declined the flow, so that the visited list names it.
func declined(visited flow.Visited) bool {
	return slices.ContainsFunc(visited.IDs(), func(id flow.ShortID) bool { return id != 0 })
}

func originOf(d *wire.Datagram) flowOrigin {
	return flowOrigin{balancer: d.Balancer, address: d.Address}
}

func (s *steering) accept(now time.Time, d *wire.Datagram, openingID uint64) decision {
	s.flows.insert(now, d.Caller, originOf(d), openingID)
	return decision{action: actionDeliver}
}

// passOn returns the decision to pass a packet on to the highest-ranked member that it has not visited, or to drop it if
// there is none.
func (s *steering) passOn(d *wire.Datagram, v *flow.View, opening bool) decision {
	visited := d.Visited
	if !visited.Add(s.self) {
		return decision{action: actionDrop, reason: errAllVisited}
	}
	m := v.TopRanked(flow.NewKey(d.Caller, d.Service).Hash(), opening, visited)
	if m == nil {
		return decision{action: actionDrop, reason: errAllVisited}
	}
	return decision{action: actionPass, next: m}
}

const (
	// redirectTTL exceeds the duration of a handshake with retransmissions, because all its packets must reach one agent.
	redirectTTL = 30 * time.Second
	// maxRedirects limits the memory that opening packets with spoofed caller addresses can take.
	maxRedirects = 4096
)

type redirect struct {
	caller   netip.AddrPort
	agent    flow.ShortID
	finalHop bool
	expires  time.Time
}

// redirectTable holds the agent to which opening packets of a flow were passed; the zero value is ready to use.
// Only the goroutine that reads the data socket uses it.
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

// put stores an entry; if the table is full, it replaces the oldest one.
func (t *redirectTable) put(now time.Time, caller netip.AddrPort, agent flow.ShortID, finalHop bool) {
	r := redirect{caller: caller, agent: agent, finalHop: finalHop, expires: now.Add(redirectTTL)}
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
