package ticket

import "time"

// State is the state of a request in a ledger.
type State uint8

// States of a request.
const (
	// IssuedElsewhere means that another agent or incarnation issued the ticket, so this ledger has no records for it.
	IssuedElsewhere State = iota
	// Run means that the caller of Begin must run the request now and then call Finish.
	Run
	// Running means that the request has started and has no outcome yet.
	Running
	// Answered means that the request ran and its response is recorded.
	Answered
	// NotRun means that the request has not run and cannot run later.
	NotRun
	// Unknown means that the request may have run and that its response is not recorded.
	Unknown
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"foreign", "run", "running", "answered", "not_run", "unknown"}[s]
}

// RequestStatus is the status of a request in a ledger.
type RequestStatus struct {
	State State
	// Response is the recorded response as passed to Finish. It is set only if State is Answered.
	Response []byte
	// LedgerFull is true if the request was refused because the ledger has reached its memory limit.
	LedgerFull bool
}

const (
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 255
	// MaxResponseBytes is the maximum size of a recorded response: a body of 4 KiB with its headers.
	MaxResponseBytes = 8 << 10
	// recordOverhead is the memory of a record without its response in bytes: key, map entries and state.
	recordOverhead = 512
	// DefaultMaxMemory is the default memory limit of a ledger in bytes.
	DefaultMaxMemory = 64 << 20
	// sweepsPerRetention is the number of sweeps for expired records during one retention.
	sweepsPerRetention = 8
)

// Config holds the settings of a ledger.
type Config struct {
	Agent       string
	Incarnation uint64
	// Retention is how long a ticket may start requests. Their records are kept for twice as long, so that a late
	// retry still gets the outcome.
	Retention time.Duration
	// MaxMemory is the maximum memory of the records in bytes; 0 means DefaultMaxMemory.
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
	cfg        Config
	start      time.Time
	elapsed    time.Duration
	seq        uint64
	sessions   map[uint64]*session
	memoryUsed int
	lastSweep  time.Duration
	// closedUpTo is the highest sequence number of a ticket that can no longer start requests.
	closedUpTo uint64
	// droppedUpTo is the highest sequence number of a ticket whose records have been dropped.
	droppedUpTo uint64
}

// NewLedger returns the empty ledger of an incarnation that starts now. All times passed to the ledger must include
// Go's monotonic clock reading; other clocks must not go back by more than the time that a caller waits.
func NewLedger(now time.Time, cfg Config) *Ledger {
	if cfg.MaxMemory == 0 {
		cfg.MaxMemory = DefaultMaxMemory
	}
	return &Ledger{cfg: cfg, start: now, sessions: make(map[uint64]*session)}
}

// SetRetention changes how long tickets may start requests. A ticket that has been refused stays refused.
func (l *Ledger) SetRetention(d time.Duration) { l.cfg.Retention = d }

// advance sets the time since the start of the ledger. That never decreases, although concurrent callers may pass times
// out of order: closedUpTo and droppedUpTo require that tickets are numbered in the order in which they were issued.
func (l *Ledger) advance(now time.Time) {
	l.elapsed = max(l.elapsed, now.Sub(l.start))
	if l.elapsed-l.lastSweep >= l.cfg.Retention/sweepsPerRetention {
		l.lastSweep = l.elapsed
		l.sweep()
	}
}

// sweep drops the records of tickets that are older than twice the retention.
func (l *Ledger) sweep() {
	for seq, s := range l.sessions {
		if l.elapsed-s.issued <= 2*l.cfg.Retention {
			continue
		}
		l.droppedUpTo = max(l.droppedUpTo, seq)
		for _, r := range s.records {
			l.memoryUsed -= recordOverhead + len(r.response)
		}
		delete(l.sessions, seq)
	}
}

// Issue returns a new ticket of this incarnation.
func (l *Ledger) Issue(now time.Time) Ticket {
	l.advance(now)
	l.seq++
	return Ticket{agent: l.cfg.Agent, incarnation: l.cfg.Incarnation, seq: l.seq, issued: l.elapsed}
}

// Begin returns the status of a request that this agent has received. If the state is Run, the request is recorded as
// running, and the caller must run it and call Finish.
func (l *Ledger) Begin(now time.Time, t Ticket, key string) RequestStatus {
	return l.lookUp(now, t, key, Running)
}

// Query returns the status of a request that another agent has received. A request without a record is recorded as not
// run, so that a first attempt that arrives late cannot run it after its caller received NotRun.
func (l *Ledger) Query(now time.Time, t Ticket, key string) RequestStatus {
	return l.lookUp(now, t, key, NotRun)
}

// lookUp returns the status of a request. A request without a record that may still start is recorded with the state
// initial.
func (l *Ledger) lookUp(now time.Time, t Ticket, key string, initial State) RequestStatus {
	if t.agent != l.cfg.Agent || t.incarnation != l.cfg.Incarnation {
		return RequestStatus{State: IssuedElsewhere}
	}
	l.advance(now)
	if s, ok := l.sessions[t.seq]; ok {
		if r, ok := s.records[key]; ok {
			return RequestStatus{State: r.state, Response: r.response}
		}
	}
	age := l.elapsed - t.issued
	switch {
	case t.seq <= l.droppedUpTo:
		return RequestStatus{State: Unknown}
	case t.seq <= l.closedUpTo:
		return RequestStatus{State: NotRun}
	case len(key) > MaxKeyBytes:
		return RequestStatus{State: NotRun}
	case age > l.cfg.Retention:
		l.closedUpTo = max(l.closedUpTo, t.seq)
		return RequestStatus{State: NotRun}
	case l.memoryUsed+recordOverhead > l.cfg.MaxMemory:
		// All tickets are closed, because that takes no memory, while a record for each refused key would.
		l.closedUpTo = l.seq
		return RequestStatus{State: NotRun, LedgerFull: true}
	}
	l.record(t, key, initial)
	if initial == Running {
		return RequestStatus{State: Run}
	}
	return RequestStatus{State: initial}
}

func (l *Ledger) record(t Ticket, key string, state State) {
	s, ok := l.sessions[t.seq]
	if !ok {
		s = &session{issued: t.issued, records: make(map[string]*record)}
		l.sessions[t.seq] = s
	}
	s.records[key] = &record{state: state}
	l.memoryUsed += recordOverhead
}

// Finish records the outcome of a request for which Begin returned Run: Answered with its response, NotRun if
// nothing was sent to the backend server, or Unknown. A response over the size or memory limit is recorded as Unknown.
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
	if len(response) > MaxResponseBytes || l.memoryUsed+len(response) > l.cfg.MaxMemory {
		r.state = Unknown
		return
	}
	r.response = response
	l.memoryUsed += len(response)
}

// Records returns the number of recorded requests.
func (l *Ledger) Records() int {
	n := 0
	for _, s := range l.sessions {
		n += len(s.records)
	}
	return n
}

// Memory returns the estimated memory use of the records in bytes.
func (l *Ledger) Memory() int { return l.memoryUsed }
