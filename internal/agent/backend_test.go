package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a GET over HTTP/3 that is not retried because its unknown length is taken for a body.
func TestFailedGetIsRetried(t *testing.T) {
	h := newHarness(t, plainContract)
	var calls atomic.Int64
	one, _ := h.addAgent("one", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if calls.Add(1)%2 == 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	c := h.caller()
	assert.Equal(t, do(t, c, http.MethodGet, "/", nil).StatusCode, http.StatusBadGateway, "a retry without a budget")
	assert.Equal(t, do(t, c, http.MethodGet, "/", nil).StatusCode, http.StatusOK)
	one.requests.mu.Lock()
	for range 10 {
		one.requests.budget.RecordSuccess()
	}
	one.requests.mu.Unlock()
	assert.Equal(t, do(t, c, http.MethodGet, "/", nil).StatusCode, http.StatusOK)
	assert.Equal(t, calls.Load(), int64(4))
}

// Guards against an undetected restart of the backend server, and against an idle timeout of the server that is
// repeatedly counted as a restart.
func TestRestartDetectorIgnoresIdleTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idle = time.Minute
		var last net.Conn
		closed, refused, down := 0, 0, false
		detector := &restartDetector{onClosed: func() { closed++ }, onRefused: func() { refused++ }}
		detector.dial = func(context.Context) (net.Conn, error) {
			if down {
				return nil, io.EOF
			}
			local, remote := net.Pipe()
			time.AfterFunc(idle, func() { _ = remote.Close() })
			last = remote
			return local, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- detector.run(ctx) }()
		time.Sleep(2*idle + time.Second)
		synctest.Wait()
		assert.Equal(t, closed, 2, "the first two closes determine the idle timeout")
		time.Sleep(time.Hour)
		synctest.Wait()
		assert.Equal(t, closed, 2, "an idle timeout was counted as a restart")
		down = true
		_ = last.Close()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, closed, 3)
		assert.Assert(t, refused > 0)
		cancel()
		assert.NilError(t, <-done)
	})
}

func mustParse(t *testing.T, text string) *url.URL {
	t.Helper()
	u, err := url.Parse(text)
	assert.NilError(t, err)
	return u
}

// Guards against a sent byte that is not recorded: the outcome "not run" and retries of orders depend on it.
func TestSentIsRecordedBeforeTheWrite(t *testing.T) {
	l, err := net.Listen("tcp", loopback.String())
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	b := newHTTPBackend(mustParse(t, "http://"+l.Addr().String()))
	for _, sent := range []bool{true, false} {
		cs := &connState{}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/", io.NopCloser(strings.NewReader("order")))
		assert.NilError(t, err)
		_, err = b.roundTrip(req, cs) //nolint:bodyclose // There is no response.
		assert.Assert(t, err != nil)
		assert.Equal(t, cs.sent.Load(), sent)
		_ = l.Close()
	}
}
