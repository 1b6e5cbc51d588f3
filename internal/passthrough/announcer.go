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
	// announceDelay leaves time for the store to take the entry first, which needs two calls of some milliseconds.
	announceDelay = 50 * time.Millisecond
	// announceInterval is the interval between announcements; callers wait for at least three times as long.
	announceInterval = 400 * time.Millisecond
	// unprobedTimeout is the time without a message of any balancer after which an agent counts as unknown to all
	// balancers. A balancer sends a flow or a probe every 500 ms to each agent in its local state.
	unprobedTimeout = 700 * time.Millisecond
	// announcePeriod is how long an agent continues to announce itself, so that the announcements also reach balancers
	// that start later than the first one.
	announcePeriod = 3 * time.Second
	// maxAnnouncedAddresses limits the size of an announcement.
	maxAnnouncedAddresses = 32
)

// announcer announces an agent to the seeds while the store does not list it or no balancer sends it messages. An
// announcement holds the routes that the agent has observed, so that balancers that start while the store is
// unavailable get agents and routes from the seeds.
type announcer struct {
	id       string
	entry    agentEntry
	seeds    []netip.AddrPort
	link     *link
	observed *passthrough.ObservedRoutes
	logger   hclog.Logger
	// newRoute has a value if a route has been observed since the last announcement.
	newRoute chan struct{}
	// listed reports whether the store has the agent's entry, draining whether the agent accepts no more flows.
	listed   func() bool
	draining func() bool
	// revision returns the agent's operator revision; a balancer with an older one fetches the state from the agent.
	revision       func() uint64
	lastBalancerAt atomic.Int64 // when the last message of a balancer was received, in nanoseconds since the start
	started        time.Time
}

// recordBalancer records that a message of a balancer was received.
func (n *announcer) recordBalancer(now time.Time) { n.lastBalancerAt.Store(int64(now.Sub(n.started))) }

// unprobed reports whether no message of a balancer was received within unprobedTimeout.
func (n *announcer) unprobed(now time.Time) bool {
	return now.Sub(n.started)-time.Duration(n.lastBalancerAt.Load()) > unprobedTimeout
}

// run starts to announce after the first heartbeat.
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
				n.logger.Warn("announcing to the seeds", "listed", listed, "no_balancer_heard", unprobed, "revision", loggedRevision(n.revision()), "seeds", len(n.seeds))
			}
			until = now.Add(announcePeriod)
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

// pause waits until the next announcement is due or, after announceDelay, a new route is observed.
func (n *announcer) pause(ctx context.Context) {
	wait(ctx, announceDelay)
	t := time.NewTimer(announceInterval - announceDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-n.newRoute:
	}
}

// notifyNewRoute makes the next announcement due because a route has been observed.
func (n *announcer) notifyNewRoute() {
	select {
	case n.newRoute <- struct{}{}:
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

// observeRoute records the service address of a packet that the backend server sends, unless there is a configuration.
func (a *Agent) observeRoute(seg passthrough.Segment) {
	if a.state.Table() != nil || seg.Has(passthrough.FlagReset) {
		return
	}
	r := passthrough.ObservedRoute{Address: seg.Flow().Address(), Service: a.cfg.Service}
	if a.state.observed.Add(r) {
		a.announcer.notifyNewRoute()
		a.cfg.Logger.Info("route observed", "address", r.Address, "service", r.Service, "flow", seg.Flow().String())
	}
}

// applyAnnouncement applies the announcement of an agent and reports whether it changed the agent's state. Any entry in
// the store overrides it, and it is dropped when the agent stops answering.
func (s *localState) applyAnnouncement(m *announce) bool {
	a := board.Agent{Service: m.service, Zone: m.zone, Phase: board.PhaseReady, DataAddress: m.agent, ControlAddress: m.agent}
	changed := s.mergeAgent(board.Record{
		ID:      board.ID{Kind: board.KindAgent, Key: m.id},
		Version: board.Version{Liveness: board.Suspect},
		Value:   a,
	})
	for _, address := range m.addresses {
		s.addObservedRoute(passthrough.ObservedRoute{Address: address, Service: m.service}, m.agent)
	}
	return changed
}

// addObservedRoute records a route that another process has observed, unless there is a configuration.
func (s *localState) addObservedRoute(r passthrough.ObservedRoute, from netip.AddrPort) {
	if s.Table() == nil && s.observed.Add(r) {
		s.logger.Info("route observed", "address", r.Address, "service", r.Service, "from", from)
	}
}
