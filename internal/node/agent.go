package node

import (
	"context"
	"crypto/tls"
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleymast/bramleymast/internal/agent"
	"github.com/bramleymast/bramleymast/pkg/board"
)

// AgentConfig configures an agent.
type AgentConfig struct {
	CommonConfig
	// Service is the customer service of the backend server.
	Service string
	// BackendURL is the URL of the backend server.
	BackendURL string
	// Certificate is the certificate that the agent presents to callers.
	Certificate tls.Certificate
}

// Agent is the process that runs beside a backend server.
type Agent struct {
	components *components
	agent      *agent.Agent
}

// NewAgent binds the sockets of an agent.
func NewAgent(cfg AgentConfig) (*Agent, error) {
	c, err := newComponents(cfg.CommonConfig, cfg.Service, nil)
	if err != nil {
		return nil, err
	}
	a, err := agent.New(agent.Config{
		ID:          cfg.ID,
		Zone:        cfg.Zone,
		Service:     cfg.Service,
		DataAddress: cfg.DataAddress,
		Advertised:  cfg.Advertised,
		BackendURL:  cfg.BackendURL,
		Certificate: cfg.Certificate,
		SharedKey:   cfg.SharedKey,
		Incarnation: c.incarnation,
		Board:       c.board,
		Control:     c.control,
		Logger:      c.cfg.Logger.Named("agent"),
		Registerer:  c.registry,
	})
	if err != nil {
		return nil, err
	}
	return &Agent{components: c, agent: a}, nil
}

// DataAddress returns the bound data address.
func (a *Agent) DataAddress() netip.AddrPort { return a.agent.DataAddress() }

// ControlAddress returns the bound control address.
func (a *Agent) ControlAddress() netip.AddrPort { return a.components.control.Address() }

// HTTPAddress returns the bound address of the metrics and health endpoints.
func (a *Agent) HTTPAddress() netip.AddrPort { return a.components.httpAddress() }

// Board returns the board, which callers must not change.
func (a *Agent) Board() *board.Board { return a.components.board }

// Registry returns the metrics registry.
func (a *Agent) Registry() *prometheus.Registry { return a.components.registry }

// Ready reports whether the agent is synchronised and has the contract of its service.
func (a *Agent) Ready() bool {
	_, _, ok := a.components.board.Contract(a.components.service)
	return ok && a.components.control.Synchronised()
}

// Drain starts the graceful shutdown; Run returns when it is complete.
func (a *Agent) Drain() { a.agent.Drain() }

// Run serves until the context ends or the graceful shutdown is complete.
func (a *Agent) Run(ctx context.Context) error {
	return a.components.run(ctx, a.Ready, a.agent.Run)
}
