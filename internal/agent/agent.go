// Package agent implements the process beside a backend server. It terminates the QUIC flows of callers and
// forwards their requests to the backend server within the limits of the contract.
package agent

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/admission"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/membership"
	"github.com/bramleymast/bramleymast/pkg/placement"
)

// QUIC parameters.
const (
	// handshakeTimeout is the idle timeout of a handshake. It closes the half-open connection that remains when the
	// opening packets of a flow reach different agents.
	handshakeTimeout = 5 * time.Second
	// packetSize is in bytes and leaves room for the datagram frame on a link with an MTU of 1,500 bytes.
	packetSize = 1252
	// tickInterval is short compared with the grace period of a zone and the TTLs of flow records.
	tickInterval = 100 * time.Millisecond
	// loadReportInterval is the time between two load reports to co-members.
	loadReportInterval = 500 * time.Millisecond
)

// Load is the load that an agent reports to its co-members.
type Load = membership.Load

// Control is the subset of the control process that an agent uses.
type Control interface {
	// SetMember publishes the agent's member record.
	SetMember(v board.Value)
	// SendLoad sends the load to co-members.
	SendLoad(l Load)
	// OnLoad registers a callback for the loads that co-members report.
	OnLoad(f func(agent string, l Load))
	// SendZoneStates sends the zone states to a process that lacks the newest one.
	SendZoneStates(to netip.AddrPort)
	// Register adds a net/rpc service; it must be called before the control process runs.
	Register(name string, receiver any) error
	// Call calls a net/rpc method at another process.
	Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
}

// Config holds the settings and dependencies of an agent.
type Config struct {
	ID, Zone, Service string
	// DataAddress is the UDP address for datagrams; port 0 is allowed.
	DataAddress netip.AddrPort
	// Advertised is the address at which other processes reach DataAddress; the zero value means the bound address.
	Advertised netip.AddrPort
	// BackendURL is the address of the backend server, such as http://127.0.0.1:8080.
	BackendURL  string
	Certificate tls.Certificate
	SharedKey   []byte
	Incarnation uint64
	Board       *board.Board
	Control     Control
	Logger      hclog.Logger
	Registerer  prometheus.Registerer
}

// Agent terminates the flows of callers beside one backend server.
type Agent struct {
	cfg             Config
	service         flow.ServiceID
	shortID         flow.ShortID
	sealer          *wire.Sealer
	conn            *packetConn
	requests        *requests
	admitter        *admitter
	restartDetector *restartDetector
	metrics         *metrics
	zones           board.ZoneOutTimes

	steering        steering
	view            atomic.Pointer[flow.View]
	returnBalancers atomic.Pointer[returnBalancers]
	period          atomic.Pointer[servingPeriod]

	zoneRevision atomic.Uint64
	zoneNotifier zoneNotifier
	changed      chan struct{}
	// shutdown is set by Drain. draining is true from then on and while the board requires a drain; zoneClosed depends on
	// the board alone.
	shutdown, draining, zoneClosed atomic.Bool
	phase                          board.Phase
	contractRevision               uint64
}

// New returns an agent that has bound its data socket.
func New(cfg Config) (*Agent, error) {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	target, err := url.Parse(cfg.BackendURL)
	if err != nil {
		return nil, errors.Annotate(err, "cannot parse the backend URL")
	}
	sealer, err := wire.NewSealer(cfg.SharedKey, wire.PurposeData, cfg.Incarnation)
	if err != nil {
		return nil, errors.Trace(err)
	}
	a := &Agent{
		cfg: cfg, service: flow.ServiceIDOf(cfg.Service), shortID: flow.ShortIDOf(cfg.ID), sealer: sealer,
		admitter: newAdmitter(time.Now()), changed: make(chan struct{}, 1),
	}
	a.zoneNotifier.notify = cfg.Control.SendZoneStates
	a.steering.tag, a.steering.self = newConnTag(cfg.ID, cfg.Incarnation), a.shortID
	if a.metrics, err = newMetrics(cfg.Registerer, a.admitter); err != nil {
		return nil, err
	}
	t, err := newTickets(cfg)
	if err != nil {
		return nil, err
	}
	server := newHTTPBackend(target)
	a.requests = &requests{
		admitter: a.admitter, backend: server, tickets: t, metrics: a.metrics, budget: &admission.RetryBudget{},
		random: rand.Float64,
	}
	a.restartDetector = &restartDetector{
		dial:      server.connect,
		onClosed:  func() { a.markCold(admission.ColdRestarted) },
		onRefused: func() { a.markCold(admission.ColdRefused) },
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.DataAddress))
	if err != nil {
		return nil, errors.Annotatef(err, "cannot bind the data address %s", cfg.DataAddress)
	}
	a.conn = newPacketConn(socket, a)
	a.refresh(time.Now())
	cfg.Board.OnChange(func(board.Record) { a.notify() })
	cfg.Control.OnLoad(func(agent string, l Load) {
		a.steering.placer.SetLoad(time.Now(), flow.ShortIDOf(agent), placement.Load(l))
	})
	return a, nil
}

func (a *Agent) markCold(reason admission.ColdReason) {
	a.cfg.Logger.Info("backend server marked as cold", "reason", string(reason))
	a.admitter.markCold(reason)
	a.notify()
}

// DataAddress returns the address at which other processes reach the agent.
func (a *Agent) DataAddress() netip.AddrPort {
	if a.cfg.Advertised.IsValid() {
		return a.cfg.Advertised
	}
	return addrPort(a.conn.LocalAddr())
}

// Drain starts the graceful shutdown; Run returns when it is complete.
func (a *Agent) Drain() {
	a.shutdown.Store(true)
	a.draining.Store(true)
	a.notify()
}

// Run serves until the context ends or the graceful shutdown is complete.
func (a *Agent) Run(ctx context.Context) error {
	g, err := rungroup.New(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	transport := &quic.Transport{Conn: a.conn, ConnectionIDGenerator: a.steering.tag, ConnContext: a.connContext}
	listener, err := transport.Listen(a.tlsConfig(), quicConfig())
	if err != nil {
		return errors.Annotate(err, "cannot listen for QUIC")
	}
	s := &supervisor{agent: a, startServer: func(s *http3Server) {
		g.Go(func(context.Context) error { return s.serve() })
	}}
	s.reconcile(time.Now())
	a.announce()
	g.Go(func(ctx context.Context) error { return a.accept(ctx, listener) })
	g.Go(a.restartDetector.run)
	g.Go(a.reportLoad)
	g.Go(func(ctx context.Context) error {
		a.watch(ctx, s)
		s.close()
		_ = listener.Close()
		_ = transport.Close()
		_ = a.conn.Close()
		g.Stop()
		return nil
	})
	return g.Wait()
}

// accept dispatches each connection with a complete handshake to the current serving period.
func (a *Agent) accept(ctx context.Context, l *quic.Listener) error {
	for {
		c, err := l.Accept(ctx)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, quic.ErrServerClosed) {
				return errors.Annotate(err, "cannot accept connections")
			}
			return nil //nolint:nilerr // The agent is stopping.
		}
		a.steering.flows.markEstablished(addrPort(c.RemoteAddr()))
		if p := a.period.Load(); p != nil {
			p.dispatch(ctx, c)
		}
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		InitialPacketSize:       packetSize,
		DisablePathMTUDiscovery: true,
		// An attacker could replay early data and run a request twice.
		Allow0RTT: false,
	}
}

func (a *Agent) tlsConfig() *tls.Config {
	return http3.ConfigureTLSConfig(&tls.Config{
		Certificates: []tls.Certificate{a.cfg.Certificate},
		MinVersion:   tls.VersionTLS13,
	})
}

// connContext counts a connection from its first packet until it ends, and refuses it above the contract's limit.
func (a *Agent) connContext(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	if !a.admitter.connect() {
		return nil, errNoCapacity
	}
	caller := addrPort(info.RemoteAddr)
	a.steering.flows.connected(caller)
	context.AfterFunc(ctx, func() {
		a.admitter.disconnect()
		a.steering.flows.disconnected(time.Now(), caller)
	})
	return ctx, nil
}

func addrPort(addr net.Addr) netip.AddrPort {
	u, ok := addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	ap := u.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// announce publishes the agent's member record if its phase has changed.
func (a *Agent) announce() {
	phase := board.PhaseReady
	switch {
	case a.draining.Load():
		phase = board.PhaseDraining
	case a.admitter.cold():
		phase = board.PhaseCold
	}
	if phase == a.phase {
		return
	}
	a.phase = phase
	a.cfg.Control.SetMember(board.Agent{
		Service: a.cfg.Service, Zone: a.cfg.Zone, Phase: phase, DataAddress: a.DataAddress(),
	})
}

// reportLoad sends the agent's load to co-members at a fixed interval.
func (a *Agent) reportLoad(ctx context.Context) error {
	for sleep(ctx, loadReportInterval) {
		load, _ := a.admitter.load(time.Now())
		a.cfg.Control.SendLoad(Load(load))
	}
	return nil
}

func (a *Agent) notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// watch applies board changes until the context ends or the graceful shutdown is complete.
func (a *Agent) watch(ctx context.Context, s *supervisor) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		a.steering.flows.sweep(now)
		a.refresh(now)
		done := s.reconcile(now)
		a.announce()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-a.changed:
		case <-ticker.C:
		}
	}
}

// refresh derives the agent's state from the board.
func (a *Agent) refresh(now time.Time) {
	b := a.cfg.Board
	c, version, known := b.Contract(a.cfg.Service)
	if known && version.Seq != a.contractRevision {
		a.contractRevision = version.Seq
		a.requests.setContract(now, c.Contract)
	}
	for _, r := range b.Records(board.KindZone) {
		out, _ := b.ZoneOut(r.ID.Key)
		a.zones.Update(now, r.ID.Key, out)
	}
	zoneClosed := func(zone string) bool { return a.zones.OutAtLeast(now, zone, c.ZoneOutGracePeriod()) }
	a.zoneRevision.Store(b.ZoneRevision())
	a.zoneClosed.Store(zoneClosed(a.cfg.Zone))
	a.view.Store(b.View(a.cfg.Service, zoneClosed))
	a.returnBalancers.Store(newReturnBalancers(b, zoneClosed))
}

// newReturnBalancers derives from the board which balancers can carry answers.
func newReturnBalancers(b *board.Board, zoneClosed func(zone string) bool) *returnBalancers {
	rb := &returnBalancers{unusable: make(map[netip.AddrPort]struct{}), control: make(map[netip.AddrPort]netip.AddrPort)}
	for _, r := range b.Records(board.KindBalancer) {
		m, ok := r.Value.(board.Balancer)
		if ok {
			rb.control[m.DataAddress] = m.ControlAddress
		}
		switch {
		case !ok:
		case m.Leaving || r.Version.Liveness == board.Dead || zoneClosed(m.Zone) || b.ZoneUnreachable(m.Zone):
			rb.unusable[m.DataAddress] = struct{}{}
		case r.Version.Liveness == board.Alive:
			rb.usable = append(rb.usable, m.DataAddress)
		}
	}
	slices.SortFunc(rb.usable, netip.AddrPort.Compare)
	return rb
}

// state returns the state that decisions on packets depend on.
func (a *Agent) state() agentState {
	load, belowLimit := a.admitter.load(time.Now())
	return agentState{view: a.view.Load(), acceptsFlows: !a.draining.Load(), zoneClosed: a.zoneClosed.Load(), belowLimit: belowLimit, load: load}
}
