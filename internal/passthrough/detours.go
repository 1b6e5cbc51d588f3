package passthrough

import (
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramleymast/bramleymast/pkg/detour"
)

// relayedPerSecond limits the datagrams that a process relays, since its host may be small.
const relayedPerSecond = 500

// Events of detours.
const (
	// eventDetoured counts datagrams that were sent to a relay, eventRelayed those that were sent on as a relay.
	eventDetoured flowEvent = "detoured"
	eventRelayed  flowEvent = "relayed"
	// eventDetourChosen and eventDetourEnded count changes of the detours to an agent.
	eventDetourChosen flowEvent = "detour_chosen"
	eventDetourEnded  flowEvent = "detour_ended"
)

// detours sends the datagrams of a process through relays, and relays those of other processes. A nil value does
// neither.
type detours struct {
	link    *link
	table   detour.Table
	relayed detour.Limiter
	logger  hclog.Logger
}

// newDetours makes a link use detours if the deployment asks for them, or returns nil.
func newDetours(l *link, features Features, logger hclog.Logger) *detours {
	if !features.Has(Detours) {
		return nil
	}
	d := &detours{link: l, relayed: detour.Limiter{Rate: relayedPerSecond}, logger: logger}
	l.detours = d
	l.metrics.addGauge("bramleymast_detours", "Processes to which datagrams go through a relay.", func() float64 { return float64(d.table.Len()) })
	return d
}

// relayTo returns the relay for datagrams to a process, or false if they go directly.
func (d *detours) relayTo(to netip.AddrPort) (netip.AddrPort, bool) {
	if d == nil || d.table.Len() == 0 {
		return netip.AddrPort{}, false
	}
	return d.table.Relay(time.Now(), to)
}

// source is where a datagram came from.
type source struct {
	address netip.AddrPort
	// relay is the process that sent the datagram on; it is not valid if the datagram was received directly.
	relay netip.AddrPort
}

func (s source) direct() bool { return !s.relay.IsValid() }

// open decodes a datagram and returns where it came from. It returns a nil message for a datagram that was sent on, or
// dropped because this process takes part in no detours.
func (d *detours) open(now time.Time, from netip.AddrPort, data []byte) (message, source, error) {
	m, err := decodeMessage(data)
	wrapped, ok := m.(*relay)
	if err != nil || !ok {
		return m, source{address: from}, err
	}
	if d == nil {
		return nil, source{}, nil
	}
	if wrapped.to != d.link.self {
		d.sendOn(now, wrapped)
		return nil, source{}, nil
	}
	m, err = decodeMessage(wrapped.datagram)
	if _, ok := m.(*relay); ok {
		return nil, source{}, nil
	}
	return m, source{address: wrapped.from, relay: from}, err
}

// sendOn sends a datagram to its receiver, unless it has visited a relay before or too many have been relayed.
func (d *detours) sendOn(now time.Time, m *relay) {
	if m.forwarded {
		d.link.metrics.count(eventDropped, "relayed_twice")
		return
	}
	if !d.relayed.Allow(now) {
		d.link.metrics.count(eventDropped, "relay_limit")
		return
	}
	d.link.metrics.count(eventRelayed, reasonNone)
	m.forwarded = true
	d.link.sendDirect(m.to, m)
}

// balancerDetours decides which agents a balancer reaches through a relay. A nil value reaches all directly.
type balancerDetours struct {
	*detours
	planner *detour.Planner
	zone    string
	// setDetoured tells the placement of flows which agents are behind a detour, probe returns a probe of the balancer.
	setDetoured func(agent netip.AddrPort, detoured bool)
	probe       func() *probe
}

// asked records that a datagram that requires an answer was sent to an agent.
func (d *balancerDetours) asked(now time.Time, agent netip.AddrPort) {
	if d == nil {
		return
	}
	if _, ok := d.relayTo(agent); !ok {
		d.planner.Asked(now, agent)
	}
}

// received records a message of an agent.
func (d *balancerDetours) received(now time.Time, src source, m message) {
	if d == nil {
		return
	}
	if c, ok := m.(*checked); ok && !src.direct() {
		d.planner.Checked(now, src.address, src.relay, c.age)
		return
	}
	if !src.direct() {
		return
	}
	switch m.(type) {
	case *checkedFromOutside:
		d.planner.CheckedFromOutside(now, src.address)
	case *placed, *report:
		d.planner.Received(now, src.address, true)
	default:
		d.planner.Received(now, src.address, false)
	}
}

// setPeers replaces the agents, with the zone of each.
func (d *balancerDetours) setPeers(zones map[netip.AddrPort]string) {
	if d != nil {
		d.planner.SetPeers(zones)
	}
}

// unheard reports whether balancers of other zones serve callers better, because nothing reaches other zones from here.
func (d *balancerDetours) unheard() bool { return d != nil && d.planner.Unheard() }

// tick carries out what the planner decides.
func (d *balancerDetours) tick(now time.Time) {
	if d == nil {
		return
	}
	for _, action := range d.planner.Tick(now) {
		d.execute(action)
	}
}

func (d *balancerDetours) execute(action detour.Action) {
	switch action := action.(type) {
	case detour.Trial:
		d.link.sendDirect(action.To, d.probe())
	case detour.Check:
		d.link.sendVia(action.Relay, action.To, &check{probe: *d.probe(), zone: d.zone, answerByRelay: action.AnswerByRelay})
	case detour.Share:
		m := &share{detours: action.Detours}
		for _, to := range action.To {
			d.link.sendDirect(to, m)
		}
	case detour.Chosen:
		d.setDetoured(action.Peer, true)
		d.link.metrics.count(eventDetourChosen, directionsText(action.There, action.Back))
		d.logger.Warn("detour chosen", "agent", action.Peer, "zone", action.Zone, "relay", action.Relay, "directions", directionsText(action.There, action.Back))
	case detour.Ended:
		d.setDetoured(action.Peer, false)
		reason := "direct"
		if action.Lost {
			reason = "no_relay"
		}
		d.link.metrics.count(eventDetourEnded, reason)
		d.logger.Info("detour ended", "agent", action.Peer, "zone", action.Zone, "reason", reason)
	case detour.ZoneUnheard:
		d.logger.Warn("zone unheard", "zone", action.Zone, "unheard", action.Unheard)
	case detour.LinkDown:
		d.logger.Warn("link down", "from", action.From, "to", action.To)
	case detour.LinkUp:
		d.logger.Info("link up", "from", action.From, "to", action.To)
	}
}

// directionsText returns the directions that need a relay: to the agent, from it, or both.
func directionsText(there, back bool) string {
	switch {
	case there && back:
		return "both"
	case there:
		return "to"
	}
	return "from"
}

// agentDetours answers the checks of balancers and uses the relays that balancers of the zone share. A nil value does
// neither.
type agentDetours struct {
	*detours
	arrivals *detour.Arrivals
	zone     string
	// outsideReportedAt is when the balancers were last told about a check from another zone. Only the reader of the link
	// uses it.
	outsideReportedAt time.Time
}

// outsideReportInterval is the interval between reports of checks from other zones.
const outsideReportInterval = 500 * time.Millisecond

// reportOutsideCheck tells the balancers that one of another zone checks this agent, because it does not hear it. The
// balancers include those that have not sent anything for some seconds: they may be busy with probes of silent agents.
func (d *agentDetours) reportOutsideCheck(now time.Time, m *check) {
	if !d.isOutsideReportDue(now, m) {
		return
	}
	for _, b := range d.arrivals.Senders(maxUnansweredReports) {
		d.link.send(b, &checkedFromOutside{agent: d.link.self})
	}
}

// isOutsideReportDue reports whether balancers must be told that a check came from another zone.
func (d *agentDetours) isOutsideReportDue(now time.Time, m *check) bool {
	if d == nil || m.zone == d.zone || now.Sub(d.outsideReportedAt) < outsideReportInterval {
		return false
	}
	d.outsideReportedAt = now
	return true
}

// received records a message that was received directly from a balancer.
func (d *agentDetours) received(now time.Time, src source, m message) {
	if d == nil || !src.direct() {
		return
	}
	var origin netip.AddrPort
	switch m := m.(type) {
	case *forward:
		origin = m.origin
	case *search:
		origin = m.origin
	case *probe:
		origin = m.origin
	}
	if origin == src.address {
		d.arrivals.Add(now, origin)
	}
}

// answer answers a check directly, which is a trial of the direct way, and through the relay of the check.
func (d *agentDetours) answer(now time.Time, src source, m *check, r *report) {
	if d == nil || src.direct() {
		return
	}
	if m.answerByRelay {
		d.table.Set(m.origin, src.relay, now.Add(detour.AnswerTTL))
	} else {
		d.table.Remove(m.origin)
	}
	answer := &checked{report: *r, age: d.arrivals.Age(now, m.origin)}
	d.link.sendDirect(m.origin, answer)
	d.link.sendVia(src.relay, m.origin, answer)
}

// use uses the relays that a balancer of the zone has shared.
func (d *agentDetours) use(now time.Time, m *share) {
	if d == nil {
		return
	}
	for _, shared := range m.detours {
		if shared.To != d.link.self && shared.Relay != d.link.self {
			d.table.Set(shared.To, shared.Relay, now.Add(detour.ShareTTL))
		}
	}
}

// sweep removes what has expired.
func (d *agentDetours) sweep(now time.Time) {
	if d != nil {
		d.table.Sweep(now)
		d.arrivals.Sweep(now)
	}
}
