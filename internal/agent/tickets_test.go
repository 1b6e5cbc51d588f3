package agent

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/ticket"
)

const ticketContract = `{"service":"order-portal","addresses":["127.0.0.1:443"],"zones":["a"],
	"backend":{"slots":2},"cold_start":{"slots":2},"non_idempotent":"ticket"}`

// Guards against an order that runs twice or is lost without an error when it is retried at the same agent or at
// another one.
func TestOrdersRunAtMostOnce(t *testing.T) {
	h := newHarness(t, ticketContract)
	var runs atomic.Int64
	shop := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		if string(b) == "lost" {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "order %d: %s", runs.Add(1), b)
	})
	h.addAgent("one", shop)
	h.addAgent("two", shop)
	// Placement chooses the owner of each flow, so open flows until both agents own one.
	callers := map[string]*http.Client{}
	for len(callers) < 2 {
		c := h.caller()
		got := do(t, c, http.MethodPost, "/", []byte("x"))
		assert.NilError(t, got.err)
		assert.Equal(t, got.StatusCode, http.StatusPreconditionRequired)
		tk, err := h.agents[0].requests.tickets.codec.Decode(got.Header.Get(headerTicket))
		assert.NilError(t, err)
		callers[tk.Agent()] = c
	}
	issuer, other := callers["one"], callers["two"]
	post := func(c *http.Client, tk, key, body string) answer {
		got := do(t, c, http.MethodPost, "/orders", []byte(body), headerTicket, tk, headerKey, key)
		assert.NilError(t, got.err)
		return got
	}
	expect := func(a answer, status int, o outcome, body string) {
		t.Helper()
		assert.Equal(t, a.StatusCode, status)
		assert.Equal(t, a.Header.Get(headerOutcome), string(o))
		assert.Equal(t, string(a.body), body)
	}
	tk := do(t, issuer, http.MethodPost, "/", nil).Header.Get(headerTicket)
	assert.Equal(t, runs.Load(), int64(0), "ran without a ticket")
	for _, c := range []*http.Client{issuer, issuer, other, other} {
		expect(post(c, tk, "a", "red"), 200, outcomeAnswered, "order 1: red")
	}
	expect(post(issuer, tk, "b", "blue"), 200, outcomeAnswered, "order 2: blue")

	refused := post(other, tk, "c", "green")
	expect(refused, 428, outcomeNotRun, "")
	expect(post(issuer, tk, "c", "green"), 428, outcomeNotRun, "")
	expect(post(other, refused.Header.Get(headerTicket), "c", "green"), 200, outcomeAnswered, "order 3: green")

	expect(post(issuer, tk, "d", "lost"), 502, outcomeUnknown, "")
	expect(post(other, tk, "d", "lost"), 502, outcomeUnknown, "")
	expect(post(issuer, tk+"x", "e", "x"), 502, outcomeUnknown, "")
	expect(post(issuer, tk, "", "x"), 428, outcomeNotRun, "")

	h.control.mu.Lock()
	h.control.disconnected = true
	h.control.mu.Unlock()
	expect(post(other, tk, "f", "x"), 502, outcomeUnknown, "")
	assert.Equal(t, runs.Load(), int64(3))
}

// observedWriter calls a function before it sends the response header.
type observedWriter struct {
	*httptest.ResponseRecorder
	before func()
}

func (w *observedWriter) WriteHeader(status int) {
	w.before()
	w.ResponseRecorder.WriteHeader(status)
}

func mustDecode(t *testing.T, q *requests, text string) ticket.Ticket {
	t.Helper()
	tk, err := q.tickets.codec.Decode(text)
	assert.NilError(t, err)
	return tk
}

// Guards against a request that runs after its "not run" outcome, because a delayed copy of it arrives.
func TestRefusedOrderCannotRunLater(t *testing.T) {
	calls := 0
	q := newTestRequests(t, ticketContract, fakeBackend(func(*http.Request, *connState) (*http.Response, error) {
		calls++
		if calls == 1 {
			return nil, io.EOF
		}
		return reply()
	}))
	tk := q.get(t.Context(), http.MethodPost).Header().Get(headerTicket)
	order := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody)
	order.Header.Set(headerTicket, tk)
	order.Header.Set(headerKey, "a")
	first := &observedWriter{ResponseRecorder: httptest.NewRecorder(), before: func() {
		st := q.tickets.begin(mustDecode(t, q, tk), "a")
		assert.Equal(t, st.State, ticket.NotRun, "the response was sent before the key was closed")
	}}
	q.ServeHTTP(first, order)
	assert.Equal(t, first.Code, http.StatusServiceUnavailable)
	assert.Equal(t, first.Header().Get(headerOutcome), string(outcomeNotRun))
	late := q.get(t.Context(), http.MethodPost, headerTicket, tk, headerKey, "a")
	assert.Equal(t, late.Code, http.StatusPreconditionRequired)
	again := q.get(t.Context(), http.MethodPost, headerTicket, first.Header().Get(headerTicket), headerKey, "a")
	assert.Equal(t, again.Code, http.StatusOK)
}
