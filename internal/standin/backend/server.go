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

// Headers that the sample backend server reads and writes.
const (
	HeaderServer    = "X-Backend-Server"
	headerRequestID = "X-Request-Id"
	headerDeadline  = "Bramleymast-Deadline-Ms"
)

const (
	// coldFactor is how much slower a server in cold start answers.
	coldFactor = 3
	// readHeaderTimeout closes an idle connection, as servers commonly do after about a minute.
	readHeaderTimeout = time.Minute
	maxOrderBytes     = 64 << 10
	downloadBlock     = 32 << 10
	downloadTick      = 20 * time.Millisecond
)

const errBadRequest = errors.ConstError("bad request")

// Config configures a sample backend server.
type Config struct {
	ID   string
	Kind Kind
	// Address is the TCP address; port 0 is allowed, and a restart keeps the chosen port.
	Address   string
	Slots     int
	ColdSlots int
	// Ramp is the length of a cold start; 0 means that the server is never cold.
	Ramp time.Duration
	// ServiceTime is how long a warm server works on a read or a write.
	ServiceTime time.Duration
	Logger      hclog.Logger
}

// Server is a sample backend server.
type Server struct {
	cfg     Config
	gate    gate
	address string
	restart chan struct{}
	hold    hold

	listener net.Listener
}

// New binds the address and returns a server in cold start.
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
	s.gate.slots = cfg.Slots
	s.gate.coldSlots = cfg.ColdSlots
	s.gate.ramp = cfg.Ramp
	s.gate.goCold(time.Now())
	return s, nil
}

// ID returns the id of the server.
func (s *Server) ID() string { return s.cfg.ID }

// Kind returns the customer service that the server plays.
func (s *Server) Kind() Kind { return s.cfg.Kind }

// Address returns the TCP address.
func (s *Server) Address() string { return s.address }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.address }

// Counts returns a copy of the counts.
func (s *Server) Counts() Counts {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.advance(time.Now())
	c := s.gate.counts
	c.Held = s.hold.waiting()
	c.Executed = maps.Clone(c.Executed)
	return c
}

// BeginColdStart starts a cold start without a restart, as a server that has lost its caches.
func (s *Server) BeginColdStart() {
	s.cfg.Logger.Info("cold start without a restart")
	s.gate.goCold(time.Now())
}

// Restart cuts all connections and serves again in cold start, as a process that crashed.
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
		if err := s.listenAgain(ctx); err != nil {
			return err
		}
		s.gate.restarted()
		s.gate.goCold(time.Now())
		s.cfg.Logger.Info("restarted")
	}
}

// serve runs one life of the server and reports whether a restart was asked for.
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

func (s *Server) listenAgain(ctx context.Context) error {
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
	mux.Handle("GET /downloads/{seed}", s.work(s.download))
	mux.Handle("GET "+s.cfg.Kind.ReadPath("{id}"), s.work(s.read))
	if s.cfg.Kind.Writes() {
		mux.Handle("POST "+s.cfg.Kind.WritePath(), s.work(s.write))
	}
	return mux
}

// AdminHandler returns the commands of the server: GET /admin/counts, PUT /admin/cold, PUT /admin/restart,
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

// HoldResponses makes downloads stop after so many bytes until Release, so that a test can act in the middle of one.
// With 0 bytes, the answers of writes wait too, after the write took effect.
func (s *Server) HoldResponses(bytes int64) { s.hold.set(bytes) }

// ReleaseResponses lets held downloads go on.
func (s *Server) ReleaseResponses() { s.hold.release() }

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Counts()); err != nil {
		s.cfg.Logger.Warn("cannot send the counts", "error", err)
	}
}

// work wraps a handler with the slots, the deadline and the request id.
func (s *Server) work(h func(w http.ResponseWriter, r *http.Request, serviceTime time.Duration) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderServer, s.cfg.ID)
		if id := r.Header.Get(headerRequestID); id != "" {
			w.Header().Set(headerRequestID, id)
		}
		ok, cold := s.gate.enter(time.Now())
		if !ok {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "no slot is free", http.StatusServiceUnavailable)
			return
		}
		serviceTime := s.cfg.ServiceTime
		if cold {
			serviceTime *= coldFactor
		}
		ctx, cancel := withDeadline(r)
		defer cancel()
		err := h(w, r.WithContext(ctx), serviceTime)
		s.gate.leave(time.Now(), s.endOf(w, r, err))
	})
}

// endOf classifies the end of a request and answers one that ran out of time.
func (s *Server) endOf(w http.ResponseWriter, r *http.Request, err error) end {
	switch {
	case err == nil:
		return endAnswered
	case errors.Is(err, errBadRequest):
		http.Error(w, err.Error(), http.StatusBadRequest)
		return endAnswered
	case errors.Is(err, context.DeadlineExceeded) && r.Context().Err() == nil:
		http.Error(w, "the deadline has passed", http.StatusGatewayTimeout)
		return endLate
	default:
		s.cfg.Logger.Debug("request cancelled", "path", r.URL.Path, "error", err)
		return endCancelled
	}
}

// withDeadline limits the request to the time that its header grants.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// Answer is the body of a read or a write.
type Answer struct {
	ID     string `json:"id"`
	Server string `json:"server"`
	State  string `json:"state"`
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, serviceTime time.Duration) error {
	if err := sleep(r.Context(), serviceTime); err != nil {
		return err
	}
	return s.answer(w, Answer{ID: r.PathValue("id"), Server: s.cfg.ID, State: "released"})
}

// Order is the body of a non-idempotent write.
type Order struct {
	ID string `json:"id"`
}

// write executes an order half-way through its service time, so that it can be cut before and after.
func (s *Server) write(w http.ResponseWriter, r *http.Request, serviceTime time.Duration) error {
	var o Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxOrderBytes)).Decode(&o); err != nil || o.ID == "" {
		return errors.Annotate(errBadRequest, "the body must be an object with an id")
	}
	if err := sleep(r.Context(), serviceTime/2); err != nil {
		return err
	}
	s.gate.executed(o.ID)
	if err := s.hold.wait(r.Context(), 0, nil); err != nil {
		return err
	}
	if err := sleep(r.Context(), serviceTime/2); err != nil {
		return err
	}
	return s.answer(w, Answer{ID: o.ID, Server: s.cfg.ID, State: "placed"})
}

func (s *Server) answer(w http.ResponseWriter, a Answer) error {
	w.Header().Set("Content-Type", "application/json")
	return errors.Trace(json.NewEncoder(w).Encode(a))
}

// download sends the bytes of a seed; its deadline is for the first byte only, as in the contract.
func (s *Server) download(w http.ResponseWriter, r *http.Request, _ time.Duration) error {
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
	return s.send(r.Context(), w, content.NewReader(seed), size, rate)
}

// send writes the content, paced to the rate when it is above 0. A caller that has left makes a write fail.
func (s *Server) send(ctx context.Context, w http.ResponseWriter, src io.Reader, size, rate int64) error {
	start := time.Now()
	block := int64(downloadBlock)
	if rate > 0 {
		block = max(1, min(block, rate*int64(downloadTick)/int64(time.Second)))
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
		if err := s.hold.wait(ctx, sent, flusher); err != nil {
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
