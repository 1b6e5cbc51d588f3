package cmd

import (
	"context"
	"crypto/tls"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/node"
	"github.com/bramleymast/bramleymast/internal/settings"
)

// agentCommand implements "bramleymast agent".
type agentCommand struct {
	settings string
}

func (c *agentCommand) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("agent")
	sc.Description = "runs the agent beside a backend server until SIGTERM"
	c.settings = "agent.json"
	sc.String(&c.settings, "s", "settings", "agent settings file")
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast agent --settings /etc/bramleymast/agent.json

The first SIGTERM is a graceful shutdown; the second ends the process at once with exit code 1.`
	return sc
}

func (c *agentCommand) run(ctx context.Context, e environment) int {
	s, err := settings.LoadAgent(c.settings)
	if err != nil {
		e.printError(err)
		return ExitBadInput
	}
	key, err := settings.ReadSharedKey(s.SharedKeyFile())
	if err != nil {
		e.printError(err)
		return ExitBadInput
	}
	certificate, err := tls.LoadX509KeyPair(s.CertificateFile(), s.KeyFile())
	if err != nil {
		e.printError(err)
		return ExitBadInput
	}
	logger := s.Log().NewLogger("bramleymast", e.errOut)
	a, err := node.NewAgent(node.AgentConfig{
		CommonConfig: node.CommonConfig{
			ID: s.ID(), Zone: s.Zone(), DataAddress: s.DataAddress(), ControlAddress: s.ControlAddress(),
			HTTPAddress: s.HTTPAddress(), Seeds: s.Seeds(), SharedKey: key, Heartbeat: s.Heartbeat(),
			ControlBudget: s.ControlBudget(), Logger: logger,
		},
		Service:     s.Service(),
		BackendURL:  s.BackendURL(),
		Certificate: certificate,
	})
	if err != nil {
		e.printError(err)
		return ExitFailure
	}
	logger.Info("agent started", "id", s.ID(), "service", s.Service(), "data", a.DataAddress(), "http", a.HTTPAddress())
	return e.runDaemon(ctx, logger, a)
}
