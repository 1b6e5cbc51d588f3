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
	// maxBufferedBody is the number of bytes of a request body that are read before anything is sent, so that a caller
	// that aborts a smaller request leaves no partial request at the backend server.
	maxBufferedBody = 64 << 10
	// maxRecordedBody is the maximum size of a recorded response body in bytes.
	maxRecordedBody = 4 << 10
	// ticketService is the name of the net/rpc service that other agents call.
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

// requestKey identifies a running request.
type requestKey struct {
	ticket ticket.Ticket
	key    string
}

// tickets synchronises access to the ledger and queries the ledgers of other agents.
type tickets struct {
	codec ticket.Codec
	board *board.Board
	call  func(ctx context.Context, to netip.AddrPort, method string, args, reply any) error

	mu      sync.Mutex
	ledger  *ticket.Ledger
	running map[requestKey]chan struct{}
}

func newTickets(cfg Config) (*tickets, error) {
	key, err := wire.DeriveKey(cfg.SharedKey, wire.PurposeTicket, []byte(cfg.Service))
	if err != nil {
		return nil, err
	}
	t := &tickets{
		codec: ticket.NewCodec(key), board: cfg.Board, call: cfg.Control.Call, running: make(map[requestKey]chan struct{}),
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

// begin returns the status of a request at this agent. If the state is Run, the caller must call finish.
func (t *tickets) begin(tk ticket.Ticket, key string) ticket.RequestStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.ledger.Begin(time.Now(), tk, key)
	if st.State == ticket.Run {
		t.running[requestKey{ticket: tk, key: key}] = make(chan struct{})
	}
	return st
}

func (t *tickets) finish(tk ticket.Ticket, key string, state ticket.State, response []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Finish(time.Now(), tk, key, state, response)
	k := requestKey{ticket: tk, key: key}
	if ch, ok := t.running[k]; ok {
		delete(t.running, k)
		close(ch)
	}
}

// query returns the status of a request whose ticket this agent issued, and waits while the request runs.
func (t *tickets) query(ctx context.Context, tk ticket.Ticket, key string) ticket.RequestStatus {
	for {
		t.mu.Lock()
		st := t.ledger.Query(time.Now(), tk, key)
		ch := t.running[requestKey{ticket: tk, key: key}]
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

// AskArgs is a query to the agent that issued a ticket for the status of a request.
type AskArgs struct {
	Ticket string
	Key    string
	// WaitMS is how long the reply may wait for a running request, in milliseconds.
	WaitMS int64
}

// AskReply is the reply to AskArgs.
type AskReply struct {
	State    ticket.State
	Response []byte
}

// TicketService serves the queries of other agents over net/rpc.
type TicketService struct{ tickets *tickets }

// Ask returns the outcome of a request. It records a request that was never received as not run, so that it can no
// longer run.
func (s *TicketService) Ask(args AskArgs, reply *AskReply) error {
	tk, err := s.tickets.codec.Decode(args.Ticket)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(args.WaitMS)*time.Millisecond)
	defer cancel()
	st := s.tickets.query(ctx, tk, args.Key)
	reply.State, reply.Response = st.State, st.Response
	return nil
}

// queryIssuer queries the agent that issued a ticket; an error means that the outcome is unknown.
func (t *tickets) queryIssuer(ctx context.Context, tk ticket.Ticket, args AskArgs) (ticket.RequestStatus, error) {
	r, ok := t.board.Get(board.ID{Kind: board.KindAgent, Key: tk.Agent()})
	if !ok {
		return ticket.RequestStatus{}, errAgentUnreachable
	}
	if r.Version.Epoch > tk.Incarnation() {
		return ticket.RequestStatus{}, errAgentRestarted
	}
	a, ok := r.Value.(board.Agent)
	if !ok {
		return ticket.RequestStatus{}, errAgentUnreachable
	}
	var reply AskReply
	if err := t.call(ctx, a.ControlAddress, ticketService+".Ask", args, &reply); err != nil {
		return ticket.RequestStatus{}, errAgentUnreachable
	}
	if reply.State == ticket.IssuedElsewhere {
		return ticket.RequestStatus{}, errAgentRestarted
	}
	return ticket.RequestStatus{State: reply.State, Response: reply.Response}, nil
}

// serveTicketed handles a request that must run at most once.
func (q *requests) serveTicketed(x *exchange) {
	text, key := x.r.Header.Get(headerTicket), x.r.Header.Get(headerKey)
	if text == "" {
		q.refuseTicketed(x, http.StatusPreconditionRequired, errTicketNeeded)
		return
	}
	tk, err := q.tickets.codec.Decode(text)
	if err != nil {
		// The text may be a damaged copy of a ticket under which the request has run.
		q.respondUnknown(x.w, errTicketInvalid)
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
		st, err = q.awaitOutcome(x, tk, AskArgs{Ticket: text, Key: key}, st.State)
	default:
	}
	if err != nil {
		q.respondUnknown(x.w, err)
		return
	}
	q.replay(x, st)
}

// awaitOutcome waits for the outcome of a request that is running or whose ticket another agent issued.
func (q *requests) awaitOutcome(x *exchange, tk ticket.Ticket, args AskArgs, state ticket.State) (ticket.RequestStatus, error) {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	if state == ticket.Running {
		return q.tickets.query(ctx, tk, args.Key), nil
	}
	args.WaitMS = time.Until(x.deadline).Milliseconds()
	return q.tickets.queryIssuer(ctx, tk, args)
}

// bufferBody reads up to maxBufferedBody bytes; the rest of a larger body is read while it is sent.
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

// refuseTicketed responds to a request that has not run and cannot run later, with a new ticket for a retry.
func (q *requests) refuseTicketed(x *exchange, status int, reason error) {
	text, err := q.tickets.issue()
	if err == nil {
		x.w.Header().Set(headerTicket, text)
	}
	q.refuse(x.w, status, reason)
}

// replay responds with the status from the ledger.
func (q *requests) replay(x *exchange, st ticket.RequestStatus) {
	switch st.State {
	case ticket.NotRun:
		reason := errTicketClosed
		if st.LedgerFull {
			reason = errLedgerFull
		}
		q.refuseTicketed(x, http.StatusPreconditionRequired, reason)
	case ticket.Answered:
		var rec recordedResponse
		if err := cbor.Unmarshal(st.Response, &rec); err != nil {
			q.respondUnknown(x.w, errNotRecorded)
			return
		}
		writeHeader(x.w, rec.Status, rec.Header)
		_, _ = x.w.Write(rec.Body)
		q.metrics.answered(answeredRecorded)
	case ticket.Running:
		q.respondUnknown(x.w, errStillRunning)
	default:
		q.respondUnknown(x.w, errNotRecorded)
	}
}

// runTicketed runs a request that begin has recorded as running. It continues after the caller has disconnected, so
// that a retry gets the outcome; the deadline still ends it.
func (q *requests) runTicketed(x *exchange, tk ticket.Ticket, key string) {
	state, response := ticket.Unknown, []byte(nil)
	defer func() { q.tickets.finish(tk, key, state, response) }()
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.r.Context()))
	defer cancel()
	a := q.attempt(ctx, x)
	defer a.finish()
	switch {
	case a.err == nil:
		stop := time.AfterFunc(x.contract.Deadline(), cancel)
		defer stop.Stop()
		rec := &recorder{}
		// The response must be recorded before the end of the stream marks it as complete for the caller.
		defer func() {
			if a.conn.complete.Load() && rec.active() {
				state, response = rec.encode(a.resp)
			}
		}()
		q.forwardResponse(x, a, rec)
	case a.sent():
		q.respondUnknown(x.w, a.err)
	default:
		state = ticket.NotRun
		// The key must be closed before the caller gets the response, so that a delayed copy of the request cannot run.
		q.tickets.finish(tk, key, state, nil)
		q.refuseTicketed(x, http.StatusServiceUnavailable, a.err)
	}
}

// recordedResponse is the encoding of a response in the ledger.
type recordedResponse struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// recorder keeps a copy of a response body, and drops it if the body exceeds maxRecordedBody; nil records nothing.
type recorder struct {
	body       []byte
	overflowed bool
}

func (r *recorder) add(p []byte) {
	if r == nil || r.overflowed {
		return
	}
	if len(r.body)+len(p) > maxRecordedBody {
		r.body, r.overflowed = nil, true
		return
	}
	r.body = append(r.body, p...)
}

func (r *recorder) active() bool { return r != nil && !r.overflowed }

// encode returns the state and the encoded response for the ledger.
func (r *recorder) encode(resp *http.Response) (ticket.State, []byte) {
	b, err := cbor.Marshal(recordedResponse{Status: resp.StatusCode, Header: resp.Header, Body: r.body})
	if err != nil {
		return ticket.Unknown, nil
	}
	return ticket.Answered, b
}
