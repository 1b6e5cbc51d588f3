package backend

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/standin/content"
)

// HTTP headers that the sample backend server reads and writes.
const (
	HeaderServer    = "X-Backend-Server"
	headerRequestID = "X-Request-Id"
	headerDeadline  = "Bramleymast-Deadline-Ms"
)

const (
	// coldSlowdown is the factor by which the service time rises during a cold start.
	coldSlowdown = 3
	// readHeaderTimeout is a usual value for servers; it does not close connections that are idle between two requests.
	readHeaderTimeout  = time.Minute
	maxOrderBytes      = 64 << 10
	downloadBlockBytes = 32 << 10
	downloadInterval   = 20 * time.Millisecond
)

const errBadRequest = errors.ConstError("bad request")

// Config configures a sample backend server.
type Config struct {
	ID   string
	Kind Kind
	// Address is the TCP address to listen on; port 0 selects a free port, which a restart keeps.
	Address   string
	Slots     int
	ColdSlots int
	// Ramp is the duration of a cold start; 0 disables cold starts.
	Ramp time.Duration
	// ServiceTime is the time that a warm server takes for a read or a write.
	ServiceTime time.Duration
	Logger      hclog.Logger
}

// Server is a sample backend server; New starts to listen and Run serves.
type Server struct {
	cfg          Config
	limiter      slotLimiter
	address      string
	restart      chan struct{}
	responseHold holdPoint

	listener net.Listener
}

// New listens on the address and returns a server in a cold start.
func New(ctx context.Context, cfg Config) (*Server, error) {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", cfg.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "backend server %s cannot listen", cfg.ID)
	}
	s := &Server{cfg: cfg, address: l.Addr().String(), restart: make(chan struct{}, 1), listener: l}
	s.limiter.slots = cfg.Slots
	s.limiter.coldSlots = cfg.ColdSlots
	s.limiter.ramp = cfg.Ramp
	s.limiter.beginColdStart(time.Now())
	return s, nil
}

// ID returns the id from the configuration, which each response carries.
func (s *Server) ID() string { return s.cfg.ID }

// Kind returns the customer service that the server provides.
func (s *Server) Kind() Kind { return s.cfg.Kind }

// Address returns the TCP address on which the server listens; a restart does not change it.
func (s *Server) Address() string { return s.address }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.address }

// Counts returns a copy of the counters.
func (s *Server) Counts() Counts {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.addBusyTime(time.Now())
	c := s.limiter.counts
	c.Held = s.responseHold.heldCount()
	c.Executed = maps.Clone(c.Executed)
	return c
}

// BeginColdStart starts a cold start without a restart, as when a server loses its caches.
func (s *Server) BeginColdStart() {
	s.cfg.Logger.Info("cold start begins without a restart")
	s.limiter.beginColdStart(time.Now())
}

// Restart makes Run close all connections at once and serve again in a cold start, like a process that crashed.
// It returns before that has happened.
func (s *Server) Restart() {
	select {
	case s.restart <- struct{}{}:
	default:
	}
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	for {
		again, err := s.serve(ctx)
		if err != nil || !again {
			return err
		}
		if err := s.relisten(ctx); err != nil {
			return err
		}
		s.limiter.recordRestart()
		s.limiter.beginColdStart(time.Now())
		s.cfg.Logger.Info("restarted")
	}
}

// serve serves until the context ends or Restart is called and reports whether to start again.
func (s *Server) serve(ctx context.Context) (again bool, err error) {
	srv := &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(s.listener) }()
	select {
	case <-ctx.Done():
		err = srv.Close()
	case <-s.restart:
		again = true
		err = srv.Close()
	case err = <-done:
		return false, errors.Trace(err)
	}
	if served := <-done; !errors.Is(served, http.ErrServerClosed) {
		return false, errors.Trace(served)
	}
	return again, errors.Trace(err)
}

// relisten listens again on the address of New.
func (s *Server) relisten(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.address)
	if err != nil {
		return errors.Annotatef(err, "backend server %s cannot listen after its restart", s.cfg.ID)
	}
	s.listener = l
	return nil
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("GET /downloads/{seed}", s.withSlot(s.serveDownload))
	mux.Handle("GET "+s.cfg.Kind.ReadPath("{id}"), s.withSlot(withDeadline(s.serveRead)))
	if s.cfg.Kind.Writes() {
		mux.Handle("POST "+s.cfg.Kind.WritePath(), s.withSlot(withDeadline(s.serveWrite)))
	}
	return mux
}

// AdminHandler returns the handler of the admin requests: GET /admin/counts, PUT /admin/cold, PUT /admin/restart,
// PUT /admin/hold?bytes=N and PUT /admin/release.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/counts", s.serveCounts)
	mux.HandleFunc("PUT /admin/cold", func(_ http.ResponseWriter, _ *http.Request) { s.BeginColdStart() })
	mux.HandleFunc("PUT /admin/restart", func(_ http.ResponseWriter, _ *http.Request) { s.Restart() })
	mux.HandleFunc("PUT /admin/hold", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
		if err != nil {
			http.Error(w, "bytes must be a number", http.StatusBadRequest)
			return
		}
		s.HoldResponses(n)
	})
	mux.HandleFunc("PUT /admin/release", func(_ http.ResponseWriter, _ *http.Request) { s.ReleaseResponses() })
	return mux
}

// HoldResponses blocks downloads that have sent the given number of bytes until ReleaseResponses is called, so that a
// test can act during a download. With 0 bytes, it also blocks the response of a write after the write took effect.
func (s *Server) HoldResponses(bytes int64) { s.responseHold.set(bytes) }

// ReleaseResponses ends the hold, so that the blocked responses continue.
func (s *Server) ReleaseResponses() { s.responseHold.release() }

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Counts()); err != nil {
		s.cfg.Logger.Warn("cannot write the response with the counters", "error", err)
	}
}

// handler serves a request that has a slot.
type handler func(w http.ResponseWriter, r *http.Request, serviceTime time.Duration) error

// withSlot wraps a handler: it acquires a slot and copies the request id into the response.
func (s *Server) withSlot(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderServer, s.cfg.ID)
		if id := r.Header.Get(headerRequestID); id != "" {
			w.Header().Set(headerRequestID, id)
		}
		ok, cold := s.limiter.acquire(time.Now())
		if !ok {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "no slot is free", http.StatusServiceUnavailable)
			return
		}
		serviceTime := s.cfg.ServiceTime
		if cold {
			serviceTime *= coldSlowdown
		}
		end := s.finish(w, r, h(w, r, serviceTime))
		s.limiter.release(time.Now(), end)
	})
}

// finish classifies the end of a request and sends the error response for a bad request or an exceeded deadline.
func (s *Server) finish(w http.ResponseWriter, r *http.Request, err error) requestEnd {
	switch {
	case err == nil:
		return endAnswered
	case errors.Is(err, errBadRequest):
		http.Error(w, err.Error(), http.StatusBadRequest)
		return endAnswered
	case errors.Is(err, context.DeadlineExceeded) && r.Context().Err() == nil:
		http.Error(w, "the deadline has passed", http.StatusGatewayTimeout)
		return endDeadlineExceeded
	default:
		s.cfg.Logger.Debug("request cancelled", "path", r.URL.Path, "error", err)
		return endCancelled
	}
}

// withDeadline wraps a handler that answers at once: it applies the timeout from the request's header if that is valid.
func withDeadline(h handler) handler {
	return func(w http.ResponseWriter, r *http.Request, serviceTime time.Duration) error {
		ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
		if err != nil || ms <= 0 {
			return h(w, r, serviceTime)
		}
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
		defer cancel()
		return h(w, r.WithContext(ctx), serviceTime)
	}
}

// Answer is the JSON body of the response to a read or a write.
type Answer struct {
	ID     string `json:"id"`
	Server string `json:"server"`
	State  string `json:"state"`
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request, serviceTime time.Duration) error {
	if err := sleep(r.Context(), serviceTime); err != nil {
		return err
	}
	return s.writeAnswer(w, Answer{ID: r.PathValue("id"), Server: s.cfg.ID, State: "released"})
}

// Order is the JSON body of a non-idempotent write.
type Order struct {
	ID string `json:"id"`
}

// serveWrite executes an order after half of its service time, so that a fault can occur before or after the execution.
func (s *Server) serveWrite(w http.ResponseWriter, r *http.Request, serviceTime time.Duration) error {
	var o Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxOrderBytes)).Decode(&o); err != nil || o.ID == "" {
		return errors.Annotate(errBadRequest, "the body must be an object with an id")
	}
	if err := sleep(r.Context(), serviceTime/2); err != nil {
		return err
	}
	s.limiter.recordExecution(o.ID)
	if err := s.responseHold.wait(r.Context(), 0, nil); err != nil {
		return err
	}
	if err := sleep(r.Context(), serviceTime/2); err != nil {
		return err
	}
	return s.writeAnswer(w, Answer{ID: o.ID, Server: s.cfg.ID, State: "placed"})
}

func (s *Server) writeAnswer(w http.ResponseWriter, a Answer) error {
	w.Header().Set("Content-Type", "application/json")
	return errors.Trace(json.NewEncoder(w).Encode(a))
}

// serveDownload sends the content of a seed. As in the contract, the deadline covers the first byte only, which is sent
// at once.
func (s *Server) serveDownload(w http.ResponseWriter, r *http.Request, _ time.Duration) error {
	seed, err := strconv.ParseUint(r.PathValue("seed"), 10, 64)
	if err != nil {
		return errors.Annotate(errBadRequest, "the seed must be a number")
	}
	size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || size < 0 {
		return errors.Annotate(errBadRequest, "bytes must be a number")
	}
	rate, _ := strconv.ParseInt(r.URL.Query().Get("rate"), 10, 64)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	return s.sendContent(r.Context(), w, content.NewReader(seed), size, rate)
}

// sendContent writes the content, at the given rate in bytes per second if it is above 0. It returns the error of the
// write when the caller has closed the connection.
func (s *Server) sendContent(ctx context.Context, w http.ResponseWriter, src io.Reader, size, rate int64) error {
	start := time.Now()
	block := int64(downloadBlockBytes)
	if rate > 0 {
		block = max(1, min(block, rate*int64(downloadInterval)/int64(time.Second)))
	}
	buf := make([]byte, block)
	flusher := http.NewResponseController(w)
	for sent := int64(0); sent < size; {
		n := min(block, size-sent)
		if _, err := io.ReadFull(src, buf[:n]); err != nil {
			return errors.Trace(err)
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return errors.Trace(err)
		}
		sent += n
		if err := s.responseHold.wait(ctx, sent, flusher); err != nil {
			return err
		}
		if rate <= 0 {
			continue
		}
		if err := flusher.Flush(); err != nil {
			return errors.Trace(err)
		}
		time.Sleep(time.Until(start.Add(time.Duration(float64(sent) / float64(rate) * float64(time.Second)))))
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
