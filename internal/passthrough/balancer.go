package passthrough

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/route"
	"github.com/bramleymast/bramleymast/pkg/store"
)

const (
	// tickInterval is how often a process looks for agents to probe.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is how often old flows are forgotten.
	sweepInterval = time.Second
	// unheardTime is how long an agent without an entry may be silent; it writes its entry again within 2 s.
	unheardTime = 3 * time.Second
	// agentsPause collects changes of agents, of which balancers hear by their reports too.
	agentsPause = time.Second
	// flowIdle is how long a flow without packets is remembered when the configuration states no idle timeout.
	flowIdle = 15 * time.Second
)

// BalancerConfig is what a balancer needs.
type BalancerConfig struct {
	// ID names the process; it is unique in the whole system.
	ID string
	// Zone is the availability zone of the host.
	Zone string
	// Packets receives the callers' packets (UDP).
	Packets netip.AddrPort
	// Link receives messages of other processes (UDP) and their calls (TCP).
	Link netip.AddrPort
	// HTTP serves readiness and metrics.
	HTTP netip.AddrPort
	// Seeds are link addresses of other processes, which are asked when the store does not answer.
	Seeds []netip.AddrPort
	// DrainPeriod is how long a stopping balancer still forwards.
	DrainPeriod time.Duration
	// ReadyPath is the path of the platform's readiness call.
	ReadyPath string
	Store     store.Store
	// WatchStore is the same store with watches that wait for long.
	WatchStore store.Store
	Layout     Layout
	Codec      passthrough.Codec
	Logger     hclog.Logger
}

// Balancer is the process on an entry host.
type Balancer struct {
	cfg        BalancerConfig
	blackboard blackboard
	steerer    *passthrough.Steerer
	// attempts tells callers that try again from those that have just come.
	attempts passthrough.Attempts
	metrics  *metrics
	link     *link
	packets  *net.UDPConn
	http     *httpServer
	catchUp  *catchUp

	refreshing sync.Mutex // orders the views of several followers

	replaying sync.Mutex // held while early packets are sent
	earlyMu   sync.Mutex
	early     []earlyPacket
	started   atomic.Bool

	loaded   atomic.Int32 // how many of the two prefixes have been listed
	leaving  atomic.Bool
	draining chan struct{}
	settle   atomic.Int64 // as time.Duration
}

// NewBalancer binds the sockets of a balancer.
func NewBalancer(cfg BalancerConfig) (*Balancer, error) {
	b := &Balancer{cfg: cfg, steerer: passthrough.NewSteerer(cfg.Zone), draining: make(chan struct{})}
	b.blackboard = blackboard{layout: cfg.Layout, logger: cfg.Logger, changed: b.refresh}
	b.catchUp = newCatchUp(&b.blackboard, true, cfg.Logger)
	b.metrics = newMetrics("balancer", beliefs{
		revision: func() float64 { return float64(b.blackboard.operatorRevision()) },
		flows:    func() float64 { return float64(b.steerer.Flows()) },
		agents:   func() float64 { return float64(len(b.blackboard.board.Records(board.KindAgent))) },
	})
	b.catchUp.metrics = b.metrics
	b.SetDrainPeriod(cfg.DrainPeriod)
	var err error
	if b.packets, err = listenUDP(cfg.Packets); err != nil {
		return nil, err
	}
	if b.link, err = newLink(cfg.Link, b.metrics); err != nil {
		return nil, err
	}
	b.http, err = newHTTPServer(cfg.HTTP)
	if err != nil {
		return nil, err
	}
	b.http.handleReady(cfg.ReadyPath, b.Ready)
	b.http.mux.Handle("GET "+metricsPath, b.metrics.handler())
	return b, nil
}

// Ready reports whether the platform may send packets to the balancer. One that reaches no agent is not ready, so
// that callers get to others.
func (b *Balancer) Ready() bool {
	return b.hasLoaded() && !b.leaving.Load() && !b.steerer.Isolated(time.Now())
}

// prefixes is how many prefixes of the store a balancer follows.
const prefixes = 2

func (b *Balancer) hasLoaded() bool { return b.loaded.Load() >= prefixes }

// Drain starts the graceful shutdown: the balancer is not ready any more, forwards for the settle time and stops.
func (b *Balancer) Drain() {
	if b.leaving.CompareAndSwap(false, true) {
		close(b.draining)
	}
}

// SetDrainPeriod changes how long the process carries packets after Drain.
func (b *Balancer) SetDrainPeriod(d time.Duration) { b.settle.Store(int64(d)) }

// Run serves until the context ends or the graceful shutdown is over.
func (b *Balancer) Run(ctx context.Context) error {
	g, err := rungroup.New(ctx)
	if err != nil {
		return err
	}
	ready, listed := make(chan struct{}), make(chan struct{})
	start := once(func() { close(ready) })
	var lists atomic.Int32
	loaded := func() {
		b.loaded.Add(1)
		if lists.Add(1) >= prefixes {
			close(listed)
			start()
		}
	}
	operator := &follower{store: b.cfg.Store, prefix: b.cfg.Layout.OperatorPrefix, logger: b.cfg.Logger, apply: b.blackboard.applyOperator, changed: b.refresh, loaded: once(loaded)}
	agents := &follower{store: b.cfg.WatchStore, prefix: agentsPrefix, pause: agentsPause, logger: b.cfg.Logger, apply: b.blackboard.applyAgent, changed: b.refresh, loaded: once(loaded)}
	g.Go(operator.run)
	g.Go(agents.run)
	g.Go(b.catchUp.run)
	g.Go(func(ctx context.Context) error {
		return b.catchUp.start(ctx, b.cfg.Seeds, listed, once(func() {
			b.loaded.Add(prefixes)
			start()
		}))
	})
	g.Go(func(ctx context.Context) error { return servePeers(ctx, b.link.calls, &b.blackboard) })
	g.Go(b.http.run)
	g.Go(func(ctx context.Context) error { return readPackets(ctx, b.link.conn, b.onMessage) })
	g.Go(func(ctx context.Context) error { return readPackets(ctx, b.packets, b.receive) })
	g.Go(func(ctx context.Context) error {
		select {
		case <-ready:
			b.replay()
		case <-ctx.Done():
		}
		return nil
	})
	g.Go(b.tick)
	g.Go(func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case <-b.draining:
		}
		wait(ctx, time.Duration(b.settle.Load()))
		g.Stop()
		return nil
	})
	return g.Wait()
}

// once returns a function that calls f the first time only.
func once(f func()) func() {
	var done atomic.Bool
	return func() {
		if done.CompareAndSwap(false, true) {
			f()
		}
	}
}

// refresh derives the views of the services from the board.
func (b *Balancer) refresh() {
	b.refreshing.Lock()
	defer b.refreshing.Unlock()
	newest := make(map[netip.AddrPort]board.Record) // the platform uses addresses again
	for _, r := range b.blackboard.board.Records(board.KindAgent) {
		a, ok := r.Value.(board.Agent)
		if !ok || a.Phase == board.PhaseLeft {
			continue
		}
		if old, ok := newest[a.DataAddress]; !ok || old.Version.Seq < r.Version.Seq {
			newest[a.DataAddress] = r
		}
	}
	members := make(map[string][]flow.Member)
	for _, r := range newest {
		a, ok := r.Value.(board.Agent)
		if !ok {
			continue
		}
		out, _ := b.blackboard.board.ZoneOut(a.Zone)
		opens := a.Phase == board.PhaseReady && !out
		members[a.Service] = append(members[a.Service], flow.NewMember(r.ID.Key, a.DataAddress, a.Zone, opens, true))
	}
	views := make(map[string]*flow.View)
	for service, ms := range members {
		views[service] = flow.NewView(flow.ServiceIDOf(service), ms)
	}
	b.steerer.SetViews(views)
}

// earlyPacket is a packet that came before the balancer knew where to send it.
type earlyPacket struct {
	at     time.Time
	packet []byte
}

// maxEarly bounds the memory of early packets; the oldest are dropped.
const maxEarly = 4096

// receive takes a packet of a caller. Until the balancer knows where to send packets, they wait with the time at
// which they came: a socket's buffer would not tell the callers that have given up from those that have just come.
func (b *Balancer) receive(_ netip.AddrPort, packet []byte) {
	if b.started.Load() || !b.sendObserved(packet, 0) && !b.keepEarly(packet) {
		b.onPacket(packet, 0)
	}
}

// sendObserved sends a packet on by an observed route, and reports whether there is one with an agent.
func (b *Balancer) sendObserved(packet []byte, delay time.Duration) bool {
	seg, err := b.cfg.Codec.Decode(packet, true)
	if err != nil {
		return false // It is counted when the balancer serves.
	}
	service, ok := b.blackboard.observed.Service(seg.Flow().Address())
	if !ok {
		return false
	}
	r := route.Route{Service: service}
	if !seg.IsOpening() {
		b.proceed(time.Now(), seg, r, packet)
		return true
	}
	a := passthrough.OpeningPacket{Segment: seg, Delay: delay, Packet: packet}
	return a.TimedOut() || b.open(time.Now(), a, r)
}

// replayObserved sends the early packets for which a route has been observed; the others stay.
func (b *Balancer) replayObserved() {
	b.replaying.Lock()
	defer b.replaying.Unlock()
	b.earlyMu.Lock()
	early := b.early
	b.early = nil
	b.earlyMu.Unlock()
	now := time.Now()
	var kept []earlyPacket
	for _, e := range slices.Backward(early) {
		if !b.sendObserved(e.packet, now.Sub(e.at)) {
			kept = append(kept, e)
		}
	}
	slices.Reverse(kept)
	if sent := len(early) - len(kept); sent > 0 {
		b.cfg.Logger.Info("serving by observed routes", "early_packets", sent, "kept", len(kept))
	}
	b.earlyMu.Lock()
	defer b.earlyMu.Unlock()
	b.early = append(kept, b.early...)
}

// keepEarly keeps a packet unless the balancer has begun to serve.
func (b *Balancer) keepEarly(packet []byte) bool {
	b.earlyMu.Lock()
	defer b.earlyMu.Unlock()
	if b.started.Load() {
		return false
	}
	if len(b.early) >= maxEarly {
		b.early = b.early[1:]
	}
	b.early = append(b.early, earlyPacket{at: time.Now(), packet: bytes.Clone(packet)})
	return true
}

// replay sends the early packets, the newest first.
func (b *Balancer) replay() {
	b.replaying.Lock()
	defer b.replaying.Unlock()
	b.earlyMu.Lock()
	b.started.Store(true)
	early := b.early
	b.early = nil
	b.earlyMu.Unlock()
	now := time.Now()
	for _, e := range slices.Backward(early) {
		b.onPacket(e.packet, now.Sub(e.at))
	}
	b.cfg.Logger.Info("serving", "early_packets", len(early))
}

// onPacket sends a caller's packet on; delay is how long it has waited here.
func (b *Balancer) onPacket(packet []byte, delay time.Duration) {
	b.metrics.packets.Inc()
	seg, err := b.cfg.Codec.Decode(packet, true)
	if err != nil {
		b.metrics.count(eventDropped, "malformed")
		b.cfg.Logger.Warn("packet dropped", "reason", "malformed", "error", err)
		return
	}
	now := time.Now()
	table := b.blackboard.Table()
	r, ok := table.Route(seg.Flow().Address())
	switch {
	case !ok:
		b.refuse(seg, "no_route", table)
	case seg.IsOpening():
		a := passthrough.OpeningPacket{Segment: seg, Delay: delay, Packet: packet}
		if a.TimedOut() {
			b.metrics.count(eventDropped, "expired")
			return
		}
		if !b.open(now, a, r) {
			b.refuse(seg, "no_agent", table)
		}
	default:
		b.proceed(now, seg, r, packet)
	}
}

// refuse ends a flow at its caller.
func (b *Balancer) refuse(seg passthrough.Segment, reason string, table *route.Table) {
	if seg.Has(passthrough.FlagReset) {
		return
	}
	b.metrics.count(eventRefused, reason)
	b.cfg.Logger.Warn("flow refused", "flow", seg.Flow().String(), "reason", reason, "opens", seg.IsOpening(), "copies", seg.Retransmissions(), "revision", table.Revision())
	var buf [64]byte
	seq := seg.Ack()
	if seg.IsOpening() {
		seq = 0
	}
	to := netip.AddrPortFrom(seg.Flow().Caller().Addr(), b.cfg.Packets.Port())
	b.metrics.send(b.packets, b.cfg.Codec.AppendReset(buf[:0], seg.Flow(), seq), to)
}

// open sends a packet that opens a flow to an agent, and reports whether there is one.
func (b *Balancer) open(now time.Time, a passthrough.OpeningPacket, r route.Route) bool {
	seg := a.Segment
	o, ok := b.steerer.Place(now, seg, r.Service)
	if !ok {
		return false
	}
	a.IsRetry = seg.Retransmissions() == 0 && b.attempts.IsRetry(now, seg.Flow())
	b.attempts.Add(now, a)
	b.link.send(o.Target, &forward{
		origin: b.link.self, service: flow.ServiceIDOf(r.Service), revision: b.blackboard.operatorRevision(),
		path: o.Alternatives, directory: o.Directory, delay: a.Delay, objective: r.TargetLatency, returning: a.IsRetry, packet: a.Packet,
	})
	b.metrics.count(eventPlaced, reasonNone)
	b.cfg.Logger.Info("flow placed", "flow", seg.Flow().String(), "agent", o.Target, "copies", seg.Retransmissions(), "returning", a.IsRetry, "revision", b.blackboard.Table().Revision())
	return true
}

func (b *Balancer) proceed(now time.Time, seg passthrough.Segment, r route.Route, packet []byte) {
	m := &forward{origin: b.link.self, service: flow.ServiceIDOf(r.Service), revision: b.blackboard.operatorRevision(), packet: packet}
	m.path = b.findPath(seg.Flow(), r)
	target, known := b.steerer.Owner(now, seg.Flow())
	if !known {
		target, known = m.path.Next()
	}
	if !known {
		b.metrics.count(eventDropped, "no_agent")
		return
	}
	b.link.send(target, m)
}

// findPath returns the agents that may own a flow. When the route has led to another service before, flows that are
// open may still be there.
func (b *Balancer) findPath(f passthrough.FlowID, r route.Route) passthrough.Path {
	p := b.steerer.OwnerCandidates(f, r.Service)
	old, ok := b.blackboard.previousTable().Route(f.Address())
	if !ok || old.Service == r.Service {
		return p
	}
	other := b.steerer.OwnerCandidates(f, old.Service)
	var both passthrough.Path
	for both.Len() < passthrough.MaxPath && (p.Len() > 0 || other.Len() > 0) {
		if a, ok := p.Next(); ok {
			both.Add(a)
		}
		if a, ok := other.Next(); ok {
			both.Add(a)
		}
	}
	return both
}

func (b *Balancer) onMessage(_ netip.AddrPort, data []byte) {
	m, err := decodeMessage(data)
	if err != nil {
		b.cfg.Logger.Warn("message dropped", "error", err)
		return
	}
	now := time.Now()
	switch m := m.(type) {
	case *placed:
		b.steerer.SetOwner(now, m.flow, m.agent)
		if m.delivered {
			b.attempts.Remove(m.flow)
		}
		b.heard(now, m.agent, m.service, m.load)
	case *report:
		b.heard(now, m.agent, m.service, m.load)
		b.catchUp.heard(m.agent, m.revision)
	case *unanswered:
		for _, attempt := range m.attempts {
			b.attempts.AddUnanswered(now, attempt)
		}
	case *announce:
		if b.blackboard.announced(m) {
			b.refresh()
		}
		b.catchUp.heard(m.agent, m.revision)
	}
}

// heard takes what an agent tells of itself. An agent of another service than the one known at its address shows
// that the known one is gone.
func (b *Balancer) heard(now time.Time, agent netip.AddrPort, service flow.ServiceID, l passthrough.Load) {
	if !b.steerer.SetLoad(now, agent, service, l) {
		b.blackboard.dropAt(agent, service)
	}
}

// tick probes agents and forgets old flows.
func (b *Balancer) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var swept time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if !b.started.Load() && len(b.blackboard.observed.Routes()) > 0 {
			b.replayObserved()
		}
		now := time.Now()
		for _, a := range b.steerer.DueProbes(now) {
			b.link.send(a, &probe{origin: b.link.self, revision: b.blackboard.operatorRevision()})
		}
		if now.Sub(swept) >= sweepInterval {
			swept = now
			b.attempts.Sweep(now)
			b.steerer.Sweep(now, b.blackboard.idleTimeout())
			b.blackboard.dropUnheard(func(a netip.AddrPort) bool { return b.steerer.UnansweredFor(now, a) < unheardTime })
		}
	}
}
