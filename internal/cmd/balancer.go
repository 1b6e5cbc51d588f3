package cmd

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/node"
	"github.com/bramleymast/bramleymast/internal/settings"
	"github.com/bramleymast/bramleymast/internal/signals"
	"github.com/bramleymast/bramleymast/internal/storeclient"
)

// balancerCommand implements "bramleymast balancer".
type balancerCommand struct {
	settings string
}

func (c *balancerCommand) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("balancer")
	sc.Description = "runs the balancer of an entry host until SIGTERM"
	c.settings = "balancer.json"
	sc.String(&c.settings, "s", "settings", "balancer settings file")
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast balancer --settings /etc/bramleymast/balancer.json

The first SIGTERM is a graceful shutdown; the second ends the process at once with exit code 1.`
	return sc
}

func (c *balancerCommand) run(ctx context.Context, e environment) int {
	s, err := settings.LoadBalancer(c.settings)
	if err != nil {
		e.printError(err)
		return ExitBadInput
	}
	key, err := settings.ReadSharedKey(s.SharedKeyFile())
	if err != nil {
		e.printError(err)
		return ExitBadInput
	}
	logger := s.Log().NewLogger("bramleymast", e.errOut)
	st := storeclient.New(s.StoreURL())
	defer st.Close()
	b, err := node.NewBalancer(node.BalancerConfig{
		CommonConfig: node.CommonConfig{
			ID: s.ID(), Zone: s.Zone(), DataAddress: s.DataAddress(), ControlAddress: s.ControlAddress(),
			HTTPAddress: s.HTTPAddress(), Seeds: s.Seeds(), SharedKey: key, Heartbeat: s.Heartbeat(),
			ControlBudget: s.ControlBudget(), Logger: logger,
		},
		BindIP: s.BindIP(),
		Store:  st,
	})
	if err != nil {
		e.printError(err)
		return ExitFailure
	}
	logger.Info("balancer started", "id", s.ID(), "control", b.ControlAddress(), "http", b.HTTPAddress())
	return e.runDaemon(ctx, logger, b)
}

// daemon is a long-running process that Drain shuts down gracefully.
type daemon interface {
	Run(ctx context.Context) error
	Drain()
}

// runDaemon runs a daemon until it stops, drains it at the first signal and returns the exit code.
func (e environment) runDaemon(ctx context.Context, logger hclog.Logger, d daemon) int {
	received, stop := signals.Notify()
	defer stop()
	drain := func() {
		logger.Info("graceful shutdown")
		d.Drain()
	}
	if err := signals.Run(ctx, received, drain, d.Run); err != nil {
		logger.Error("stopped", "error", err)
		return ExitFailure
	}
	logger.Info("stopped")
	return ExitSuccess
}
