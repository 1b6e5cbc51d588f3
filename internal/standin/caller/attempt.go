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

// result is how one attempt of a request ended.
type result struct {
	outcome Outcome
	status  int
	ticket  string
	body    []byte
	// shed is whether the backend server itself refused the request for lack of a slot.
	shed bool
	// final is whether a further attempt would hide a fault.
	final  bool
	reason string
}

// request makes attempts until one is answered or no retry is allowed, and counts the last outcome.
func (c *Caller) request(ctx context.Context, download bool, attempt func(ctx context.Context) result) Outcome {
	c.cfg.Tally.update(func(r *Report) { r.Requests++ })
	s := Sample{At: time.Now(), Download: download}
	for n := 0; ; n++ {
		r := c.attempt(ctx, attempt)
		if r.outcome == Answered {
			c.budget.success()
			return c.finish(s, Answered)
		}
		c.cfg.Tally.reason(r.reason)
		c.cfg.Logger.Debug("attempt failed", "caller", c.cfg.Name, "attempt", n, "outcome", r.outcome, "reason", r.reason)
		if r.final || ctx.Err() != nil || n+1 >= maxAttempts || !c.budget.take() {
			return c.finish(s, r.outcome)
		}
		c.cfg.Tally.update(func(r *Report) { r.Retries++ })
		sleep(ctx, backoff(c.random, n))
	}
}

func (c *Caller) finish(s Sample, o Outcome) Outcome {
	s.Outcome = o
	s.Latency = time.Since(s.At)
	if c.session != nil {
		s.Server = c.session.server
	}
	c.cfg.Tally.finished(s)
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

// attempt makes one try on the open flow, or on a new one.
func (c *Caller) attempt(ctx context.Context, attempt func(ctx context.Context) result) result {
	if c.session != nil && c.session.ended() != nil {
		c.noteEnd(false)
		c.moveFlow()
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
	c.onFlow++
	return attempt(ctx)
}

// moveFlow drops a flow that has ended; the ticket is kept, so that a write can learn its outcome on the next flow.
func (c *Caller) moveFlow() {
	c.cfg.Tally.update(func(r *Report) { r.FlowsMoved++ })
	c.session.close()
	c.session = nil
	c.onFlow = 0
}

// noteEnd records a flow that has broken, once.
func (c *Caller) noteEnd(requestInProgress bool) {
	cause := c.session.brokenBy(requestInProgress || c.session.failed)
	if cause == nil || c.session.broken {
		return
	}
	c.session.broken = true
	c.addBreak(cause, true)
}

func (c *Caller) addBreak(cause error, wholeFlow bool) {
	b := Break{At: time.Now(), Caller: c.cfg.Name, Server: c.session.server, Reason: cause.Error(), Flow: wholeFlow}
	c.cfg.Tally.update(func(r *Report) { r.Breaks = append(r.Breaks, b) })
	c.cfg.Logger.Info("flow broken", "caller", b.Caller, "server", b.Server, "reason", b.Reason, "whole flow", b.Flow)
}

// cut is the result of a response that ended early.
func (c *Caller) cut(err error) result {
	if c.session.ended() != nil {
		c.noteEnd(true)
		return result{outcome: Unknown, reason: "flow broken in a response"}
	}
	c.addBreak(err, false)
	return result{outcome: Unknown, reason: "response cut"}
}

// send sends a request and classifies the response without reading its body.
func (c *Caller) send(ctx context.Context, req *http.Request) (*http.Response, result) {
	res, err := c.session.roundTrip(req, backend.HeaderServer)
	if err != nil {
		return nil, c.unsent(ctx, err)
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

// unsent is the result of a request without a response.
func (c *Caller) unsent(ctx context.Context, err error) result {
	if isRejected(err) {
		// The flow is shutting down gracefully and takes no more requests.
		c.moveFlow()
		return result{outcome: NotRun, reason: "rejected after GOAWAY"}
	}
	if cause := c.session.ended(); cause != nil {
		broken := c.session.brokenBy(true) != nil
		c.noteEnd(true)
		if broken {
			return result{outcome: Unknown, reason: "flow broken before a response"}
		}
		return result{outcome: NotRun, reason: "flow closed after GOAWAY"}
	}
	if ctx.Err() != nil {
		return result{outcome: Unknown, reason: "no response in time"}
	}
	c.session.failed = true
	return result{outcome: Unknown, reason: "request failed: " + errors.Cause(err).Error()}
}

// exchange sends a request and reads its whole response.
func (c *Caller) exchange(ctx context.Context, req *http.Request) result {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Deadline+answerMargin)
	defer cancel()
	res, r := c.send(ctx, req.WithContext(ctx))
	if res == nil {
		return r
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBody))
	if err != nil {
		return c.cut(err)
	}
	r.body = body
	return r
}

// checkAnswer rejects an answer that is not about the wanted entry.
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
		return result{outcome: Unknown, final: true, reason: "answer to another request"}
	}
	return r
}
