package cmd

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/settings"
	"github.com/bramleymast/bramleymast/internal/standin/backend"
)

// standinServiceTime is the time the stand-in takes for a read or a write when it is warm.
const standinServiceTime = 10 * time.Millisecond

// standinBackendCommand implements "standin backend".
type standinBackendCommand struct {
	settings string
}

func (c *standinBackendCommand) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("backend")
	sc.Description = "runs a sample backend server of the service orders, catalogue, summaries or bundles"
	c.settings = "standin-backend.json"
	sc.String(&c.settings, "s", "settings", "settings file of the stand-in")
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast standin backend --settings standin-backend.json`
	return sc
}

func (c *standinBackendCommand) run(ctx context.Context, e environment) int {
	s, err := settings.LoadStandinBackend(c.settings)
	if err != nil {
		e.printError(err)
		return ExitBadInput
	}
	kind, err := backend.ParseKind(s.Service())
	if err != nil {
		e.printError(err)
		return ExitBadInput
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "standin-backend", Output: e.errOut})
	server, err := backend.New(ctx, backend.Config{
		ID: s.Address().String(), Kind: kind, Address: s.Address().String(), Slots: s.Slots(), ColdSlots: s.ColdSlots(),
		Ramp: s.ColdStart(), ServiceTime: standinServiceTime, Logger: logger,
	})
	if err != nil {
		e.printError(err)
		return ExitFailure
	}
	admin := &webServers{}
	if s.AdminAddress().IsValid() {
		if err := admin.listen(s.AdminAddress(), server.AdminHandler()); err != nil {
			e.printError(err)
			return ExitFailure
		}
	}
	logger.Info("backend server started", "address", server.Address(), "kind", kind)
	return e.runDaemon(ctx, logger, newTaskGroup(server.Run, admin.Run))
}
