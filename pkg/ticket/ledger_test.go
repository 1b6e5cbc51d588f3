package ticket_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/bramleymast/bramleymast/internal/fixedseed"

	"github.com/bramleymast/bramleymast/pkg/ticket"
)

// The model is small, so that the steps of a run often concern one request.
const (
	retention    = 10 * time.Second
	agents       = 2
	ledgerMemory = 1600
	maxRequests  = 4
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// request is one (ticket, key) and what has happened to it.
type request struct {
	ticket   ticket.Ticket
	key      string
	runs     int
	saidNot  bool
	response string
}

// attempt is one copy of a request on its way.
type attempt struct {
	r           *request
	at          int // agent that received it, or -1 while it is in the network
	incarnation uint64
	running     bool
	asking      bool
}

// system is a set of agents with requests in flight; every step may come late, twice or never.
type system struct {
	now      time.Time
	ledgers  []*ticket.Ledger
	epochs   []uint64
	requests []*request
	attempts []*attempt
}

func (s *system) restart(i int) {
	s.epochs[i]++
	s.ledgers[i] = ticket.NewLedger(s.now, ticket.Config{
		Agent: strconv.Itoa(i), Incarnation: s.epochs[i], Retention: retention, MaxMemory: ledgerMemory,
	})
}

// named returns the agent that issued the ticket of a request.
func (s *system) named(r *request) int {
	var i int
	_, _ = fmt.Sscan(r.ticket.Agent(), &i)
	return i
}

func (s *system) drop(a *attempt) {
	for i := range s.attempts {
		if s.attempts[i] == a {
			s.attempts = append(s.attempts[:i], s.attempts[i+1:]...)
			return
		}
	}
}

// told notes what the caller learns from an attempt; the answer may be lost.
func (s *system) told(t *rapid.T, a *attempt, st ticket.RequestStatus) {
	s.drop(a)
	if rapid.Bool().Draw(t, "answer lost") {
		return
	}
	if st.State == ticket.NotRun {
		a.r.saidNot = true
	}
	if st.State == ticket.Answered {
		assert.Equal(t, string(st.Response), a.r.response)
		assert.Equal(t, a.r.runs, 1)
	}
}

// step carries one attempt one step further.
func (s *system) step(t *rapid.T, a *attempt) {
	named := s.named(a.r)
	switch {
	case a.running && s.epochs[a.at] != a.incarnation:
		s.drop(a) // the process that ran it is gone
	case a.running:
		s.finish(t, a)
	case a.asking:
		st := s.ledgers[named].Query(s.now, a.r.ticket, a.r.key)
		if st.State == ticket.Running {
			return // asks again, as a waiting agent does
		}
		s.told(t, a, st)
	case a.at != named:
		a.asking = true
	default:
		st := s.ledgers[named].Begin(s.now, a.r.ticket, a.r.key)
		switch st.State {
		case ticket.Run:
			a.running, a.incarnation = true, s.epochs[named]
		case ticket.Running:
		default:
			s.told(t, a, st)
		}
	}
}

// finish runs the request at the backend server, or finds that it cannot be sent.
func (s *system) finish(t *rapid.T, a *attempt) {
	l := s.ledgers[a.at]
	switch rapid.SampledFrom([]string{"answered", "cut", "not sent"}).Draw(t, "end") {
	case "answered":
		a.r.runs++
		a.r.response = rapid.StringN(0, 50, 700).Draw(t, "response")
		l.Finish(s.now, a.r.ticket, a.r.key, ticket.Answered, []byte(a.r.response))
	case "cut":
		a.r.runs++
		l.Finish(s.now, a.r.ticket, a.r.key, ticket.Unknown, nil)
	case "not sent":
		l.Finish(s.now, a.r.ticket, a.r.key, ticket.NotRun, nil)
	}
	s.told(t, a, l.Begin(s.now, a.r.ticket, a.r.key))
}

// Guards against a request that runs twice, and against "not run" said of one that ran or runs later, in any
// interleaving of first attempts, retries at other agents, pauses, restarts, changed retention and lost answers.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &system{now: start, ledgers: make([]*ticket.Ledger, agents), epochs: make([]uint64, agents)}
		for i := range s.ledgers {
			s.restart(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"new request": func(t *rapid.T) {
				if len(s.requests) == maxRequests {
					return
				}
				i := rapid.IntRange(0, agents-1).Draw(t, "issuer")
				r := &request{ticket: s.ledgers[i].Issue(s.now), key: strconv.Itoa(len(s.requests))}
				if n := len(s.requests); n > 0 && rapid.Bool().Draw(t, "same session") {
					r.ticket = s.requests[n-1].ticket
				}
				s.requests = append(s.requests, r)
				s.attempts = append(s.attempts, &attempt{r: r, at: s.named(r)})
			},
			"retry": func(t *rapid.T) {
				if len(s.requests) == 0 {
					return
				}
				r := rapid.SampledFrom(s.requests).Draw(t, "request")
				at := rapid.IntRange(0, agents-1).Draw(t, "agent")
				s.attempts = append(s.attempts, &attempt{r: r, at: at})
			},
			"step": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "steps") {
					if len(s.attempts) > 0 {
						s.step(t, rapid.SampledFrom(s.attempts).Draw(t, "attempt"))
					}
				}
			},
			"time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(-2000, 12000).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
					s.restart(rapid.IntRange(0, agents-1).Draw(t, "agent"))
				}
			},
			"retention": func(t *rapid.T) {
				d := rapid.SampledFrom([]time.Duration{time.Second, retention, time.Minute}).Draw(t, "retention")
				s.ledgers[rapid.IntRange(0, agents-1).Draw(t, "agent")].SetRetention(d)
			},
			"": func(t *rapid.T) {
				for _, r := range s.requests {
					assert.Assert(t, r.runs <= 1, "ran twice")
					assert.Assert(t, !r.saidNot || r.runs == 0, "said not run, but it ran")
				}
				for _, l := range s.ledgers {
					assert.Assert(t, l.Memory() <= ledgerMemory)
				}
			},
		})
	})
}

// Guards against a ticket that a caller changed, and against one made with another key.
func TestTicketIsAuthentic(t *testing.T) {
	c := ticket.NewCodec([]byte("secret"))
	l := ticket.NewLedger(start, ticket.Config{Agent: "a", Incarnation: 7, Retention: retention})
	text, err := c.Encode(l.Issue(start))
	assert.NilError(t, err)
	got, err := c.Decode(text)
	assert.NilError(t, err)
	assert.Equal(t, got.Agent(), "a")
	assert.Equal(t, got.Incarnation(), uint64(7))
	for i := range text {
		b := []byte(text)
		b[i] ^= 4
		_, err := c.Decode(string(b))
		assert.ErrorIs(t, err, ticket.ErrInvalid)
	}
	_, err = ticket.NewCodec([]byte("other")).Decode(text)
	assert.ErrorIs(t, err, ticket.ErrInvalid)
}

// Guards against records that are forgotten while their ticket is valid, and against a ledger that keeps all for ever.
func TestRetention(t *testing.T) {
	l := ticket.NewLedger(start, ticket.Config{Agent: "a", Retention: retention})
	tk := l.Issue(start)
	assert.Equal(t, l.Begin(start, tk, "k").State, ticket.Run)
	l.Finish(start, tk, "k", ticket.Answered, []byte("done"))
	at := start.Add(2 * retention)
	assert.Equal(t, l.Begin(at, tk, "k").State, ticket.Answered)
	assert.Equal(t, l.Begin(at, tk, "new").State, ticket.NotRun)
	at = at.Add(retention)
	assert.Equal(t, l.Begin(at, tk, "k").State, ticket.Unknown)
	assert.Equal(t, l.Records(), 0)
	assert.Equal(t, l.Memory(), 0)
}

// Guards against a request that runs after it was refused, when the reason of the refusal has gone.
func TestRefusalIsFinal(t *testing.T) {
	l := ticket.NewLedger(start, ticket.Config{Agent: "a", Retention: retention})
	old := l.Issue(start)
	at := start.Add(retention + time.Second)
	assert.Equal(t, l.Query(at, old, "late").State, ticket.NotRun)
	l.SetRetention(time.Hour)
	assert.Equal(t, l.Begin(at, old, "late").State, ticket.NotRun)

	l = ticket.NewLedger(start, ticket.Config{Agent: "a", Retention: retention, MaxMemory: 600})
	first := l.Issue(start)
	assert.Equal(t, l.Begin(start, first, "k").State, ticket.Run)
	at = start.Add(2 * retention)
	second := l.Issue(at)
	refused := l.Begin(at, second, "k")
	assert.Equal(t, refused.State, ticket.NotRun)
	assert.Assert(t, refused.LedgerFull)
	at = at.Add(retention / 2)
	assert.Equal(t, l.Begin(at, second, "k").State, ticket.NotRun)
	assert.Equal(t, l.Begin(at, l.Issue(at), "k").State, ticket.Run, "a fresh ticket after the memory was freed")
}

// Guards against a recorded response over the limit.
func TestLargeResponseIsNotRecorded(t *testing.T) {
	l := ticket.NewLedger(start, ticket.Config{Agent: "a", Retention: retention})
	tk := l.Issue(start)
	assert.Equal(t, l.Begin(start, tk, "k").State, ticket.Run)
	l.Finish(start, tk, "k", ticket.Answered, make([]byte, ticket.MaxResponseBytes+1))
	assert.Equal(t, l.Begin(start, tk, "k").State, ticket.Unknown)
}
