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
	maxPacket         = 2048
	socketBuffer      = 4 << 20
	readyPollInterval = 100 * time.Millisecond
	// readyTimeout bounds how long packets still go to a balancer that has stopped answering.
	readyTimeout = 300 * time.Millisecond
	// flowIdle is how long the socket of a caller is kept without packets; it exceeds QUIC's idle timeouts.
	flowIdle      = 2 * time.Minute
	sweepInterval = 10 * time.Second
)

// CallerZone is the zone name of the callers in zone pairs.
const CallerZone = "callers"

// Config configures a fabric.
type Config struct {
	// Addresses are the service addresses on which the fabric listens (UDP).
	Addresses []netip.AddrPort
	Seed      uint64
	Logger    hclog.Logger
}

// Balancer is one target of the fabric.
type Balancer struct {
	ID   string
	Zone string
	IP   netip.Addr
	// ReadyURL is read for readiness; an empty one means that the balancer is always ready.
	ReadyURL string
}

// Count is what the fabric has counted for one balancer.
type Count struct {
	Balancer string `json:"balancer"`
	Ready    bool   `json:"ready"`
	Sent     uint64 `json:"sent"`
	Returned uint64 `json:"returned"`
}

// target is a balancer with its state.
type target struct {
	Balancer
	ready    atomic.Bool
	sent     atomic.Uint64
	returned atomic.Uint64
	stop     context.CancelFunc
}

// zonePair names a direction.
type zonePair struct{ from, to string }

// Fabric sprays packets of callers over the ready balancers and passes the answers back.
type Fabric struct {
	cfg       Config
	listeners []*net.UDPConn
	line      *delayLine
	client    *http.Client
	group     *rungroup.Group
	running   chan struct{}

	mu      sync.RWMutex
	targets []*target
	gone    []Count
	links   map[zonePair]Link

	randMu sync.Mutex
	random *rand.Rand

	flowMu sync.Mutex
	flows  map[flowKey]*flow
	closed bool

	unsent atomic.Uint64
}

// New binds the service addresses.
func New(cfg Config) (*Fabric, error) {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	f := &Fabric{
		cfg:     cfg,
		line:    newDelayLine(),
		client:  &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		running: make(chan struct{}),
		links:   make(map[zonePair]Link),
		random:  rand.New(rand.NewPCG(cfg.Seed, 1)),
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
	// The kernel may grant less than is asked for; packets over the buffer are lost as on a real link.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// Addresses returns the bound service addresses.
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

// SetLink sets what happens to packets from one zone to another; CallerZone names the side of the callers.
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

// AddBalancer adds a target, which gets packets as soon as it is ready.
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
		case <-f.running:
			f.group.Go(func(runCtx context.Context) error {
				defer context.AfterFunc(runCtx, cancel)()
				f.poll(ctx, t)
				return nil
			})
		case <-ctx.Done():
		}
	}()
}

// RemoveBalancer removes a target at once.
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
		f.gone = append(f.gone, c)
		return true
	})
}

func (t *target) count() Count {
	return Count{Balancer: t.ID, Ready: t.ready.Load(), Sent: t.sent.Load(), Returned: t.returned.Load()}
}

// Counts returns the counts of all balancers, removed ones included, sorted by id.
func (f *Fabric) Counts() []Count {
	f.mu.RLock()
	cs := slices.Clone(f.gone)
	for _, t := range f.targets {
		cs = append(cs, t.count())
	}
	f.mu.RUnlock()
	slices.SortStableFunc(cs, func(a, b Count) int { return strings.Compare(a.Balancer, b.Balancer) })
	return cs
}

// Unsent returns how many packets found no ready balancer.
func (f *Fabric) Unsent() uint64 { return f.unsent.Load() }

// poll follows the readiness of a balancer.
func (f *Fabric) poll(ctx context.Context, t *target) {
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for {
		ready := f.isReady(ctx, t.ReadyURL)
		if ctx.Err() != nil {
			return
		}
		if t.ready.Swap(ready) != ready {
			f.cfg.Logger.Info("readiness of a balancer has changed", "balancer", t.ID, "ready", ready)
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

// pick returns a random ready balancer or nil.
func (f *Fabric) pick() *target {
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
	f.randMu.Lock()
	n := f.random.IntN(ready)
	f.randMu.Unlock()
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

// targetOf returns the balancer with an IP address or nil.
func (f *Fabric) targetOf(ip netip.Addr) *target {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, t := range f.targets {
		if t.IP == ip {
			return t
		}
	}
	return nil
}

// Run passes packets until the context ends.
func (f *Fabric) Run(ctx context.Context) error {
	g, err := rungroup.New(ctx)
	if err != nil {
		return err
	}
	f.group = g
	close(f.running)
	for _, l := range f.listeners {
		g.Go(func(context.Context) error { return f.receive(l) })
	}
	g.Go(f.line.run)
	g.Go(f.sweep)
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

// pass sends a packet over a link.
func (f *Fabric) pass(l Link, packet []byte, send func(p []byte)) {
	if l == (Link{}) {
		send(packet)
		return
	}
	f.randMu.Lock()
	arrivals := l.arrivals(f.random)
	f.randMu.Unlock()
	now := time.Now()
	for _, d := range arrivals {
		p := slices.Clone(packet)
		f.line.add(now.Add(d), func() { send(p) })
	}
}
