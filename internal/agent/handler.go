package agent

import (
	"io"
	"net/http"
	"slices"
)

const headerOutcome = "Bramleymast-Outcome"

// outcome is what a response says about its request.
type outcome string

// Outcomes of a request.
const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not_run"
	outcomeUnknown  outcome = "unknown"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// serve passes a request to the backend server and the response to the caller.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	out := a.backendRequest(r)
	at := &attempt{}
	resp, err := a.backend.roundTrip(out, at)
	if err != nil {
		a.fail(w, at)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.answer(w, resp)
}

func (a *Agent) backendRequest(r *http.Request) *http.Request {
	out := r.Clone(r.Context())
	out.URL.Scheme = a.backend.target.Scheme
	out.URL.Host = a.backend.target.Host
	out.RequestURI = ""
	out.Proto, out.ProtoMajor, out.ProtoMinor = "HTTP/1.1", 1, 1
	for _, h := range hopHeaders {
		out.Header.Del(h)
	}
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	return out
}

func (a *Agent) fail(w http.ResponseWriter, at *attempt) {
	o, status := outcomeNotRun, http.StatusServiceUnavailable
	if at.sent.Load() {
		o, status = outcomeUnknown, http.StatusBadGateway
	}
	a.metrics.outcome.WithLabelValues(string(o), "backend_error").Inc()
	w.Header().Set(headerOutcome, string(o))
	w.WriteHeader(status)
}

func (a *Agent) answer(w http.ResponseWriter, resp *http.Response) {
	for name, values := range resp.Header {
		if !slices.Contains(hopHeaders, name) {
			w.Header()[name] = values
		}
	}
	w.Header().Set(headerOutcome, string(outcomeAnswered))
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(flushWriter{w: w, f: http.NewResponseController(w)}, resp.Body); err != nil {
		a.metrics.outcome.WithLabelValues(string(outcomeUnknown), "truncated").Inc()
		panic(http.ErrAbortHandler)
	}
	a.metrics.outcome.WithLabelValues(string(outcomeAnswered), "complete").Inc()
}

// flushWriter sends each part of a response at once, because a backend server may stream.
type flushWriter struct {
	w io.Writer
	f *http.ResponseController
}

// Write writes and flushes.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.f.Flush()
}
