package agent

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/bramleymast/bramleymast/pkg/admission"
)

// closeLead is how long before the end of a zone's grace period the agent closes its flows, so that the closing
// packets still pass.
const closeLead = 200 * time.Millisecond

// settleTime lets handshakes that were under way at the start of a drain end and their first requests arrive.
const settleTime = time.Second

// leaveReason is why an agent takes no new flows; the text is the value of the reason label of the metric.
type leaveReason string

const (
	leaveNone     leaveReason = ""
	leaveShutdown leaveReason = "shutdown"
	leaveBackend  leaveReason = "backend_out"
	leaveZone     leaveReason = "zone_out"
)

// tenure is one time in service of an agent, from its start or return until the end of its drain.
type tenure struct {
	// server serves until the drain begins. late serves the connections whose handshake ends within settleTime
	// after that, because their callers were accepted before; then it sends GOAWAY too.
	server, late *handoff
	// left is closed when the drain begins, finished when no flow of the tenure is left.
	left, finished chan struct{}
	limit          context.Context
	cut            context.CancelFunc
}

// handoff is an HTTP/3 server that gets its connections from the agent's listener.
type handoff struct {
	server  *http3.Server
	conns   chan *quic.Conn
	closing chan struct{}
	address net.Addr
}

func newHandoff(h http.Handler, address net.Addr) *handoff {
	return &handoff{
		server: &http3.Server{Handler: h}, conns: make(chan *quic.Conn), closing: make(chan struct{}), address: address,
	}
}

// Accept returns the next connection.
func (h *handoff) Accept(ctx context.Context) (*quic.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closing:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Addr returns the address of the data socket.
func (h *handoff) Addr() net.Addr { return h.address }

// Close does nothing: the agent's listener outlives the server.
func (h *handoff) Close() error { return nil }

// serve runs the server until it is shut down.
func (h *handoff) serve() error {
	err := h.server.ServeListener(h)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Annotate(err, "HTTP/3 server")
}

// shutdown sends GOAWAY and returns when all requests have ended or the limit is reached.
func (h *handoff) shutdown(limit context.Context) {
	close(h.closing)
	_ = h.server.Shutdown(limit)
}

func newTenure(h http.Handler, address net.Addr) *tenure {
	t := &tenure{
		server: newHandoff(h, address), late: newHandoff(h, address),
		left: make(chan struct{}), finished: make(chan struct{}),
	}
	t.limit, t.cut = context.WithCancel(context.Background())
	return t
}

// hand gives a connection whose handshake is complete to an HTTP/3 server.
func (t *tenure) hand(ctx context.Context, c *quic.Conn) {
	select {
	case t.server.conns <- c:
		return
	case <-ctx.Done():
		return
	case <-t.left:
	}
	select {
	case t.late.conns <- c:
	case <-ctx.Done():
	case <-t.late.closing:
		_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "the agent is leaving")
	}
}

// leave starts the drain: GOAWAY is sent, and flows go on until they end by themselves or cut is called.
func (t *tenure) leave() {
	select {
	case <-t.left:
		return
	default:
		close(t.left)
	}
	go t.drain()
}

func (t *tenure) drain() {
	defer close(t.finished)
	var wg sync.WaitGroup
	wg.Go(func() { t.server.shutdown(t.limit) })
	sleep(t.limit, settleTime)
	t.late.shutdown(t.limit)
	wg.Wait()
	t.close()
}

// close ends all flows at once.
func (t *tenure) close() {
	_ = t.server.server.Close()
	_ = t.late.server.Close()
}

// reportCut logs and counts the flows that a drain ends at its limit.
func (a *Agent) reportCut(reason leaveReason) {
	load, _ := a.gate.load(time.Now())
	if load.Flows == 0 {
		return
	}
	a.metrics.cut.WithLabelValues(string(reason)).Add(float64(load.Flows))
	a.cfg.Logger.Warn("the drain has reached its limit, open flows are closed", "reason", string(reason),
		"flows", load.Flows, "requests", load.InProgress)
}

// supervisor starts and ends the tenures of an agent; it is used by one goroutine.
type supervisor struct {
	agent *Agent
	// tenures are those whose flows have not all ended; the last one is current unless the agent is leaving.
	tenures []*tenure
	reason  leaveReason
	limit   time.Duration
	// since is when the reason or its limit began to hold.
	since   time.Time
	cutDone bool
	serving func(h *handoff)
}

// step follows the state of the agent and reports whether the agent's work is over.
func (s *supervisor) step(now time.Time) (over bool) {
	reason, limit := s.agent.leaveReason()
	s.tenures = slices.DeleteFunc(s.tenures, (*tenure).over)
	if reason != s.reason || limit != s.limit {
		s.since, s.limit, s.cutDone = now, limit, false
	}
	switch {
	case reason == leaveNone && s.reason != leaveNone:
		s.agent.gate.markCold(admission.ColdReturned)
		s.start()
	case reason == leaveNone && len(s.tenures) == 0:
		s.start()
	case reason != leaveNone && s.reason == leaveNone:
		for _, t := range s.tenures {
			t.leave()
		}
	}
	s.reason = reason
	if reason != leaveNone && now.Sub(s.since) >= limit {
		s.cut(reason)
	}
	s.agent.leaving.Store(reason != leaveNone)
	return reason == leaveShutdown && len(s.tenures) == 0
}

func (s *supervisor) start() {
	t := newTenure(s.agent.requests, s.agent.conn.LocalAddr())
	s.tenures = append(s.tenures, t)
	s.agent.tenure.Store(t)
	s.serving(t.server)
	s.serving(t.late)
}

// cut ends the flows that are left at the limit of a drain.
func (s *supervisor) cut(reason leaveReason) {
	if s.cutDone {
		return
	}
	s.cutDone = true
	if len(s.tenures) > 0 {
		s.agent.reportCut(reason)
	}
	for _, t := range s.tenures {
		t.cut()
	}
}

// close ends all flows at once.
func (s *supervisor) close() {
	for _, t := range s.tenures {
		t.cut()
		t.close()
	}
}

func (t *tenure) over() bool {
	select {
	case <-t.finished:
		return true
	default:
		return false
	}
}

// leaveReason returns why the agent should take no new flows, and how long its flows may go on.
func (a *Agent) leaveReason() (leaveReason, time.Duration) {
	b := a.cfg.Board
	c, _, _ := b.Contract(a.cfg.Service)
	zoneOut, _ := b.ZoneOut(a.cfg.Zone)
	switch {
	case a.draining.Load() && !zoneOut:
		return leaveShutdown, c.DrainTimeout()
	case a.draining.Load():
		return leaveShutdown, max(0, c.ZoneOutGracePeriod()-closeLead)
	case zoneOut:
		return leaveZone, max(0, c.ZoneOutGracePeriod()-closeLead)
	case b.BackendOut(a.cfg.ID):
		return leaveBackend, c.DrainTimeout()
	}
	return leaveNone, 0
}
