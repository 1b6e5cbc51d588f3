package balancer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// gapInterval is the least time between two reports of one agent.
const gapInterval = time.Second

// maxGapAgents bounds the memory of reports; it is above the design size of 22,000 agents.
const maxGapAgents = 32768

// RevisionGap means that an agent knows an older or a newer zone state than this balancer.
type RevisionGap struct {
	// Agent is the id of the agent, or empty when its record is not on the board.
	Agent string
	// Service is the id of the agent's service.
	Service flow.ServiceID
	// Source is the address from which the agent sent.
	Source netip.AddrPort
	// AgentRevision and BalancerRevision are the highest store revisions of any zone state.
	AgentRevision, BalancerRevision uint64
}

// AgentOutdated reports whether the agent lacks a zone state that this balancer has.
func (g RevisionGap) AgentOutdated() bool { return g.AgentRevision < g.BalancerRevision }

// gaps limits the reports of agents whose zone revision differs.
type gaps struct {
	report atomic.Pointer[func(RevisionGap)]

	mu       sync.Mutex
	reported map[memberKey]time.Time
}

// OnRevisionGap sets a function that is called, at most once a second for each agent, when an agent's zone revision
// differs from the balancer's. It is called by a reader of the data socket and must not block.
func (b *Balancer) OnRevisionGap(f func(RevisionGap)) { b.gaps.report.Store(&f) }

// due reports whether an agent may be reported again, and notes that it is.
func (g *gaps) due(now time.Time, k memberKey) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if last, ok := g.reported[k]; ok && now.Sub(last) < gapInterval {
		return false
	}
	if g.reported == nil || len(g.reported) >= maxGapAgents {
		g.reported = make(map[memberKey]time.Time)
	}
	g.reported[k] = now
	return true
}

// compareRevision reports an agent whose zone revision differs.
func (b *Balancer) compareRevision(now time.Time, d *wire.Datagram, from netip.AddrPort) {
	ours := b.zoneRevision.Load()
	report := b.gaps.report.Load()
	k := memberKey{service: d.Service, owner: d.Owner}
	if d.ZoneRevision == ours || report == nil || !b.gaps.due(now, k) {
		return
	}
	(*report)(RevisionGap{Agent: b.members.id(k), Service: d.Service, Source: from, AgentRevision: d.ZoneRevision, BalancerRevision: ours})
}
