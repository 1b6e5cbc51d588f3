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

// fakeBackend is a backend server without sockets.
type fakeBackend func(r *http.Request, at *attempt) (*http.Response, error)

func (f fakeBackend) roundTrip(r *http.Request, at *attempt) (*http.Response, error) { return f(r, at) }

// reply is a whole response of a fake backend server.
func reply(header ...string) (*http.Response, error) {
	h := http.Header{}
	for i := 0; i < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	return &http.Response{StatusCode: http.StatusOK, Header: h, Body: io.NopCloser(strings.NewReader("ok")), ContentLength: 2}, nil
}

// newTestRequests returns a request handler of a warm backend server.
func newTestRequests(t *testing.T, contractJSON string, b sender) *requests {
	t.Helper()
	c, findings := contract.Decode("test", []byte(contractJSON))
	assert.NilError(t, findings.Err())
	g := newGate(time.Now())
	m, err := newMetrics(nil, g)
	assert.NilError(t, err)
	control := agentControl{testControl: &testControl{servers: nil}, id: "one"}
	tk, err := newTickets(Config{ID: "one", Service: testService, SharedKey: testKey, Board: &board.Board{}, Control: nullControl{control}})
	assert.NilError(t, err)
	q := &requests{gate: g, backend: b, tickets: tk, metrics: m, budget: &admission.RetryBudget{}, random: func() float64 { return 0.5 }}
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

// Guards against an outcome that claims too much: "not run" after a byte was sent, or an answer that is not the
// request's own or may be cut.
func TestOutcomeOfFailures(t *testing.T) {
	sent := func(at *attempt) { at.connected.Store(true); at.sent.Store(true); at.gone() }
	lost := errors.New("lost")
	for name, tc := range map[string]struct {
		backend fakeBackend
		status  int
		outcome outcome
		reason  error
	}{
		"refused": {func(*http.Request, *attempt) (*http.Response, error) { return nil, lost }, 503, outcomeNotRun, errDialFailed},
		"sent":    {func(_ *http.Request, at *attempt) (*http.Response, error) { sent(at); return nil, lost }, 502, outcomeUnknown, errConnection},
		"timeout": {func(r *http.Request, at *attempt) (*http.Response, error) {
			sent(at)
			<-r.Context().Done()
			return nil, lost
		}, 504, outcomeUnknown, errTimeout},
		"other request": {func(_ *http.Request, at *attempt) (*http.Response, error) {
			sent(at)
			return reply(headerRequestID, "of another request")
		}, 502, outcomeUnknown, errRequestID},
		"undelimited": {func(_ *http.Request, at *attempt) (*http.Response, error) {
			sent(at)
			resp, err := reply()
			resp.ContentLength = -1
			return resp, err
		}, 502, outcomeUnknown, errUndelimited},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls int
				q := newTestRequests(t, plainContract, fakeBackend(func(r *http.Request, at *attempt) (*http.Response, error) {
					calls++
					return tc.backend(r, at)
				}))
				for range 20 {
					q.budget.RecordSuccess()
				}
				w := q.get(t.Context(), http.MethodPost)
				assert.Equal(t, w.Code, tc.status)
				assert.Equal(t, w.Header().Get(headerOutcome), string(tc.outcome))
				assert.Equal(t, testutil.ToFloat64(q.metrics.requests.WithLabelValues(string(tc.outcome), tc.reason.Error())), 1.0)
				assert.Equal(t, calls, 1, "a POST was repeated")
				assert.Equal(t, q.gate.limiter.InProgress(), 0, "a slot was lost")
			})
		})
	}
}

// Guards against retries without a budget, without time or after too many failures, and against a backend server
// that does not learn how much time is left.
func TestRetriesWithinBudgetAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls, failures int
		var left []int64
		q := newTestRequests(t, plainContract, fakeBackend(func(r *http.Request, at *attempt) (*http.Response, error) {
			calls++
			ms, _ := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
			left = append(left, ms)
			if calls <= failures {
				at.connected.Store(true)
				at.sent.Store(true)
				at.gone()
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

// load is a seeded open-loop load of callers that repeat refused requests.
type load struct {
	q        *requests
	answered atomic.Int64
	wg       sync.WaitGroup
}

// run sends requests at a rate for a time and returns how many were answered within it.
func (l *load) run(t *testing.T, rng *rand.Rand, perSecond float64, d time.Duration) int64 {
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

// Guards against a collapse under overload: at twice the capacity, with callers and the agent repeating requests,
// the backend server must go on answering at 90% of its capacity, never above its slots, and recover at once.
func TestGoodputUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, service = 7, 50 * time.Millisecond
		const capacity = slots * float64(time.Second/service)
		var busy, most, calls atomic.Int64
		q := newTestRequests(t, `{"service":"order-portal","addresses":["127.0.0.1:443"],"zones":["a"],
			"backend":{"slots":7},"cold_start":{"slots":7},"deadline_ms":1000}`,
			fakeBackend(func(r *http.Request, at *attempt) (*http.Response, error) {
				at.connected.Store(true)
				at.sent.Store(true)
				defer at.gone()
				n := busy.Add(1)
				defer busy.Add(-1)
				most.Store(max(most.Load(), n))
				// Above its slots, a server wastes time on switching between requests.
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
		l := &load{q: q}
		goodput := float64(l.run(t, rng, 2*capacity, 30*time.Second)) / 30 / capacity
		time.Sleep(3 * time.Second)
		sent := 0.8 * capacity * 10
		recovered := float64(l.run(t, rng, 0.8*capacity, 10*time.Second)) / sent
		l.wg.Wait()
		t.Logf("goodput %.3f of the capacity at twice the load, %.3f of the requests answered afterwards, at most %d in progress",
			goodput, recovered, most.Load())
		assert.Assert(t, goodput >= 0.9)
		assert.Assert(t, recovered >= 0.95)
		assert.Assert(t, most.Load() <= slots)
		assert.Assert(t, testutil.ToFloat64(q.metrics.retries.WithLabelValues(errConnection.Error())) > 0, "no retry was needed")
	})
}

// Guards against a short answer that passes for a whole one, and against work that goes on at the backend server,
// or a slot that is free, after a caller has cancelled.
func TestTruncationAndCancellation(t *testing.T) {
	r := newRig(t, plainContract)
	var busy, most atomic.Int64
	begun := make(chan struct{}, 64)
	r.addAgent("one", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := busy.Add(1)
		defer busy.Add(-1)
		most.Store(max(most.Load(), n))
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
	c := r.caller()
	for _, path := range []string{"/cut", "/cut-chunks"} {
		assert.Assert(t, do(t, c, http.MethodGet, path, nil).err != nil, path)
	}
	for range 5 {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "https://order-portal/wait", http.NoBody)
				_, err := c.Do(req) //nolint:bodyclose // There is no response.
				assert.Check(t, err != nil)
			})
		}
		<-begun
		<-begun
		cancel()
		wg.Wait()
	}
	assert.Equal(t, do(t, c, http.MethodGet, "/", nil).StatusCode, http.StatusOK)
	assert.Equal(t, most.Load(), int64(2), "requests in progress over the slots")
}
