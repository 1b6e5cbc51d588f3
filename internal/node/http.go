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

// headerTimeout bounds how long a client may take to send the header of a request.
const headerTimeout = 5 * time.Second

// bindHTTP opens the listener of metrics and health, if an address is configured.
func (p *parts) bindHTTP() error {
	if !p.common.HTTPAddress.IsValid() {
		return nil
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(p.common.HTTPAddress))
	if err != nil {
		return errors.Annotatef(err, "cannot bind the HTTP address %s", p.common.HTTPAddress)
	}
	p.listener = l
	return nil
}

func (p *parts) httpAddress() netip.AddrPort {
	if p.listener == nil {
		return netip.AddrPort{}
	}
	a, ok := p.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return a.AddrPort()
}

// serveHTTP serves metrics and health until the context ends.
func (p *parts) serveHTTP(ctx context.Context, ready func() bool) error {
	if p.listener == nil {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotate(err, "HTTP server")
	}
	return nil
}
