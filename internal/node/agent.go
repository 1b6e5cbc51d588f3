package node

import (
	"context"
	"crypto/tls"
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleymast/bramleymast/internal/agent"
	"github.com/bramleymast/bramleymast/pkg/board"
)

// AgentConfig is what an agent needs.
type AgentConfig struct {
	CommonConfig
	// Service is the customer service of the backend server.
	Service string
	// BackendURL is the address of the backend server.
	BackendURL string
	// Certificate is what callers see.
	Certificate tls.Certificate
}

// Agent is the process beside a backend server.
type Agent struct {
	parts *parts
	agent *agent.Agent
}

// NewAgent binds the sockets of an agent.
func NewAgent(cfg AgentConfig) (*Agent, error) {
	p, err := newParts(cfg.CommonConfig, cfg.Service, nil)
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
		Incarnation: p.incarnation,
		Board:       p.board,
		Control:     p.control,
		Logger:      p.common.Logger.Named("agent"),
		Registerer:  p.registry,
	})
	if err != nil {
		return nil, err
	}
	return &Agent{parts: p, agent: a}, nil
}

// DataAddress returns the bound data address.
func (a *Agent) DataAddress() netip.AddrPort { return a.agent.DataAddress() }

// ControlAddress returns the bound control address.
func (a *Agent) ControlAddress() netip.AddrPort { return a.parts.control.Address() }

// HTTPAddress returns the bound address of metrics and health.
func (a *Agent) HTTPAddress() netip.AddrPort { return a.parts.httpAddress() }

// Board returns the blackboard, which callers must only read.
func (a *Agent) Board() *board.Board { return a.parts.board }

// Registry returns the metrics.
func (a *Agent) Registry() *prometheus.Registry { return a.parts.registry }

// Ready reports whether the agent knows its contract.
func (a *Agent) Ready() bool {
	_, _, ok := a.parts.board.Contract(a.parts.service)
	return ok && a.parts.control.Synchronised()
}

// Drain starts the graceful shutdown, after which Run returns.
func (a *Agent) Drain() { a.agent.Drain() }

// Run serves until the context ends or the graceful shutdown is over.
func (a *Agent) Run(ctx context.Context) error {
	return a.parts.run(ctx, a.Ready, a.agent.Run)
}
