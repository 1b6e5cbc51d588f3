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

// hopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyBufferSize is the size in bytes of the buffer that copies a response body.
const copyBufferSize = 32 << 10

// requests handles the requests of callers and forwards them to the backend server within the limits of the contract.
type requests struct {
	contract atomic.Pointer[contract.Contract]
	admitter *admitter
	backend  backendClient
	tickets  *tickets
	metrics  *metrics
	backoff  admission.Backoff
	// random returns the jitter of the back-off.
	random func() float64

	mu     sync.Mutex
	budget *admission.RetryBudget
}

func (q *requests) setContract(now time.Time, c contract.Contract) {
	q.admitter.setContract(now, c)
	q.tickets.setRetention(c.OutcomeRetention())
	q.mu.Lock()
	q.budget.SetPercent(c.RetryBudgetPercent())
	q.mu.Unlock()
	q.contract.Store(&c)
}

// exchange is one request of a caller and its response.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	contract *contract.Contract
	deadline time.Time
	// body is the request body; it includes what was already read from r.Body.
	body io.Reader
	// emptyBody is true if the request is known to have no body.
	emptyBody bool
}

// detectBody sets emptyBody. HTTP/3 callers send no length for a GET, so it reads a byte to find out whether there
// is a body.
func (x *exchange) detectBody() {
	x.emptyBody = x.r.ContentLength == 0
	if x.r.ContentLength >= 0 {
		return
	}
	var b [1]byte
	n, err := io.ReadFull(x.r.Body, b[:])
	x.emptyBody = errors.Is(err, io.EOF)
	x.body = io.MultiReader(bytes.NewReader(b[:n]), x.r.Body)
}

// ServeHTTP handles a request of a caller.
func (q *requests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := q.contract.Load()
	if c == nil {
		q.refuse(w, http.StatusServiceUnavailable, errNoContract)
		return
	}
	x := &exchange{w: w, r: r, contract: c, deadline: time.Now().Add(timeoutOf(r, c)), body: r.Body}
	if c.RequiresTickets() && needsTicket(r.Method) {
		q.serveTicketed(x)
		return
	}
	q.servePlain(x)
}

// timeoutOf returns the timeout for the response header. A caller can only shorten the contract's value.
func timeoutOf(r *http.Request, c *contract.Contract) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms > c.Deadline().Milliseconds() {
		return c.Deadline()
	}
	return time.Duration(ms) * time.Millisecond
}

func (q *requests) servePlain(x *exchange) {
	if idempotent(x.r.Method) {
		x.detectBody()
	}
	for n := 0; ; n++ {
		a := q.attempt(x.r.Context(), x)
		if reason := a.retryReason(); reason != nil && q.retry(x, n, reason) {
			a.finish()
			continue
		}
		q.finishPlain(x, a)
		return
	}
}

func (q *requests) finishPlain(x *exchange, a *attempt) {
	defer a.finish()
	switch {
	case a.err == nil:
		q.forwardResponse(x, a, nil)
	case a.sent():
		q.respondUnknown(x.w, a.err)
	default:
		q.refuse(x.w, http.StatusServiceUnavailable, a.err)
	}
}

// retry reports whether to retry after attempt n, and waits for the back-off first. Only idempotent requests without a
// body are retried, because a body that was sent cannot be sent again. The retry budget and the deadline limit retries.
func (q *requests) retry(x *exchange, n int, reason error) bool {
	if !idempotent(x.r.Method) || !x.emptyBody {
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

// Reasons why a failed request is not retried; the text is the value of the metric's reason label.
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

// attempt is one attempt to run a request. It holds a slot until the backend server has closed the connection.
type attempt struct {
	q           *requests
	id          admission.ID
	admitted    bool
	conn        connState
	cancel      context.CancelCauseFunc
	resp        *http.Response
	err         error
	observation admission.Observation
}

// sent reports whether a byte may have reached the backend server.
func (a *attempt) sent() bool { return a.conn.sent.Load() }

// retryReason returns the reason for a retry, or nil if the attempt must not be retried.
func (a *attempt) retryReason() error {
	switch {
	case a.err == nil && a.resp.StatusCode == http.StatusServiceUnavailable:
		return errShed
	case errors.Is(a.err, errConnectionLost), errors.Is(a.err, errDialFailed), errors.Is(a.err, errWrongRequestID):
		return a.err
	}
	return nil
}

// finish ends the attempt and releases its slot once the backend server has closed the connection.
func (a *attempt) finish() {
	if a.cancel != nil {
		a.cancel(errCancelled)
	}
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	if a.admitted {
		a.conn.whenClosed(func() { a.q.admitter.release(a.id, a.observation) })
	}
}

// attempt waits for a slot, sends the request and waits for the response header.
func (q *requests) attempt(ctx context.Context, x *exchange) *attempt {
	a := &attempt{q: q}
	a.id, a.err = q.admitter.acquire(ctx, x.deadline)
	if a.err != nil {
		if ctx.Err() != nil {
			a.err = errCancelled
		}
		return a
	}
	a.admitted = true
	ctx, a.cancel = context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(x.deadline), func() { a.cancel(errTimeout) })
	defer timer.Stop()
	requestID := newRequestID()
	start := time.Now()
	resp, err := q.backend.roundTrip(backendRequest(ctx, x, requestID), &a.conn) //nolint:bodyclose // Closed by finish.
	if err != nil {
		a.setFailure(ctx)
		return a
	}
	a.resp = resp
	a.observe(time.Since(start))
	a.err = checkResponse(x.r, resp, requestID)
	return a
}

// setFailure sets the error of an attempt without a response.
func (a *attempt) setFailure(ctx context.Context) {
	switch {
	case errors.Is(context.Cause(ctx), errTimeout):
		a.err = errTimeout
	case ctx.Err() != nil:
		a.err = errCancelled
	case !a.conn.connected.Load():
		a.err = errDialFailed
		a.observation.Result = admission.ResultRefused
	default:
		a.err = errConnectionLost
	}
}

func (a *attempt) observe(service time.Duration) {
	a.observation = admission.Observation{Result: admission.ResultAnswered, ServiceTime: service}
	if a.resp.StatusCode == http.StatusServiceUnavailable {
		a.observation.Result = admission.ResultShed
		return
	}
	a.q.mu.Lock()
	a.q.budget.RecordSuccess()
	a.q.mu.Unlock()
}

// checkResponse rejects a response with the ID of another request, and one with neither a length nor chunks, because a
// truncation of it cannot be detected.
func checkResponse(r *http.Request, resp *http.Response, requestID string) error {
	if echo := resp.Header.Get(headerRequestID); echo != "" && echo != requestID {
		return errWrongRequestID
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
	if x.emptyBody || x.r.ContentLength == 0 {
		out.Body, out.ContentLength = http.NoBody, 0
	}
	return out
}

// forwardResponse copies the response of the backend server to the caller, and to rec unless it is nil. It aborts the
// stream of a response that cannot be completed, so that a truncated response never looks complete.
func (q *requests) forwardResponse(x *exchange, a *attempt, rec *recorder) {
	writeHeader(x.w, a.resp.StatusCode, a.resp.Header)
	readErr, writeErr := copyBody(x.w, a.resp.Body, rec)
	if readErr != nil {
		reason := errTruncated
		if x.r.Context().Err() != nil {
			reason = errCallerGone
		}
		q.metrics.request(outcomeUnknown, reason)
		panic(http.ErrAbortHandler)
	}
	a.conn.complete.Store(true)
	if writeErr != nil {
		q.metrics.request(outcomeUnknown, errCallerGone)
		panic(http.ErrAbortHandler)
	}
	q.metrics.answered(answeredComplete)
}

func writeHeader(w http.ResponseWriter, status int, header http.Header) {
	for name, values := range header {
		if !slices.Contains(hopHeaders, name) && name != headerTicket {
			w.Header()[name] = values
		}
	}
	w.Header().Set(headerOutcome, string(outcomeAnswered))
	w.WriteHeader(status)
}

// copyBody copies a body and flushes after each read, because a backend server may stream. With a recorder, it
// continues to read after the caller has disconnected for as long as the response can be recorded.
func copyBody(w http.ResponseWriter, body io.Reader, rec *recorder) (readErr, writeErr error) {
	flusher := http.NewResponseController(w)
	b := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(b)
		rec.add(b[:n])
		if n > 0 && writeErr == nil {
			if _, writeErr = w.Write(b[:n]); writeErr == nil {
				writeErr = flusher.Flush()
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil, writeErr
		case err != nil:
			return err, writeErr
		case writeErr != nil && !rec.active():
			return writeErr, writeErr
		}
	}
}
