// Package agent runs beside a backend server: it terminates the QUIC flows of callers and passes their
// requests to the backend server within the limits of the contract.
package agent

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
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
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/membership"
)

// QUIC parameters.
const (
	// handshakeTimeout ends the half-open connection that a split opening leaves behind.
	handshakeTimeout = 5 * time.Second
	// packetSize leaves room for the frame of a datagram on a link that carries 1,500 bytes.
	packetSize = 1252
	// sweepInterval is short against the times that flow records outlive their use.
	sweepInterval = 500 * time.Millisecond
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
	cfg     Config
	service flow.ServiceID
	short   flow.ShortID
	sealer  *wire.Sealer
	conn    *packetConn
	backend *backend
	metrics *metrics
	zones   board.ZoneGate

	steering     steering
	view         atomic.Pointer[flow.View]
	ways         atomic.Pointer[ways]
	zoneRevision atomic.Uint64
	changed      chan struct{}
	drain        chan struct{}
	draining     atomic.Bool
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
	m, err := newMetrics(cfg.Registerer)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.DataAddress))
	if err != nil {
		return nil, errors.Annotatef(err, "cannot bind the data address %s", cfg.DataAddress)
	}
	a := &Agent{
		cfg: cfg, service: flow.ServiceIDOf(cfg.Service), short: flow.ShortIDOf(cfg.ID),
		sealer: sealer, metrics: m, backend: newBackend(target),
		changed: make(chan struct{}, 1), drain: make(chan struct{}),
	}
	a.steering.tag, a.steering.self = newConnTag(cfg.ID, cfg.Incarnation), a.short
	a.conn = newPacketConn(socket, a)
	a.refresh(time.Now())
	cfg.Board.OnChange(func(board.Record) { a.notify() })
	return a, nil
}

// DataAddress returns the address that receives forward datagrams.
func (a *Agent) DataAddress() netip.AddrPort {
	u, ok := a.conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return u.AddrPort()
}

// Drain starts the graceful shutdown, after which Run returns.
func (a *Agent) Drain() {
	if a.draining.CompareAndSwap(false, true) {
		close(a.drain)
		a.announce()
	}
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
	server := &http3.Server{Handler: http.HandlerFunc(a.serve)}
	a.announce()
	g.Go(func(context.Context) error {
		err := server.ServeListener(&flowListener{listener: listener, flows: &a.steering.flows})
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Annotate(err, "HTTP/3 server")
	})
	g.Go(a.watch)
	g.Go(func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-a.drain:
			_ = server.Shutdown(ctx)
		}
		_ = server.Close()
		_ = listener.Close()
		_ = transport.Close()
		_ = a.conn.Close()
		g.Stop()
		return nil
	})
	return g.Wait()
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

// connContext counts a connection from its first packet until its end.
func (a *Agent) connContext(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	caller := addrPort(info.RemoteAddr)
	a.steering.flows.connected(caller)
	context.AfterFunc(ctx, func() { a.steering.flows.disconnected(time.Now(), caller) })
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

// flowListener marks the flow of each connection whose handshake is complete.
type flowListener struct {
	listener *quic.Listener
	flows    *flowTable
}

// Accept returns the next connection.
func (l *flowListener) Accept(ctx context.Context) (*quic.Conn, error) {
	c, err := l.listener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	l.flows.establish(addrPort(c.RemoteAddr()))
	return c, nil
}

// Addr returns the address of the listener.
func (l *flowListener) Addr() net.Addr { return l.listener.Addr() }

// Close closes the listener.
func (l *flowListener) Close() error { return l.listener.Close() }

// announce publishes the agent's member record.
func (a *Agent) announce() {
	phase := board.PhaseReady
	if a.draining.Load() {
		phase = board.PhaseDraining
	}
	a.cfg.Control.SetMember(board.Agent{
		Service: a.cfg.Service, Zone: a.cfg.Zone, Phase: phase, Data: a.DataAddress(),
	})
}

func (a *Agent) notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// watch follows the board and sweeps the flow table.
func (a *Agent) watch(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.changed:
		case <-ticker.C:
		}
		now := time.Now()
		a.steering.flows.sweep(now)
		a.refresh(now)
	}
}

// refresh derives the steering view from the board.
func (a *Agent) refresh(now time.Time) {
	b := a.cfg.Board
	c, _, _ := b.Contract(a.cfg.Service)
	for _, r := range b.Records(board.KindZone) {
		out, _ := b.ZoneOut(r.ID.Key)
		a.zones.Update(now, r.ID.Key, out)
	}
	a.zoneRevision.Store(b.ZoneRevision())
	closed := func(zone string) bool { return a.zones.Closed(now, zone, c.ZoneOutGrace()) }
	a.view.Store(b.View(a.cfg.Service, closed))
	a.ways.Store(waysOf(b, closed))
}

// waysOf derives the balancers that can carry answers from the board.
func waysOf(b *board.Board, closed func(zone string) bool) *ways {
	w := &ways{lost: make(map[netip.AddrPort]struct{})}
	for _, r := range b.Records(board.KindBalancer) {
		m, ok := r.Value.(board.Balancer)
		switch {
		case !ok:
		case m.Leaving || r.Version.Verdict == board.Dead || closed(m.Zone):
			w.lost[m.Data] = struct{}{}
		case r.Version.Verdict == board.Alive:
			w.live = append(w.live, m.Data)
		}
	}
	slices.SortFunc(w.live, netip.AddrPort.Compare)
	return w
}

// situation returns the state that decisions on packets depend on.
func (a *Agent) situation() situation {
	return situation{view: a.view.Load(), opens: !a.draining.Load(), room: true}
}
