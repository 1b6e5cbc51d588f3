package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/rungroup"
)

const (
	maxPacketBytes    = 2048
	socketBufferBytes = 4 << 20
	readyPollInterval = 100 * time.Millisecond
	// readyTimeout limits the time for which a balancer that stopped responding still gets packets.
	readyTimeout = 300 * time.Millisecond
	// flowIdleTimeout is the time without packets after which the socket of a flow is closed; it exceeds the idle
	// timeouts of QUIC.
	flowIdleTimeout = 2 * time.Minute
	sweepInterval   = 10 * time.Second
)

// CallerZone is the zone name of the callers in SetLink.
const CallerZone = "callers"

// Config configures a fabric.
type Config struct {
	// Addresses are the service addresses on which the fabric listens (UDP).
	Addresses []netip.AddrPort
	Seed      uint64
	Logger    hclog.Logger
}

// Balancer is a destination of packets.
type Balancer struct {
	ID   string
	Zone string
	IP   netip.Addr
	// ReadyURL is polled for readiness; a balancer without one is always ready.
	ReadyURL string
}

// Count holds the counters of one balancer: packets sent to it, and packets that it sent back to callers.
type Count struct {
	Balancer string `json:"balancer"`
	Ready    bool   `json:"ready"`
	Sent     uint64 `json:"sent"`
	Returned uint64 `json:"returned"`
}

// target is a balancer with its readiness and counters.
type target struct {
	Balancer
	ready    atomic.Bool
	sent     atomic.Uint64
	returned atomic.Uint64
	stop     context.CancelFunc
}

// zonePair identifies a link; each direction has its own.
type zonePair struct{ from, to string }

// Fabric forwards each packet of a caller to a random ready balancer and the packets of the balancers to the callers.
type Fabric struct {
	cfg       Config
	listeners []*net.UDPConn
	delays    *delayQueue
	client    *http.Client
	group     *rungroup.Group
	started   chan struct{}

	mu      sync.RWMutex
	targets []*target
	removed []Count
	links   map[zonePair]Link

	rngMu sync.Mutex
	rng   *rand.Rand

	flowMu sync.Mutex
	flows  map[flowKey]*flow
	closed bool

	unsent atomic.Uint64
}

// New returns a fabric that listens on the service addresses; Run forwards packets.
func New(cfg Config) (*Fabric, error) {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	f := &Fabric{
		cfg:     cfg,
		delays:  newDelayQueue(),
		client:  &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		started: make(chan struct{}),
		links:   make(map[zonePair]Link),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		flows:   make(map[flowKey]*flow),
	}
	for _, a := range cfg.Addresses {
		conn, err := listen(a)
		if err != nil {
			f.close()
			return nil, errors.Annotatef(err, "the fabric cannot listen on service address %s", a)
		}
		f.listeners = append(f.listeners, conn)
	}
	return f, nil
}

func listen(a netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Trace(err)
	}
	// The kernel may grant smaller buffers; packets that do not fit are lost, as on a real link.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

// Addresses returns the service addresses on which the fabric listens.
func (f *Fabric) Addresses() []netip.AddrPort {
	as := make([]netip.AddrPort, 0, len(f.listeners))
	for _, l := range f.listeners {
		as = append(as, localAddr(l))
	}
	return as
}

func localAddr(c *net.UDPConn) netip.AddrPort {
	a, ok := c.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return a.AddrPort()
}

// SetLink sets the faults and delays of the packets from one zone to another; CallerZone stands for the callers.
func (f *Fabric) SetLink(from, to string, l Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[zonePair{from, to}] = l
}

func (f *Fabric) link(from, to string) Link {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.links[zonePair{from, to}]
}

// AddBalancer adds a balancer, which receives packets while it is ready.
func (f *Fabric) AddBalancer(b Balancer) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &target{Balancer: b, stop: cancel}
	t.ready.Store(b.ReadyURL == "")
	f.mu.Lock()
	f.targets = append(f.targets, t)
	f.mu.Unlock()
	if b.ReadyURL == "" {
		return
	}
	go func() {
		select {
		case <-f.started:
			f.group.Go(func(runCtx context.Context) error {
				defer context.AfterFunc(runCtx, cancel)()
				f.pollReadiness(ctx, t)
				return nil
			})
		case <-ctx.Done():
		}
	}()
}

// RemoveBalancer removes a balancer at once and keeps its counters.
func (f *Fabric) RemoveBalancer(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = slices.DeleteFunc(f.targets, func(t *target) bool {
		if t.ID != id {
			return false
		}
		t.stop()
		c := t.count()
		c.Ready = false
		f.removed = append(f.removed, c)
		return true
	})
}

func (t *target) count() Count {
	return Count{Balancer: t.ID, Ready: t.ready.Load(), Sent: t.sent.Load(), Returned: t.returned.Load()}
}

// Counts returns the counters of all balancers, including removed ones, sorted by id.
func (f *Fabric) Counts() []Count {
	f.mu.RLock()
	cs := slices.Clone(f.removed)
	for _, t := range f.targets {
		cs = append(cs, t.count())
	}
	f.mu.RUnlock()
	slices.SortStableFunc(cs, func(a, b Count) int { return strings.Compare(a.Balancer, b.Balancer) })
	return cs
}

// Unsent returns the number of packets dropped because no balancer was ready.
func (f *Fabric) Unsent() uint64 { return f.unsent.Load() }

// pollReadiness updates the readiness of a balancer until the context ends.
func (f *Fabric) pollReadiness(ctx context.Context, t *target) {
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for {
		ready := f.isReady(ctx, t.ReadyURL)
		if ctx.Err() != nil {
			return
		}
		if t.ready.Swap(ready) != ready {
			f.cfg.Logger.Info("readiness of a balancer changed", "balancer", t.ID, "ready", ready)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (f *Fabric) isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	res, err := f.client.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// randomReadyTarget returns a random ready balancer, or nil if none is ready.
func (f *Fabric) randomReadyTarget() *target {
	f.mu.RLock()
	defer f.mu.RUnlock()
	ready := 0
	for _, t := range f.targets {
		if t.ready.Load() {
			ready++
		}
	}
	if ready == 0 {
		return nil
	}
	f.rngMu.Lock()
	n := f.rng.IntN(ready)
	f.rngMu.Unlock()
	for _, t := range f.targets {
		if !t.ready.Load() {
			continue
		}
		if n == 0 {
			return t
		}
		n--
	}
	return nil
}

// targetByIP returns the balancer with the given IP address, or nil.
func (f *Fabric) targetByIP(ip netip.Addr) *target {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, t := range f.targets {
		if t.IP == ip {
			return t
		}
	}
	return nil
}

// Run forwards packets until the context ends.
func (f *Fabric) Run(ctx context.Context) error {
	g, err := rungroup.New(ctx)
	if err != nil {
		return err
	}
	f.group = g
	close(f.started)
	for _, l := range f.listeners {
		g.Go(func(context.Context) error { return f.receive(l) })
	}
	g.Go(f.delays.run)
	g.Go(f.sweepIdleFlows)
	g.Go(func(ctx context.Context) error {
		<-ctx.Done()
		f.close()
		return nil
	})
	return g.Wait()
}

func (f *Fabric) close() {
	for _, l := range f.listeners {
		_ = l.Close()
	}
	f.flowMu.Lock()
	defer f.flowMu.Unlock()
	f.closed = true
	for k, fl := range f.flows {
		_ = fl.conn.Close()
		delete(f.flows, k)
	}
}

// transmit applies the loss, duplication and delay of a link to a packet and calls send for each copy that arrives.
func (f *Fabric) transmit(l Link, packet []byte, send func(p []byte)) {
	if l == (Link{}) {
		send(packet)
		return
	}
	f.rngMu.Lock()
	arrivals := l.arrivals(f.rng)
	f.rngMu.Unlock()
	now := time.Now()
	for _, d := range arrivals {
		p := slices.Clone(packet)
		f.delays.add(now.Add(d), func() { send(p) })
	}
}
