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
	// dialTimeout limits a connection attempt to the backend server, which is on the same host.
	dialTimeout = 2 * time.Second
	// cancelTimeout is how long a slot stays taken if the backend server does not end a cancelled request.
	cancelTimeout = time.Second
	// closeTimeout is how long a slot stays taken if the backend server does not close a finished connection.
	closeTimeout = 50 * time.Millisecond
)

// backendClient sends requests to the backend server; tests replace it.
type backendClient interface {
	// roundTrip sends a request and returns the response with an unread body. It records in cs what was sent.
	roundTrip(r *http.Request, cs *connState) (*http.Response, error)
}

// httpBackend is the HTTP/1.1 client for the backend server.
//
// Each attempt uses a new connection. This shows whether a byte was sent, keeps net/http from retrying a request
// on its own, and makes a cancellation end exactly one request.
type httpBackend struct {
	target    *url.URL
	transport *http.Transport
}

type connStateKey struct{}

// connState is the state of the connection that one attempt uses.
type connState struct {
	connected atomic.Bool
	sent      atomic.Bool
	// complete is true once the whole response has been read.
	complete atomic.Bool

	mu       sync.Mutex
	closed   bool
	onClosed func()
}

// whenClosed calls f once the connection is closed at both ends, or at once if there is none.
func (cs *connState) whenClosed(f func()) {
	cs.mu.Lock()
	if cs.connected.Load() && !cs.closed {
		cs.onClosed = f
		cs.mu.Unlock()
		return
	}
	cs.mu.Unlock()
	f()
}

func (cs *connState) markClosed() {
	cs.mu.Lock()
	f := cs.onClosed
	cs.closed, cs.onClosed = true, nil
	cs.mu.Unlock()
	if f != nil {
		f()
	}
}

// backendConn is the connection that one attempt uses.
type backendConn struct {
	*net.TCPConn
	state  *connState
	closed atomic.Bool
	readMu sync.Mutex
}

// Write marks the attempt as sent before any byte can leave.
func (c *backendConn) Write(p []byte) (int, error) {
	c.state.sent.Store(true)
	return c.TCPConn.Write(p)
}

// Read returns net.ErrClosed after Close, because only awaitClose reads the connection from then on.
func (c *backendConn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Read(p)
}

// Close closes the sending half, which backend servers treat as a cancellation. It then waits in the background
// until the server has closed its half, because the request may still be in progress there until then.
func (c *backendConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	err := c.CloseWrite()
	// Ends a read in progress.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	go c.awaitClose()
	return err
}

func (c *backendConn) awaitClose() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	var b [512]byte
	for deadline := time.Now().Add(cancelTimeout); time.Now().Before(deadline); {
		_ = c.SetReadDeadline(time.Now().Add(closeTimeout))
		_, err := c.TCPConn.Read(b[:])
		var timeout net.Error
		if err != nil && (!isTimeout(err, &timeout) || c.state.complete.Load()) {
			break
		}
	}
	_ = c.TCPConn.Close()
	c.state.markClosed()
}

func newHTTPBackend(target *url.URL) *httpBackend {
	b := &httpBackend{target: target}
	b.transport = &http.Transport{
		DialContext: b.dial,
		// A negative value keeps no idle connections and sends no "Connection: close". Some servers answer that
		// header with a response delimited by the close, where a truncated response looks complete.
		MaxIdleConnsPerHost: -1,
		DisableCompression:  true,
	}
	return b
}

func (b *httpBackend) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	cs, ok := ctx.Value(connStateKey{}).(*connState)
	tcp, isTCP := c.(*net.TCPConn)
	if !ok || !isTCP {
		return c, nil
	}
	cs.connected.Store(true)
	return &backendConn{TCPConn: tcp, state: cs}, nil
}

// connect opens a connection without a request.
func (b *httpBackend) connect(ctx context.Context) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", b.target.Host)
}

func (b *httpBackend) roundTrip(r *http.Request, cs *connState) (*http.Response, error) {
	r.URL.Scheme = b.target.Scheme
	r.URL.Host = b.target.Host
	return b.transport.RoundTrip(r.WithContext(context.WithValue(r.Context(), connStateKey{}, cs)))
}

const (
	// reconnectInterval is the time between attempts to connect to a backend server that is down.
	reconnectInterval = 250 * time.Millisecond
	// lifetimeTolerance is a divisor: two lifetimes of idle connections count as equal if they differ by less than 1/20.
	lifetimeTolerance = 20
)

// restartDetector keeps an idle connection to the backend server and treats its end as a restart of the server.
//
// Servers may also close idle connections after a fixed time. If two consecutive connections lasted equally long,
// the detector uses that time as the server's idle timeout and replaces later connections before it expires.
type restartDetector struct {
	dial func(ctx context.Context) (net.Conn, error)
	// onClosed is called when the server ends the connection, onRefused when the server cannot be reached.
	onClosed, onRefused       func()
	lastLifetime, idleTimeout time.Duration
}

func (d *restartDetector) run(ctx context.Context) error {
	var c net.Conn
	for ctx.Err() == nil {
		next, err := d.dial(ctx)
		if c != nil {
			_ = c.Close()
		}
		c = next
		if err != nil {
			d.onRefused()
			sleep(ctx, reconnectInterval)
			continue
		}
		d.watch(ctx, c)
	}
	if c != nil {
		_ = c.Close()
	}
	return nil
}

// watch returns when the connection has ended or must be replaced.
func (d *restartDetector) watch(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	start := time.Now()
	if d.idleTimeout > 0 {
		_ = c.SetReadDeadline(start.Add(d.idleTimeout * 4 / 5))
	}
	var b [1]byte
	_, err := c.Read(b[:])
	var timeout net.Error
	if ctx.Err() != nil || isTimeout(err, &timeout) {
		return
	}
	lifetime := time.Since(start)
	if (lifetime - d.lastLifetime).Abs() < lifetime/lifetimeTolerance {
		d.idleTimeout = lifetime
	}
	d.lastLifetime = lifetime
	d.onClosed()
}
