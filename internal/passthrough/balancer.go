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

	"github.com/bramleymast/bramleymast/internal/forecast"
	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/detour"
	"github.com/bramleymast/bramleymast/pkg/entryhost"
	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/route"
	"github.com/bramleymast/bramleymast/pkg/store"
)

const (
	// tickInterval is how often a balancer checks for agents to probe.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is how often idle flows are removed.
	sweepInterval = time.Second
	// unresponsiveTimeout is how long an agent without an entry may leave messages unanswered; an agent restores its
	// entry within 2 s.
	unresponsiveTimeout = 3 * time.Second
	// eraSettlingPeriod is how long the operator may take to write again what a store has lost that has come back from a
	// copy. A zone that was out of service stays out for so long.
	eraSettlingPeriod = 10 * time.Second
	// defaultIdleTimeout is how long a flow without packets is kept if the configuration has no idle timeout.
	defaultIdleTimeout = 15 * time.Second
)

// BalancerConfig configures a Balancer.
type BalancerConfig struct {
	// ID is the unique name of the process in the whole system.
	ID string
	// Zone is the availability zone of the host.
	Zone string
	// Packets receives the callers' packets (UDP).
	Packets netip.AddrPort
	// Link receives datagrams (UDP) and calls (TCP) of other processes.
	Link netip.AddrPort
	// HTTP serves readiness and metrics.
	HTTP netip.AddrPort
	// Metrics serves the metrics at a second address; the zero value serves them at HTTP only.
	Metrics netip.AddrPort
	// Seeds are link addresses of other processes, from which the balancer fetches state while the store is
	// unavailable.
	Seeds []netip.AddrPort
	// DrainPeriod is how long a draining balancer still forwards packets before it stops.
	DrainPeriod time.Duration
	// ReadyPath is the path of the platform's readiness check.
	ReadyPath string
	// Features are those that the deployment asks for.
	Features Features
	// Capacity is what the host offers; the zero value is unknown.
	Capacity entryhost.Capacity
	// ConfigurationBound is the time within which a new configuration must be in force; 0 is unknown.
	ConfigurationBound time.Duration
	// LinkFilter drops datagrams to other processes in tests; nil sends all.
	LinkFilter LinkFilter
	Store      store.Store
	// SetWatchTimeout sets how long watches of Store wait for a change.
	SetWatchTimeout func(d time.Duration)
	// CloseIdleConnections makes the next call to Store open a connection; nil is allowed.
	CloseIdleConnections func()
	// WatchStore is the same store, with a longer watch timeout.
	WatchStore store.Store
	Layout     Layout
	Codec      passthrough.Codec
	Logger     hclog.Logger
}

// Balancer forwards callers' packets on an entry host to agents.
type Balancer struct {
	cfg     BalancerConfig
	state   localState
	steerer *passthrough.Steerer
	// attempts distinguishes retries from new requests.
	attempts passthrough.Attempts
	metrics  *metrics
	link     *link
	detours  *balancerDetours // nil without the feature
	packets  *net.UDPConn
	http     *httpServer
	fetcher  *stateFetcher
	duty     *watchDuty // nil without the feature
	agents   *follower  // follows the entries of the agents
	operator *follower  // follows the entries of the operator
	contact  storeContact
	fleet    passthrough.FleetSize

	refreshing sync.Mutex // serializes updates of the views by several followers

	replaying sync.Mutex // locked while early packets are sent
	earlyMu   sync.Mutex
	early     []earlyPacket
	serving   atomic.Bool // set when the early packets are replayed; packets are not kept after that

	loadedPrefixes atomic.Int32 // followed prefixes that have been listed; all count once the seeds' state suffices to serve
	leaving        atomic.Bool
	draining       chan struct{} // closed when the graceful shutdown starts
	drainPeriod    atomic.Int64  // as time.Duration

	metricsHTTP *httpServer // nil without a second address for the metrics
}

// NewBalancer returns a balancer with its sockets bound.
func NewBalancer(cfg BalancerConfig) (*Balancer, error) {
	b := &Balancer{cfg: cfg, steerer: passthrough.NewSteerer(cfg.Zone), draining: make(chan struct{})}
	if cfg.Features.Has(LearnedCapacity) {
		b.steerer.UseExpectedTime()
	}
	if cfg.Features.Has(FlowRecords) {
		b.steerer.AllowSilentDraining()
	}
	b.state = localState{layout: cfg.Layout, logger: cfg.Logger, changed: b.refresh}
	b.fetcher = newStateFetcher(&b.state, true, cfg.Logger)
	b.metrics = newMetrics("balancer", gauges{
		revision: func() float64 { return float64(store.Revision(b.state.operatorRevision()).Number()) },
		flows:    func() float64 { return float64(b.steerer.Flows()) },
		agents:   func() float64 { return float64(len(b.state.board.Records(board.KindAgent))) },
	})
	b.metrics.addGauge("bramleymast_store_era", "Era of the store in which the agents' entries were last listed; 0 if the store does not have eras.", func() float64 {
		return float64(store.Revision(b.agents.at.Load()).Era())
	})
	b.fetcher.metrics = b.metrics
	b.duty = newWatchDuty(cfg, b.state.operatorRevision, b.metrics)
	b.operator = &follower{store: cfg.Store, prefix: cfg.Layout.OperatorPrefix, contact: &b.contact, logger: cfg.Logger, apply: b.state.applyOperator, held: b.state.zoneKeysOut, applied: b.state.operatorAt.add, settlingPeriod: eraSettlingPeriod, settled: b.state.operatorSettled.add, eraChanged: b.metrics.storeReturns.Inc, changed: b.refresh}
	b.duty.follow(b.operator)
	b.agents = &follower{store: cfg.WatchStore, contact: &b.contact, prefix: agentsPrefix, pause: b.agentsPause, logger: cfg.Logger, apply: b.state.applyAgent, held: b.state.listedAgentKeys, applied: b.state.agentsAt.add, changed: b.refresh}
	b.SetDrainPeriod(cfg.DrainPeriod)
	var err error
	if b.packets, err = listenUDP(cfg.Packets); err != nil {
		return nil, err
	}
	if b.link, err = newLink(cfg.Link, b.metrics); err != nil {
		return nil, err
	}
	b.link.filter = cfg.LinkFilter
	if d := newDetours(b.link, cfg.Features, cfg.Logger); d != nil {
		b.detours = &balancerDetours{detours: d, planner: detour.NewPlanner(cfg.Link, cfg.Zone, &d.table), zone: cfg.Zone, setDetoured: b.steerer.SetDetoured, probe: b.probe}
	}
	b.http, err = newHTTPServer(cfg.HTTP)
	if err != nil {
		return nil, err
	}
	b.http.handleReady(cfg.ReadyPath, b.Ready)
	b.http.mux.Handle("GET "+metricsPath, b.metrics.handler())
	b.metricsHTTP = b.metrics.newServer(cfg.Metrics, cfg.Logger)
	b.http.mux.Handle("GET "+forecast.Path, forecast.Handler(b))
	return b, nil
}

func (b *Balancer) agentsPause() time.Duration { return passthrough.AgentsPause(b.fleet.Balancers()) }

// Ready reports whether the platform may send packets to the balancer. A balancer that reaches no agent is not ready,
// so that callers are sent to other balancers. The same applies while nothing from its zone reaches other zones.
func (b *Balancer) Ready() bool {
	return b.hasLoaded() && !b.leaving.Load() && !b.steerer.Isolated(time.Now()) && !b.detours.unheard()
}

// followedPrefixes is the number of store prefixes that a balancer follows.
const followedPrefixes = 2

func (b *Balancer) hasLoaded() bool { return b.loadedPrefixes.Load() >= followedPrefixes }

// Drain starts the graceful shutdown: the balancer is no longer ready, and stops after the drain period.
func (b *Balancer) Drain() {
	if b.leaving.CompareAndSwap(false, true) {
		close(b.draining)
	}
}

// SetDrainPeriod changes how long the balancer forwards packets after Drain.
func (b *Balancer) SetDrainPeriod(d time.Duration) { b.drainPeriod.Store(int64(d)) }

// Run serves until the context ends or the graceful shutdown is complete.
func (b *Balancer) Run(ctx context.Context) error {
	g, err := rungroup.New(ctx)
	if err != nil {
		return err
	}
	ready, listed := make(chan struct{}), make(chan struct{})
	start := once(func() { close(ready) })
	var lists atomic.Int32
	loaded := func() {
		b.loadedPrefixes.Add(1)
		if lists.Add(1) >= followedPrefixes {
			close(listed)
			start()
		}
	}
	sufficient := once(func() {
		b.loadedPrefixes.Add(followedPrefixes)
		start()
	})
	// The process that sent the configuration may be behind, like one that serves already: messages with a higher revision
	// lead to another fetch, and the store's own list follows.
	b.fetcher.applied = func() {
		if !b.hasLoaded() && b.agents.listedAt.Load() != nil && b.state.completeness() == complete {
			sufficient()
		}
	}
	b.operator.loaded = once(loaded)
	firstList := once(loaded)
	b.agents.loaded = func() {
		firstList()
		b.fetcher.applied()
	}
	g.Go(b.operator.run)
	g.Go(b.agents.run)
	g.Go(b.fetcher.run)
	g.Go(func(ctx context.Context) error {
		return b.fetcher.fetchFromSeeds(ctx, b.cfg.Seeds, listed, sufficient)
	})
	g.Go(func(ctx context.Context) error { return servePeers(ctx, b.link.calls, &b.state) })
	g.Go(b.http.run)
	g.Go(func(ctx context.Context) error { return b.metricsHTTP.runOptional(ctx, b.cfg.Logger) })
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
		wait(ctx, time.Duration(b.drainPeriod.Load()))
		g.Stop()
		return nil
	})
	return g.Wait()
}

// once returns a function that calls f only the first time.
func once(f func()) func() {
	var done atomic.Bool
	return func() {
		if done.CompareAndSwap(false, true) {
			f()
		}
	}
}

// refresh derives the views of the services from the agent records.
func (b *Balancer) refresh() {
	b.refreshing.Lock()
	defer b.refreshing.Unlock()
	newest := make(map[netip.AddrPort]board.Record) // the platform reuses addresses
	for _, r := range b.state.board.Records(board.KindAgent) {
		a, ok := r.Value.(board.Agent)
		if !ok || a.Phase == board.PhaseLeft {
			continue
		}
		if old, ok := newest[a.DataAddress]; !ok || old.Version.Seq < r.Version.Seq {
			newest[a.DataAddress] = r
		}
	}
	members := make(map[string][]flow.Member)
	zones := make(map[netip.AddrPort]string)
	for _, r := range newest {
		a, ok := r.Value.(board.Agent)
		if !ok {
			continue
		}
		out, _ := b.state.board.ZoneOut(a.Zone)
		zones[a.DataAddress] = a.Zone
		acceptsFlows := a.Phase == board.PhaseReady && !out
		members[a.Service] = append(members[a.Service], flow.NewMember(r.ID.Key, a.DataAddress, a.Zone, acceptsFlows, true))
	}
	views := make(map[string]*flow.View)
	for service, ms := range members {
		views[service] = flow.NewView(flow.ServiceIDOf(service), ms)
	}
	b.steerer.SetViews(views)
	b.detours.setPeers(zones)
}

// earlyPacket is a packet that was received before the balancer had a configuration and agents.
type earlyPacket struct {
	at     time.Time
	packet []byte
}

// maxEarlyPackets limits the memory of early packets; the oldest are dropped.
const maxEarlyPackets = 4096

// receive handles a packet of a caller. Until the balancer can serve, packets are kept with their time of arrival,
// since a socket buffer would not distinguish callers that have timed out from those that have just arrived.
func (b *Balancer) receive(_ netip.AddrPort, packet []byte) {
	if b.serving.Load() || !b.sendObserved(packet, 0) && !b.keepEarly(packet) {
		b.onPacket(packet, 0)
	}
}

// sendObserved sends a packet by an observed route. It returns false if there is no such route or no agent for it.
func (b *Balancer) sendObserved(packet []byte, delay time.Duration) bool {
	seg, err := b.cfg.Codec.Decode(packet, true)
	if err != nil {
		return false // Counted as malformed once the balancer serves.
	}
	service, ok := b.state.observed.Service(seg.Flow().Address())
	if !ok {
		return false
	}
	r := route.Route{Service: service}
	if !seg.IsOpening() {
		b.forwardEstablished(time.Now(), seg, r, packet)
		return true
	}
	p := passthrough.OpeningPacket{Segment: seg, Delay: delay, Packet: packet}
	return p.TimedOut() || b.place(time.Now(), p, r)
}

// replayObserved sends the early packets that have an observed route and keeps the others.
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

// keepEarly keeps a packet, or returns false if the balancer serves already.
func (b *Balancer) keepEarly(packet []byte) bool {
	b.earlyMu.Lock()
	defer b.earlyMu.Unlock()
	if b.serving.Load() {
		return false
	}
	if len(b.early) >= maxEarlyPackets {
		b.early = b.early[1:]
	}
	b.early = append(b.early, earlyPacket{at: time.Now(), packet: bytes.Clone(packet)})
	return true
}

// replay sends the early packets, newest first.
func (b *Balancer) replay() {
	b.replaying.Lock()
	defer b.replaying.Unlock()
	b.earlyMu.Lock()
	b.serving.Store(true)
	early := b.early
	b.early = nil
	b.earlyMu.Unlock()
	now := time.Now()
	for _, e := range slices.Backward(early) {
		b.onPacket(e.packet, now.Sub(e.at))
	}
	b.cfg.Logger.Info("serving", "early_packets", len(early))
}

// onPacket forwards a caller's packet; delay is how long it has been kept at the balancer.
func (b *Balancer) onPacket(packet []byte, delay time.Duration) {
	b.metrics.packets.Inc()
	seg, err := b.cfg.Codec.Decode(packet, true)
	if err != nil {
		b.metrics.count(eventDropped, "malformed")
		b.cfg.Logger.Warn("packet dropped", "reason", "malformed", "error", err)
		return
	}
	now := time.Now()
	table := b.state.Table()
	r, ok := table.Route(seg.Flow().Address())
	switch {
	case !ok:
		b.refuse(seg, "no_route", table)
	case seg.IsOpening():
		p := passthrough.OpeningPacket{Segment: seg, Delay: delay, AttemptTimeout: b.cfg.Features.attemptTimeout(r), Packet: packet}
		if p.TimedOut() {
			b.metrics.count(eventDropped, "expired")
			return
		}
		if b.refusesPriority(now, seg, r) {
			b.refuse(seg, reasonPriority, table)
			return
		}
		if !b.place(now, p, r) {
			b.refuse(seg, "no_agent", table)
		}
	default:
		b.forwardEstablished(now, seg, r, packet)
	}
}

// refuse resets a flow at its caller.
func (b *Balancer) refuse(seg passthrough.Segment, reason string, table *route.Table) {
	if seg.Has(passthrough.FlagReset) {
		return
	}
	b.metrics.count(eventRefused, reason)
	b.cfg.Logger.Warn("flow refused", "flow", seg.Flow().String(), "reason", reason, "opens", seg.IsOpening(), "copies", seg.Retransmissions(), "revision", loggedRevision(table.Revision()))
	var buf [64]byte
	seq := seg.Ack()
	if seg.IsOpening() {
		seq = 0
	}
	to := netip.AddrPortFrom(seg.Flow().Caller().Addr(), b.cfg.Packets.Port())
	b.metrics.send(b.packets, b.cfg.Codec.AppendReset(buf[:0], seg.Flow(), seq), to)
}

// place sends an opening packet to an agent, or returns false if no agent accepts flows.
func (b *Balancer) place(now time.Time, p passthrough.OpeningPacket, r route.Route) bool {
	seg := p.Segment
	d := b.destination(seg.Flow(), r)
	o, ok := b.steerer.PlaceAt(now, seg, d)
	if !ok {
		return false
	}
	p.IsRetry = seg.Retransmissions() == 0 && b.attempts.IsRetry(now, seg.Flow())
	b.attempts.Add(now, p)
	b.detours.asked(now, o.Target)
	voucher, revision := b.duty.stamp(now, b.state.operatorRevision)
	b.link.send(o.Target, &forward{
		origin: b.link.self, service: flow.ServiceIDOf(o.Service), revision: revision,
		voucher: voucher, path: o.Alternatives, directory: o.Directory, delay: p.Delay, objective: r.TargetLatency, isRetry: p.IsRetry, packet: p.Packet,
	})
	b.recordPlacement(p, d, o)
	return true
}

func (b *Balancer) forwardEstablished(now time.Time, seg passthrough.Segment, r route.Route, packet []byte) {
	voucher, revision := b.duty.stamp(now, b.state.operatorRevision)
	m := &forward{origin: b.link.self, service: flow.ServiceIDOf(r.Service), revision: revision, voucher: voucher, packet: packet}
	m.path, m.directory = b.ownerPath(now, seg.Flow(), r)
	target, known := b.steerer.Owner(now, seg.Flow())
	m.likelyOwner = known
	if !known {
		target, known = m.path.Next()
	}
	if !known {
		b.metrics.count(eventDropped, "no_agent")
		return
	}
	b.link.send(target, m)
}

func (b *Balancer) onMessage(from netip.AddrPort, data []byte) {
	now := time.Now()
	m, src, err := b.link.detours.open(now, from, data)
	if err != nil {
		b.cfg.Logger.Warn("message dropped", "error", err)
		return
	}
	b.detours.received(now, src, m)
	switch m := m.(type) {
	case *placed:
		b.steerer.SetOwner(now, m.flow, m.agent)
		if m.delivered {
			b.attempts.Remove(m.flow)
		}
		b.onLoad(now, m.agent, m.service, m.load)
	case *report:
		b.onReport(now, src, m)
	case *checked:
		b.onReport(now, src, &m.report)
	case *unanswered:
		for _, attempt := range m.attempts {
			r, _ := b.state.Table().Route(attempt.Flow.Address())
			b.attempts.AddUnanswered(now, attempt, b.cfg.Features.attemptTimeout(r))
		}
	case *unowned:
		b.onUnowned(now, m)
	case *denied:
		b.onDenied(now, m)
	case *announce:
		if b.state.applyAnnouncement(m) {
			b.refresh()
		}
		b.fetcher.onVersion(m.agent, operatorVersion{revision: m.revision})
	}
}

func (b *Balancer) onReport(now time.Time, src source, m *report) {
	b.onLoad(now, m.agent, m.service, m.load)
	b.fleet.Report(now, int(m.balancers))
	b.learnEntries(m.newest)
	b.duty.reported(now, m)
	if src.direct() {
		b.fetcher.onVersion(m.agent, operatorVersion{revision: m.revision, digest: m.digest}) // Calls take no detours.
	}
}

// learnEntries records the newest entries of agents that another process knows of.
func (b *Balancer) learnEntries(r entryRevisions) {
	b.state.newest.add(r)
	b.agents.expected.add(r.written)
}

// onLoad records the load that an agent has reported. If the agent belongs to another service than the one recorded at
// its address, the recorded agent no longer exists there and is dropped.
func (b *Balancer) onLoad(now time.Time, agent netip.AddrPort, service flow.ServiceID, l passthrough.Load) {
	if !b.steerer.SetLoad(now, agent, service, l) {
		b.state.dropOtherServices(agent, service)
	}
}

func (b *Balancer) probe() *probe {
	voucher, revision := b.duty.stamp(time.Now(), b.state.operatorRevision)
	return &probe{origin: b.link.self, revision: revision, newest: b.state.newest.get(), voucher: voucher, digest: b.state.operatorVersion().digest}
}

// tick probes agents, sends early packets by observed routes, and removes idle flows and unresponsive agents.
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
		if !b.serving.Load() && len(b.state.observed.Routes()) > 0 {
			b.replayObserved()
		}
		now := time.Now()
		for _, f := range []*follower{b.operator, b.agents} {
			if reason := f.interruptStaleWatch(now); reason != "" {
				b.metrics.staleWatches.WithLabelValues(reason).Inc()
			}
		}
		due := b.steerer.DueProbes(now)
		if len(due) > 0 {
			p := b.probe()
			for _, a := range due {
				b.detours.asked(now, a)
				b.link.send(a, p)
			}
		}
		b.detours.tick(now)
		b.duty.tick(now)
		b.resetDueDenials(now)
		if now.Sub(swept) >= sweepInterval {
			swept = now
			b.operator.listIfSettled(now)
			b.attempts.Sweep(now)
			b.cfg.SetWatchTimeout(b.duty.watchTimeout(now, passthrough.ConfigurationWatch(b.fleet.Balancers())))
			b.steerer.Sweep(now, b.state.idleTimeout())
			b.state.dropUnresponsive(now, func(a netip.AddrPort) bool { return b.steerer.UnansweredFor(now, a) < unresponsiveTimeout })
		}
	}
}
