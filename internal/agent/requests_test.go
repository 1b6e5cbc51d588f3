package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/admission"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
)

// fakeBackend is a backendClient without sockets.
type fakeBackend func(r *http.Request, cs *connState) (*http.Response, error)

func (f fakeBackend) roundTrip(r *http.Request, cs *connState) (*http.Response, error) {
	return f(r, cs)
}

// reply returns a complete response with the given header.
func reply(header ...string) (*http.Response, error) {
	h := http.Header{}
	for i := 0; i < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	return &http.Response{StatusCode: http.StatusOK, Header: h, Body: io.NopCloser(strings.NewReader("ok")), ContentLength: 2}, nil
}

// newTestRequests returns a request handler for a backend server with the given contract.
func newTestRequests(t *testing.T, contractJSON string, b backendClient) *requests {
	t.Helper()
	c, findings := contract.Decode("test", []byte(contractJSON))
	assert.NilError(t, findings.Err())
	adm := newAdmitter(time.Now())
	m, err := newMetrics(nil, adm)
	assert.NilError(t, err)
	control := agentControl{testControl: &testControl{servers: nil}, id: "one"}
	tk, err := newTickets(Config{ID: "one", Service: testService, SharedKey: testKey, Board: &board.Board{}, Control: nullControl{control}})
	assert.NilError(t, err)
	q := &requests{admitter: adm, backend: b, tickets: tk, metrics: m, budget: &admission.RetryBudget{}, random: func() float64 { return 0.5 }}
	q.setContract(time.Now(), c)
	return q
}

type nullControl struct{ agentControl }

func (nullControl) Register(string, any) error { return nil }

func (q *requests) get(ctx context.Context, method string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, "https://order-portal/", http.NoBody)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	q.ServeHTTP(w, r)
	return w
}

// Guards against wrong outcomes: "not run" after a byte was sent, or "answered" with a response that belongs to another
// request or may be truncated.
func TestOutcomeOfFailures(t *testing.T) {
	sent := func(cs *connState) { cs.connected.Store(true); cs.sent.Store(true); cs.markClosed() }
	lost := errors.New("lost")
	for name, tc := range map[string]struct {
		backend fakeBackend
		status  int
		outcome outcome
		reason  error
	}{
		"refused": {func(*http.Request, *connState) (*http.Response, error) { return nil, lost }, 503, outcomeNotRun, errDialFailed},
		"sent":    {func(_ *http.Request, cs *connState) (*http.Response, error) { sent(cs); return nil, lost }, 502, outcomeUnknown, errConnectionLost},
		"timeout": {func(r *http.Request, cs *connState) (*http.Response, error) {
			sent(cs)
			<-r.Context().Done()
			return nil, lost
		}, 504, outcomeUnknown, errTimeout},
		"other request": {func(_ *http.Request, cs *connState) (*http.Response, error) {
			sent(cs)
			return reply(headerRequestID, "of another request")
		}, 502, outcomeUnknown, errWrongRequestID},
		"undelimited": {func(_ *http.Request, cs *connState) (*http.Response, error) {
			sent(cs)
			resp, err := reply()
			resp.ContentLength = -1
			return resp, err
		}, 502, outcomeUnknown, errUndelimited},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls int
				q := newTestRequests(t, plainContract, fakeBackend(func(r *http.Request, cs *connState) (*http.Response, error) {
					calls++
					return tc.backend(r, cs)
				}))
				for range 20 {
					q.budget.RecordSuccess()
				}
				w := q.get(t.Context(), http.MethodPost)
				assert.Equal(t, w.Code, tc.status)
				assert.Equal(t, w.Header().Get(headerOutcome), string(tc.outcome))
				assert.Equal(t, testutil.ToFloat64(q.metrics.requests.WithLabelValues(string(tc.outcome), tc.reason.Error())), 1.0)
				assert.Equal(t, calls, 1, "a POST was retried")
				assert.Equal(t, q.admitter.limiter.InProgress(), 0, "a slot was not released")
			})
		})
	}
}

// Guards against retries beyond the budget or the deadline, and against a request to the backend server without the
// remaining time in its deadline header.
func TestRetriesWithinBudgetAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls, failures int
		var left []int64
		q := newTestRequests(t, plainContract, fakeBackend(func(r *http.Request, cs *connState) (*http.Response, error) {
			calls++
			ms, _ := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
			left = append(left, ms)
			if calls <= failures {
				cs.connected.Store(true)
				cs.sent.Store(true)
				cs.markClosed()
				time.Sleep(100 * time.Millisecond)
				return nil, io.ErrUnexpectedEOF
			}
			return reply()
		}))
		failures = 1
		assert.Equal(t, q.get(t.Context(), http.MethodGet).Code, 502, "a retry without a budget")
		for range 20 {
			calls = 1
			assert.Equal(t, q.get(t.Context(), http.MethodGet).Code, 200)
		}
		calls, failures, left = 0, 1, nil
		assert.Equal(t, q.get(t.Context(), http.MethodGet, headerDeadline, "1000").Code, 200)
		assert.Equal(t, calls, 2)
		assert.Equal(t, left[0], int64(1000))
		assert.Assert(t, left[1] <= 900)
		calls, failures = 0, 99
		assert.Equal(t, q.get(t.Context(), http.MethodGet, headerDeadline, "105").Code, 502, "a retry after the deadline")
		assert.Equal(t, calls, 1)
		calls = 0
		assert.Equal(t, q.get(t.Context(), http.MethodGet).Code, 502)
		assert.Equal(t, calls, 2, "more retries than the budget of 2 requests allows")
	})
}

// openLoopLoad is an open-loop load of callers that retry refused requests.
type openLoopLoad struct {
	q        *requests
	answered atomic.Int64
	wg       sync.WaitGroup
}

// run sends requests at a rate for the duration d and returns how many were answered in that time.
func (l *openLoopLoad) run(t *testing.T, rng *rand.Rand, perSecond float64, d time.Duration) int64 {
	t.Helper()
	before := l.answered.Load()
	for end := time.Now().Add(d); time.Now().Before(end); {
		l.wg.Go(func() {
			for range 3 {
				w := l.q.get(t.Context(), http.MethodGet)
				if w.Code == http.StatusOK {
					l.answered.Add(1)
					return
				}
				time.Sleep(time.Second) // Retry-After
			}
		})
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
	return l.answered.Load() - before
}

// Guards against congestion collapse: at twice the capacity, with retries by callers and the agent, the goodput must be
// at least 90% of the capacity without exceeding the slots, and the service must recover within 3 s after the overload.
func TestGoodputUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, service = 7, 50 * time.Millisecond
		const capacity = slots * float64(time.Second/service)
		var inProgress, peak, calls atomic.Int64
		q := newTestRequests(t, `{"service":"order-portal","addresses":["127.0.0.1:443"],"zones":["a"],
			"backend":{"slots":7},"cold_start":{"slots":7},"deadline_ms":1000}`,
			fakeBackend(func(r *http.Request, cs *connState) (*http.Response, error) {
				cs.connected.Store(true)
				cs.sent.Store(true)
				defer cs.markClosed()
				n := inProgress.Add(1)
				defer inProgress.Add(-1)
				peak.Store(max(peak.Load(), n))
				// A server with more requests than slots loses time to context switches.
				d := service * time.Duration(max(1, (n-slots)*(n-slots)))
				if calls.Add(1)%50 == 0 {
					return nil, io.ErrUnexpectedEOF
				}
				select {
				case <-time.After(d):
					return reply()
				case <-r.Context().Done():
					return nil, r.Context().Err()
				}
			}))
		rng := rand.New(rand.NewPCG(7, 7))
		l := &openLoopLoad{q: q}
		goodput := float64(l.run(t, rng, 2*capacity, 30*time.Second)) / 30 / capacity
		time.Sleep(3 * time.Second)
		sent := 0.8 * capacity * 10
		recovered := float64(l.run(t, rng, 0.8*capacity, 10*time.Second)) / sent
		l.wg.Wait()
		t.Logf("goodput %.3f of the capacity at twice the load, %.3f of the requests answered afterwards, at most %d in progress",
			goodput, recovered, peak.Load())
		assert.Assert(t, goodput >= 0.9)
		assert.Assert(t, recovered >= 0.95)
		assert.Assert(t, peak.Load() <= slots)
		assert.Assert(t, testutil.ToFloat64(q.metrics.retries.WithLabelValues(errConnectionLost.Error())) > 0, "no retry was needed")
	})
}

// Guards against a truncated response that looks complete, and against a cancelled request that continues to run at the
// backend server or whose slot is freed while it still runs.
func TestTruncationAndCancellation(t *testing.T) {
	h := newHarness(t, plainContract)
	var inProgress, peak atomic.Int64
	begun := make(chan struct{}, 64)
	h.addAgent("one", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := inProgress.Add(1)
		defer inProgress.Add(-1)
		peak.Store(max(peak.Load(), n))
		switch r.URL.Path {
		case "/cut":
			w.Header().Set("Content-Length", "1000")
			_, _ = fmt.Fprint(w, "only a part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case "/cut-chunks":
			_, _ = fmt.Fprint(w, "only a part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case "/wait":
			begun <- struct{}{}
			<-r.Context().Done()
			time.Sleep(20 * time.Millisecond) // A server needs time to stop.
		}
	}))
	c := h.caller()
	for _, path := range []string{"/cut", "/cut-chunks"} {
		assert.Assert(t, do(t, c, http.MethodGet, path, nil).err != nil, path)
	}
	for range 5 {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "https://order-portal/wait", http.NoBody)
				_, err := c.Do(req) //nolint:bodyclose // The request fails without a response.
				assert.Check(t, err != nil)
			})
		}
		<-begun
		<-begun
		cancel()
		wg.Wait()
	}
	assert.Equal(t, do(t, c, http.MethodGet, "/", nil).StatusCode, http.StatusOK)
	assert.Equal(t, peak.Load(), int64(2), "more requests in progress than slots")
}
