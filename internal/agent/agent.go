// Package agent runs beside a backend server: it terminates the QUIC flows of callers and passes their
// requests to the backend server within the limits of the contract.
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
	// handshakeTimeout ends the half-open connection that a split opening leaves behind.
	handshakeTimeout = 5 * time.Second
	// packetSize leaves room for the frame of a datagram on a link that carries 1,500 bytes.
	packetSize = 1252
	// tickInterval is short against the grace period of a zone and the times that flow records outlive their use.
	tickInterval = 100 * time.Millisecond
	// loadInterval is the time between two reports of the load to co-members.
	loadInterval = 500 * time.Millisecond
)

// Load is what an agent tells its co-members about itself.
type Load = membership.Load

// Control is the part of the control process that an agent uses.
type Control interface {
	// SetMember publishes the agent's member record.
	SetMember(v board.Value)
	// SendLoad tells the load to co-members.
	SendLoad(l Load)
	// OnLoad registers the function that receives the loads of co-members.
	OnLoad(f func(agent string, l Load))
	// SendZoneStates sends the zone states to a process that lacks the newest one.
	SendZoneStates(to netip.AddrPort)
	// Register adds a net/rpc service; it must be called before the control process runs.
	Register(name string, receiver any) error
	// Call calls a net/rpc method at another process.
	Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
}

// Config is what an agent needs.
type Config struct {
	ID, Zone, Service string
	// DataAddress is the UDP address for datagrams; port 0 is allowed.
	DataAddress netip.AddrPort
	// Advertised is where others reach DataAddress; the zero value means the bound address.
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

// Agent is the process beside a backend server.
type Agent struct {
	cfg      Config
	service  flow.ServiceID
	short    flow.ShortID
	sealer   *wire.Sealer
	conn     *packetConn
	requests *requests
	gate     *gate
	sentinel *sentinel
	metrics  *metrics
	zones    board.ZoneOutTimes

	steering steering
	view     atomic.Pointer[flow.View]
	ways     atomic.Pointer[ways]
	tenure   atomic.Pointer[tenure]

	zoneRevision atomic.Uint64
	zoneGaps     zoneGaps
	changed      chan struct{}
	// draining is set by Drain; leaving and closed follow the board too.
	draining, leaving, closed atomic.Bool
	phase                     board.Phase
	contractSeq               uint64
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
		cfg: cfg, service: flow.ServiceIDOf(cfg.Service), short: flow.ShortIDOf(cfg.ID), sealer: sealer,
		gate: newGate(time.Now()), changed: make(chan struct{}, 1),
	}
	a.zoneGaps.tell = cfg.Control.SendZoneStates
	a.steering.tag, a.steering.self = newConnTag(cfg.ID, cfg.Incarnation), a.short
	if a.metrics, err = newMetrics(cfg.Registerer, a.gate); err != nil {
		return nil, err
	}
	t, err := newTickets(cfg)
	if err != nil {
		return nil, err
	}
	server := newBackend(target)
	a.requests = &requests{
		gate: a.gate, backend: server, tickets: t, metrics: a.metrics, budget: &admission.RetryBudget{},
		random: rand.Float64,
	}
	a.sentinel = &sentinel{
		dial:    server.connect,
		closed:  func() { a.markCold(admission.ColdRestarted) },
		refused: func() { a.markCold(admission.ColdRefused) },
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
	a.cfg.Logger.Info("the backend server counts as cold", "reason", string(reason))
	a.gate.markCold(reason)
	a.notify()
}

// DataAddress returns the address at which others reach the agent.
func (a *Agent) DataAddress() netip.AddrPort {
	if a.cfg.Advertised.IsValid() {
		return a.cfg.Advertised
	}
	return addrPort(a.conn.LocalAddr())
}

// Drain starts the graceful shutdown, after which Run returns.
func (a *Agent) Drain() {
	a.draining.Store(true)
	a.leaving.Store(true)
	a.notify()
}

// Run serves until the context ends or the drain is over.
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
	s := &supervisor{agent: a, serving: func(h *handoff) {
		g.Go(func(context.Context) error { return h.serve() })
	}}
	s.step(time.Now())
	a.announce()
	g.Go(func(ctx context.Context) error { return a.accept(ctx, listener) })
	g.Go(a.sentinel.run)
	g.Go(a.tellLoad)
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

// accept hands each connection whose handshake is complete to the tenure.
func (a *Agent) accept(ctx context.Context, l *quic.Listener) error {
	for {
		c, err := l.Accept(ctx)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, quic.ErrServerClosed) {
				return errors.Annotate(err, "cannot accept connections")
			}
			return nil //nolint:nilerr // The agent stops.
		}
		a.steering.flows.establish(addrPort(c.RemoteAddr()))
		if t := a.tenure.Load(); t != nil {
			t.hand(ctx, c)
		}
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		InitialPacketSize:       packetSize,
		DisablePathMTUDiscovery: true,
		// Replayed early data could run a request twice.
		Allow0RTT: false,
	}
}

func (a *Agent) tlsConfig() *tls.Config {
	return http3.ConfigureTLSConfig(&tls.Config{
		Certificates: []tls.Certificate{a.cfg.Certificate},
		MinVersion:   tls.VersionTLS13,
	})
}

// connContext counts a connection from its first packet until its end, within the contract's limit.
func (a *Agent) connContext(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	if !a.gate.connect() {
		return nil, errNoCapacity
	}
	caller := addrPort(info.RemoteAddr)
	a.steering.flows.connected(caller)
	context.AfterFunc(ctx, func() {
		a.gate.disconnect()
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

// announce publishes the agent's member record when its phase has changed.
func (a *Agent) announce() {
	phase := board.PhaseReady
	switch {
	case a.leaving.Load():
		phase = board.PhaseDraining
	case a.gate.cold():
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

// tellLoad tells co-members the own load.
func (a *Agent) tellLoad(ctx context.Context) error {
	for sleep(ctx, loadInterval) {
		load, _ := a.gate.load(time.Now())
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

// watch follows the board until the context ends or the drain is over.
func (a *Agent) watch(ctx context.Context, s *supervisor) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		a.steering.flows.sweep(now)
		a.refresh(now)
		over := s.step(now)
		a.announce()
		if over {
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
	if known && version.Seq != a.contractSeq {
		a.contractSeq = version.Seq
		a.requests.setContract(now, c.Contract)
	}
	for _, r := range b.Records(board.KindZone) {
		out, _ := b.ZoneOut(r.ID.Key)
		a.zones.Update(now, r.ID.Key, out)
	}
	closed := func(zone string) bool { return a.zones.OutAtLeast(now, zone, c.ZoneOutGracePeriod()) }
	a.zoneRevision.Store(b.ZoneRevision())
	a.closed.Store(closed(a.cfg.Zone))
	a.view.Store(b.View(a.cfg.Service, closed))
	a.ways.Store(waysOf(b, closed))
}

// waysOf derives the balancers that can carry answers from the board.
func waysOf(b *board.Board, closed func(zone string) bool) *ways {
	w := &ways{lost: make(map[netip.AddrPort]struct{}), control: make(map[netip.AddrPort]netip.AddrPort)}
	for _, r := range b.Records(board.KindBalancer) {
		m, ok := r.Value.(board.Balancer)
		if ok {
			w.control[m.DataAddress] = m.ControlAddress
		}
		switch {
		case !ok:
		case m.Leaving || r.Version.Liveness == board.Dead || closed(m.Zone) || b.ZoneUnreachable(m.Zone):
			w.lost[m.DataAddress] = struct{}{}
		case r.Version.Liveness == board.Alive:
			w.live = append(w.live, m.DataAddress)
		}
	}
	slices.SortFunc(w.live, netip.AddrPort.Compare)
	return w
}

// situation returns the state that decisions on packets depend on.
func (a *Agent) situation() situation {
	load, room := a.gate.load(time.Now())
	return situation{view: a.view.Load(), opens: !a.leaving.Load(), closed: a.closed.Load(), room: room, load: load}
}
