package passthrough

import (
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/route"
)

// onUnowned searches all agents for the owner of a flow, because no agent on the path of its packet has a record of it.
func (b *Balancer) onUnowned(now time.Time, m *unowned) {
	seg, err := b.cfg.Codec.Decode(m.packet, true)
	if err != nil || seg.IsOpening() {
		b.metrics.count(eventDropped, "malformed")
		b.cfg.Logger.Warn("packet dropped", "reason", "malformed", "agent", m.agent, "error", err)
		return
	}
	f := seg.Flow()
	r, ok := b.route(f.Address())
	if !ok {
		b.metrics.count(eventDropped, "no_route")
		return
	}
	services, _ := b.ownerServices(f, r)
	ids := make([]flow.ServiceID, 0, len(services))
	for _, s := range services {
		ids = append(ids, flow.ServiceIDOf(s))
	}
	groups := b.steerer.Search(now, f, services...)
	if len(groups) == 0 {
		b.metrics.count(eventDropped, "unknown_flow")
		return
	}
	_, directory := b.ownerPath(now, f, r)
	agents := 0
	for _, g := range groups {
		agents += len(g)
		b.link.send(g[0], &search{origin: b.link.self, revision: b.state.operatorRevision(), services: ids, directory: directory, agents: g[1:], packet: m.packet})
	}
	b.metrics.count(eventSearched, reasonNone)
	b.cfg.Logger.Info("owner searched", "flow", f.String(), "agents", agents, "groups", len(groups), "hops", m.hops, "last", m.agent)
}

// settlingPeriod is how long after its first list of agents a balancer expects entries that are missing from it. Entries
// that lapsed while the store was unavailable are back within 2 s, and changes are collected for up to 4 s.
const settlingPeriod = 6 * time.Second

// onDenied resets a flow at its caller once the agents of all services have denied it: its backend server has stopped or
// restarted, and the caller would wait until its deadline. Silence of an agent is no denial.
//
// A balancer that has not listed the agents, or not up to the newest one that others know, does not reset flows, because
// an agent that it does not know may own them. Neither does one that has dropped a silent agent, which may be paused or
// cut off while a request of the flow runs, until the callers of such requests have given up. And neither does one that
// has just listed the agents, since the leases of some may have expired before, unless all hosts have restarted. And
// neither does one whose watch of the agents has not been answered since the store was silent.
func (b *Balancer) onDenied(now time.Time, m *denied) {
	b.learnEntries(m.newest)
	b.steerer.SetDeniedAck(now, m.flow, m.ack)
	if outcome := b.steerer.Deny(now, m.flow, m.agent, m.restarted); outcome != passthrough.SomeDeny {
		b.resetDenied(now, m.flow, m.ack, outcome)
	}
}

// resetDueDenials resets the flows whose denial is complete because a draining agent has been silent for long enough.
func (b *Balancer) resetDueDenials(now time.Time) {
	for _, d := range b.steerer.DueDenials(now) {
		b.resetDenied(now, d.Flow, d.Ack, passthrough.AllRestarted)
	}
}

// resetDenied resets a flow that all agents have denied, unless one that this balancer does not know may own it.
func (b *Balancer) resetDenied(now time.Time, f passthrough.FlowID, ack uint32, outcome passthrough.Denial) {
	reason := reasonNone
	switch {
	case outcome != passthrough.AllRestarted && !b.agents.listedFor(now, settlingPeriod):
		reason = "agents_unsettled"
	case b.agents.mayLackChanges(now):
		reason = "store_was_silent"
	case !b.agents.covers(b.state.newest.created.get()):
		reason = "agents_outdated"
	case b.state.lostAgent(now, b.answerTimeout(f)):
		reason = "agent_lost"
	}
	if reason != reasonNone {
		b.metrics.count(eventDropped, reason)
		b.cfg.Logger.Warn("flow not reset", "flow", f.String(), "reason", reason, "newest_agent", loggedRevision(b.state.newest.created.get()))
		return
	}
	b.refuse(passthrough.NewSegment(f, passthrough.FlagAck, 0, ack, 0), "no_owner", b.state.Table())
}

// answerTimeout returns how long the caller of a flow waits for an answer.
func (b *Balancer) answerTimeout(f passthrough.FlowID) time.Duration {
	if r, ok := b.route(f.Address()); ok && r.Timeout > 0 {
		return r.Timeout
	}
	return passthrough.FlowTTL
}

// route returns the route of a service address: the configured one or, without a configuration, the observed one.
func (b *Balancer) route(address netip.AddrPort) (route.Route, bool) {
	if t := b.state.Table(); t != nil {
		return t.Route(address)
	}
	service, ok := b.state.observed.Service(address)
	return route.Route{Service: service}, ok
}
