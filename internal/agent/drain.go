package agent

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

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
	agent  *Agent
	server *http3.Server
	conns  chan *quic.Conn
	// left is closed when the drain begins, finished when no flow of the tenure is left.
	left, finished chan struct{}
	limit          context.Context
	cut            context.CancelFunc

	mu   sync.Mutex
	late []*quic.Conn
}

func (a *Agent) newTenure() *tenure {
	t := &tenure{
		agent: a, server: &http3.Server{Handler: a.requests}, conns: make(chan *quic.Conn),
		left: make(chan struct{}), finished: make(chan struct{}),
	}
	t.limit, t.cut = context.WithCancel(context.Background())
	return t
}

// Accept returns the next connection of the tenure.
func (t *tenure) Accept(ctx context.Context) (*quic.Conn, error) {
	select {
	case c := <-t.conns:
		return c, nil
	case <-t.finished:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Addr returns the address of the data socket.
func (t *tenure) Addr() net.Addr { return t.agent.conn.LocalAddr() }

// Close does nothing: the listener outlives the tenure.
func (t *tenure) Close() error { return nil }

// hand gives a connection whose handshake is complete to the HTTP/3 server. A handshake that ends after the drain has
// begun is served too, since the caller has been accepted before.
func (t *tenure) hand(ctx context.Context, c *quic.Conn) {
	select {
	case t.conns <- c:
		return
	case <-ctx.Done():
		return
	case <-t.left:
	}
	t.mu.Lock()
	t.late = append(t.late, c)
	t.mu.Unlock()
	go func() { _ = (&http3.Server{Handler: t.agent.requests}).ServeQUICConn(c) }()
}

// leave starts the drain: GOAWAY is sent, and flows go on until they end by themselves or cut is called.
func (t *tenure) leave(reason leaveReason) {
	select {
	case <-t.left:
		return
	default:
		close(t.left)
	}
	go t.drain(reason)
}

func (t *tenure) drain(reason leaveReason) {
	defer close(t.finished)
	start := time.Now()
	err := t.server.Shutdown(t.limit)
	sleep(t.limit, settleTime-time.Since(start))
	for c := t.nextLate(); c != nil && err == nil; c = t.nextLate() {
		select {
		case <-c.Context().Done():
		case <-t.limit.Done():
			err = t.limit.Err()
			_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), string(reason))
		}
	}
	_ = t.server.Close()
	for c := t.nextLate(); c != nil; c = t.nextLate() {
		_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), string(reason))
	}
}

// nextLate returns a late connection, once each.
func (t *tenure) nextLate() *quic.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.late) == 0 {
		return nil
	}
	c := t.late[0]
	t.late = t.late[1:]
	return c
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
	serving func(t *tenure)
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
			t.leave(reason)
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
	t := s.agent.newTenure()
	s.tenures = append(s.tenures, t)
	s.agent.tenure.Store(t)
	s.serving(t)
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
		_ = t.server.Close()
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
		return leaveShutdown, c.Drain()
	case a.draining.Load():
		return leaveShutdown, max(0, c.ZoneOutGrace()-closeLead)
	case zoneOut:
		return leaveZone, max(0, c.ZoneOutGrace()-closeLead)
	case b.BackendOut(a.cfg.ID):
		return leaveBackend, c.Drain()
	}
	return leaveNone, 0
}

// serveTenure runs the HTTP/3 server of a tenure.
func serveTenure(t *tenure) error {
	if err := t.server.ServeListener(t); err != nil && err != http.ErrServerClosed { //nolint:errorlint // The package returns it bare.
		select {
		case <-t.finished:
		default:
			return err
		}
	}
	return nil
}
