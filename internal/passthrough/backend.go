package passthrough

import (
	"sync"
	"time"
)

// BackendHeartbeat is the state that a backend server reports in a heartbeat.
type BackendHeartbeat struct {
	// ID identifies the backend server; a restarted one may have the ID of its previous run.
	ID string
	// Service is the customer service.
	Service string
	// Started is when the backend server started, by its own clock; it distinguishes its runs.
	Started time.Time
	// Seq increases with each heartbeat of a run.
	Seq uint64
	// Slots is how many requests the backend server processes at the same time.
	Slots int
	// Draining means that the backend server is about to stop.
	Draining bool
	// ColdRemaining is how much longer the backend server has a reduced capacity after its start.
	ColdRemaining time.Duration
}

// HeartbeatReceiver handles the heartbeats of a backend server.
type HeartbeatReceiver interface {
	// HandleHeartbeat applies a heartbeat and reports whether its service is the one of this agent.
	HandleHeartbeat(b BackendHeartbeat) bool
	// HandleLeave stops new flows to the backend server with the given ID, which is about to stop.
	HandleLeave(id string)
}

// backendState holds the newest heartbeat.
type backendState struct {
	mu         sync.Mutex
	newest     BackendHeartbeat
	received   bool
	lastSeenAt time.Time // when the newest heartbeat was received
	left       bool      // the backend server has announced that it stops
}

// runTimeout is the time without heartbeats after which the newest run of a backend server is replaced by one with an
// earlier start time, since the clock may have been set back between the two.
const runTimeout = 3 * time.Second

const (
	// maxFirstSeq is the highest sequence number of a heartbeat that counts as one of the first of a backend server;
	// those before it may have found no listener yet.
	maxFirstSeq = 3
	// minRestartTime is shorter than an agent takes to restart, receive a heartbeat and accept a flow.
	minRestartTime = 200 * time.Millisecond
)

// startedWithAgent reports whether the first heartbeat that an agent receives looks as if no earlier process of the agent
// had delivered flows to this run of the backend server. Both times are those of the host's clock. A step of it between
// the two starts makes an older run look younger, so this alone is no evidence; see isNewRun.
func (b BackendHeartbeat) startedWithAgent(now, agentStarted time.Time) bool {
	age := now.Sub(b.Started)
	return b.Seq <= maxFirstSeq && age >= 0 && age-now.Sub(agentStarted) <= minRestartTime
}

// run returns the run of the backend server.
func (b BackendHeartbeat) run() backendRun {
	return backendRun{ID: b.ID, StartedMS: b.Started.UnixMilli()}
}

// isNewRun reports whether no earlier process of an agent can have delivered flows to the run of the backend server from
// which the agent has received its first heartbeat. previous is the entry of an earlier process in the store, or nil.
//
// An agent writes each run to the store when it receives a heartbeat of it, so an entry with another run shows that
// there was no such process. An entry is kept for far longer than maxFirstSeq heartbeats take, but its process deletes it
// when it stops as planned. Without an entry only the very first heartbeat of a run counts, since no process can have
// received one before.
func (b BackendHeartbeat) isNewRun(previous *agentEntry) bool {
	if previous == nil || previous.Run == (backendRun{}) {
		return b.Seq <= 1
	}
	return previous.Run != b.run()
}

// update stores a heartbeat if it is newer than the stored one or the run of the stored one has timed out.
func (s *backendState) update(now time.Time, b BackendHeartbeat) (old BackendHeartbeat, updated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old = s.newest
	if s.received && !isNewer(b, old) && (b.Started.Equal(old.Started) || now.Sub(s.lastSeenAt) < runTimeout) {
		return old, false
	}
	s.newest, s.received, s.left, s.lastSeenAt = b, true, false, now
	return old, true
}

// isNewer orders heartbeats by start time and then by sequence number.
func isNewer(b, old BackendHeartbeat) bool {
	if b.Started.Equal(old.Started) {
		return b.Seq > old.Seq
	}
	return b.Started.After(old.Started)
}

// leave records that the backend server with the given ID stops, and reports whether it sent the newest heartbeat.
func (s *backendState) leave(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.received || s.newest.ID != id {
		return false
	}
	s.left = true
	return true
}

// lastRun returns the run of the newest heartbeat and when it was received.
func (s *backendState) lastRun() (backendRun, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.received {
		return backendRun{}, time.Time{}
	}
	return s.newest.run(), s.lastSeenAt
}

// isReady reports whether the newest heartbeat shows a backend server that is not about to stop.
func (s *backendState) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received && !s.left && !s.newest.Draining
}

func (s *backendState) hasLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// HandleHeartbeat applies a heartbeat of the backend server.
func (a *Agent) HandleHeartbeat(b BackendHeartbeat) bool {
	if b.Service != a.cfg.Service {
		a.cfg.Logger.Warn("heartbeat skipped", "backend", b.ID, "reason", "other_service", "service", b.Service)
		return false
	}
	now := time.Now()
	_, oldAt := a.backend.lastRun()
	old, updated := a.backend.update(now, b)
	if !updated {
		a.cfg.Logger.Info("heartbeat skipped", "backend", b.ID, "reason", "older", "seq", b.Seq, "started", b.Started)
		return true
	}
	a.records.onHeartbeat(now, b, old, oldAt)
	a.registrar.setRun(b.run())
	if old.ID != "" && old.run() != b.run() {
		a.admitter.SetBackendRestarted(now)
	}
	if old.ID == "" && b.startedWithAgent(now, a.announcer.started) {
		a.firstHeartbeat.Store(&b)
	}
	a.admitter.SetBackendState(now, b.Slots, b.Draining || a.leaving.Load(), b.ColdRemaining)
	a.registrar.setDraining(b.Draining || a.leaving.Load())
	a.registrar.onBackendSeen()
	if old.ID != b.ID || !old.Started.Equal(b.Started) || old.Draining != b.Draining {
		a.cfg.Logger.Info("backend server state", "backend", b.ID, "draining", b.Draining, "slots", b.Slots, "cold_for", b.ColdRemaining, "started", b.Started, "seq", b.Seq)
	}
	return true
}

// onFirstEntry decides whether the backend server may hold flows that were opened before the agent started. Denying a
// flow that it holds would break the flow, so without evidence it may.
func (a *Agent) onFirstEntry(previous *agentEntry, e agentEntry) {
	b := a.firstHeartbeat.Load()
	if b == nil || b.run() != e.Run {
		return
	}
	if !b.isNewRun(previous) {
		a.cfg.Logger.Info("backend server may hold older flows", "backend", b.ID, "seq", b.Seq, "started", b.Started)
		return
	}
	a.admitter.SetNoPreExisting()
	a.cfg.Logger.Info("backend server holds no older flows", "backend", b.ID, "seq", b.Seq, "started", b.Started)
}

// HandleLeave makes the agent accept no more flows if the backend server with the given ID is its own.
func (a *Agent) HandleLeave(id string) {
	if !a.backend.leave(id) {
		return
	}
	a.cfg.Logger.Info("backend server leaves", "backend", id)
	a.admitter.SetDraining()
	a.registrar.setDraining(true)
	select {
	case a.departure <- struct{}{}:
	default: // The agent already waits for the end of the backend server.
	}
}
