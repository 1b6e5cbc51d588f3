package agent

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds a connection attempt to the backend server, which is on the same host.
	dialTimeout = 2 * time.Second
	// cancelWait is how long a slot stays taken for a backend server that does not end a cancelled request.
	cancelWait = time.Second
	// closeWait is how long a slot stays taken for a backend server that does not close a finished connection.
	closeWait = 50 * time.Millisecond
)

// sender is the edge to the backend server.
type sender interface {
	// roundTrip sends a request and returns the response with an unread body. The attempt tells what was sent.
	roundTrip(r *http.Request, at *attempt) (*http.Response, error)
}

// backend is the HTTP/1.1 client of the backend server.
//
// Each attempt uses a connection of its own, so that it is known whether a byte was sent, the client
// package never repeats a request by itself, and cancellation ends exactly one request.
type backend struct {
	target    *url.URL
	transport *http.Transport
}

type attemptKey struct{}

// attempt is one request on one connection to the backend server.
type attempt struct {
	connected atomic.Bool
	sent      atomic.Bool
	complete  atomic.Bool

	mu     sync.Mutex
	ended  bool
	onGone func()
}

// whenGone calls f once the backend server has closed its end of the connection, or when there is none.
func (a *attempt) whenGone(f func()) {
	a.mu.Lock()
	if a.connected.Load() && !a.ended {
		a.onGone = f
		a.mu.Unlock()
		return
	}
	a.mu.Unlock()
	f()
}

func (a *attempt) gone() {
	a.mu.Lock()
	f := a.onGone
	a.ended, a.onGone = true, nil
	a.mu.Unlock()
	if f != nil {
		f()
	}
}

// backendConn is the connection of an attempt.
type backendConn struct {
	*net.TCPConn
	attempt *attempt
	closed  atomic.Bool
	reading sync.Mutex
}

// Write notes the attempt before the bytes can leave.
func (c *backendConn) Write(p []byte) (int, error) {
	c.attempt.sent.Store(true)
	return c.TCPConn.Write(p)
}

// Read reads unless the connection was closed.
func (c *backendConn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Read(p)
}

// Close closes the sending half, which backend servers take as a cancellation, and then waits in the background
// until the server has closed its half: until then, the request may still be in progress there.
func (c *backendConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	err := c.CloseWrite()
	// A read that is under way ends now.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	go c.linger()
	return err
}

func (c *backendConn) linger() {
	c.reading.Lock()
	defer c.reading.Unlock()
	var b [512]byte
	for end := time.Now().Add(cancelWait); time.Now().Before(end); {
		_ = c.SetReadDeadline(time.Now().Add(closeWait))
		_, err := c.TCPConn.Read(b[:])
		var timeout net.Error
		if err != nil && (!asTimeout(err, &timeout) || c.attempt.complete.Load()) {
			break
		}
	}
	_ = c.TCPConn.Close()
	c.attempt.gone()
}

func newBackend(target *url.URL) *backend {
	b := &backend{target: target}
	b.transport = &http.Transport{
		DialContext: b.dial,
		// A negative value keeps no connection for later requests, without asking the backend server to close it:
		// some servers end such a response by closing, and a cut response could not be told from a whole one.
		MaxIdleConnsPerHost: -1,
		DisableCompression:  true,
	}
	return b
}

func (b *backend) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	at, ok := ctx.Value(attemptKey{}).(*attempt)
	tcp, isTCP := c.(*net.TCPConn)
	if !ok || !isTCP {
		return c, nil
	}
	at.connected.Store(true)
	return &backendConn{TCPConn: tcp, attempt: at}, nil
}

// connect opens a connection without a request.
func (b *backend) connect(ctx context.Context) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", b.target.Host)
}

func (b *backend) roundTrip(r *http.Request, at *attempt) (*http.Response, error) {
	r.URL.Scheme = b.target.Scheme
	r.URL.Host = b.target.Host
	return b.transport.RoundTrip(r.WithContext(context.WithValue(r.Context(), attemptKey{}, at)))
}

const (
	// sentinelRetry is the time between attempts to reach a backend server that is down.
	sentinelRetry = 250 * time.Millisecond
	// lifetimeSpread is the part by which two lifetimes of idle connections may differ to count as the same.
	lifetimeSpread = 20
)

// sentinel holds an idle connection to the backend server, whose end tells of a restart.
//
// Servers may also close idle connections after a fixed time. When two in a row have lived equally long, the
// sentinel takes that for the server's idle timeout and opens its next connection before it.
type sentinel struct {
	dial func(ctx context.Context) (net.Conn, error)
	// closed and refused are called when the connection ends and when the server cannot be reached.
	closed, refused func()
	last, timeout   time.Duration
}

func (s *sentinel) run(ctx context.Context) error {
	var c net.Conn
	for ctx.Err() == nil {
		next, err := s.dial(ctx)
		if c != nil {
			_ = c.Close()
		}
		c = next
		if err != nil {
			s.refused()
			sleep(ctx, sentinelRetry)
			continue
		}
		s.watch(ctx, c)
	}
	if c != nil {
		_ = c.Close()
	}
	return nil
}

// watch returns when the connection has ended or must be renewed.
func (s *sentinel) watch(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	start := time.Now()
	if s.timeout > 0 {
		_ = c.SetReadDeadline(start.Add(s.timeout * 4 / 5))
	}
	var b [1]byte
	_, err := c.Read(b[:])
	var timeout net.Error
	if ctx.Err() != nil || asTimeout(err, &timeout) {
		return
	}
	life := time.Since(start)
	if (life - s.last).Abs() < life/lifetimeSpread {
		s.timeout = life
	}
	s.last = life
	s.closed()
}
