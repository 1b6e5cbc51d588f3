package cmd

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/settings"
	"github.com/bramleymast/bramleymast/internal/standin/backend"
)

// standinServiceTime is how long a warm sample backend server works on a request.
const standinServiceTime = 5 * time.Millisecond

// standinBackend is "standin backend".
type standinBackend struct {
	settings string
}

func (c *standinBackend) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("backend")
	sc.Description = "runs a stand-in of a backend server, which has slots and a cold start"
	c.settings = "standin-backend.json"
	sc.String(&c.settings, "s", "settings", "settings file of the stand-in")
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast standin backend --settings standin-backend.json
  curl http://127.0.0.1:9301/admin/counts
  curl -X POST http://127.0.0.1:9301/admin/restart`
	return sc
}

func (c *standinBackend) run(ctx context.Context, e environment) int {
	s, err := settings.LoadStandinBackend(c.settings)
	if err != nil {
		e.fail(err)
		return ExitBadInput
	}
	kind, err := backend.ParseKind(s.Service())
	if err != nil {
		e.fail(err)
		return ExitBadInput
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "standin-backend", Output: e.errOut})
	b, err := backend.New(ctx, backend.Config{
		ID: s.Address().String(), Kind: kind, Address: s.Address().String(), Slots: s.Slots(), ColdSlots: s.ColdSlots(),
		Ramp: s.Cold(), ServiceTime: standinServiceTime, Logger: logger,
	})
	if err != nil {
		e.fail(err)
		return ExitFailure
	}
	admin := &webServers{}
	if s.AdminAddress().IsValid() {
		if err := admin.listen(s.AdminAddress(), backendAdmin(b)); err != nil {
			e.fail(err)
			return ExitFailure
		}
	}
	logger.Info("backend server started", "address", b.Address(), "service", kind)
	return e.serve(ctx, logger, newWithAdmin(admin, b.Run))
}

func backendAdmin(b *backend.Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Counts()) })
	mux.HandleFunc("POST /admin/cold", func(http.ResponseWriter, *http.Request) { b.GoCold() })
	mux.HandleFunc("POST /admin/restart", func(http.ResponseWriter, *http.Request) { b.Restart() })
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
