// Package node assembles the daemons: a balancer or an agent with its control process and its HTTP server.
package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleymast/bramleymast/internal/control"
	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// CommonConfig is the configuration that balancers and agents share.
type CommonConfig struct {
	// ID is the id of the process, which is unique in the deployment.
	ID string
	// Zone is the availability zone of the host.
	Zone string
	// DataAddress is the UDP address for packets from other processes of the deployment.
	DataAddress netip.AddrPort
	// Advertised is the address at which other processes reach DataAddress; the zero value means the bound address.
	Advertised netip.AddrPort
	// ControlAddress is the address for control datagrams (UDP) and net/rpc (TCP).
	ControlAddress netip.AddrPort
	// HTTPAddress is the address of the metrics and health endpoints; the zero value disables them.
	HTTPAddress netip.AddrPort
	// Seeds are the control addresses of balancers that the process contacts when it starts.
	Seeds []netip.AddrPort
	// SharedKey authenticates the processes of the deployment to one another.
	SharedKey []byte
	// Heartbeat is the interval between two heartbeats; 0 means the default.
	Heartbeat time.Duration
	// ControlBudget is the maximum control traffic in bytes per second; 0 means the default.
	ControlBudget int
	// Logger is the parent of the loggers; nil disables logging.
	Logger hclog.Logger
}

// components holds the parts that balancers and agents share.
type components struct {
	cfg         CommonConfig
	service     string
	incarnation uint64
	board       *board.Board
	registry    *prometheus.Registry
	control     *control.Process
	listener    net.Listener
	// handlers are served beside the metrics, by pattern.
	handlers map[string]http.Handler
}

func newComponents(cfg CommonConfig, service string, s store.Store) (*components, error) {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	c := &components{
		cfg:         cfg,
		service:     service,
		incarnation: uint64(time.Now().UnixNano()),
		board:       &board.Board{},
		registry:    prometheus.NewRegistry(),
	}
	process, err := control.New(control.Config{
		ID:          cfg.ID,
		Zone:        cfg.Zone,
		Service:     service,
		Address:     cfg.ControlAddress,
		Seeds:       cfg.Seeds,
		SharedKey:   cfg.SharedKey,
		Incarnation: c.incarnation,
		Board:       c.board,
		Store:       s,
		Heartbeat:   cfg.Heartbeat,
		Budget:      cfg.ControlBudget,
		Logger:      cfg.Logger.Named("control"),
		Registerer:  c.registry,
	})
	if err != nil {
		return nil, err
	}
	c.control = process
	return c, c.bindHTTP()
}

// run runs the control process, the HTTP server and task until one of them fails, task returns or the context ends.
func (c *components) run(ctx context.Context, ready func() bool, task func(ctx context.Context) error) error {
	g, err := rungroup.New(ctx)
	if err != nil {
		return err
	}
	g.Go(c.control.Run)
	g.Go(func(ctx context.Context) error { return c.serveHTTP(ctx, ready) })
	g.Go(func(ctx context.Context) error {
		defer g.Stop()
		return task(ctx)
	})
	return g.Wait()
}
