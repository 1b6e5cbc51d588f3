package passthrough

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/pkg/detour"
	"github.com/bramleymast/bramleymast/pkg/entryhost"
	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// AgentConfig configures an Agent.
type AgentConfig struct {
	// ID is the unique name of the process in the whole system.
	ID string
	// Zone is the availability zone of the host.
	Zone string
	// Service is the customer service of the backend server.
	Service string
	// Backend receives packets for the backend server (UDP).
	Backend netip.AddrPort
	// Outbound receives the packets that the backend server sends (UDP).
	Outbound netip.AddrPort
	// CallerPort is the port on which callers receive packets.
	CallerPort uint16
	// Link receives datagrams (UDP) and calls (TCP) of other processes.
	Link netip.AddrPort
	// HTTP serves readiness and metrics.
	HTTP netip.AddrPort
	// Metrics serves the metrics at a second address; the zero value serves them at HTTP only.
	Metrics netip.AddrPort
	// Heartbeats receives the heartbeats of the backend server (HTTP).
	Heartbeats netip.AddrPort
	// HeartbeatHandler returns the HTTP handler that passes heartbeats to the receiver.
	HeartbeatHandler func(r HeartbeatReceiver) http.Handler
	// Seeds are link addresses of other processes, to which the agent announces itself while the store is unavailable.
	Seeds []netip.AddrPort
	// DrainPeriod is how long a draining agent still forwards packets before it stops.
	DrainPeriod time.Duration
	// FlowTTL is how long flows may live; 0 means passthrough.FlowTTL.
	FlowTTL time.Duration
	// ReadyPath is the path of the platform's readiness check.
	ReadyPath string
	// Features are those that the deployment asks for.
	Features Features
	// LinkFilter drops datagrams to other processes in tests; nil sends all.
	LinkFilter LinkFilter
	Store      store.Store
	Layout     Layout
	Codec      passthrough.Codec
	Logger     hclog.Logger
}

// maxHops limits how many agents a packet visits.
const maxHops = passthrough.MaxPath + 2

// queueInterval is how often an agent checks for queued packets that can be delivered.
const queueInterval = 20 * time.Millisecond

// Agent forwards packets between balancers, callers and the backend server beside it.
type Agent struct {
	cfg        AgentConfig
	service    flow.ServiceID
	state      localState
	admitter   *passthrough.Admitter
	link       *link
	outbound   *net.UDPConn
	http       *httpServer
	heartbeats *httpServer
	registrar  *registrar
	announcer  announcer
	fetcher    *stateFetcher
	metrics    *metrics
	detours    *agentDetours // nil without the feature
	backend    backendState
	records    *flowRecords // nil without the feature
	// firstHeartbeat is the first heartbeat if its backend server looks as old as the agent.
	firstHeartbeat atomic.Pointer[BackendHeartbeat]
	balancers      recentBalancers
	returnPaths    passthrough.Table[returnPath] // to pass on packets that the backend server rejects
	held           heldRequests

	// departure has a value when the backend server has announced that it stops.
	departure   chan struct{}
	leaving     atomic.Bool
	draining    chan struct{} // closed when the graceful shutdown starts
	drainPeriod atomic.Int64  // as time.Duration
	capacityLog capacityLog
	// newest are the newest entries of agents: its own and those that balancers know of.
	newest      newestEntries
	hosts       *heardHosts // nil without the feature
	metricsHTTP *httpServer // nil without a second address for the metrics
}

// returnPath is where the last packet of a flow came from and which agents it may visit if the backend server rejects
// it.
type returnPath struct {
	origin    netip.AddrPort
	path      passthrough.Path
	directory passthrough.Path
	// searched means that the packet was sent to all agents, so it needs no further path.
	searched bool
	// registeredAt is when the agents of the directory were last notified of the owner.
	registeredAt time.Time
	// registered is the lowest acknowledgement that they were notified of.
	registered uint32
}

// NewAgent returns an agent with its sockets bound.
func NewAgent(cfg AgentConfig) (*Agent, error) {
	a := &Agent{cfg: cfg, service: flow.ServiceIDOf(cfg.Service), admitter: passthrough.NewAdmitter(time.Now()), hosts: newHeardHosts(cfg.Features), departure: make(chan struct{}, 1), draining: make(chan struct{})}
	a.admitter.SetFlowTTL(cfg.FlowTTL)
	a.prioritize()
	a.state = localState{layout: cfg.Layout, logger: cfg.Logger, changed: a.refresh}
	a.fetcher = newStateFetcher(&a.state, false, cfg.Logger)
	a.registrar = newRegistrar(cfg.Store, cfg.ID, agentEntry{Service: cfg.Service, Zone: cfg.Zone, Address: cfg.Link}, cfg.Logger)
	a.registrar.onFirstWrite = a.onFirstEntry
	a.registrar.onWrite = a.newest.add
	a.metrics = newMetrics("agent", gauges{
		revision: func() float64 { return float64(store.Revision(a.state.operatorRevision()).Number()) },
		flows:    func() float64 { return float64(a.admitter.Flows()) },
		agents:   func() float64 { return 1 },

		refusedPriority: a.refusedPriority,
	})
	a.metrics.addGauge("bramleymast_zone_out", "Whether the agent refuses new flows because its availability zone is out of service: 1 if it does.", func() float64 {
		if out, _ := a.state.board.ZoneOut(cfg.Zone); out {
			return 1
		}
		return 0
	})
	a.metrics.addGauge("bramleymast_store_era", "Era of the store in which the agent's entry was written, or that balancers have told of; 0 if the store does not have eras.", func() float64 {
		return float64(a.registrar.era.get())
	})
	a.fetcher.metrics = a.metrics
	a.observeRequests(cfg.Features)
	a.admitter.SetAnswerObserver(func(d time.Duration) { a.metrics.answers.Observe(d.Seconds()) })
	if cfg.Features.Has(FlowRecords) {
		a.records = newFlowRecords(a)
	}
	a.SetDrainPeriod(cfg.DrainPeriod)
	var err error
	if a.outbound, err = listenUDP(cfg.Outbound); err != nil {
		return nil, err
	}
	if a.link, err = newLink(cfg.Link, a.metrics); err != nil {
		return nil, err
	}
	a.link.filter = cfg.LinkFilter
	if d := newDetours(a.link, cfg.Features, cfg.Logger); d != nil {
		a.detours = &agentDetours{detours: d, arrivals: detour.NewArrivals(time.Now()), zone: cfg.Zone}
	}
	a.announcer = announcer{
		id: cfg.ID, entry: a.registrar.entry, seeds: cfg.Seeds, link: a.link, observed: &a.state.observed, logger: cfg.Logger,
		newRoute: make(chan struct{}, 1), listed: a.registrar.listed, draining: a.registrar.draining,
		revision: a.state.operatorRevision, started: time.Now(),
	}
	if a.http, err = newHTTPServer(cfg.HTTP); err != nil {
		return nil, err
	}
	a.http.handleReady(cfg.ReadyPath, func() bool { return !a.leaving.Load() })
	if a.heartbeats, err = newHTTPServer(cfg.Heartbeats); err != nil {
		return nil, err
	}
	a.heartbeats.mux.Handle("/", cfg.HeartbeatHandler(a))
	a.http.mux.Handle("GET "+metricsPath, a.metrics.handler())
	a.metricsHTTP = a.metrics.newServer(cfg.Metrics, cfg.Logger)
	return a, nil
}

// Drain starts the graceful shutdown: the agent accepts no more flows and stops after the drain period, or at once if
// its backend server has left.
func (a *Agent) Drain() {
	if a.leaving.CompareAndSwap(false, true) {
		a.admitter.SetDraining()
		a.registrar.setDraining(true)
		close(a.draining)
	}
}

// SetDrainPeriod changes how long the agent forwards packets after Drain.
func (a *Agent) SetDrainPeriod(d time.Duration) { a.drainPeriod.Store(int64(d)) }

// Run serves until the context ends or the graceful shutdown is complete.
func (a *Agent) Run(ctx context.Context) error {
	g, err := rungroup.New(ctx)
	if err != nil {
		return err
	}
	g.Go(a.fetcher.run)
	g.Go(func(ctx context.Context) error { return servePeers(ctx, a.link.calls, &a.state) })
	g.Go(a.registrar.run)
	g.Go(func(ctx context.Context) error { return a.announcer.run(ctx, a.registrar.backendSeen) })
	g.Go(a.http.run)
	g.Go(func(ctx context.Context) error { return a.metricsHTTP.runOptional(ctx, a.cfg.Logger) })
	g.Go(a.heartbeats.run)
	g.Go(func(ctx context.Context) error { return readPackets(ctx, a.link.conn, a.onMessage) })
	g.Go(func(ctx context.Context) error { return readPackets(ctx, a.outbound, a.onBackendPacket) })
	g.Go(a.sweep)
	g.Go(a.runQueue)
	g.Go(a.awaitDepartures)
	g.Go(a.checkAbsence)
	if a.records != nil {
		g.Go(a.records.run)
		g.Go(a.records.runResets)
		g.Go(a.records.watchCrash)
	}
	g.Go(func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case <-a.draining:
		}
		if !a.backend.hasLeft() {
			wait(ctx, time.Duration(a.drainPeriod.Load()))
		}
		a.registrar.remove(ctx)
		g.Stop()
		return nil
	})
	return g.Wait()
}

// refresh applies the current configuration and zone state to the admitter.
func (a *Agent) refresh() {
	if t := a.state.Table(); t != nil {
		s, _ := t.ServiceLimits(a.cfg.Service)
		a.admitter.SetServiceLimits(s)
	}
	out, _ := a.state.board.ZoneOut(a.cfg.Zone)
	a.admitter.SetZoneOut(out)
}

func (a *Agent) onMessage(from netip.AddrPort, data []byte) {
	now := time.Now()
	m, src, err := a.link.detours.open(now, from, data)
	if err != nil {
		a.cfg.Logger.Warn("message dropped", "error", err)
		return
	}
	a.detours.received(now, src, m)
	switch m := m.(type) {
	case *forward:
		a.onBalancerMessage(now, m.origin)
		a.registrar.noticeEra(m.revision)
		a.hosts.add(now, m.voucher, m.revision)
		m.voucher = entryhost.Voucher{} // It ages while the packet is held.
		a.fetcher.onVersion(a.link.detours.callable(src, m.origin), operatorVersion{revision: m.revision})
		a.onForward(now, m)
	case *search:
		a.onBalancerMessage(now, m.origin)
		a.fetcher.onVersion(a.link.detours.callable(src, m.origin), operatorVersion{revision: m.revision})
		a.onSearch(now, m)
	case *owner:
		a.admitter.SetOwner(now, m.flow, m.agent, m.minAck)
	case *probe:
		a.onBalancerMessage(now, m.origin)
		a.fetcher.onVersion(a.link.detours.callable(src, m.origin), operatorVersion{revision: m.revision, digest: m.digest})
		a.newest.add(m.newest)
		a.registrar.noticeEra(max(m.newest.written, m.revision))
		a.hosts.add(now, m.voucher, m.revision)
		a.sendReport(now, m.origin)
	case *check:
		a.onBalancerMessage(now, m.origin)
		a.newest.add(m.newest)
		a.detours.answer(now, src, m, a.report(now))
		a.detours.reportOutsideCheck(now, m)
	case *share:
		a.detours.use(now, m)
	}
}

func (a *Agent) sendReport(now time.Time, to netip.AddrPort) { a.link.send(to, a.report(now)) }

func (a *Agent) report(now time.Time) *report {
	v := a.state.operatorVersion()
	return &report{agent: a.link.self, service: a.service, revision: v.revision, load: a.admitter.Load(now), balancers: a.balancers.count(now), newest: a.newest.get(), hosts: a.hosts.report(now), digest: v.digest}
}

func (a *Agent) onForward(now time.Time, m *forward) {
	seg, err := a.cfg.Codec.Decode(m.packet, true)
	if err != nil {
		a.metrics.count(eventDropped, "malformed")
		a.cfg.Logger.Warn("packet dropped", "reason", "malformed", "error", err)
		return
	}
	if a.records.refuseLost(now, seg) {
		return
	}
	if seg.IsOpening() {
		a.onOpening(now, seg, m)
		return
	}
	a.orderPacket(now, seg, m, func() {
		d := a.admitter.OnEstablishedPacket(now, seg, m.likelyOwner)
		if _, ok := d.(passthrough.Deliver); ok {
			a.onOwnedPacket(now, seg, m)
		}
		a.execute(now, seg, m, d)
	})
}

func (a *Agent) onOpening(now time.Time, seg passthrough.Segment, m *forward) {
	if m.service != a.service {
		a.sendReport(now, m.origin)
		a.passOn(now, seg, m, passthrough.ReasonOtherService)
		return
	}
	r, _ := a.state.Table().Route(seg.Flow().Address())
	opening := passthrough.OpeningPacket{Segment: seg, Origin: m.origin, Path: m.path, Directory: m.directory, Hops: m.hops, Delay: m.delay, Objective: m.objective, Priority: r.Priority, AttemptTimeout: a.cfg.Features.attemptTimeout(r), IsRetry: m.isRetry, Unconfigured: m.revision == 0, Packet: m.packet}
	d := a.admitter.OnOpeningPacket(now, opening)
	switch d.(type) {
	case passthrough.Deliver:
		a.acceptFlow(now, opening, true)
	case passthrough.Queued:
		a.acceptFlow(now, opening, false)
	default:
		a.sendReport(now, m.origin)
	}
	a.execute(now, seg, m, d)
}

// acceptFlow records where an opening packet came from and notifies its balancer that the flow is at this agent.
func (a *Agent) acceptFlow(now time.Time, p passthrough.OpeningPacket, delivered bool) {
	f := p.Segment.Flow()
	a.returnPaths.Put(now, f, returnPath{origin: p.Origin, path: p.Path, directory: p.Directory})
	a.notifyPlaced(now, f, p.Origin, delivered)
}

// deliverQueued delivers the queued packets that the backend server has capacity for, and passes on those that it
// cannot take.
func (a *Agent) deliverQueued(now time.Time) {
	if a.held.enabled {
		a.deliverByPriority(now)
		return
	}
	deliver, passOn := a.admitter.Dequeue(now)
	a.deliverOpenings(now, deliver, passOn)
}

func (a *Agent) deliverOpenings(now time.Time, deliver []passthrough.OpeningPacket, passOn []passthrough.Rerouted) {
	for _, p := range deliver {
		a.logAccepted(now, p.Segment, p.Origin, p.Delay)
		a.notifyPlaced(now, p.Segment.Flow(), p.Origin, true)
		a.records.onDelivered(now, p.Segment)
		a.deliver(p.Packet)
	}
	for _, p := range passOn {
		m := &forward{
			origin: p.Origin, service: a.service, revision: a.state.operatorRevision(), hops: p.Hops, delay: p.Delay, objective: p.Objective, isRetry: p.IsRetry,
			path: p.Path, directory: p.Directory, packet: p.Packet,
		}
		a.passOn(now, p.Segment, m, p.Reason)
	}
}

func (a *Agent) logAccepted(now time.Time, seg passthrough.Segment, origin netip.AddrPort, waited time.Duration) {
	a.metrics.waits.Observe(waited.Seconds())
	load := a.admitter.Load(now)
	reason := reasonNone
	if a.held.enabled && passthrough.IsCallerSilent(seg, waited) {
		reason = reasonSilent
	}
	a.metrics.count(eventAccepted, reason)
	a.cfg.Logger.Info("flow accepted", "flow", seg.Flow().String(), "copies", seg.Retransmissions(), "in_progress", load.InProgress, "slots", load.Slots, "waited_ms", waited.Milliseconds(), "origin", origin, "caller_silent", reason == reasonSilent)
}

func (a *Agent) deliver(packet []byte) {
	a.metrics.send(a.outbound, packet, a.cfg.Backend)
}

func (a *Agent) notifyPlaced(now time.Time, f passthrough.FlowID, origin netip.AddrPort, delivered bool) {
	a.link.send(origin, &placed{flow: f, agent: a.link.self, service: a.service, delivered: delivered, load: a.admitter.Load(now)})
}

// logRequest logs the ID of a request when its header is delivered, so that a request can be traced by its ID.
func (a *Agent) logRequest(seg passthrough.Segment, packet []byte) {
	if seg.Size() == 0 {
		return
	}
	if id := a.cfg.Codec.RequestID(packet); id != "" {
		a.cfg.Logger.Info("request", "flow", seg.Flow().String(), "request_id", id)
	}
}

// execute carries out the decision of the admitter.
func (a *Agent) execute(now time.Time, seg passthrough.Segment, m *forward, d passthrough.Decision) {
	switch d := d.(type) {
	case passthrough.Deliver:
		if seg.IsOpening() {
			a.logAccepted(now, seg, m.origin, m.delay)
		}
		a.records.onDelivered(now, seg)
		a.deliver(m.packet)
	case passthrough.Queued:
		a.metrics.count(eventQueued, reasonNone)
		a.cfg.Logger.Info("flow held", "flow", seg.Flow().String(), "copies", seg.Retransmissions())
	case passthrough.PassOn:
		a.passOn(now, seg, m, d.Reason)
	case passthrough.Forward:
		if m.hops >= maxHops {
			a.onUnknownFlow(now, seg, m)
			return
		}
		m.hops++
		m.likelyOwner = true
		a.link.send(d.Owner, m)
	case passthrough.Refuse:
		a.refuse(seg, d.Reason)
	case passthrough.UnknownFlow:
		a.onUnknownFlow(now, seg, m)
	case passthrough.Drop:
		a.metrics.count(eventDropped, "copy")
	}
}

func (a *Agent) passOn(now time.Time, seg passthrough.Segment, m *forward, reason passthrough.Reason) {
	next, ok := m.path.Next()
	if !ok {
		a.refuse(seg, reason)
		return
	}
	m.hops++
	a.admitter.SetNextAgent(now, seg.Flow(), next)
	a.metrics.count(eventPassedOn, string(reason))
	a.cfg.Logger.Warn("flow passed on", "flow", seg.Flow().String(), "reason", string(reason), "to", next, "copies", seg.Retransmissions(), "hops", m.hops)
	a.link.send(next, m)
}

// refuse resets a flow at its caller.
func (a *Agent) refuse(seg passthrough.Segment, reason passthrough.Reason) {
	load := a.admitter.Load(time.Now())
	a.metrics.count(eventRefused, string(reason))
	a.cfg.Logger.Warn("flow refused", "flow", seg.Flow().String(), "reason", string(reason), "opens", seg.IsOpening(), "copies", seg.Retransmissions(), "in_progress", load.InProgress, "slots", load.Slots)
	seq := seg.Ack()
	if seg.IsOpening() {
		seq = 0
	}
	var buf [64]byte
	a.sendToCaller(a.cfg.Codec.AppendReset(buf[:0], seg.Flow(), seq), seg.Flow())
}

func (a *Agent) sendToCaller(packet []byte, f passthrough.FlowID) {
	to := netip.AddrPortFrom(f.Caller().Addr(), a.cfg.CallerPort)
	a.metrics.send(a.outbound, packet, to)
}

// onBackendPacket forwards a packet of the backend server to the caller, or handles one that the backend server
// rejected.
func (a *Agent) onBackendPacket(_ netip.AddrPort, packet []byte) {
	now := time.Now()
	seg, err := a.cfg.Codec.Decode(packet, false)
	if err != nil {
		a.metrics.count(eventDropped, "malformed")
		a.cfg.Logger.Warn("packet dropped", "reason", "malformed", "source", "backend", "error", err)
		return
	}
	a.records.onServerPacket(now)
	if seg.Has(passthrough.FlagRejected) {
		a.onRejected(now, seg, packet)
		return
	}
	a.observeRoute(seg)
	if a.admitter.OnServerPacket(now, seg, a.cfg.Codec.IsErrorResponse(packet)) {
		r, _ := a.returnPaths.Get(now, seg.Flow())
		a.register(now, seg.Flow(), r.directory)
	}
	a.sendToCaller(packet, seg.Flow())
	a.deliverQueued(now)
}

func (a *Agent) onRejected(now time.Time, seg passthrough.Segment, packet []byte) {
	a.cfg.Codec.ClearRejected(packet)
	r, _ := a.returnPaths.Get(now, seg.Flow())
	m := &forward{origin: r.origin, service: a.service, revision: a.state.operatorRevision(), hops: 1, path: r.path, directory: r.directory, searched: r.searched, packet: packet}
	d := a.admitter.OnRejected(now, seg)
	a.metrics.count(eventRejected, string(passthrough.ReasonRejected))
	a.cfg.Logger.Warn("packet returned by backend server", "flow", seg.Flow().String(), "opens", seg.IsOpening(), "size", seg.Size())
	a.execute(now, seg, m, d)
	a.deliverQueued(now)
}

// runQueue delivers queued packets that can be delivered without a new packet of the backend server, such as after a
// timeout, and reports unanswered attempts.
func (a *Agent) runQueue(ctx context.Context) error {
	t := time.NewTicker(queueInterval)
	defer t.Stop()
	var reportedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := time.Now()
		a.deliverQueued(now)
		if now.Sub(reportedAt) >= unansweredReportInterval {
			reportedAt = now
			a.reportUnanswered(now)
			a.logCapacity(now)
		}
	}
}

// sweep removes idle flows.
func (a *Agent) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			idle := a.state.idleTimeout()
			a.admitter.Sweep(now, idle)
			a.detours.sweep(now)
			a.returnPaths.Sweep(now, func(_ returnPath, unused time.Duration) bool { return unused > idle })
		}
	}
}
