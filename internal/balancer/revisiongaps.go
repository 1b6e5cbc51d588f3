package balancer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// gapReportInterval is the minimum time between two reports about one agent.
const gapReportInterval = time.Second

// maxReportedAgents limits the memory for reports; it exceeds the design size of 22,000 agents.
const maxReportedAgents = 32768

// RevisionGap reports an agent with an older or newer zone state than this balancer.
type RevisionGap struct {
	// Agent is the ID of the agent, or empty if its record is not on the board.
	Agent string
	// Service is the ID of the agent's service.
	Service flow.ServiceID
	// Source is the address from which the agent sent.
	Source netip.AddrPort
	// AgentRevision and BalancerRevision are the highest store revisions of any zone state.
	AgentRevision, BalancerRevision uint64
}

// AgentOutdated reports whether the agent lacks a zone state that this balancer has.
func (g RevisionGap) AgentOutdated() bool { return g.AgentRevision < g.BalancerRevision }

// revisionGaps limits the rate of reports about agents whose zone revision differs.
type revisionGaps struct {
	report atomic.Pointer[func(RevisionGap)]

	mu       sync.Mutex
	reported map[memberKey]time.Time
}

// OnRevisionGap sets a callback for agents whose zone revision differs from the balancer's. A reader of the data socket
// calls it at most once a second for each agent; it must not block.
func (b *Balancer) OnRevisionGap(f func(RevisionGap)) { b.revisionGaps.report.Store(&f) }

// allow reports whether an agent may be reported at this time, and records the report if so.
func (r *revisionGaps) allow(now time.Time, k memberKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.reported[k]; ok && now.Sub(last) < gapReportInterval {
		return false
	}
	if r.reported == nil || len(r.reported) >= maxReportedAgents {
		r.reported = make(map[memberKey]time.Time)
	}
	r.reported[k] = now
	return true
}

// checkRevision reports the sender of a datagram if its zone revision differs from the balancer's.
func (b *Balancer) checkRevision(now time.Time, d *wire.Datagram, from netip.AddrPort) {
	ours := b.zoneRevision.Load()
	report := b.revisionGaps.report.Load()
	k := memberKey{service: d.Service, agent: d.Owner}
	if d.ZoneRevision == ours || report == nil || !b.revisionGaps.allow(now, k) {
		return
	}
	(*report)(RevisionGap{Agent: b.members.id(k), Service: d.Service, Source: from, AgentRevision: d.ZoneRevision, BalancerRevision: ours})
}
