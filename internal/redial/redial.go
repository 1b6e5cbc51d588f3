// Package redial opens TCP connections on ways that lose packets.
package redial

import (
	"context"
	"net"
	"time"
)

const (
	// interval is the time between attempts: several round trips between zones. The kernel repeats a lost packet that
	// opens a connection after a second only.
	interval = 100 * time.Millisecond
	// maxAttempts limits the sockets of a call without a timeout. The kernel's own repetitions cover what follows.
	maxAttempts = 10
)

// Dialer opens connections; the zero value has no timeout.
//
// It answers loss and not load: processes that start together after an outage while their way to others is down for some
// more tenths of a second. A host that only answers slowly completes the first connection in its kernel, whatever its
// processes do.
type Dialer struct {
	// Timeout limits how long opening a connection takes; 0 means that only the context does.
	Timeout time.Duration
	// Dial makes one attempt; nil means that of net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// outcome is the end of an attempt.
type outcome struct {
	conn net.Conn
	err  error
}

// DialContext opens a connection. It makes another attempt every 100 ms while the earlier ones are unanswered, and returns
// the first connection, or the first error, which shows that the address refuses connections or that the time is up. As
// with a single attempt, it is up to the caller to try again after a refusal.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if d.Timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	dial := d.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	outcomes := make(chan outcome)
	attempts := 0
	attempt := func() {
		attempts++
		go func() {
			conn, err := dial(ctx, network, address)
			outcomes <- outcome{conn, err}
		}()
	}
	attempt()
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case o := <-outcomes:
			go discard(outcomes, attempts-1)
			return o.conn, o.err
		case <-t.C:
			if ctx.Err() == nil && attempts < maxAttempts {
				attempt()
			}
		}
	}
}

// discard closes the connections of attempts that are not needed any more.
func discard(outcomes <-chan outcome, attempts int) {
	for range attempts {
		if o := <-outcomes; o.err == nil {
			_ = o.conn.Close()
		}
	}
}
