// Package control runs the membership core over UDP and net/rpc, and carries out its store accesses.
package control

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/membership"
	"github.com/bramleymast/bramleymast/pkg/store"
)

const (
	// maxQueuedEvents limits the received datagrams that wait for the core.
	maxQueuedEvents = 4096
	// maxBindAttempts is how many random ports are tried until one is free for both UDP and TCP.
	maxBindAttempts = 20
	// pullTimeout limits one pull.
	pullTimeout = 8 * time.Second
)

// Load is the current load of an agent.
type Load = membership.Load

// Config configures the control part of a process.
type Config struct {
	ID, Zone string
	// Service is set for agents only.
	Service string
	// Address is the UDP and TCP listen address; port 0 selects a free port.
	Address netip.AddrPort
	// Seeds are the control addresses of some balancers.
	Seeds     []netip.AddrPort
	SharedKey []byte
	// Incarnation identifies the sender of control datagrams; it must be unique and increase with each start.
	Incarnation uint64
	Board       *board.Board
	// Store is set for balancers only.
	Store store.Store
	// Heartbeat is the time between two heartbeats; 0 means 1 s.
	Heartbeat time.Duration
	// Budget is the number of bytes per second that may be sent; 0 means 3 KiB.
	Budget     int
	Logger     hclog.Logger
	Registerer prometheus.Registerer
}

// Process is the control part of a balancer or an agent.
type Process struct {
	cfg     Config
	udp     *net.UDPConn
	tcp     net.Listener
	address netip.AddrPort
	framer  *framer
	metrics *metrics
	node    *membership.Node
	rpc     *rpc.Server
	pulls   *rate.Limiter
	clients clientPool

	synchronised atomic.Bool
	isRelay      atomic.Bool

	mu         sync.Mutex
	events     []func(now time.Time) []membership.Action
	wake       chan struct{}
	onLoad     func(agent string, l Load)
	cancelRead context.CancelFunc
	lease      store.LeaseID
}

// New binds the sockets; Run starts the process.
func New(cfg Config) (*Process, error) {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	f, err := newFramer(cfg.SharedKey, cfg.Incarnation)
	if err != nil {
		return nil, errors.Trace(err)
	}
	m, err := newMetrics(cfg.Registerer)
	if err != nil {
		return nil, errors.Annotate(err, "cannot register the control metrics")
	}
	p := &Process{
		cfg: cfg, framer: f, metrics: m, rpc: rpc.NewServer(), wake: make(chan struct{}, 1),
		pulls: rate.NewLimiter(pullRate, pullBurst),
	}
	if err := p.bind(); err != nil {
		return nil, err
	}
	p.node = membership.New(membership.Config{
		ID: cfg.ID, Zone: cfg.Zone, Service: cfg.Service, Incarnation: cfg.Incarnation, Address: p.address,
		Seeds: cfg.Seeds, Board: cfg.Board, Heartbeat: cfg.Heartbeat, Budget: cfg.Budget,
		Store: cfg.Store != nil, Seed: cfg.Incarnation,
	})
	p.clients.sharedKey = cfg.SharedKey
	return p, p.Register("Control", &service{p: p})
}

// bind listens on the same port with UDP and TCP.
func (p *Process) bind() error {
	var err error
	for range maxBindAttempts {
		p.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.cfg.Address))
		if err != nil {
			return errors.Annotatef(err, "cannot bind the control address %s", p.cfg.Address)
		}
		local := p.udp.LocalAddr().(*net.UDPAddr).AddrPort() //nolint:forcetypeassert // A UDP socket has a UDP address.
		p.address = netip.AddrPortFrom(local.Addr().Unmap(), local.Port())
		p.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(p.address))
		if err == nil {
			return nil
		}
		closeQuietly(p.udp)
		if p.cfg.Address.Port() != 0 {
			break
		}
	}
	return errors.Annotatef(err, "cannot bind TCP on the control address %s", p.address)
}

// Address returns the bound control address.
func (p *Process) Address() netip.AddrPort { return p.address }

// Synchronised reports whether the process has synchronised with a peer or the store since its start.
func (p *Process) Synchronised() bool { return p.synchronised.Load() }

// SetMember replaces the value of the local member record. An empty control address, zone or service is filled in.
func (p *Process) SetMember(v board.Value) {
	switch m := v.(type) {
	case board.Agent:
		if !m.ControlAddress.IsValid() {
			m.ControlAddress = p.address
		}
		if m.Zone == "" {
			m.Zone = p.cfg.Zone
		}
		if m.Service == "" {
			m.Service = p.cfg.Service
		}
		v = m
	case board.Balancer:
		if !m.ControlAddress.IsValid() {
			m.ControlAddress = p.address
		}
		if m.Zone == "" {
			m.Zone = p.cfg.Zone
		}
		v = m
	}
	p.post(membership.SetMember{Value: v})
}

// SendLoad reports the local load to other agents of the service.
func (p *Process) SendLoad(l Load) { p.post(membership.SendLoad{Load: l}) }

// OnLoad sets the function that receives the loads of other agents of the service.
func (p *Process) OnLoad(f func(agent string, l Load)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onLoad = f
}

// SendZoneStates sends the zone states to a process whose datagrams show that it lacks the newest one.
func (p *Process) SendZoneStates(to netip.AddrPort) {
	p.post(membership.PeerOutdated{ControlAddress: to})
}

// Register adds a net/rpc service; it must be called before Run.
func (p *Process) Register(name string, receiver any) error {
	return errors.Annotatef(p.rpc.RegisterName(name, receiver), "cannot register the service %s", name)
}

// Call calls a net/rpc method of another process.
func (p *Process) Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	return p.clients.call(ctx, to, method, args, reply)
}

// post queues an event for the goroutine that owns the core. It never blocks, because board watchers that run in that
// goroutine may call SetMember.
func (p *Process) post(e membership.Event) {
	p.postFunc(func(now time.Time) []membership.Action { return p.node.Handle(now, e) })
}

func (p *Process) postFunc(f func(now time.Time) []membership.Action) {
	p.mu.Lock()
	p.events = append(p.events, f)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// runInLoop runs a function in the goroutine that owns the core and waits for it.
func (p *Process) runInLoop(ctx context.Context, f func(n *membership.Node)) error {
	done := make(chan struct{})
	p.postFunc(func(time.Time) []membership.Action {
		f(p.node)
		close(done)
		return nil
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run runs the process until ctx ends, and then returns nil.
func (p *Process) Run(ctx context.Context) error {
	g, err := rungroup.New(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	g.Go(func(ctx context.Context) error {
		<-ctx.Done()
		closeQuietly(p.udp)
		closeQuietly(p.tcp)
		p.clients.close()
		return nil
	})
	g.Go(func(ctx context.Context) error { return p.receive(ctx) })
	g.Go(func(ctx context.Context) error { return p.accept(ctx, g) })
	g.Go(func(ctx context.Context) error { return p.loop(ctx, g) })
	p.cfg.Logger.Info("control started", "id", p.cfg.ID, "zone", p.cfg.Zone, "address", p.address.String())
	return g.Wait()
}

func (p *Process) loop(ctx context.Context, g *rungroup.Group) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			p.perform(g, p.node.Handle(time.Now(), membership.Tick{}))
		case <-p.wake:
			p.handleEvents(g)
		}
		p.synchronised.Store(p.node.Synchronised())
		p.isRelay.Store(p.node.IsRelay())
		if next := p.node.Next(); !next.IsZero() {
			timer.Reset(max(time.Until(next), time.Millisecond))
		}
	}
}

func (p *Process) handleEvents(g *rungroup.Group) {
	p.mu.Lock()
	events := p.events
	p.events = nil
	p.mu.Unlock()
	for _, f := range events {
		p.perform(g, f(time.Now()))
	}
}

func (p *Process) queuedEvents() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.events)
}

func (p *Process) receive(ctx context.Context) error {
	buf := make([]byte, maxFrameSize+1)
	for ctx.Err() == nil {
		size, from, err := p.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			// On a bound socket these are errors of single datagrams, such as an ICMP port unreachable.
			p.metrics.refused.WithLabelValues("receive_error").Inc()
			continue
		}
		p.metrics.received.Add(float64(size))
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if err := p.handleDatagram(from, buf[:size]); err != nil {
			p.metrics.refused.WithLabelValues(err.Error()).Inc()
		}
	}
	return nil
}

func (p *Process) handleDatagram(from netip.AddrPort, b []byte) error {
	payload, err := p.framer.open(time.Now(), b)
	if err != nil {
		return err
	}
	m, err := membership.Decode(payload)
	if err != nil {
		p.cfg.Logger.Warn("control message refused", "from", from.String(), "error", err)
		return errMalformed
	}
	if p.queuedEvents() >= maxQueuedEvents {
		return errBusy
	}
	p.post(membership.Received{From: from, Message: m})
	return nil
}

// perform carries out the actions of the core.
func (p *Process) perform(g *rungroup.Group, actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			p.send(a)
		case membership.Pull:
			g.Go(func(ctx context.Context) error { return p.pull(ctx, a) })
		case membership.AcquireLease:
			g.Go(p.acquireLease)
		case membership.RenewLease:
			g.Go(p.renewLease)
		case membership.ReleaseLease:
			g.Go(p.releaseLease)
		case membership.ReadStore:
			p.startReading(g, a)
		case membership.StopReading:
			p.stopReading()
		case membership.DeliverLoad:
			p.deliverLoad(a)
		case membership.Trace:
			p.trace(a)
		}
	}
}

func (p *Process) send(a membership.Send) {
	b, err := p.framer.seal(a.Payload)
	if err != nil {
		p.metrics.refused.WithLabelValues(errOversized.Error()).Inc()
		return
	}
	if _, err := p.udp.WriteToUDPAddrPort(b, a.To); err != nil {
		p.metrics.refused.WithLabelValues("send_error").Inc()
		return
	}
	p.metrics.sent.Add(float64(len(b)))
}

func (p *Process) deliverLoad(a membership.DeliverLoad) {
	p.mu.Lock()
	f := p.onLoad
	p.mu.Unlock()
	if f != nil {
		f(a.Agent, a.Load)
	}
}

func (p *Process) trace(a membership.Trace) {
	p.metrics.decisions.WithLabelValues(string(a.Reason)).Inc()
	if a.Reason == membership.ReasonApplied {
		p.cfg.Logger.Trace("record applied", "kind", a.ID.Kind.String(), "key", a.ID.Key, "seq", a.Version.Seq)
		return
	}
	p.cfg.Logger.Debug("decision", "reason", string(a.Reason), "kind", a.ID.Kind.String(), "key", a.ID.Key, "seq", a.Version.Seq)
}
