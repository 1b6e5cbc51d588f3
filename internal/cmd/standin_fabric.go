package cmd

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/internal/settings"
	"github.com/bramleymast/bramleymast/internal/standin/fabric"
)

// standinFabricCommand implements "standin fabric".
type standinFabricCommand struct {
	settings string
}

func (c *standinFabricCommand) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("fabric")
	sc.Description = "runs a stand-in of the packet fabric, which sprays packets over the ready balancers"
	c.settings = "standin-fabric.json"
	sc.String(&c.settings, "s", "settings", "settings file of the stand-in")
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast standin fabric --settings standin-fabric.json`
	return sc
}

func (c *standinFabricCommand) run(ctx context.Context, e environment) int {
	s, err := settings.LoadStandinFabric(c.settings)
	if err != nil {
		e.printError(err)
		return ExitBadInput
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "standin-fabric", Output: e.errOut})
	f, err := fabric.New(fabric.Config{Addresses: s.Services(), Seed: uint64(s.Seed()), Logger: logger})
	if err != nil {
		e.printError(err)
		return ExitFailure
	}
	for _, b := range s.Balancers() {
		f.AddBalancer(fabric.Balancer{ID: b.IP().String(), IP: b.IP(), ReadyURL: b.ReadyURL()})
	}
	admin := &webServers{}
	if s.AdminAddress().IsValid() {
		if err := admin.listen(s.AdminAddress(), f.AdminHandler()); err != nil {
			e.printError(err)
			return ExitFailure
		}
	}
	logger.Info("fabric started", "services", s.Services())
	return e.runDaemon(ctx, logger, newTaskGroup(f.Run, admin.Run))
}

// taskGroup is a daemon that runs several functions and stops them together.
type taskGroup struct {
	functions []func(ctx context.Context) error
	stop      chan struct{}
}

func newTaskGroup(functions ...func(ctx context.Context) error) *taskGroup {
	return &taskGroup{functions: functions, stop: make(chan struct{})}
}

// Run runs the functions until one of them fails, Drain is called or the context ends.
func (t *taskGroup) Run(ctx context.Context) error {
	g, err := rungroup.New(ctx)
	if err != nil {
		return err
	}
	for _, f := range t.functions {
		g.Go(f)
	}
	g.Go(func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-t.stop:
			g.Stop()
		}
		return nil
	})
	return g.Wait()
}

// Drain stops the functions; it must be called at most once.
func (t *taskGroup) Drain() { close(t.stop) }
