package node

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleymast/bramleymast/internal/balancer"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// defaultSettle is longer than a fabric needs to see that a balancer is not ready any more.
const defaultSettle = 2 * time.Second

// BalancerConfig is what a balancer needs.
type BalancerConfig struct {
	CommonConfig
	// BindIP replaces the IP of the contracts' addresses when it is valid.
	BindIP netip.Addr
	// Store is the platform's store.
	Store store.Store
	// DrainPeriod is how long a stopping balancer still forwards; 0 means 2 s.
	DrainPeriod time.Duration
}

// Balancer is the process on an entry host.
type Balancer struct {
	parts    *parts
	balancer *balancer.Balancer
	settle   time.Duration
	leaving  atomic.Bool
	drain    chan struct{}
	once     sync.Once
}

// NewBalancer binds the sockets of a balancer.
func NewBalancer(cfg BalancerConfig) (*Balancer, error) {
	p, err := newParts(cfg.CommonConfig, "", cfg.Store)
	if err != nil {
		return nil, err
	}
	lb, err := balancer.New(balancer.Config{
		ID:          cfg.ID,
		Zone:        cfg.Zone,
		BindIP:      cfg.BindIP,
		DataAddress: cfg.DataAddress,
		Advertised:  cfg.Advertised,
		SharedKey:   cfg.SharedKey,
		Incarnation: p.incarnation,
		Board:       p.board,
		Logger:      p.common.Logger.Named("balancer"),
		Registerer:  p.registry,
	})
	if err != nil {
		return nil, err
	}
	lb.OnRevisionGap(p.closeGap)
	b := &Balancer{parts: p, balancer: lb, settle: cfg.DrainPeriod, drain: make(chan struct{})}
	if b.settle <= 0 {
		b.settle = defaultSettle
	}
	b.announce()
	return b, nil
}

// ControlAddress returns the bound control address.
func (b *Balancer) ControlAddress() netip.AddrPort { return b.parts.control.Address() }

// HTTPAddress returns the bound address of metrics and health.
func (b *Balancer) HTTPAddress() netip.AddrPort { return b.parts.httpAddress() }

// Board returns the blackboard, which callers must only read.
func (b *Balancer) Board() *board.Board { return b.parts.board }

// Registry returns the metrics.
func (b *Balancer) Registry() *prometheus.Registry { return b.parts.registry }

// Ready reports whether the fabric may send packets to the balancer.
func (b *Balancer) Ready() bool {
	out, _ := b.parts.board.ZoneOut(b.parts.common.Zone)
	return b.parts.control.Synchronised() && !b.leaving.Load() && !out
}

// Drain starts the graceful shutdown: the balancer is not ready any more, forwards for the settle time and stops.
func (b *Balancer) Drain() {
	b.once.Do(func() {
		b.leaving.Store(true)
		b.announce()
		close(b.drain)
	})
}

// closeGap tells the zone states to an agent that lacks the newest one.
// An agent that knows a newer one tells the balancer by itself.
func (p *parts) closeGap(g balancer.RevisionGap) {
	if !g.AgentOutdated() {
		return
	}
	r, ok := p.board.Get(board.ID{Kind: board.KindAgent, Key: g.Agent})
	if !ok {
		return
	}
	if a, ok := r.Value.(board.Agent); ok {
		p.control.SendZoneStates(a.ControlAddress)
	}
}

func (b *Balancer) announce() {
	b.parts.control.SetMember(board.Balancer{
		Zone:        b.parts.common.Zone,
		Leaving:     b.leaving.Load(),
		DataAddress: b.balancer.DataAddress(),
	})
}

// Run serves until the context ends or the graceful shutdown is over.
func (b *Balancer) Run(ctx context.Context) error {
	return b.parts.run(ctx, b.Ready, func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go b.stopAfterSettle(ctx, cancel)
		return b.balancer.Run(ctx)
	})
}

func (b *Balancer) stopAfterSettle(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-ctx.Done():
		return
	case <-b.drain:
	}
	select {
	case <-ctx.Done():
	case <-time.After(b.settle):
		cancel()
	}
}
