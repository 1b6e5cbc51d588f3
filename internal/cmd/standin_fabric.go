package cmd

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/internal/settings"
	"github.com/bramleymast/bramleymast/internal/standin/fabric"
)

// standinFabric is "standin fabric".
type standinFabric struct {
	settings string
}

func (c *standinFabric) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("fabric")
	sc.Description = "runs a stand-in of the packet fabric, which sprays packets over the ready balancers"
	c.settings = "standin-fabric.json"
	sc.String(&c.settings, "s", "settings", "settings file of the stand-in")
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast standin fabric --settings standin-fabric.json`
	return sc
}

func (c *standinFabric) run(ctx context.Context, e environment) int {
	s, err := settings.LoadStandinFabric(c.settings)
	if err != nil {
		e.fail(err)
		return ExitBadInput
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "standin-fabric", Output: e.errOut})
	f, err := fabric.New(fabric.Config{Addresses: s.Services(), Seed: uint64(s.Seed()), Logger: logger})
	if err != nil {
		e.fail(err)
		return ExitFailure
	}
	for _, b := range s.Balancers() {
		f.AddBalancer(fabric.Balancer{ID: b.IP().String(), IP: b.IP(), ReadyURL: b.ReadyURL()})
	}
	admin := &webServers{}
	if s.AdminAddress().IsValid() {
		if err := admin.listen(s.AdminAddress(), f.AdminHandler()); err != nil {
			e.fail(err)
			return ExitFailure
		}
	}
	logger.Info("fabric started", "services", s.Services())
	return e.serve(ctx, logger, newTasks(f.Run, admin.Run))
}

// tasks is a daemon of functions that stop together.
type tasks struct {
	functions []func(ctx context.Context) error
	stop      chan struct{}
}

func newTasks(functions ...func(ctx context.Context) error) *tasks {
	return &tasks{functions: functions, stop: make(chan struct{})}
}

// Run runs the functions until Drain is called or the context ends.
func (t *tasks) Run(ctx context.Context) error {
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

// Drain stops the functions; it is called once.
func (t *tasks) Drain() { close(t.stop) }
