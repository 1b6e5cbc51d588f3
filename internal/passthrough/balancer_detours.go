package passthrough

import (
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/pkg/detour"
)

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
