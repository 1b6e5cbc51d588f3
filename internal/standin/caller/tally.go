package caller

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Outcome is the result of a request, as far as it is known to its caller.
type Outcome uint8

// Outcomes of a request.
const (
	Answered Outcome = iota + 1
	// NotRun means that the request was refused and did not run.
	NotRun
	// Unknown means that the request may or may not have run.
	Unknown
)

// String returns the value of the outcome in the response header.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	}
	return "none"
}

// Break describes a flow or a response that ended early.
type Break struct {
	At     time.Time `json:"at"`
	Caller string    `json:"caller"`
	// Server is the backend server that answered last on the flow; empty when none has.
	Server string `json:"server"`
	Reason string `json:"reason"`
	// Flow is true if the whole connection ended, and false if only one response did.
	Flow bool `json:"flow"`
}

// Sample describes one request that has ended.
type Sample struct {
	// At is the time at which the request began.
	At       time.Time
	Latency  time.Duration
	Outcome  Outcome
	Download bool
	// Server is the backend server that answered last on the flow; empty when none has.
	Server string
}

// Counts holds the counters of all callers of a service; a request with retries counts once, with its last outcome.
type Counts struct {
	Requests        int `json:"requests"`
	Answered        int `json:"answered"`
	NotRun          int `json:"refused_not_run"`
	Unknown         int `json:"unknown_outcome"`
	Retries         int `json:"retries"`
	Tickets         int `json:"tickets"`
	Downloads       int `json:"downloads"`
	DownloadedBytes int `json:"downloaded_bytes"`
	// Corrupt counts answers that are malformed or have another id, and downloads with wrong or missing bytes.
	Corrupt     int `json:"corrupt"`
	FlowsOpened int `json:"flows_opened"`
	// FlowsMoved counts flows that were discarded because they had ended or accepted no more requests.
	FlowsMoved   int `json:"flows_moved"`
	DialFailures int `json:"dial_failures"`
}

// Report is a copy of the contents of a tally.
type Report struct {
	Counts
	Breaks []Break `json:"breaks"`
	// Reasons is the number of attempts without an answer, by reason.
	Reasons map[string]int `json:"reasons"`
	// Writes is the last outcome of each write, by order id.
	Writes  map[string]Outcome `json:"-"`
	Samples []Sample           `json:"-"`
}

// Tally collects the counts of all callers of one service; the zero value is empty and ready to use.
type Tally struct {
	mu sync.Mutex
	r  Report
}

// Report returns a copy of the contents.
func (t *Tally) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.r
	r.Breaks = slices.Clone(r.Breaks)
	r.Reasons = maps.Clone(r.Reasons)
	r.Writes = maps.Clone(r.Writes)
	r.Samples = slices.Clone(r.Samples)
	return r
}

func (t *Tally) update(f func(r *Report)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.r)
}

func (t *Tally) addSample(s Sample) {
	t.update(func(r *Report) {
		r.Samples = append(r.Samples, s)
		switch s.Outcome {
		case Answered:
			r.Answered++
		case NotRun:
			r.NotRun++
		case Unknown:
			r.Unknown++
		}
	})
}

func (t *Tally) countReason(name string) {
	t.update(func(r *Report) {
		if r.Reasons == nil {
			r.Reasons = make(map[string]int)
		}
		r.Reasons[name]++
	})
}

func (t *Tally) setWriteOutcome(id string, o Outcome) {
	t.update(func(r *Report) {
		if r.Writes == nil {
			r.Writes = make(map[string]Outcome)
		}
		r.Writes[id] = o
	})
}
