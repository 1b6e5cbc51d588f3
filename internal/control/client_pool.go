package control

import (
	"context"
	"io"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// maxClients limits the open connections to other processes.
	maxClients = 64
	// clientIdleTimeout is how long an unused connection is kept. It is below serverIdleTimeout, so that a call rarely
	// uses a connection that the server is closing.
	clientIdleTimeout = 15 * time.Second
)

// pooledClient is an open connection; it is closed only while it has no active calls.
type pooledClient struct {
	client      *Client
	usedAt      time.Time
	activeCalls int
}

// clientPool keeps one connection to each process that was called recently.
type clientPool struct {
	sharedKey []byte
	mu        sync.Mutex
	open      map[netip.AddrPort]*pooledClient
	closed    bool
}

// acquire returns a connection for one call; reused is true if it was already open.
func (c *clientPool) acquire(ctx context.Context, to netip.AddrPort) (conn *pooledClient, reused bool, err error) {
	if conn := c.find(to); conn != nil {
		return conn, true, nil
	}
	fresh, err := Dial(ctx, to, c.sharedKey)
	if err != nil {
		return nil, false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		closeQuietly(fresh)
		return nil, false, rpc.ErrShutdown
	}
	conn = &pooledClient{client: fresh, usedAt: time.Now(), activeCalls: 1}
	if _, ok := c.open[to]; !ok && len(c.open) < maxClients {
		if c.open == nil {
			c.open = make(map[netip.AddrPort]*pooledClient)
		}
		c.open[to] = conn
	}
	return conn, false, nil
}

// find returns the open connection to an address for one more call, or nil if there is none. It first closes the
// connections that have been idle too long.
func (c *clientPool) find(to netip.AddrPort) *pooledClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for a, conn := range c.open {
		if conn.activeCalls == 0 && now.Sub(conn.usedAt) > clientIdleTimeout {
			closeQuietly(conn.client)
			delete(c.open, a)
		}
	}
	conn, ok := c.open[to]
	if !ok {
		return nil
	}
	conn.activeCalls++
	return conn
}

// release returns a connection to the pool; a broken or unpooled connection is closed after its last call.
func (c *clientPool) release(to netip.AddrPort, conn *pooledClient, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.activeCalls--
	conn.usedAt = time.Now()
	if broken && c.open[to] == conn {
		delete(c.open, to)
	}
	if c.open[to] != conn && conn.activeCalls == 0 {
		closeQuietly(conn.client)
	}
}

// call calls a method over a pooled connection. It is repeated only if a reused connection had ended before the call;
// any other call that fails may have run.
func (c *clientPool) call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	for {
		conn, reused, err := c.acquire(ctx, to)
		if err != nil {
			return err
		}
		err = conn.client.Call(ctx, method, args, reply)
		ended := errors.Is(err, rpc.ErrShutdown)
		c.release(to, conn, ended || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF))
		if !ended || !reused {
			return err
		}
	}
}

func (c *clientPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.open {
		closeQuietly(conn.client)
	}
	clear(c.open)
}

// closeQuietly closes c and ignores the error, which no caller could handle.
func closeQuietly(c io.Closer) { c.Close() }
