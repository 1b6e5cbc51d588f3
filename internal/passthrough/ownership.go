package passthrough

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// renewalsPerIdleTimeout is how often an owner renews the record of a flow in its directory within the time after which
// an unused record is removed.
const renewalsPerIdleTimeout = 3

// onOwnedPacket records where a packet of a flow at this agent came from. It notifies the balancer of the owner if the
// packet came by way of other agents, and renews the record in the directory.
//
// Each packet carries the directory of its balancer's current view. So the record moves when agents join or leave, and
// it does not expire in a flow whose packets all go straight to the owner.
func (a *Agent) onOwnedPacket(now time.Time, seg passthrough.Segment, m *forward) {
	f := seg.Flow()
	a.logRequest(seg, m.packet)
	var old returnPath
	a.returnPaths.Update(now, f, func(p returnPath, _ bool) returnPath {
		old = p
		p.origin, p.path, p.searched = m.origin, m.path, m.searched
		return p
	})
	if m.hops > 0 {
		a.notifyPlaced(now, f, m.origin, true)
	}
	if m.directory.Len() > 0 && a.isRegistrationDue(now, f, old, m.directory) {
		a.register(now, f, m.directory)
	}
}

// isRegistrationDue reports whether the agents of a directory must be notified of the owner of a flow again.
func (a *Agent) isRegistrationDue(now time.Time, f passthrough.FlowID, old returnPath, directory passthrough.Path) bool {
	if old.directory != directory || now.Sub(old.registeredAt) > a.state.idleTimeout()/renewalsPerIdleTimeout {
		return true
	}
	minAck, ok := a.admitter.MinAck(now, f)
	return ok && passthrough.NeedsRenewal(old.registered, minAck)
}

// register notifies the agents of a directory that this agent owns a flow. It does nothing for a flow that the backend
// server has not accepted yet; see onBackendPacket.
func (a *Agent) register(now time.Time, f passthrough.FlowID, directory passthrough.Path) {
	minAck, ok := a.admitter.MinAck(now, f)
	if !ok {
		return
	}
	for _, d := range directory.All() {
		if d != a.link.self {
			a.link.send(d, &owner{flow: f, agent: a.link.self, minAck: minAck})
		}
	}
	a.returnPaths.Update(now, f, func(p returnPath, _ bool) returnPath {
		p.directory, p.registeredAt, p.registered = directory, now, minAck
		return p
	})
}

// onUnknownFlow sends a packet of an unknown flow to the next agent of its path, or back to its balancer, which searches
// all agents.
func (a *Agent) onUnknownFlow(now time.Time, seg passthrough.Segment, m *forward) {
	if m.searched {
		a.deny(now, seg, m.origin) // The backend server has rejected the packet.
		return
	}
	next, ok := m.path.Next()
	for ok && next == a.link.self {
		next, ok = m.path.Next()
	}
	if ok && m.hops < maxHops {
		m.hops++
		m.likelyOwner = false
		a.link.send(next, m)
		return
	}
	if m.origin.Port() == 0 {
		a.metrics.count(eventDropped, "unknown_flow")
		a.cfg.Logger.Warn("packet dropped", "flow", seg.Flow().String(), "reason", "unknown_flow", "hops", m.hops)
		return
	}
	a.metrics.count(eventReturned, "unknown_flow")
	a.cfg.Logger.Info("packet sent back to the balancer", "flow", seg.Flow().String(), "reason", "unknown_flow", "hops", m.hops, "origin", m.origin)
	a.link.send(m.origin, &unowned{agent: a.link.self, hops: m.hops, packet: m.packet})
}

// onSearch passes a search on to the other agents of its group and delivers the packet if this agent owns the flow.
func (a *Agent) onSearch(now time.Time, m *search) {
	others := m.agents
	m.agents = nil
	for _, other := range others {
		if other != a.link.self {
			a.link.send(other, m)
		}
	}
	seg, err := a.cfg.Codec.Decode(m.packet, true)
	if err != nil || seg.IsOpening() {
		a.metrics.count(eventDropped, "malformed")
		a.cfg.Logger.Warn("search dropped", "origin", m.origin, "error", err)
		return
	}
	if a.records.refuseLost(now, seg) {
		return
	}
	found := &forward{origin: m.origin, revision: m.revision, hops: 1, directory: m.directory, searched: true, packet: m.packet}
	a.orderPacket(now, seg, found, func() {
		switch a.admitter.OnSearchedPacket(now, seg, slices.Contains(m.services, a.service)).(type) {
		case passthrough.Deliver:
			a.onOwnedPacket(now, seg, found)
			a.cfg.Logger.Info("searched packet delivered", "flow", seg.Flow().String(), "origin", m.origin)
			a.records.onDelivered(now, seg)
			a.deliver(m.packet)
		case passthrough.Deny:
			a.deny(now, seg, m.origin)
		}
	})
}

// deny notifies a balancer that the backend server does not hold a flow.
func (a *Agent) deny(now time.Time, seg passthrough.Segment, balancer netip.AddrPort) {
	a.metrics.count(eventDenied, reasonNone)
	a.link.send(balancer, &denied{flow: seg.Flow(), agent: a.link.self, ack: seg.Ack(), restarted: a.admitter.Restarted(now), newest: a.newest.get()})
}
