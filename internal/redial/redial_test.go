package redial_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/redial"
)

var errRefused = errors.New("refused")

// closeCounter counts how often connections are closed.
type closeCounter struct {
	net.Conn
	closed *atomic.Int32
}

func (c closeCounter) Close() error {
	c.closed.Add(1)
	return nil
}

// Guards against a connection that opens only when the kernel repeats a lost packet, a second after the start, although
// the way is back before, against waiting at an address that refuses, and against connections that stay open.
func TestDialContext(t *testing.T) {
	const wayBack = 380 * time.Millisecond
	for name, c := range map[string]struct {
		timeout, lostUntil, want time.Duration
		refused                  bool
		err                      error
		attempts                 int32
	}{
		"answered at once":        {time.Second, 0, 5 * time.Millisecond, false, nil, 1},
		"way back after a while":  {time.Second, wayBack, 405 * time.Millisecond, false, nil, 5},
		"refused":                 {time.Second, 0, 5 * time.Millisecond, true, errRefused, 1},
		"no answer":               {250 * time.Millisecond, time.Hour, 250 * time.Millisecond, false, context.DeadlineExceeded, 3},
		"without a limit of time": {0, wayBack, 405 * time.Millisecond, false, nil, 5},
		"few sockets":             {5 * time.Second, time.Hour, time.Second, false, nil, 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				var attempts, opened, closed atomic.Int32
				d := redial.Dialer{Timeout: c.timeout, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
					attempts.Add(1)
					wait := 5 * time.Millisecond
					if time.Since(started) < c.lostUntil {
						wait = time.Second // until the kernel repeats the packet
					}
					select {
					case <-ctx.Done():
						return nil, ctx.Err()
					case <-time.After(wait):
					}
					if c.refused {
						return nil, errRefused
					}
					opened.Add(1)
					return closeCounter{closed: &closed}, nil
				}}
				conn, err := d.DialContext(t.Context(), "tcp4", "203.0.113.1:80")
				assert.Equal(t, time.Since(started), c.want)
				assert.ErrorIs(t, err, c.err)
				assert.Equal(t, conn != nil, c.err == nil)
				synctest.Wait()
				assert.Equal(t, attempts.Load(), c.attempts)
				assert.Equal(t, opened.Load()-closed.Load(), map[bool]int32{true: 1}[c.err == nil])
			})
		})
	}
}
