package passthrough

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

const (
	// announceDelay lets the store take the entry first, which needs two calls of some milliseconds.
	announceDelay = 50 * time.Millisecond
	// announceInterval is the pause between two announcements; callers wait for at least three times as long.
	announceInterval = 400 * time.Millisecond
	// unprobedTime is how long an agent hears no balancer when none knows it; a balancer sends each agent that it
	// knows a flow or a probe every 500 ms.
	unprobedTime = 700 * time.Millisecond
	// announceTime is how long an agent goes on announcing itself, so that balancers hear of it that start later than
	// the first one.
	announceTime = 3 * time.Second
	// maxAnnouncedAddresses bounds the size of an announcement.
	maxAnnouncedAddresses = 32
)

// announcer tells the seeds of an agent that the store does not list or that no balancer knows, with the routes that
// it has observed, so that balancers which start while the store is away find agents and routes there.
type announcer struct {
	id       string
	entry    agentEntry
	seeds    []netip.AddrPort
	link     *link
	observed *passthrough.ObservedRoutes
	logger   hclog.Logger
	// news has a value when a route has been observed since the last announcement.
	news chan struct{}
	// listed reports whether the store has the agent's entry, and draining whether the agent takes no more flows.
	listed   func() bool
	draining func() bool
	// revision returns the operator's revision that the agent knows; a balancer that lacks it asks the agent.
	revision func() uint64
	heard    atomic.Int64 // when a balancer was heard, as nanoseconds since the start
	started  time.Time
}

// hear notes that a balancer knows the agent.
func (n *announcer) hear(now time.Time) { n.heard.Store(int64(now.Sub(n.started))) }

// unprobed reports whether no balancer has been heard for a while.
func (n *announcer) unprobed(now time.Time) bool {
	return now.Sub(n.started)-time.Duration(n.heard.Load()) > unprobedTime
}

// run announces from the first heartbeat on.
func (n *announcer) run(ctx context.Context, heartbeat <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-heartbeat:
	}
	var until time.Time
	for wait(ctx, announceDelay); ctx.Err() == nil; n.pause(ctx) {
		now := time.Now()
		listed, unprobed := n.listed(), n.unprobed(now)
		if !listed || unprobed {
			if now.After(until) {
				n.logger.Warn("announcing to the seeds", "listed", listed, "no_balancer_heard", unprobed, "revision", n.revision(), "seeds", len(n.seeds))
			}
			until = now.Add(announceTime)
		}
		if now.Before(until) && !n.draining() {
			n.announce()
		}
	}
	return nil
}

func (n *announcer) announce() {
	m := n.announcement()
	for _, s := range n.seeds {
		n.link.send(s, m)
	}
}

// pause waits for the next announcement, or for a route that is observed after announceDelay.
func (n *announcer) pause(ctx context.Context) {
	wait(ctx, announceDelay)
	t := time.NewTimer(announceInterval - announceDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-n.news:
	}
}

// observedRoute tells the seeds soon of a route that has been observed.
func (n *announcer) observedRoute() {
	select {
	case n.news <- struct{}{}:
	default: // An announcement is already due.
	}
}

func (n *announcer) announcement() *announce {
	m := &announce{agent: n.entry.Address, revision: n.revision(), id: n.id, service: n.entry.Service, zone: n.entry.Zone}
	for _, r := range n.observed.Routes() {
		if len(m.addresses) < maxAnnouncedAddresses {
			m.addresses = append(m.addresses, r.Address)
		}
	}
	return m
}

// observe notes the service address of a packet that the backend server sends.
func (a *Agent) observe(seg passthrough.Segment) {
	if a.blackboard.Table() != nil || seg.Has(passthrough.FlagReset) {
		return
	}
	r := passthrough.ObservedRoute{Address: seg.Flow().Address(), Service: a.cfg.Service}
	if a.blackboard.observed.Add(r) {
		a.announcer.observedRoute()
		a.cfg.Logger.Info("route observed", "address", r.Address, "service", r.Service, "flow", seg.Flow().String())
	}
}

// announced takes what an agent without an entry in the store says of itself, and reports whether it is news. Any
// entry of the store overrides it, and it counts no longer than the agent answers.
func (b *blackboard) announced(m *announce) bool {
	a := board.Agent{Service: m.service, Zone: m.zone, Phase: board.PhaseReady, DataAddress: m.agent, ControlAddress: m.agent}
	news := b.mergeAgent(board.Record{
		ID:      board.ID{Kind: board.KindAgent, Key: m.id},
		Version: board.Version{Liveness: board.Suspect},
		Value:   a,
	})
	for _, address := range m.addresses {
		b.noteObserved(passthrough.ObservedRoute{Address: address, Service: m.service}, m.agent)
	}
	return news
}

// noteObserved takes a route that a process has observed; a process with a configuration needs none.
func (b *blackboard) noteObserved(r passthrough.ObservedRoute, from netip.AddrPort) {
	if b.Table() == nil && b.observed.Add(r) {
		b.logger.Info("route observed", "address", r.Address, "service", r.Service, "from", from)
	}
}
