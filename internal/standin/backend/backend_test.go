package backend_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bramleymast/bramleymast/internal/standin/backend"
	"github.com/bramleymast/bramleymast/internal/standin/content"
)

func start(t *testing.T, cfg backend.Config) *backend.Server {
	t.Helper()
	cfg.ID, cfg.Address = "b1", "127.0.0.1:0"
	s, err := backend.New(t.Context(), cfg)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return s
}

func send(t *testing.T, ctx context.Context, s *backend.Server, method, path, body string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, s.URL()+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("X-Request-Id", "r7")
	r.Header.Set("Bramleymast-Deadline-Ms", "60000")
	return http.DefaultTransport.RoundTrip(r)
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(30*time.Second))
}

// Guards against a busy time that leaves out the service time, or even decreases, so that the imbalance of slots is wrong.
func TestBusyTimeIncludesServiceTime(t *testing.T) {
	const serviceTime = 20 * time.Millisecond
	s := start(t, backend.Config{Kind: backend.KindBundles, Slots: 3, ServiceTime: serviceTime})
	for n := 1; n <= 3; n++ {
		resp, err := send(t, t.Context(), s, http.MethodGet, "/entries/1", "")
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		resp.Body.Close()
		waitFor(t, "the end of the request", func() bool { return s.Counts().Answered == n })
		assert.Assert(t, s.Counts().Busy >= time.Duration(n)*serviceTime, "%v after %d requests", s.Counts().Busy, n)
	}
}

// Guards against a server that exceeds its reduced limit during a cold start, and against overload that is not counted.
func TestColdServerShedsAndCountsRequestsOverItsLimit(t *testing.T) {
	s := start(t, backend.Config{Kind: backend.KindBundles, Slots: 3, ColdSlots: 1, Ramp: time.Hour})
	s.HoldResponses(1)
	first, err := send(t, t.Context(), s, http.MethodGet, "/downloads/5?bytes=40000", "")
	assert.NilError(t, err)
	defer first.Body.Close()
	waitFor(t, "the first download to be held", func() bool { return s.Counts().Held == 1 })
	second, err := send(t, t.Context(), s, http.MethodGet, "/entries/1", "")
	assert.NilError(t, err)
	second.Body.Close()
	assert.Equal(t, second.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, second.Header.Get("X-Request-Id"), "r7")
	c := s.Counts()
	assert.Equal(t, c.ColdOverload, 1)
	assert.Equal(t, c.Peak, 1)
	s.ReleaseResponses()
	v := content.NewVerifier(5)
	_, err = io.Copy(v, first.Body)
	assert.NilError(t, err)
	assert.Equal(t, v.Matched(), int64(40000))
}

// Guards against a cancelled write that is executed after the cancellation or keeps its slot.
func TestCancelledWriteIsNotExecuted(t *testing.T) {
	s := start(t, backend.Config{Kind: backend.KindOrders, Slots: 1, ColdSlots: 1, ServiceTime: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		waitFor(t, "the write to take a slot", func() bool { return s.Counts().Peak == 1 })
		cancel()
	}()
	_, err := send(t, ctx, s, http.MethodPost, "/orders", `{"id":"o1"}`) //nolint:bodyclose // there is no response
	assert.ErrorIs(t, err, context.Canceled)
	waitFor(t, "the write to be counted as cancelled", func() bool { return s.Counts().Cancelled == 1 })
	assert.Equal(t, len(s.Counts().Executed), 0)
}

// Guards against a server that continues with a request after the deadline in its header.
func TestRequestEndsAtDeadline(t *testing.T) {
	s := start(t, backend.Config{Kind: backend.KindSummaries, Slots: 1, ColdSlots: 1, ServiceTime: time.Hour})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL()+"/summaries/1", http.NoBody)
	assert.NilError(t, err)
	r.Header.Set("Bramleymast-Deadline-Ms", "1")
	resp, err := http.DefaultTransport.RoundTrip(r)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
	waitFor(t, "the request to be counted as over its deadline", func() bool { return s.Counts().DeadlineExceeded == 1 })
}

// Guards against a restart that leaves connections open, loses the counters or changes the address.
func TestRestartClosesConnectionsAndKeepsCounts(t *testing.T) {
	s := start(t, backend.Config{Kind: backend.KindOrders, Slots: 2, ColdSlots: 2, Ramp: time.Hour})
	resp, err := send(t, t.Context(), s, http.MethodPost, "/orders", `{"id":"o1"}`)
	assert.NilError(t, err)
	resp.Body.Close()
	s.HoldResponses(1)
	interrupted, err := send(t, t.Context(), s, http.MethodGet, "/downloads/1?bytes=100000", "")
	assert.NilError(t, err)
	defer interrupted.Body.Close()
	w := httptest.NewRecorder()
	s.AdminHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/admin/restart", http.NoBody))
	assert.Equal(t, w.Code, http.StatusOK)
	_, err = io.Copy(io.Discard, interrupted.Body)
	assert.ErrorContains(t, err, "EOF")
	waitFor(t, "the restart to be counted", func() bool { return s.Counts().Restarts == 1 })
	resp, err = send(t, t.Context(), s, http.MethodGet, "/batches/1", "")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.DeepEqual(t, s.Counts().Executed, map[string]int{"o1": 1})
}

// Guards against a download that is cut off because the deadline, which covers its first byte only, has passed.
func TestDownloadContinuesAfterDeadline(t *testing.T) {
	s := start(t, backend.Config{Kind: backend.KindBundles, Slots: 1, ColdSlots: 1})
	s.HoldResponses(1)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL()+"/downloads/5?bytes=100000", http.NoBody)
	assert.NilError(t, err)
	const deadline = time.Millisecond
	r.Header.Set("Bramleymast-Deadline-Ms", "1")
	resp, err := http.DefaultTransport.RoundTrip(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	waitFor(t, "the download to be held", func() bool { return s.Counts().Held == 1 })
	time.Sleep(20 * deadline)
	s.ReleaseResponses()
	v := content.NewVerifier(5)
	_, err = io.Copy(v, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, v.Matched(), int64(100000))
}
