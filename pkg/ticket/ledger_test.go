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

// The model has few agents and requests, so that the steps of a run often affect the same request.
const (
	retention    = 10 * time.Second
	agents       = 2
	ledgerMemory = 1600
	maxRequests  = 4
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// request is one (ticket, key) with its runs at the backend server and whether its caller received NotRun.
type request struct {
	ticket         ticket.Ticket
	key            string
	runs           int
	reportedNotRun bool
	response       string
}

// attempt is one transmission of a request.
type attempt struct {
	r           *request
	agent       int // the agent that received it
	incarnation uint64
	running     bool
	querying    bool
}

// cluster is a set of agents with requests in flight. Any step may happen late, twice or never.
type cluster struct {
	now          time.Time
	ledgers      []*ticket.Ledger
	incarnations []uint64
	requests     []*request
	attempts     []*attempt
}

func (c *cluster) restart(i int) {
	c.incarnations[i]++
	c.ledgers[i] = ticket.NewLedger(c.now, ticket.Config{
		Agent: strconv.Itoa(i), Incarnation: c.incarnations[i], Retention: retention, MaxMemory: ledgerMemory,
	})
}

// issuer returns the index of the agent that issued the ticket of a request.
func (c *cluster) issuer(r *request) int {
	var i int
	_, _ = fmt.Sscan(r.ticket.Agent(), &i)
	return i
}

func (c *cluster) drop(a *attempt) {
	for i := range c.attempts {
		if c.attempts[i] == a {
			c.attempts = append(c.attempts[:i], c.attempts[i+1:]...)
			return
		}
	}
}

// receiveStatus ends an attempt and passes its status to the caller, unless the answer is lost.
func (c *cluster) receiveStatus(t *rapid.T, a *attempt, st ticket.RequestStatus) {
	c.drop(a)
	if rapid.Bool().Draw(t, "answer lost") {
		return
	}
	if st.State == ticket.NotRun {
		a.r.reportedNotRun = true
	}
	if st.State == ticket.Answered {
		assert.Equal(t, string(st.Response), a.r.response)
		assert.Equal(t, a.r.runs, 1)
	}
}

// step advances an attempt by one step.
func (c *cluster) step(t *rapid.T, a *attempt) {
	issuer := c.issuer(a.r)
	switch {
	case a.running && c.incarnations[a.agent] != a.incarnation:
		c.drop(a) // the process that ran it has restarted
	case a.running:
		c.finish(t, a)
	case a.querying:
		st := c.ledgers[issuer].Query(c.now, a.r.ticket, a.r.key)
		if st.State == ticket.Running {
			return // the agent queries again in a later step
		}
		c.receiveStatus(t, a, st)
	case a.agent != issuer:
		a.querying = true
	default:
		st := c.ledgers[issuer].Begin(c.now, a.r.ticket, a.r.key)
		switch st.State {
		case ticket.Run:
			a.running, a.incarnation = true, c.incarnations[issuer]
		case ticket.Running:
		default:
			c.receiveStatus(t, a, st)
		}
	}
}

// finish runs the request at the backend server with a drawn outcome, or fails to send it.
func (c *cluster) finish(t *rapid.T, a *attempt) {
	l := c.ledgers[a.agent]
	switch rapid.SampledFrom([]string{"answered", "connection lost", "not sent"}).Draw(t, "outcome") {
	case "answered":
		a.r.runs++
		a.r.response = rapid.StringN(0, 50, 700).Draw(t, "response")
		l.Finish(c.now, a.r.ticket, a.r.key, ticket.Answered, []byte(a.r.response))
	case "connection lost":
		a.r.runs++
		l.Finish(c.now, a.r.ticket, a.r.key, ticket.Unknown, nil)
	case "not sent":
		l.Finish(c.now, a.r.ticket, a.r.key, ticket.NotRun, nil)
	}
	c.receiveStatus(t, a, l.Begin(c.now, a.r.ticket, a.r.key))
}

// Guards against a request that runs twice, and against one reported as not run that has run or runs later, in any
// interleaving of first attempts, retries at other agents, pauses, restarts, changes of the retention and lost answers.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{now: start, ledgers: make([]*ticket.Ledger, agents), incarnations: make([]uint64, agents)}
		for i := range c.ledgers {
			c.restart(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"new request": func(t *rapid.T) {
				if len(c.requests) == maxRequests {
					return
				}
				i := rapid.IntRange(0, agents-1).Draw(t, "issuer")
				r := &request{ticket: c.ledgers[i].Issue(c.now), key: strconv.Itoa(len(c.requests))}
				if n := len(c.requests); n > 0 && rapid.Bool().Draw(t, "same session") {
					r.ticket = c.requests[n-1].ticket
				}
				c.requests = append(c.requests, r)
				c.attempts = append(c.attempts, &attempt{r: r, agent: c.issuer(r)})
			},
			"retry": func(t *rapid.T) {
				if len(c.requests) == 0 {
					return
				}
				r := rapid.SampledFrom(c.requests).Draw(t, "request")
				at := rapid.IntRange(0, agents-1).Draw(t, "agent")
				c.attempts = append(c.attempts, &attempt{r: r, agent: at})
			},
			"step": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "steps") {
					if len(c.attempts) > 0 {
						c.step(t, rapid.SampledFrom(c.attempts).Draw(t, "attempt"))
					}
				}
			},
			"time": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(-2000, 12000).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
					c.restart(rapid.IntRange(0, agents-1).Draw(t, "agent"))
				}
			},
			"retention": func(t *rapid.T) {
				d := rapid.SampledFrom([]time.Duration{time.Second, retention, time.Minute}).Draw(t, "retention")
				c.ledgers[rapid.IntRange(0, agents-1).Draw(t, "agent")].SetRetention(d)
			},
			"": func(t *rapid.T) {
				for _, r := range c.requests {
					assert.Assert(t, r.runs <= 1, "request ran twice")
					assert.Assert(t, !r.reportedNotRun || r.runs == 0, "request was reported as not run, but it ran")
				}
				for _, l := range c.ledgers {
					assert.Assert(t, l.Memory() <= ledgerMemory)
				}
			},
		})
	})
}

// Guards against accepting a ticket that was changed or encoded with another key.
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

// Guards against records that are dropped while their ticket is valid, and against records that are never dropped.
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

// Guards against a request that runs after it was refused, once the reason for the refusal no longer applies: the
// retention was raised, or memory was freed.
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

// Guards against recording a response over the size limit.
func TestLargeResponseIsNotRecorded(t *testing.T) {
	l := ticket.NewLedger(start, ticket.Config{Agent: "a", Retention: retention})
	tk := l.Issue(start)
	assert.Equal(t, l.Begin(start, tk, "k").State, ticket.Run)
	l.Finish(start, tk, "k", ticket.Answered, make([]byte, ticket.MaxResponseBytes+1))
	assert.Equal(t, l.Begin(start, tk, "k").State, ticket.Unknown)
}
