package control

import (
	"context"
	"io"
	"net/netip"
	"net/rpc"
	"sync"

	"github.com/juju/errors"
)

// maxClients bounds the open connections to other processes.
const maxClients = 64

// clients keeps one connection to each process that was called lately.
type clients struct {
	shared []byte
	mu     sync.Mutex
	open   map[netip.AddrPort]*Client
	closed bool
}

func (c *clients) get(ctx context.Context, to netip.AddrPort) (*Client, bool, error) {
	c.mu.Lock()
	have, ok := c.open[to]
	c.mu.Unlock()
	if ok {
		return have, true, nil
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
	if have, ok := c.open[to]; ok {
		discard(fresh)
		return have, false, nil
	}
	if c.open == nil {
		c.open = make(map[netip.AddrPort]*Client)
	}
	for a, old := range c.open {
		if len(c.open) < maxClients {
			break
		}
		discard(old)
		delete(c.open, a)
	}
	c.open[to] = fresh
	return fresh, false, nil
}

func (c *clients) drop(to netip.AddrPort, bad *Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[to] == bad {
		delete(c.open, to)
	}
	discard(bad)
}

// call makes a call on a kept connection. Only a connection that had already ended before the call
// is replaced and the call repeated; any other failed call may have run.
func (c *clients) call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	client, kept, err := c.get(ctx, to)
	if err != nil {
		return err
	}
	err = client.Call(ctx, method, args, reply)
	if kept && errors.Is(err, rpc.ErrShutdown) {
		c.drop(to, client)
		if client, _, err = c.get(ctx, to); err != nil {
			return err
		}
		err = client.Call(ctx, method, args, reply)
	}
	if errors.Is(err, rpc.ErrShutdown) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		c.drop(to, client)
	}
	return err
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, client := range c.open {
		discard(client)
	}
	clear(c.open)
}

// discard closes what is given up; there is nobody to whom its error matters.
func discard(c io.Closer) { c.Close() }
