package cmd

import (
	"context"
	"net/http"

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
  bramleymast standin fabric --settings standin-fabric.json
  curl http://127.0.0.1:9300/admin/counts`
	return sc
}

type fabricCountsJSON struct {
	Balancers []fabric.Count `json:"balancers"`
	Unsent    uint64         `json:"unsent"`
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
		mux := http.NewServeMux()
		mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, fabricCountsJSON{Balancers: f.Counts(), Unsent: f.Unsent()})
		})
		if err := admin.listen(s.AdminAddress(), mux); err != nil {
			e.fail(err)
			return ExitFailure
		}
	}
	logger.Info("fabric started", "services", s.Services())
	return e.serve(ctx, logger, newWithAdmin(admin, f.Run))
}

// withAdmin runs a task that has no graceful shutdown of its own, and an admin server beside it.
type withAdmin struct {
	admin *webServers
	task  func(ctx context.Context) error
	stop  chan struct{}
}

func newWithAdmin(admin *webServers, task func(ctx context.Context) error) *withAdmin {
	return &withAdmin{admin: admin, task: task, stop: make(chan struct{})}
}

// Run runs both until Drain is called or the context ends.
func (d *withAdmin) Run(ctx context.Context) error {
	g, err := rungroup.New(ctx)
	if err != nil {
		return err
	}
	g.Go(func(ctx context.Context) error {
		select {
		case <-d.stop:
			g.Stop()
		case <-ctx.Done():
		}
		return nil
	})
	g.Go(d.admin.Run)
	g.Go(d.task)
	return g.Wait()
}

// Drain ends both.
func (d *withAdmin) Drain() { close(d.stop) }
