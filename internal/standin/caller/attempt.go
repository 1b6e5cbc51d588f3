package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/standin/backend"
)

// result describes how one attempt of a request ended.
type result struct {
	outcome Outcome
	status  int
	ticket  string
	body    []byte
	// shed is set when the backend server, and not the agent, refused the request because no slot was free.
	shed bool
	// noRetry is set when a retry would hide a fault.
	noRetry bool
	reason  string
}

// sendWithRetries makes attempts until one is answered or no retry is allowed, and records the last outcome.
func (c *Caller) sendWithRetries(ctx context.Context, download bool, attempt func(ctx context.Context) result) Outcome {
	c.cfg.Tally.update(func(r *Report) { r.Requests++ })
	s := Sample{At: time.Now(), Download: download}
	for n := 0; ; n++ {
		r := c.attemptOnFlow(ctx, attempt)
		if r.outcome == Answered {
			c.retryBudget.success()
			return c.recordSample(s, Answered)
		}
		c.cfg.Tally.countReason(r.reason)
		c.cfg.Logger.Debug("attempt failed", "caller", c.cfg.Name, "attempt", n, "outcome", r.outcome, "reason", r.reason)
		if r.noRetry || ctx.Err() != nil || n+1 >= maxAttempts || !c.retryBudget.take() {
			return c.recordSample(s, r.outcome)
		}
		c.cfg.Tally.update(func(r *Report) { r.Retries++ })
		sleep(ctx, backoff(c.rng, n))
	}
}

// recordSample adds a completed request to the tally and returns its outcome.
func (c *Caller) recordSample(s Sample, o Outcome) Outcome {
	s.Outcome = o
	s.Latency = time.Since(s.At)
	if c.session != nil {
		s.Server = c.session.server
	}
	c.cfg.Tally.addSample(s)
	return o
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// attemptOnFlow makes one attempt on the open flow, or on a new one if none is open.
func (c *Caller) attemptOnFlow(ctx context.Context, attempt func(ctx context.Context) result) result {
	if c.session != nil && c.session.closeCause() != nil {
		c.recordFlowBreak(false)
		c.discardFlow()
	}
	if c.session == nil {
		s, err := dial(ctx, c.cfg.Local, c.cfg.Service, c.cfg.TLS)
		if err != nil {
			c.cfg.Tally.update(func(r *Report) { r.DialFailures++ })
			return result{outcome: NotRun, reason: "no connection"}
		}
		c.session = s
		c.cfg.Tally.update(func(r *Report) { r.FlowsOpened++ })
	}
	c.requestsOnFlow++
	return attempt(ctx)
}

// discardFlow closes a flow that has ended or accepts no more requests; the ticket is kept, so that the retry of a write
// on the next flow returns the outcome of the first attempt.
func (c *Caller) discardFlow() {
	c.cfg.Tally.update(func(r *Report) { r.FlowsMoved++ })
	c.session.close()
	c.session = nil
	c.requestsOnFlow = 0
}

// recordFlowBreak records a break of the current flow, at most once.
func (c *Caller) recordFlowBreak(requestInProgress bool) {
	cause := c.session.breakCause(requestInProgress || c.session.requestFailed)
	if cause == nil || c.session.breakRecorded {
		return
	}
	c.session.breakRecorded = true
	c.addBreak(cause, true)
}

func (c *Caller) addBreak(cause error, wholeFlow bool) {
	b := Break{At: time.Now(), Caller: c.cfg.Name, Server: c.session.server, Reason: cause.Error(), Flow: wholeFlow}
	c.cfg.Tally.update(func(r *Report) { r.Breaks = append(r.Breaks, b) })
	c.cfg.Logger.Info("flow or response broken", "caller", b.Caller, "server", b.Server, "reason", b.Reason, "whole flow", b.Flow)
}

// truncated records a response that ended early and returns the result of its attempt.
func (c *Caller) truncated(err error) result {
	if c.session.closeCause() != nil {
		c.recordFlowBreak(true)
		return result{outcome: Unknown, reason: "flow broken in a response"}
	}
	c.addBreak(err, false)
	return result{outcome: Unknown, reason: "response cut"}
}

// roundTrip sends a request and classifies the response without reading its body; the response is nil if there is none.
func (c *Caller) roundTrip(ctx context.Context, req *http.Request) (*http.Response, result) {
	res, err := c.session.roundTrip(req, backend.HeaderServer)
	if err != nil {
		return nil, c.noResponse(ctx, err)
	}
	r := result{status: res.StatusCode, ticket: res.Header.Get(headerTicket)}
	switch res.Header.Get(headerOutcome) {
	case Answered.String():
		r.outcome = Answered
	case NotRun.String():
		r.outcome = NotRun
	default:
		r.outcome = Unknown
	}
	r.reason = r.outcome.String() + " " + http.StatusText(res.StatusCode)
	if r.outcome == Answered && res.StatusCode == http.StatusServiceUnavailable {
		r.outcome = NotRun
		r.shed = true
		r.reason = "shed by the backend server"
	}
	return res, r
}

// noResponse returns the result of a request without a response.
func (c *Caller) noResponse(ctx context.Context, err error) result {
	if isRejected(err) {
		// The server shuts down gracefully and accepts no more requests on this flow.
		c.discardFlow()
		return result{outcome: NotRun, reason: "rejected after GOAWAY"}
	}
	if cause := c.session.closeCause(); cause != nil {
		broken := c.session.breakCause(true) != nil
		c.recordFlowBreak(true)
		if broken {
			return result{outcome: Unknown, reason: "flow broken before a response"}
		}
		return result{outcome: NotRun, reason: "flow closed after GOAWAY"}
	}
	if ctx.Err() != nil {
		return result{outcome: Unknown, reason: "no response in time"}
	}
	c.session.requestFailed = true
	return result{outcome: Unknown, reason: "request failed: " + errors.Cause(err).Error()}
}

// sendAndRead sends a request and reads the whole response body.
func (c *Caller) sendAndRead(ctx context.Context, req *http.Request) result {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Deadline+answerMargin)
	defer cancel()
	res, r := c.roundTrip(ctx, req.WithContext(ctx))
	if res == nil {
		return r
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return c.truncated(err)
	}
	r.body = body
	return r
}

// checkAnswer returns r, or a failed result if the answer has an error status or another id than the requested one.
func (c *Caller) checkAnswer(r result, id string) result {
	if r.outcome != Answered {
		return r
	}
	if r.status != http.StatusOK {
		return result{outcome: Unknown, reason: "error of the backend server: " + http.StatusText(r.status)}
	}
	var a backend.Answer
	if err := json.Unmarshal(r.body, &a); err != nil || a.ID != id {
		c.cfg.Tally.update(func(rep *Report) { rep.Corrupt++ })
		return result{outcome: Unknown, noRetry: true, reason: "answer to another request"}
	}
	return r
}
