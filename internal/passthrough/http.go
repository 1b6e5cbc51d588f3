package passthrough

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
)

// headerTimeout limits how long a client may take to send a request header.
const headerTimeout = 5 * time.Second

// httpServer serves readiness, heartbeats and metrics.
type httpServer struct {
	listener net.Listener
	mux      *http.ServeMux
}

func newHTTPServer(a netip.AddrPort) (*httpServer, error) {
	l, err := net.Listen("tcp4", a.String()) //nolint:noctx // run closes the listener
	if err != nil {
		return nil, errors.Annotatef(err, "cannot listen on %s", a)
	}
	return &httpServer{listener: l, mux: http.NewServeMux()}, nil
}

func (s *httpServer) handleReady(path string, ready func() bool) {
	s.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// run serves until the context ends.
func (s *httpServer) run(ctx context.Context) error {
	server := &http.Server{Handler: s.mux, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}

// runOptional serves until the context ends or the listener fails, which the process survives. It does nothing for a nil
// server.
func (s *httpServer) runOptional(ctx context.Context, logger hclog.Logger) error {
	if s == nil {
		return nil
	}
	if err := s.run(ctx); err != nil {
		logger.Warn("metrics address not available", "address", s.listener.Addr().String(), "error", err)
	}
	return nil
}
