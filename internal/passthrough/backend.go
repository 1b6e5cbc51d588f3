package passthrough

import (
	"sync"
	"time"
)

// BackendHeartbeat is what a backend server says of itself in a heartbeat.
type BackendHeartbeat struct {
	// ID names the backend server; it may be the one of an earlier start.
	ID string
	// Service is the customer service.
	Service string
	// Started is when the backend server started, by its own clock; it tells its starts apart.
	Started time.Time
	// Seq rises with each heartbeat of one start.
	Seq uint64
	// Slots is how many requests it processes at the same time.
	Slots int
	// Draining means that it is about to stop.
	Draining bool
	// ColdRemaining is how much longer it bears less than usual.
	ColdRemaining time.Duration
}

// HeartbeatReceiver takes the heartbeats of a backend server.
type HeartbeatReceiver interface {
	// HandleHeartbeat takes a heartbeat and reports whether it names the backend server of this agent.
	HandleHeartbeat(b BackendHeartbeat) bool
	// HandleLeave notes that the backend server with an id stops.
	HandleLeave(id string)
}

// backendState is the newest heartbeat.
type backendState struct {
	mu     sync.Mutex
	newest BackendHeartbeat
	known  bool
	heard  time.Time // when the newest heartbeat came
	left   bool      // the backend server has said that it stops
}

// silentStart is after how long without its heartbeats the newest start of a backend server gives way to one whose
// clock says that it is older: the clock may have been set back between the two.
const silentStart = 3 * time.Second

// take keeps a heartbeat that is newer than the newest one.
func (s *backendState) take(now time.Time, b BackendHeartbeat) (old BackendHeartbeat, taken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old = s.newest
	if s.known && !newer(b, old) && (b.Started.Equal(old.Started) || now.Sub(s.heard) < silentStart) {
		return old, false
	}
	s.newest, s.known, s.left, s.heard = b, true, false, now
	return old, true
}

// newer orders heartbeats by start and then by number.
func newer(b, old BackendHeartbeat) bool {
	if b.Started.Equal(old.Started) {
		return b.Seq > old.Seq
	}
	return b.Started.After(old.Started)
}

// leave notes that the backend server with an id stops, and reports whether it is the one of the newest heartbeat.
func (s *backendState) leave(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known || s.newest.ID != id {
		return false
	}
	s.left = true
	return true
}

func (s *backendState) hasLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// HandleHeartbeat takes a heartbeat of the backend server.
func (a *Agent) HandleHeartbeat(b BackendHeartbeat) bool {
	if b.Service != a.cfg.Service {
		a.cfg.Logger.Warn("heartbeat skipped", "backend", b.ID, "reason", "other_service", "service", b.Service)
		return false
	}
	now := time.Now()
	old, taken := a.backend.take(now, b)
	if !taken {
		a.cfg.Logger.Info("heartbeat skipped", "backend", b.ID, "reason", "older", "seq", b.Seq, "started", b.Started)
		return true
	}
	a.gate.SetBackendState(now, b.Slots, b.Draining || a.leaving.Load(), b.ColdRemaining)
	a.registrar.setDraining(b.Draining || a.leaving.Load())
	a.registrar.announce()
	if old.ID != b.ID || !old.Started.Equal(b.Started) || old.Draining != b.Draining {
		a.cfg.Logger.Info("backend server state", "backend", b.ID, "draining", b.Draining, "slots", b.Slots, "cold_for", b.ColdRemaining, "started", b.Started, "seq", b.Seq)
	}
	return true
}

// HandleLeave takes no more flows for the backend server that stops.
func (a *Agent) HandleLeave(id string) {
	if !a.backend.leave(id) {
		return
	}
	a.cfg.Logger.Info("backend server leaves", "backend", id)
	a.gate.SetDraining()
	a.registrar.setDraining(true)
}
