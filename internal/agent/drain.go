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

// closeLeadTime is how long before the end of a zone's grace period the agent closes its flows, so that the closing
// packets are still forwarded.
const closeLeadTime = 200 * time.Millisecond

// handshakeGracePeriod lets handshakes in progress at the start of a drain complete and their first requests arrive.
const handshakeGracePeriod = time.Second

// drainReason is why an agent accepts no new flows; the text is the value of the metric's reason label.
type drainReason string

const (
	drainNone       drainReason = ""
	drainShutdown   drainReason = "shutdown"
	drainBackendOut drainReason = "backend_out"
	drainZoneOut    drainReason = "zone_out"
)

// servingPeriod lasts from the start of the agent, or from its return after a drain, until the end of its next drain.
type servingPeriod struct {
	// server serves until the drain starts. lateServer serves connections whose handshake completes within
	// handshakeGracePeriod after that, because their callers were accepted before; then it sends GOAWAY too.
	server, lateServer *http3Server
	// drainStarted is closed when the drain starts, drained when no flow of the serving period is left.
	drainStarted, drained chan struct{}
	drainCtx              context.Context
	endDrain              context.CancelFunc
}

// http3Server is an HTTP/3 server that receives its connections from the agent's listener.
type http3Server struct {
	server  *http3.Server
	conns   chan *quic.Conn
	closing chan struct{}
	address net.Addr
}

func newHTTP3Server(h http.Handler, address net.Addr) *http3Server {
	return &http3Server{
		server: &http3.Server{Handler: h}, conns: make(chan *quic.Conn), closing: make(chan struct{}), address: address,
	}
}

// Accept returns the next connection.
func (s *http3Server) Accept(ctx context.Context) (*quic.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.closing:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Addr returns the address of the data socket.
func (s *http3Server) Addr() net.Addr { return s.address }

// Close does nothing, because the agent's listener outlives the server.
func (s *http3Server) Close() error { return nil }

// serve runs the server until it is shut down.
func (s *http3Server) serve() error {
	err := s.server.ServeListener(s)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Annotate(err, "cannot serve HTTP/3")
}

// shutdown sends GOAWAY and returns when all requests have ended or the context ends.
func (s *http3Server) shutdown(ctx context.Context) {
	close(s.closing)
	_ = s.server.Shutdown(ctx)
}

func newServingPeriod(h http.Handler, address net.Addr) *servingPeriod {
	p := &servingPeriod{
		server: newHTTP3Server(h, address), lateServer: newHTTP3Server(h, address),
		drainStarted: make(chan struct{}), drained: make(chan struct{}),
	}
	p.drainCtx, p.endDrain = context.WithCancel(context.Background())
	return p
}

// dispatch gives a connection with a complete handshake to one of the HTTP/3 servers.
func (p *servingPeriod) dispatch(ctx context.Context, c *quic.Conn) {
	select {
	case p.server.conns <- c:
		return
	case <-ctx.Done():
		return
	case <-p.drainStarted:
	}
	select {
	case p.lateServer.conns <- c:
	case <-ctx.Done():
	case <-p.lateServer.closing:
		_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "the agent is leaving")
	}
}

// startDrain sends GOAWAY; flows continue until they end on their own or endDrain is called.
func (p *servingPeriod) startDrain() {
	select {
	case <-p.drainStarted:
		return
	default:
		close(p.drainStarted)
	}
	go p.drain()
}

func (p *servingPeriod) drain() {
	defer close(p.drained)
	var wg sync.WaitGroup
	wg.Go(func() { p.server.shutdown(p.drainCtx) })
	sleep(p.drainCtx, handshakeGracePeriod)
	p.lateServer.shutdown(p.drainCtx)
	wg.Wait()
	p.close()
}

// close ends all flows at once.
func (p *servingPeriod) close() {
	_ = p.server.server.Close()
	_ = p.lateServer.server.Close()
}

// reportClosedFlows logs and counts the flows that are closed because a drain has reached its time limit.
func (a *Agent) reportClosedFlows(reason drainReason) {
	load, _ := a.admitter.load(time.Now())
	if load.Flows == 0 {
		return
	}
	a.metrics.flowsCut.WithLabelValues(string(reason)).Add(float64(load.Flows))
	a.cfg.Logger.Warn("drain time limit reached, closing open flows", "reason", string(reason),
		"flows", load.Flows, "requests", load.InProgress)
}

// supervisor starts and ends the serving periods of an agent; only one goroutine uses it.
type supervisor struct {
	agent *Agent
	// periods are the serving periods with open flows; the last one is current unless the agent is draining.
	periods    []*servingPeriod
	reason     drainReason
	drainLimit time.Duration
	// since is when reason or drainLimit last changed.
	since           time.Time
	closedRemaining bool
	startServer     func(s *http3Server)
}

// reconcile starts and drains serving periods as the state of the agent requires, and reports whether a graceful
// shutdown is complete.
func (s *supervisor) reconcile(now time.Time) (done bool) {
	reason, limit := s.agent.drainReason()
	s.periods = slices.DeleteFunc(s.periods, (*servingPeriod).isDrained)
	if reason != s.reason || limit != s.drainLimit {
		s.since, s.drainLimit, s.closedRemaining = now, limit, false
	}
	switch {
	case reason == drainNone && s.reason != drainNone:
		s.agent.admitter.markCold(admission.ColdReturned)
		s.start()
	case reason == drainNone && len(s.periods) == 0:
		s.start()
	case reason != drainNone && s.reason == drainNone:
		for _, p := range s.periods {
			p.startDrain()
		}
	}
	s.reason = reason
	if reason != drainNone && now.Sub(s.since) >= limit {
		s.closeRemaining(reason)
	}
	s.agent.draining.Store(reason != drainNone)
	return reason == drainShutdown && len(s.periods) == 0
}

func (s *supervisor) start() {
	p := newServingPeriod(s.agent.requests, s.agent.conn.LocalAddr())
	s.periods = append(s.periods, p)
	s.agent.period.Store(p)
	s.startServer(p.server)
	s.startServer(p.lateServer)
}

// closeRemaining closes the flows that are still open at the time limit of a drain.
func (s *supervisor) closeRemaining(reason drainReason) {
	if s.closedRemaining {
		return
	}
	s.closedRemaining = true
	if len(s.periods) > 0 {
		s.agent.reportClosedFlows(reason)
	}
	for _, p := range s.periods {
		p.endDrain()
	}
}

// close ends all flows at once.
func (s *supervisor) close() {
	for _, p := range s.periods {
		p.endDrain()
		p.close()
	}
}

func (p *servingPeriod) isDrained() bool {
	select {
	case <-p.drained:
		return true
	default:
		return false
	}
}

// drainReason returns why the agent accepts no new flows, and how long its open flows may continue.
func (a *Agent) drainReason() (drainReason, time.Duration) {
	b := a.cfg.Board
	c, _, _ := b.Contract(a.cfg.Service)
	zoneOut, _ := b.ZoneOut(a.cfg.Zone)
	switch {
	case a.shutdown.Load() && !zoneOut:
		return drainShutdown, c.DrainTimeout()
	case a.shutdown.Load():
		return drainShutdown, max(0, c.ZoneOutGracePeriod()-closeLeadTime)
	case zoneOut:
		return drainZoneOut, max(0, c.ZoneOutGracePeriod()-closeLeadTime)
	case b.BackendOut(a.cfg.ID):
		return drainBackendOut, c.DrainTimeout()
	}
	return drainNone, 0
}
