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

// outcome is the value of the outcome header: whether the request ran.
type outcome string

// Outcomes of a request.
const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not_run"
	outcomeUnknown  outcome = "unknown"
)

// Values of the metric's reason label for answered requests.
const (
	answeredComplete = "complete"
	answeredRecorded = "recorded"
)

// Reasons of the other outcomes; the text is the value of the metric's reason label.
const (
	errNoContract   = errors.ConstError("no_contract")
	errDialFailed   = errors.ConstError("dial_failed")
	errCancelled    = errors.ConstError("cancelled")
	errTicketNeeded = errors.ConstError("ticket_needed")
	errKeyNeeded    = errors.ConstError("key_needed")
	errTicketClosed = errors.ConstError("ticket_closed")
	errLedgerFull   = errors.ConstError("ledger_full")

	errTimeout          = errors.ConstError("timeout")
	errConnectionLost   = errors.ConstError("connection_lost")
	errShed             = errors.ConstError("shed")
	errWrongRequestID   = errors.ConstError("wrong_request_id")
	errUndelimited      = errors.ConstError("undelimited")
	errTruncated        = errors.ConstError("truncated")
	errCallerGone       = errors.ConstError("caller_gone")
	errTicketInvalid    = errors.ConstError("ticket_invalid")
	errAgentUnreachable = errors.ConstError("agent_unreachable")
	errAgentRestarted   = errors.ConstError("agent_restarted")
	errStillRunning     = errors.ConstError("still_running")
	errNotRecorded      = errors.ConstError("not_recorded")
)

// retryAfter is the Retry-After of refusals in seconds, the shortest nonzero value of the header.
const retryAfter = "1"

// refuse responds with outcomeNotRun to a request of which no byte was sent to the backend server.
func (q *requests) refuse(w http.ResponseWriter, status int, reason error) {
	q.metrics.request(outcomeNotRun, reason)
	w.Header().Set(headerOutcome, string(outcomeNotRun))
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
}

// respondUnknown responds with outcomeUnknown to a request that may have run.
func (q *requests) respondUnknown(w http.ResponseWriter, reason error) {
	q.metrics.request(outcomeUnknown, reason)
	status := http.StatusBadGateway
	if errors.Is(reason, errTimeout) || errors.Is(reason, errStillRunning) {
		status = http.StatusGatewayTimeout
	}
	w.Header().Set(headerOutcome, string(outcomeUnknown))
	w.WriteHeader(status)
}

// sleep waits for d and reports false if the context ends first.
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

func isTimeout(err error, timeout *net.Error) bool {
	return errors.As(err, timeout) && (*timeout).Timeout()
}
