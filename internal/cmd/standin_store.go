package cmd

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/internal/settings"
	standin "github.com/bramleymast/bramleymast/internal/standin/store"
)

// standinStoreCommand implements "standin store".
type standinStoreCommand struct {
	settings string
}

func (c *standinStoreCommand) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("store")
	sc.Description = "runs a stand-in of the platform's configuration store, which keeps everything in memory"
	c.settings = "standin-store.json"
	sc.String(&c.settings, "s", "settings", "settings file of the stand-in")
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast standin store --settings standin-store.json`
	return sc
}

func (c *standinStoreCommand) run(ctx context.Context, e environment) int {
	s, err := settings.LoadStandinStore(c.settings)
	if err != nil {
		e.printError(err)
		return ExitBadInput
	}
	server := &standin.Server{}
	web := &webServers{}
	if err := web.listen(s.Address(), requirePrefix("/v1/", server)); err != nil {
		e.printError(err)
		return ExitFailure
	}
	if s.AdminAddress().IsValid() {
		if err := web.listen(s.AdminAddress(), requirePrefix("/admin/", server)); err != nil {
			e.printError(err)
			return ExitFailure
		}
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "standin-store", Output: e.errOut})
	logger.Info("store started", "address", s.Address())
	return e.runDaemon(ctx, logger, web)
}

// requirePrefix answers requests outside of a path prefix with 404.
func requirePrefix(path string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, path) {
			http.NotFound(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headerTimeout is the time a client has to send the header of a request.
const headerTimeout = 5 * time.Second

// webServers are HTTP servers that stop together; the zero value has none.
type webServers struct {
	listeners []net.Listener
	servers   []*http.Server
	once      sync.Once
}

func (s *webServers) listen(address netip.AddrPort, h http.Handler) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return errors.Annotatef(err, "cannot listen on %s", address)
	}
	s.listeners = append(s.listeners, l)
	s.servers = append(s.servers, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout})
	return nil
}

// Run serves until Drain is called or the context ends.
func (s *webServers) Run(ctx context.Context) error {
	g, err := rungroup.New(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(g.Context(), s.Drain)
	defer stop()
	for i, server := range s.servers {
		g.Go(func(context.Context) error {
			if err := server.Serve(s.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return errors.Annotate(err, "cannot serve HTTP")
			}
			return nil
		})
	}
	return g.Wait()
}

// Drain closes the servers; pending watch requests end without an answer.
func (s *webServers) Drain() {
	s.once.Do(func() {
		for _, server := range s.servers {
			_ = server.Close()
		}
	})
}
