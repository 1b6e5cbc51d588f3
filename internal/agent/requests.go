package agent

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/admission"
	"github.com/bramleymast/bramleymast/pkg/contract"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyBuffer is the size in bytes of the parts in which a response is passed on.
const copyBuffer = 32 << 10

// requests passes requests to the backend server within the limits of the contract.
type requests struct {
	contract atomic.Pointer[contract.Contract]
	gate     *gate
	backend  sender
	tickets  *tickets
	metrics  *metrics
	backoff  admission.Backoff
	// random gives the jitter of the back-off.
	random func() float64

	mu     sync.Mutex
	budget *admission.RetryBudget
}

func (q *requests) setContract(now time.Time, c contract.Contract) {
	q.gate.setContract(now, c)
	q.tickets.setRetention(c.OutcomeRetention())
	q.mu.Lock()
	q.budget.SetPercent(c.RetryBudgetPercent())
	q.mu.Unlock()
	q.contract.Store(&c)
}

// exchange is one request of a caller.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	contract *contract.Contract
	deadline time.Time
	// body replaces the body of the request when it was read before.
	body io.Reader
	// empty is true when the request is known to have no body.
	empty bool
}

// probe finds out whether a request without a stated length has a body. HTTP/3 callers state none for a GET.
func (x *exchange) probe() {
	x.empty = x.r.ContentLength == 0
	if x.r.ContentLength >= 0 {
		return
	}
	var b [1]byte
	n, err := io.ReadFull(x.r.Body, b[:])
	x.empty = errors.Is(err, io.EOF)
	x.body = io.MultiReader(bytes.NewReader(b[:n]), x.r.Body)
}

// ServeHTTP answers a request of a caller.
func (q *requests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := q.contract.Load()
	if c == nil {
		q.refuse(w, http.StatusServiceUnavailable, errNoContract)
		return
	}
	x := &exchange{w: w, r: r, contract: c, deadline: time.Now().Add(deadlineOf(r, c)), body: r.Body}
	if c.RequiresTickets() && needsTicket(r.Method) {
		q.serveTicketed(x)
		return
	}
	q.servePlain(x)
}

// deadlineOf returns the time until the first byte of the answer, which a caller can only shorten.
func deadlineOf(r *http.Request, c *contract.Contract) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms > c.Deadline().Milliseconds() {
		return c.Deadline()
	}
	return time.Duration(ms) * time.Millisecond
}

func (q *requests) servePlain(x *exchange) {
	if idempotent(x.r.Method) {
		x.probe()
	}
	for n := 0; ; n++ {
		t := q.try(x.r.Context(), x)
		if reason := t.retryReason(); reason != nil && q.retry(x, n, reason) {
			t.end()
			continue
		}
		q.finishPlain(x, t)
		return
	}
}

func (q *requests) finishPlain(x *exchange, t *try) {
	defer t.end()
	switch {
	case t.err == nil:
		q.answer(x, t, nil)
	case t.sent():
		q.doubt(x.w, t.err)
	default:
		q.refuse(x.w, http.StatusServiceUnavailable, t.err)
	}
}

// retry waits before a further attempt and reports whether there is one. It is for requests that may run twice,
// without a body that was already used, within the budget and the deadline.
func (q *requests) retry(x *exchange, n int, reason error) bool {
	if !idempotent(x.r.Method) || !x.empty {
		return false
	}
	delay := q.backoff.Delay(n, q.random())
	if !time.Now().Add(delay).Before(x.deadline) {
		q.metrics.retry(errRetryDeadline)
		return false
	}
	q.mu.Lock()
	allowed := q.budget.Allow()
	q.mu.Unlock()
	if !allowed {
		q.metrics.retry(errRetryBudget)
		return false
	}
	q.metrics.retry(reason)
	return sleep(x.r.Context(), delay)
}

// Reasons for which a failed request is not tried again; the text is the value of the reason label of the metric.
const (
	errRetryDeadline = errors.ConstError("refused_deadline")
	errRetryBudget   = errors.ConstError("refused_budget")
)

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// try is one attempt at the backend server, which holds a slot until the server is done with it.
type try struct {
	q        *requests
	id       admission.ID
	admitted bool
	attempt  attempt
	cancel   context.CancelCauseFunc
	resp     *http.Response
	err      error
	observed admission.Observation
}

// sent reports whether a byte may have reached the backend server.
func (t *try) sent() bool { return t.attempt.sent.Load() }

// retryReason returns why a further attempt is worth while, or nil.
func (t *try) retryReason() error {
	switch {
	case t.err == nil && t.resp.StatusCode == http.StatusServiceUnavailable:
		return errShed
	case errors.Is(t.err, errConnection), errors.Is(t.err, errDialFailed), errors.Is(t.err, errRequestID):
		return t.err
	}
	return nil
}

// end gives the slot back when the backend server has closed the connection.
func (t *try) end() {
	if t.cancel != nil {
		t.cancel(errCancelled)
	}
	if t.resp != nil {
		_ = t.resp.Body.Close()
	}
	if t.admitted {
		t.attempt.whenGone(func() { t.q.gate.leave(t.id, t.observed) })
	}
}

// try waits for a slot, sends the request and waits for the head of the response.
func (q *requests) try(ctx context.Context, x *exchange) *try {
	t := &try{q: q}
	t.id, t.err = q.gate.enter(ctx, x.deadline)
	if t.err != nil {
		if ctx.Err() != nil {
			t.err = errCancelled
		}
		return t
	}
	t.admitted = true
	ctx, t.cancel = context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(x.deadline), func() { t.cancel(errTimeout) })
	defer timer.Stop()
	requestID := newRequestID()
	start := time.Now()
	resp, err := q.backend.roundTrip(backendRequest(ctx, x, requestID), &t.attempt) //nolint:bodyclose // Closed by end.
	if err != nil {
		t.fail(ctx)
		return t
	}
	t.resp = resp
	t.observe(time.Since(start))
	t.err = checkResponse(x.r, resp, requestID)
	return t
}

// fail finds the reason of an attempt without a response.
func (t *try) fail(ctx context.Context) {
	switch {
	case errors.Is(context.Cause(ctx), errTimeout):
		t.err = errTimeout
	case ctx.Err() != nil:
		t.err = errCancelled
	case !t.attempt.connected.Load():
		t.err = errDialFailed
		t.observed.Result = admission.ResultRefused
	default:
		t.err = errConnection
	}
}

func (t *try) observe(service time.Duration) {
	t.observed = admission.Observation{Result: admission.ResultAnswered, ServiceTime: service}
	if t.resp.StatusCode == http.StatusServiceUnavailable {
		t.observed.Result = admission.ResultShed
		return
	}
	t.q.mu.Lock()
	t.q.budget.RecordSuccess()
	t.q.mu.Unlock()
}

// checkResponse refuses the response to another request, and one whose end cannot be told from a cut.
func checkResponse(r *http.Request, resp *http.Response, requestID string) error {
	if echo := resp.Header.Get(headerRequestID); echo != "" && echo != requestID {
		return errRequestID
	}
	bodiless := r.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if !bodiless && resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked") {
		return errUndelimited
	}
	return nil
}

func newRequestID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// backendRequest returns the request for the backend server.
func backendRequest(ctx context.Context, x *exchange, requestID string) *http.Request {
	out := x.r.Clone(ctx)
	out.RequestURI = ""
	out.Proto, out.ProtoMajor, out.ProtoMinor = "HTTP/1.1", 1, 1
	for _, h := range hopHeaders {
		out.Header.Del(h)
	}
	out.Header.Del(headerTicket)
	out.Header.Set(headerRequestID, requestID)
	out.Header.Set(headerDeadline, strconv.FormatInt(time.Until(x.deadline).Milliseconds(), 10))
	out.Body = io.NopCloser(x.body)
	if x.empty || x.r.ContentLength == 0 {
		out.Body, out.ContentLength = http.NoBody, 0
	}
	return out
}

// answer passes the response of the backend server on, and to a recorder unless it is nil. A response that cannot
// be completed aborts the stream, so that it is never taken for a short one.
func (q *requests) answer(x *exchange, t *try, rec *recorder) {
	writeHead(x.w, t.resp.StatusCode, t.resp.Header)
	read, write := copyBody(x.w, t.resp.Body, rec)
	if read != nil {
		reason := errTruncated
		if x.r.Context().Err() != nil {
			reason = errCallerGone
		}
		q.metrics.request(outcomeUnknown, reason)
		panic(http.ErrAbortHandler)
	}
	t.attempt.complete.Store(true)
	if write != nil {
		q.metrics.request(outcomeUnknown, errCallerGone)
		panic(http.ErrAbortHandler)
	}
	q.metrics.answered(answeredComplete)
}

func writeHead(w http.ResponseWriter, status int, header http.Header) {
	for name, values := range header {
		if !slices.Contains(hopHeaders, name) && name != headerTicket {
			w.Header()[name] = values
		}
	}
	w.Header().Set(headerOutcome, string(outcomeAnswered))
	w.WriteHeader(status)
}

// copyBody copies a body and flushes each part, because a backend server may stream. With a recorder, it reads
// on after the caller has gone, as long as the response can be recorded.
func copyBody(w http.ResponseWriter, body io.Reader, rec *recorder) (read, write error) {
	flusher := http.NewResponseController(w)
	b := make([]byte, copyBuffer)
	for {
		n, err := body.Read(b)
		rec.add(b[:n])
		if n > 0 && write == nil {
			if _, write = w.Write(b[:n]); write == nil {
				write = flusher.Flush()
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil, write
		case err != nil:
			return err, write
		case write != nil && !rec.recording():
			return write, write
		}
	}
}
