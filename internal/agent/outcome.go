package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Headers of requests and responses.
const (
	headerOutcome   = "Bramleymast-Outcome"
	headerTicket    = "Bramleymast-Ticket"
	headerDeadline  = "Bramleymast-Deadline-Ms"
	headerKey       = "Idempotency-Key"
	headerRequestID = "X-Request-Id"
)

// outcome is what a response says about its request.
type outcome string

// Outcomes of a request.
const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not_run"
	outcomeUnknown  outcome = "unknown"
)

// Reasons of answers for the reason label of the metric.
const (
	answeredComplete = "complete"
	answeredRecorded = "recorded"
)

// Reasons of the other outcomes; the text is the value of the reason label of the metric.
const (
	errNoContract   = errors.ConstError("no_contract")
	errDialFailed   = errors.ConstError("dial_failed")
	errCancelled    = errors.ConstError("cancelled")
	errTicketNeeded = errors.ConstError("ticket_needed")
	errKeyNeeded    = errors.ConstError("key_needed")
	errTicketClosed = errors.ConstError("ticket_closed")
	errLedgerFull   = errors.ConstError("ledger_full")

	errTimeout       = errors.ConstError("timeout")
	errConnection    = errors.ConstError("connection_lost")
	errShed          = errors.ConstError("shed")
	errRequestID     = errors.ConstError("wrong_request_id")
	errUndelimited   = errors.ConstError("undelimited")
	errTruncated     = errors.ConstError("truncated")
	errCallerGone    = errors.ConstError("caller_gone")
	errTicketInvalid = errors.ConstError("ticket_invalid")
	errUnreachable   = errors.ConstError("agent_unreachable")
	errRestarted     = errors.ConstError("agent_restarted")
	errStillRunning  = errors.ConstError("still_running")
	errNotRecorded   = errors.ConstError("not_recorded")
)

// retryAfter is the Retry-After of refusals in seconds, the shortest that the header can state.
const retryAfter = "1"

// refuse answers a request of which no byte was sent to the backend server.
func (q *requests) refuse(w http.ResponseWriter, status int, reason error) {
	q.metrics.request(outcomeNotRun, reason)
	w.Header().Set(headerOutcome, string(outcomeNotRun))
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
}

// doubt answers a request that may have run.
func (q *requests) doubt(w http.ResponseWriter, reason error) {
	q.metrics.request(outcomeUnknown, reason)
	status := http.StatusBadGateway
	if errors.Is(reason, errTimeout) || errors.Is(reason, errStillRunning) {
		status = http.StatusGatewayTimeout
	}
	w.Header().Set(headerOutcome, string(outcomeUnknown))
	w.WriteHeader(status)
}

// sleep waits and reports whether the time passed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func asTimeout(err error, timeout *net.Error) bool {
	return errors.As(err, timeout) && (*timeout).Timeout()
}
