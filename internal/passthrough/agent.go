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
	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// AgentConfig is what an agent needs.
type AgentConfig struct {
	// ID names the process; it is unique in the whole system.
	ID string
	// Zone is the availability zone of the host.
	Zone string
	// Service is the customer service of the backend server.
	Service string
	// Backend receives packets for the backend server (UDP).
	Backend netip.AddrPort
	// Outbound receives the packets that the backend server sends (UDP).
	Outbound netip.AddrPort
	// CallerPort is the port at which callers receive packets.
	CallerPort uint16
	// Link receives messages of other processes (UDP) and their calls (TCP).
	Link netip.AddrPort
	// HTTP serves readiness and metrics.
	HTTP netip.AddrPort
	// Heartbeats receives the heartbeats of the backend server.
	Heartbeats netip.AddrPort
	// HeartbeatHandler returns the handler of the heartbeats.
	HeartbeatHandler func(s HeartbeatReceiver) http.Handler
	// Seeds are link addresses of other processes, which are told of the agent while the store is away.
	Seeds []netip.AddrPort
	// DrainPeriod is how long a stopping agent still carries packets.
	DrainPeriod time.Duration
	// ReadyPath is the path of the platform's readiness call.
	ReadyPath string
	Store     store.Store
	Layout    Layout
	Codec     passthrough.Codec
	Logger    hclog.Logger
}

// maxHops bounds how many agents a packet visits.
const maxHops = passthrough.MaxPath + 2

// admitInterval is how often an agent looks for held packets that can be delivered.
const admitInterval = 20 * time.Millisecond

// Agent is the process beside a backend server.
type Agent struct {
	cfg        AgentConfig
	service    flow.ServiceID
	blackboard blackboard
	gate       *passthrough.Admitter
	link       *link
	outbound   *net.UDPConn
	http       *httpServer
	heartbeats *httpServer
	registrar  *registrar
	announcer  announcer
	catchUp    *catchUp
	metrics    *metrics
	backend    backendState
	balancers  heardBalancers
	returning  passthrough.Table[returnPath] // what is needed to pass on a packet that the backend server gives back

	leaving  atomic.Bool
	draining chan struct{}
	settle   atomic.Int64 // as time.Duration
}

// returnPath says where a packet came from and where it may go if the backend server gives it back.
type returnPath struct {
	origin    netip.AddrPort
	path      passthrough.Path
	directory passthrough.Path
}

// NewAgent binds the sockets of an agent.
func NewAgent(cfg AgentConfig) (*Agent, error) {
	a := &Agent{cfg: cfg, service: flow.ServiceIDOf(cfg.Service), gate: passthrough.NewAdmitter(time.Now()), draining: make(chan struct{})}
	a.blackboard = blackboard{layout: cfg.Layout, logger: cfg.Logger, changed: a.refresh}
	a.catchUp = newCatchUp(&a.blackboard, false, cfg.Logger)
	a.registrar = newRegistrar(cfg.Store, cfg.ID, agentEntry{Service: cfg.Service, Zone: cfg.Zone, Address: cfg.Link}, cfg.Logger)
	a.metrics = newMetrics("agent", beliefs{
		revision: func() float64 { return float64(a.blackboard.operatorRevision()) },
		flows:    func() float64 { return float64(a.gate.Flows()) },
		agents:   func() float64 { return 1 },
	})
	a.catchUp.metrics = a.metrics
	a.gate.SetAnswerObserver(func(d time.Duration) { a.metrics.answers.Observe(d.Seconds()) })
	a.SetDrainPeriod(cfg.DrainPeriod)
	var err error
	if a.outbound, err = listenUDP(cfg.Outbound); err != nil {
		return nil, err
	}
	if a.link, err = newLink(cfg.Link, a.metrics); err != nil {
		return nil, err
	}
	a.announcer = announcer{
		id: cfg.ID, entry: a.registrar.entry, seeds: cfg.Seeds, link: a.link, observed: &a.blackboard.observed, logger: cfg.Logger,
		news: make(chan struct{}, 1), listed: a.registrar.listed, draining: a.registrar.draining,
		revision: a.blackboard.operatorRevision, started: time.Now(),
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
	return a, nil
}

// Drain starts the graceful shutdown.
func (a *Agent) Drain() {
	if a.leaving.CompareAndSwap(false, true) {
		a.gate.SetDraining()
		a.registrar.setDraining(true)
		close(a.draining)
	}
}

// SetDrainPeriod changes how long the process carries packets after Drain.
func (a *Agent) SetDrainPeriod(d time.Duration) { a.settle.Store(int64(d)) }

// Run serves until the context ends or the graceful shutdown is over.
func (a *Agent) Run(ctx context.Context) error {
	g, err := rungroup.New(ctx)
	if err != nil {
		return err
	}
	g.Go(a.catchUp.run)
	g.Go(func(ctx context.Context) error { return servePeers(ctx, a.link.calls, &a.blackboard) })
	g.Go(a.registrar.run)
	g.Go(func(ctx context.Context) error { return a.announcer.run(ctx, a.registrar.due) })
	g.Go(a.http.run)
	g.Go(a.heartbeats.run)
	g.Go(func(ctx context.Context) error { return readPackets(ctx, a.link.conn, a.onMessage) })
	g.Go(func(ctx context.Context) error { return readPackets(ctx, a.outbound, a.onBackendPacket) })
	g.Go(a.sweep)
	g.Go(a.admit)
	g.Go(func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case <-a.draining:
		}
		if !a.backend.hasLeft() {
			wait(ctx, time.Duration(a.settle.Load()))
		}
		a.registrar.remove(ctx)
		g.Stop()
		return nil
	})
	return g.Wait()
}

// refresh applies a new configuration or zone state.
func (a *Agent) refresh() {
	s, _ := a.blackboard.Table().ServiceLimits(a.cfg.Service)
	a.gate.SetServiceLimits(s)
	out, _ := a.blackboard.board.ZoneOut(a.cfg.Zone)
	a.gate.SetZoneOut(out)
}

func (a *Agent) onMessage(_ netip.AddrPort, data []byte) {
	m, err := decodeMessage(data)
	if err != nil {
		a.cfg.Logger.Warn("message dropped", "error", err)
		return
	}
	now := time.Now()
	switch m := m.(type) {
	case *forward:
		a.hear(now, m.origin)
		a.catchUp.heard(m.origin, m.revision)
		a.onForward(now, m)
	case *owner:
		a.gate.SetOwner(now, m.flow, m.agent, m.isn)
	case *probe:
		a.hear(now, m.origin)
		a.catchUp.heard(m.origin, m.revision)
		a.report(now, m.origin)
	}
}

func (a *Agent) report(now time.Time, to netip.AddrPort) {
	a.link.send(to, &report{agent: a.link.self, service: a.service, revision: a.blackboard.operatorRevision(), load: a.gate.Load(now)})
}

func (a *Agent) onForward(now time.Time, m *forward) {
	seg, err := a.cfg.Codec.Decode(m.packet, true)
	if err != nil {
		a.metrics.count(eventDropped, "malformed")
		a.cfg.Logger.Warn("packet dropped", "reason", "malformed", "error", err)
		return
	}
	if seg.IsOpening() {
		a.onOpening(now, seg, m)
		return
	}
	v := a.gate.OnEstablishedPacket(now, seg)
	if _, ok := v.(passthrough.Deliver); ok {
		a.logRequest(seg, m.packet)
		a.returning.Update(now, seg.Flow(), func(p returnPath, _ bool) returnPath {
			p.origin, p.path = m.origin, m.path
			return p
		})
		if m.hops > 0 {
			a.tellPlaced(now, seg.Flow(), m.origin, true)
		}
	}
	a.carry(now, seg, m, v)
}

func (a *Agent) onOpening(now time.Time, seg passthrough.Segment, m *forward) {
	if m.service != a.service {
		a.report(now, m.origin)
		a.passOn(now, seg, m, passthrough.ReasonOtherService)
		return
	}
	arrival := passthrough.OpeningPacket{Segment: seg, Origin: m.origin, Path: m.path, Directory: m.directory, Hops: m.hops, Delay: m.delay, Objective: m.objective, IsRetry: m.returning, Unconfigured: m.revision == 0, Packet: m.packet}
	v := a.gate.OnOpeningPacket(now, arrival)
	switch v.(type) {
	case passthrough.Deliver:
		a.accept(now, arrival, true)
	case passthrough.Queued:
		a.accept(now, arrival, false)
	default:
		a.report(now, m.origin)
	}
	a.carry(now, seg, m, v)
}

// accept notes where a flow came from and tells its balancer that it is here.
func (a *Agent) accept(now time.Time, r passthrough.OpeningPacket, delivered bool) {
	f := r.Segment.Flow()
	a.returning.Put(now, f, returnPath{origin: r.Origin, path: r.Path, directory: r.Directory})
	a.tellPlaced(now, f, r.Origin, delivered)
}

// admitWaiting delivers held packets that the backend server can take now.
func (a *Agent) admitWaiting(now time.Time) {
	deliver, passOn := a.gate.Dequeue(now)
	for _, r := range deliver {
		a.logAccepted(now, r.Segment, r.Origin, r.Delay)
		a.tellPlaced(now, r.Segment.Flow(), r.Origin, true)
		a.deliver(r.Packet)
	}
	for _, r := range passOn {
		m := &forward{
			origin: r.Origin, service: a.service, revision: a.blackboard.operatorRevision(), hops: r.Hops, delay: r.Delay, objective: r.Objective, returning: r.IsRetry,
			path: r.Path, directory: r.Directory, packet: r.Packet,
		}
		a.passOn(now, r.Segment, m, passthrough.ReasonBusy)
	}
}

func (a *Agent) logAccepted(now time.Time, seg passthrough.Segment, origin netip.AddrPort, waited time.Duration) {
	a.metrics.waits.Observe(waited.Seconds())
	load := a.gate.Load(now)
	a.metrics.count(eventAccepted, reasonNone)
	a.cfg.Logger.Info("flow accepted", "flow", seg.Flow().String(), "copies", seg.Retransmissions(), "in_progress", load.InProgress, "slots", load.Slots, "waited_ms", waited.Milliseconds(), "origin", origin)
}

func (a *Agent) deliver(packet []byte) {
	a.metrics.send(a.outbound, packet, a.cfg.Backend)
}

func (a *Agent) tellPlaced(now time.Time, f passthrough.FlowID, origin netip.AddrPort, delivered bool) {
	a.link.send(origin, &placed{flow: f, agent: a.link.self, service: a.service, delivered: delivered, load: a.gate.Load(now)})
}

// logRequest logs the id of a request where its head passes, so that a request is found by its id.
func (a *Agent) logRequest(seg passthrough.Segment, packet []byte) {
	if seg.Size() == 0 {
		return
	}
	if id := a.cfg.Codec.RequestID(packet); id != "" {
		a.cfg.Logger.Info("request", "flow", seg.Flow().String(), "request_id", id)
	}
}

// carry does what the gate has decided.
func (a *Agent) carry(now time.Time, seg passthrough.Segment, m *forward, v passthrough.Decision) {
	switch v := v.(type) {
	case passthrough.Deliver:
		if seg.IsOpening() {
			a.logAccepted(now, seg, m.origin, m.delay)
		}
		a.deliver(m.packet)
	case passthrough.Queued:
		a.metrics.count(eventHeld, reasonNone)
		a.cfg.Logger.Info("flow held", "flow", seg.Flow().String(), "copies", seg.Retransmissions())
	case passthrough.PassOn:
		a.passOn(now, seg, m, v.Reason)
	case passthrough.Forward:
		if m.hops < maxHops {
			m.hops++
			a.link.send(v.Owner, m)
		}
	case passthrough.Refuse:
		a.refuse(seg, v.Reason)
	case passthrough.UnknownFlow:
		next, ok := m.path.Next()
		for ok && next == a.link.self {
			next, ok = m.path.Next()
		}
		if !ok || m.hops >= maxHops {
			a.metrics.count(eventDropped, "unknown_flow")
			a.cfg.Logger.Warn("packet dropped", "flow", seg.Flow().String(), "reason", "unknown_flow", "hops", m.hops, "origin", m.origin)
			return
		}
		m.hops++
		a.link.send(next, m)
	}
}

func (a *Agent) passOn(now time.Time, seg passthrough.Segment, m *forward, reason passthrough.Reason) {
	next, ok := m.path.Next()
	if !ok {
		a.refuse(seg, reason)
		return
	}
	m.hops++
	a.gate.SetNextAgent(now, seg.Flow(), next)
	a.metrics.count(eventPassedOn, string(reason))
	a.cfg.Logger.Warn("flow passed on", "flow", seg.Flow().String(), "reason", string(reason), "to", next, "copies", seg.Retransmissions(), "hops", m.hops)
	a.link.send(next, m)
}

// refuse ends a flow at its caller.
func (a *Agent) refuse(seg passthrough.Segment, reason passthrough.Reason) {
	load := a.gate.Load(time.Now())
	a.metrics.count(eventRefused, string(reason))
	a.cfg.Logger.Warn("flow refused", "flow", seg.Flow().String(), "reason", string(reason), "opens", seg.IsOpening(), "copies", seg.Retransmissions(), "in_progress", load.InProgress, "slots", load.Slots)
	seq := seg.Ack()
	if seg.IsOpening() {
		seq = 0
	}
	var buf [64]byte
	a.toCaller(a.cfg.Codec.AppendReset(buf[:0], seg.Flow(), seq), seg.Flow())
}

func (a *Agent) toCaller(packet []byte, f passthrough.FlowID) {
	to := netip.AddrPortFrom(f.Caller().Addr(), a.cfg.CallerPort)
	a.metrics.send(a.outbound, packet, to)
}

// onBackendPacket carries a packet of the backend server, or one that it gives back.
func (a *Agent) onBackendPacket(_ netip.AddrPort, packet []byte) {
	now := time.Now()
	seg, err := a.cfg.Codec.Decode(packet, false)
	if err != nil {
		a.metrics.count(eventDropped, "malformed")
		a.cfg.Logger.Warn("packet dropped", "reason", "malformed", "source", "backend", "error", err)
		return
	}
	if seg.Has(passthrough.FlagRejected) {
		a.onReturned(now, seg, packet)
		return
	}
	a.observe(seg)
	if a.gate.OnServerPacket(now, seg, a.cfg.Codec.IsErrorResponse(packet)) {
		r, _ := a.returning.Get(now, seg.Flow())
		for _, d := range r.directory.All() {
			if d != a.link.self {
				a.link.send(d, &owner{flow: seg.Flow(), agent: a.link.self, isn: seg.Seq()})
			}
		}
	}
	a.toCaller(packet, seg.Flow())
	a.admitWaiting(now)
}

func (a *Agent) onReturned(now time.Time, seg passthrough.Segment, packet []byte) {
	a.cfg.Codec.ClearRejected(packet)
	r, _ := a.returning.Get(now, seg.Flow())
	m := &forward{origin: r.origin, service: a.service, revision: a.blackboard.operatorRevision(), hops: 1, path: r.path, directory: r.directory, packet: packet}
	v := a.gate.OnRejected(now, seg)
	a.metrics.count(eventReturned, string(passthrough.ReasonRejected))
	a.cfg.Logger.Warn("packet returned by backend server", "flow", seg.Flow().String(), "opens", seg.IsOpening(), "size", seg.Size())
	a.carry(now, seg, m, v)
	a.admitWaiting(now)
}

// admit delivers held packets whose turn comes without a packet of the backend server.
func (a *Agent) admit(ctx context.Context) error {
	t := time.NewTicker(admitInterval)
	defer t.Stop()
	var told time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := time.Now()
		a.admitWaiting(now)
		if now.Sub(told) >= tellInterval {
			told = now
			a.tellUnanswered(now)
		}
	}
}

// sweep forgets old flows.
func (a *Agent) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			idle := a.blackboard.idleTimeout()
			a.gate.Sweep(now, idle)
			a.returning.Sweep(now, func(_ returnPath, unused time.Duration) bool { return unused > idle })
		}
	}
}
