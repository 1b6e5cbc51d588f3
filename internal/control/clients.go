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
	// maxClients bounds the open connections to other processes.
	maxClients = 64
	// clientIdle is how long a connection is kept without a call. It is below serverIdle, so that
	// a call seldom meets a connection that the other end is closing.
	clientIdle = 15 * time.Second
)

// connection is a kept connection; it is closed only while no call is in progress.
type connection struct {
	client *Client
	used   time.Time
	calls  int
}

// clients keeps one connection to each process that was called lately.
type clients struct {
	shared []byte
	mu     sync.Mutex
	open   map[netip.AddrPort]*connection
	closed bool
}

// begin returns a connection for one call; kept is true when it was open before.
func (c *clients) begin(ctx context.Context, to netip.AddrPort) (conn *connection, kept bool, err error) {
	if conn := c.find(to); conn != nil {
		return conn, true, nil
	}
	fresh, err := Dial(ctx, to, c.shared)
	if err != nil {
		return nil, false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		discard(fresh)
		return nil, false, rpc.ErrShutdown
	}
	conn = &connection{client: fresh, used: time.Now(), calls: 1}
	if _, ok := c.open[to]; !ok && len(c.open) < maxClients {
		if c.open == nil {
			c.open = make(map[netip.AddrPort]*connection)
		}
		c.open[to] = conn
	}
	return conn, false, nil
}

// find returns a kept connection, after those that were not used for a while are closed.
func (c *clients) find(to netip.AddrPort) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for a, conn := range c.open {
		if conn.calls == 0 && now.Sub(conn.used) > clientIdle {
			discard(conn.client)
			delete(c.open, a)
		}
	}
	conn, ok := c.open[to]
	if !ok {
		return nil
	}
	conn.calls++
	return conn
}

// end gives a connection back; a broken one, and one that is not kept, is closed after its last call.
func (c *clients) end(to netip.AddrPort, conn *connection, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	conn.used = time.Now()
	if broken && c.open[to] == conn {
		delete(c.open, to)
	}
	if c.open[to] != conn && conn.calls == 0 {
		discard(conn.client)
	}
}

// call makes a call on a kept connection. Only a connection that had already ended before the call
// is replaced and the call repeated; any other failed call may have run.
func (c *clients) call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	for {
		conn, kept, err := c.begin(ctx, to)
		if err != nil {
			return err
		}
		err = conn.client.Call(ctx, method, args, reply)
		ended := errors.Is(err, rpc.ErrShutdown)
		c.end(to, conn, ended || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF))
		if !ended || !kept {
			return err
		}
	}
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.open {
		discard(conn.client)
	}
	clear(c.open)
}

// discard closes what is given up; there is nobody to whom its error matters.
func discard(c io.Closer) { c.Close() }
