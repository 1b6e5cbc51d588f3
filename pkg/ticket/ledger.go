package ticket

import "time"

// State is what the ledger knows of a request.
type State uint8

// States of a request.
const (
	// IssuedElsewhere means that another agent or incarnation issued the ticket, so this ledger knows nothing of it.
	IssuedElsewhere State = iota
	// Run means that the caller of Begin must run the request now and call Finish.
	Run
	// Running means that the request has begun and its outcome is not known yet.
	Running
	// Answered means that the request ran and its response is recorded.
	Answered
	// NotRun means that the request has not run and never will.
	NotRun
	// Unknown means that the request may have run, and its response is not recorded.
	Unknown
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"foreign", "run", "running", "answered", "not_run", "unknown"}[s]
}

// RequestStatus is what the ledger says of a request.
type RequestStatus struct {
	State State
	// Response is the recorded response in the form that was given to Finish; it is set for Answered only.
	Response []byte
	// LedgerFull is true for a request that was refused because the ledger has no room for it.
	LedgerFull bool
}

const (
	// MaxKeyBytes is the largest idempotency key in bytes.
	MaxKeyBytes = 255
	// MaxResponseBytes is the largest recorded response in bytes: a body of 4 KiB with its headers.
	MaxResponseBytes = 8 << 10
	// recordCost is the memory of a record without its response in bytes: key, map entries and state.
	recordCost = 512
	// DefaultMaxMemory bounds a ledger that is made without a bound, in bytes.
	DefaultMaxMemory = 64 << 20
	// sweepShare is the part of the retention after which forgotten records are looked for again.
	sweepShare = 8
)

// Config describes a ledger.
type Config struct {
	Agent       string
	Incarnation uint64
	// Retention is how long a ticket may start requests; their records are kept for twice as long,
	// so that a request that is repeated late still gets its outcome.
	Retention time.Duration
	// MaxMemory bounds the records in bytes; 0 means DefaultMemory.
	MaxMemory int
}

type record struct {
	state    State
	response []byte
}

// session holds the records of one ticket.
type session struct {
	issued  time.Duration
	records map[string]*record
}

// Ledger records the requests that one agent incarnation runs. It is not safe for concurrent use.
type Ledger struct {
	cfg      Config
	start    time.Time
	clock    time.Duration
	seq      uint64
	sessions map[uint64]*session
	memory   int
	swept    time.Duration
	// closed is the highest ticket that can start no request any more.
	closed uint64
	// forgotten is the highest ticket of which records were dropped.
	forgotten uint64
}

// NewLedger returns the empty ledger of an incarnation that starts now. Times must carry Go's monotonic clock
// or otherwise never go back by more than the time a caller waits.
func NewLedger(now time.Time, cfg Config) *Ledger {
	if cfg.MaxMemory == 0 {
		cfg.MaxMemory = DefaultMaxMemory
	}
	return &Ledger{cfg: cfg, start: now, sessions: make(map[uint64]*session)}
}

// SetRetention changes how long tickets may start requests. A ticket that was refused stays refused.
func (l *Ledger) SetRetention(d time.Duration) { l.cfg.Retention = d }

// advance moves the ledger's clock, which never goes back although threads bring their times out of order:
// closed and forgotten rely on tickets being numbered in the order of their ages.
func (l *Ledger) advance(now time.Time) {
	l.clock = max(l.clock, now.Sub(l.start))
	if l.clock-l.swept >= l.cfg.Retention/sweepShare {
		l.swept = l.clock
		l.sweep()
	}
}

// sweep drops the records of tickets that are older than twice the retention.
func (l *Ledger) sweep() {
	for seq, s := range l.sessions {
		if l.clock-s.issued <= 2*l.cfg.Retention {
			continue
		}
		l.forgotten = max(l.forgotten, seq)
		for _, r := range s.records {
			l.memory -= recordCost + len(r.response)
		}
		delete(l.sessions, seq)
	}
}

// Issue returns a new ticket of this incarnation.
func (l *Ledger) Issue(now time.Time) Ticket {
	l.advance(now)
	l.seq++
	return Ticket{agent: l.cfg.Agent, incarnation: l.cfg.Incarnation, seq: l.seq, issued: l.clock}
}

// Begin states what to do with a request that has arrived at this agent. After Run, the request is recorded
// as running and Finish must follow.
func (l *Ledger) Begin(now time.Time, t Ticket, key string) RequestStatus {
	return l.look(now, t, key, Running)
}

// Query states the outcome of a request that has arrived at another agent. A request that has not been seen
// here is recorded as not run, so that a late first attempt cannot run it after the caller was told so.
func (l *Ledger) Query(now time.Time, t Ticket, key string) RequestStatus {
	return l.look(now, t, key, NotRun)
}

// look returns the standing of a request and records it in the given state when it may still start.
func (l *Ledger) look(now time.Time, t Ticket, key string, fresh State) RequestStatus {
	if t.agent != l.cfg.Agent || t.incarnation != l.cfg.Incarnation {
		return RequestStatus{State: IssuedElsewhere}
	}
	l.advance(now)
	if s, ok := l.sessions[t.seq]; ok {
		if r, ok := s.records[key]; ok {
			return RequestStatus{State: r.state, Response: r.response}
		}
	}
	age := l.clock - t.issued
	switch {
	case t.seq <= l.forgotten:
		return RequestStatus{State: Unknown}
	case t.seq <= l.closed:
		return RequestStatus{State: NotRun}
	case len(key) > MaxKeyBytes:
		return RequestStatus{State: NotRun}
	case age > l.cfg.Retention:
		l.closed = max(l.closed, t.seq)
		return RequestStatus{State: NotRun}
	case l.memory+recordCost > l.cfg.MaxMemory:
		// Closing every ticket takes no memory, and a record for each refused key would.
		l.closed = l.seq
		return RequestStatus{State: NotRun, LedgerFull: true}
	}
	l.record(t, key, fresh)
	if fresh == Running {
		return RequestStatus{State: Run}
	}
	return RequestStatus{State: fresh}
}

func (l *Ledger) record(t Ticket, key string, state State) {
	s, ok := l.sessions[t.seq]
	if !ok {
		s = &session{issued: t.issued, records: make(map[string]*record)}
		l.sessions[t.seq] = s
	}
	s.records[key] = &record{state: state}
	l.memory += recordCost
}

// Finish records the outcome of a request for which Begin returned Run: Answered with its response, NotRun if
// nothing was sent to the backend server, or Unknown. A response without room is recorded as Unknown.
func (l *Ledger) Finish(now time.Time, t Ticket, key string, state State, response []byte) {
	l.advance(now)
	s, ok := l.sessions[t.seq]
	if !ok {
		return
	}
	r, ok := s.records[key]
	if !ok || r.state != Running {
		return
	}
	r.state = state
	if state != Answered {
		return
	}
	if len(response) > MaxResponseBytes || l.memory+len(response) > l.cfg.MaxMemory {
		r.state = Unknown
		return
	}
	r.response = response
	l.memory += len(response)
}

// Records returns the number of recorded requests.
func (l *Ledger) Records() int {
	n := 0
	for _, s := range l.sessions {
		n += len(s.records)
	}
	return n
}

// Memory returns the estimated memory of the records in bytes.
func (l *Ledger) Memory() int { return l.memory }
