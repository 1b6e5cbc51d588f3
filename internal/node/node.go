// Package node composes the daemons: a balancer or an agent with its control process and its HTTP server.
package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleymast/bramleymast/internal/control"
	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// CommonConfig holds what a balancer and an agent have in common.
type CommonConfig struct {
	// ID names the process; it is unique in the whole system.
	ID string
	// Zone is the availability zone of the host.
	Zone string
	// DataAddress receives packets from other processes of the system (UDP).
	DataAddress netip.AddrPort
	// Advertised is where others reach DataAddress; the zero value means the bound address.
	Advertised netip.AddrPort
	// ControlAddress receives control datagrams (UDP) and net/rpc (TCP).
	ControlAddress netip.AddrPort
	// HTTPAddress serves metrics and health; the zero value serves none.
	HTTPAddress netip.AddrPort
	// Seeds are control addresses of some balancers.
	Seeds []netip.AddrPort
	// SharedKey authenticates the processes of the system to one another.
	SharedKey []byte
	// Heartbeat is the interval between two heartbeats; 0 means the default.
	Heartbeat time.Duration
	// ControlBudget bounds control traffic in bytes per second; 0 means the default.
	ControlBudget int
	// Logger receives the log; nil means none.
	Logger hclog.Logger
}

// parts is what both daemons are composed of.
type parts struct {
	common      CommonConfig
	service     string
	incarnation uint64
	board       *board.Board
	registry    *prometheus.Registry
	control     *control.Process
	listener    net.Listener
}

func newParts(c CommonConfig, service string, s store.Store) (*parts, error) {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	p := &parts{
		common:      c,
		service:     service,
		incarnation: uint64(time.Now().UnixNano()),
		board:       &board.Board{},
		registry:    prometheus.NewRegistry(),
	}
	process, err := control.New(control.Config{
		ID:          c.ID,
		Zone:        c.Zone,
		Service:     service,
		Address:     c.ControlAddress,
		Seeds:       c.Seeds,
		SharedKey:   c.SharedKey,
		Incarnation: p.incarnation,
		Board:       p.board,
		Store:       s,
		Heartbeat:   c.Heartbeat,
		Budget:      c.ControlBudget,
		Logger:      c.Logger.Named("control"),
		Registerer:  p.registry,
	})
	if err != nil {
		return nil, err
	}
	p.control = process
	return p, p.bindHTTP()
}

// run runs the control process, the HTTP server and the given task, which stop together.
func (p *parts) run(ctx context.Context, ready func() bool, task func(ctx context.Context) error) error {
	g, err := rungroup.New(ctx)
	if err != nil {
		return err
	}
	g.Go(p.control.Run)
	g.Go(func(ctx context.Context) error { return p.serveHTTP(ctx, ready) })
	g.Go(func(ctx context.Context) error {
		defer g.Stop()
		return task(ctx)
	})
	return g.Wait()
}
