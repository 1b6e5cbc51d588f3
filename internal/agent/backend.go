package agent

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

// dialTimeout bounds a connection attempt to the backend server, which is on the same host.
const dialTimeout = 2 * time.Second

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
}

// countingConn notes that a byte may have reached the backend server.
type countingConn struct {
	net.Conn
	attempt *attempt
}

// Write notes the attempt before the bytes can leave.
func (c *countingConn) Write(p []byte) (int, error) {
	c.attempt.sent.Store(true)
	return c.Conn.Write(p)
}

func newBackend(target *url.URL) *backend {
	b := &backend{target: target}
	b.transport = &http.Transport{
		DialContext: b.dial,
		// A negative value keeps no connection for later requests, without asking the backend server to close it.
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
	if !ok {
		return c, nil
	}
	at.connected.Store(true)
	return &countingConn{Conn: c, attempt: at}, nil
}

// roundTrip sends a request and returns the response with an unread body.
func (b *backend) roundTrip(r *http.Request, at *attempt) (*http.Response, error) {
	return b.transport.RoundTrip(r.WithContext(context.WithValue(r.Context(), attemptKey{}, at)))
}
