package node

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleymast/bramleymast/internal/balancer"
	"github.com/bramleymast/bramleymast/internal/forecast"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// defaultDrainPeriod is longer than a fabric takes to detect that a balancer is no longer ready.
const defaultDrainPeriod = 2 * time.Second

// BalancerConfig configures a balancer.
type BalancerConfig struct {
	CommonConfig
	// BindIP replaces the IP of the service addresses in the contracts, if it is valid.
	BindIP netip.Addr
	// Store is the platform's store.
	Store store.Store
	// DrainPeriod is how long a balancer continues to forward packets after Drain; 0 means 2 s.
	DrainPeriod time.Duration
}

// Balancer is the process that runs on an entry host.
type Balancer struct {
	components  *components
	balancer    *balancer.Balancer
	drainPeriod time.Duration
	leaving     atomic.Bool
	drain       chan struct{}
	drainOnce   sync.Once
}

// NewBalancer binds the sockets of a balancer.
func NewBalancer(cfg BalancerConfig) (*Balancer, error) {
	c, err := newComponents(cfg.CommonConfig, "", cfg.Store)
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
		Incarnation: c.incarnation,
		Board:       c.board,
		Logger:      c.cfg.Logger.Named("balancer"),
		Registerer:  c.registry,
	})
	if err != nil {
		return nil, err
	}
	c.handlers = map[string]http.Handler{"GET " + forecast.Path: forecast.Handler(lb)}
	lb.OnRevisionGap(c.sendZoneStates)
	b := &Balancer{components: c, balancer: lb, drainPeriod: cfg.DrainPeriod, drain: make(chan struct{})}
	if b.drainPeriod <= 0 {
		b.drainPeriod = defaultDrainPeriod
	}
	b.announce()
	return b, nil
}

// ControlAddress returns the bound control address.
func (b *Balancer) ControlAddress() netip.AddrPort { return b.components.control.Address() }

// HTTPAddress returns the bound address of the metrics and health endpoints.
func (b *Balancer) HTTPAddress() netip.AddrPort { return b.components.httpAddress() }

// Board returns the board, which callers must not change.
func (b *Balancer) Board() *board.Board { return b.components.board }

// Registry returns the metrics registry.
func (b *Balancer) Registry() *prometheus.Registry { return b.components.registry }

// Ready reports whether the fabric may send packets to the balancer.
func (b *Balancer) Ready() bool {
	out, _ := b.components.board.ZoneOut(b.components.cfg.Zone)
	return b.components.control.Synchronised() && !b.leaving.Load() && !out
}

// Drain starts the graceful shutdown: the balancer is no longer ready, forwards packets for the drain period and stops.
func (b *Balancer) Drain() {
	b.drainOnce.Do(func() {
		b.leaving.Store(true)
		b.announce()
		close(b.drain)
	})
}

// sendZoneStates sends the zone states to an agent that lacks the newest one.
// A newer state of the agent needs no action, because the agent sends it to the balancer.
func (c *components) sendZoneStates(g balancer.RevisionGap) {
	if !g.AgentOutdated() {
		return
	}
	r, ok := c.board.Get(board.ID{Kind: board.KindAgent, Key: g.Agent})
	if !ok {
		return
	}
	if a, ok := r.Value.(board.Agent); ok {
		c.control.SendZoneStates(a.ControlAddress)
	}
}

func (b *Balancer) announce() {
	b.components.control.SetMember(board.Balancer{
		Zone:        b.components.cfg.Zone,
		Leaving:     b.leaving.Load(),
		DataAddress: b.balancer.DataAddress(),
	})
}

// Run serves until the context ends or the graceful shutdown is complete.
func (b *Balancer) Run(ctx context.Context) error {
	return b.components.run(ctx, b.Ready, func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go b.stopAfterDrain(ctx, cancel)
		return b.balancer.Run(ctx)
	})
}

func (b *Balancer) stopAfterDrain(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-ctx.Done():
		return
	case <-b.drain:
	}
	select {
	case <-ctx.Done():
	case <-time.After(b.drainPeriod):
		cancel()
	}
}
