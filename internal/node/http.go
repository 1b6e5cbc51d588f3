package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// headerTimeout limits how long a client may take to send the header of a request.
const headerTimeout = 5 * time.Second

// bindHTTP opens the listener of the metrics and health endpoints, if an address is configured.
func (c *components) bindHTTP() error {
	if !c.cfg.HTTPAddress.IsValid() {
		return nil
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(c.cfg.HTTPAddress))
	if err != nil {
		return errors.Annotatef(err, "cannot bind the HTTP address %s", c.cfg.HTTPAddress)
	}
	c.listener = l
	return nil
}

func (c *components) httpAddress() netip.AddrPort {
	if c.listener == nil {
		return netip.AddrPort{}
	}
	a, ok := c.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return a.AddrPort()
}

// serveHTTP serves the metrics and health endpoints until the context ends.
func (c *components) serveHTTP(ctx context.Context, ready func() bool) error {
	if c.listener == nil {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	for pattern, h := range c.handlers {
		mux.Handle(pattern, h)
	}
	s := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(c.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotate(err, "HTTP server")
	}
	return nil
}
