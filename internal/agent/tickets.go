package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/ticket"
)

const (
	// maxBufferedBody is the size in bytes up to which the body of a request is read before anything is sent, so
	// that a caller that breaks off leaves nothing behind.
	maxBufferedBody = 64 << 10
	// maxRecordedBody is the largest recorded body of a response in bytes.
	maxRecordedBody = 4 << 10
	// ticketService is the name of the net/rpc service that other agents ask.
	ticketService = "Tickets"
)

// needsTicket reports whether a method changes state at the backend server.
func needsTicket(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		return true
	}
	return false
}

// runKey names a running request.
type runKey struct {
	ticket ticket.Ticket
	key    string
}

// tickets shares the ledger between the goroutines of requests and asks other agents for theirs.
type tickets struct {
	codec ticket.Codec
	board *board.Board
	call  func(ctx context.Context, to netip.AddrPort, method string, args, reply any) error

	mu      sync.Mutex
	ledger  *ticket.Ledger
	running map[runKey]chan struct{}
}

func newTickets(cfg Config) (*tickets, error) {
	key, err := wire.DeriveKey(cfg.SharedKey, wire.PurposeTicket, []byte(cfg.Service))
	if err != nil {
		return nil, err
	}
	t := &tickets{
		codec: ticket.NewCodec(key), board: cfg.Board, call: cfg.Control.Call, running: make(map[runKey]chan struct{}),
		ledger: ticket.NewLedger(time.Now(), ticket.Config{Agent: cfg.ID, Incarnation: cfg.Incarnation}),
	}
	return t, errors.Trace(cfg.Control.Register(ticketService, &TicketService{tickets: t}))
}

func (t *tickets) setRetention(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.SetRetention(d)
}

// issue returns a new ticket as text.
func (t *tickets) issue() (string, error) {
	t.mu.Lock()
	tk := t.ledger.Issue(time.Now())
	t.mu.Unlock()
	return t.codec.Encode(tk)
}

// begin returns the standing of a request at this agent; Run obliges the caller to call finish.
func (t *tickets) begin(tk ticket.Ticket, key string) ticket.RequestStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.ledger.Begin(time.Now(), tk, key)
	if st.State == ticket.Run {
		t.running[runKey{ticket: tk, key: key}] = make(chan struct{})
	}
	return st
}

func (t *tickets) finish(tk ticket.Ticket, key string, state ticket.State, response []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Finish(time.Now(), tk, key, state, response)
	k := runKey{ticket: tk, key: key}
	if ch, ok := t.running[k]; ok {
		delete(t.running, k)
		close(ch)
	}
}

// ask returns the standing of a request that this agent issued the ticket for, and waits while it runs.
func (t *tickets) ask(ctx context.Context, tk ticket.Ticket, key string) ticket.RequestStatus {
	for {
		t.mu.Lock()
		st := t.ledger.Query(time.Now(), tk, key)
		ch := t.running[runKey{ticket: tk, key: key}]
		t.mu.Unlock()
		if st.State != ticket.Running || ch == nil {
			return st
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return st
		}
	}
}

// AskArgs is the question of one agent to the agent that issued a ticket.
type AskArgs struct {
	Ticket string
	Key    string
	// WaitMS is how long the answer may wait for a running request, in milliseconds.
	WaitMS int64
}

// AskReply is the answer to AskArgs.
type AskReply struct {
	State    ticket.State
	Response []byte
}

// TicketService answers other agents over net/rpc.
type TicketService struct{ tickets *tickets }

// Ask states the outcome of a request; one that was never seen can no longer run.
func (s *TicketService) Ask(args AskArgs, reply *AskReply) error {
	tk, err := s.tickets.codec.Decode(args.Ticket)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(args.WaitMS)*time.Millisecond)
	defer cancel()
	st := s.tickets.ask(ctx, tk, args.Key)
	reply.State, reply.Response = st.State, st.Response
	return nil
}

// askIssuer asks the agent that issued a ticket; an error means that the outcome is unknown.
func (t *tickets) askIssuer(ctx context.Context, tk ticket.Ticket, args AskArgs) (ticket.RequestStatus, error) {
	r, ok := t.board.Get(board.ID{Kind: board.KindAgent, Key: tk.Agent()})
	if !ok {
		return ticket.RequestStatus{}, errUnreachable
	}
	if r.Version.Epoch > tk.Incarnation() {
		return ticket.RequestStatus{}, errRestarted
	}
	a, ok := r.Value.(board.Agent)
	if !ok {
		return ticket.RequestStatus{}, errUnreachable
	}
	var reply AskReply
	if err := t.call(ctx, a.ControlAddress, ticketService+".Ask", args, &reply); err != nil {
		return ticket.RequestStatus{}, errUnreachable
	}
	if reply.State == ticket.IssuedElsewhere {
		return ticket.RequestStatus{}, errRestarted
	}
	return ticket.RequestStatus{State: reply.State, Response: reply.Response}, nil
}

// serveTicketed answers a request that may run at most once.
func (q *requests) serveTicketed(x *exchange) {
	text, key := x.r.Header.Get(headerTicket), x.r.Header.Get(headerKey)
	if text == "" {
		q.refuseTicketed(x, http.StatusPreconditionRequired, errTicketNeeded)
		return
	}
	tk, err := q.tickets.codec.Decode(text)
	if err != nil {
		// The request may have run under a ticket of which this text is a damaged copy.
		q.doubt(x.w, errTicketInvalid)
		return
	}
	if key == "" || len(key) > ticket.MaxKeyBytes {
		q.refuseTicketed(x, http.StatusPreconditionRequired, errKeyNeeded)
		return
	}
	if x.body, err = bufferBody(x.r.Body); err != nil {
		q.metrics.request(outcomeNotRun, errCallerGone)
		panic(http.ErrAbortHandler)
	}
	st := q.tickets.begin(tk, key)
	switch st.State {
	case ticket.Run:
		q.runTicketed(x, tk, key)
		return
	case ticket.IssuedElsewhere, ticket.Running:
		st, err = q.await(x, tk, AskArgs{Ticket: text, Key: key}, st.State)
	default:
	}
	if err != nil {
		q.doubt(x.w, err)
		return
	}
	q.replay(x, st)
}

// await waits for the outcome of a request that runs or that belongs to another agent.
func (q *requests) await(x *exchange, tk ticket.Ticket, args AskArgs, state ticket.State) (ticket.RequestStatus, error) {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	if state == ticket.Running {
		return q.tickets.ask(ctx, tk, args.Key), nil
	}
	args.WaitMS = time.Until(x.deadline).Milliseconds()
	return q.tickets.askIssuer(ctx, tk, args)
}

// bufferBody reads a small body whole; the rest of a large one is read while it is sent.
func bufferBody(body io.Reader) (io.Reader, error) {
	b, err := io.ReadAll(io.LimitReader(body, maxBufferedBody))
	if err != nil {
		return nil, err
	}
	if len(b) < maxBufferedBody {
		return bytes.NewReader(b), nil
	}
	return io.MultiReader(bytes.NewReader(b), body), nil
}

// refuseTicketed answers a request that has not run and never will, with a new ticket for a further attempt.
func (q *requests) refuseTicketed(x *exchange, status int, reason error) {
	text, err := q.tickets.issue()
	if err == nil {
		x.w.Header().Set(headerTicket, text)
	}
	q.refuse(x.w, status, reason)
}

// replay answers with what the ledger says.
func (q *requests) replay(x *exchange, st ticket.RequestStatus) {
	switch st.State {
	case ticket.NotRun:
		reason := errTicketClosed
		if st.LedgerFull {
			reason = errLedgerFull
		}
		q.refuseTicketed(x, http.StatusPreconditionRequired, reason)
	case ticket.Answered:
		var rec recorded
		if err := cbor.Unmarshal(st.Response, &rec); err != nil {
			q.doubt(x.w, errNotRecorded)
			return
		}
		writeHead(x.w, rec.Status, rec.Header)
		_, _ = x.w.Write(rec.Body)
		q.metrics.answered(answeredRecorded)
	case ticket.Running:
		q.doubt(x.w, errStillRunning)
	default:
		q.doubt(x.w, errNotRecorded)
	}
}

// runTicketed runs a request that Begin has recorded as running. It goes on when the caller is gone, because a
// caller that repeats the request then gets its outcome; the deadline still ends it.
func (q *requests) runTicketed(x *exchange, tk ticket.Ticket, key string) {
	state, response := ticket.Unknown, []byte(nil)
	defer func() { q.tickets.finish(tk, key, state, response) }()
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.r.Context()))
	defer cancel()
	t := q.try(ctx, x)
	defer t.end()
	switch {
	case t.err == nil:
		stop := time.AfterFunc(x.contract.Deadline(), cancel)
		defer stop.Stop()
		rec := &recorder{}
		// The response is recorded before the end of the stream tells the caller that it is whole.
		defer func() {
			if t.attempt.complete.Load() && rec.recording() {
				state, response = rec.encode(t.resp)
			}
		}()
		q.answer(x, t, rec)
	case t.sent():
		q.doubt(x.w, t.err)
	default:
		state = ticket.NotRun
		// The key is closed before the caller is told, so that a late copy of the request cannot run.
		q.tickets.finish(tk, key, state, nil)
		q.refuseTicketed(x, http.StatusServiceUnavailable, t.err)
	}
}

// recorded is the form of a response in the ledger.
type recorded struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// recorder keeps a response until it exceeds the limit; nil records nothing.
type recorder struct {
	body []byte
	over bool
}

func (r *recorder) add(p []byte) {
	if r == nil || r.over {
		return
	}
	if len(r.body)+len(p) > maxRecordedBody {
		r.body, r.over = nil, true
		return
	}
	r.body = append(r.body, p...)
}

func (r *recorder) recording() bool { return r != nil && !r.over }

// encode returns the outcome for the ledger.
func (r *recorder) encode(resp *http.Response) (ticket.State, []byte) {
	b, err := cbor.Marshal(recorded{Status: resp.StatusCode, Header: resp.Header, Body: r.body})
	if err != nil {
		return ticket.Unknown, nil
	}
	return ticket.Answered, b
}
