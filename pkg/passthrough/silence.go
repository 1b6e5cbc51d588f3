package passthrough

import (
	"sync"
	"time"
)

const (
	// silentAfter is how long a delivered packet may stay without any packet of the backend server before the agent
	// checks whether its process has ended. Backend servers acknowledge within milliseconds.
	silentAfter = 250 * time.Millisecond
	// maxCheckPause bounds the pause between checks of a backend server that is silent but has not ended.
	maxCheckPause = 8 * time.Second
	// overdueHeartbeats is how many intervals without a heartbeat make it overdue.
	overdueHeartbeats = 2
	// minHeartbeatGap is the shortest interval that counts as one between heartbeats.
	minHeartbeatGap = 500 * time.Millisecond
)

// Silence decides when an agent checks whether the process of its backend server has ended without a word; the zero value
// is ready to use. It is safe for concurrent use.
//
// Load: a backend server that is busy, paused or slow is checked once in silentAfter at first and then ever less often,
// so that checks do not add to its load.
type Silence struct {
	mu          sync.Mutex
	deliveredAt time.Time // of the first packet after the last one of the backend server; zero if there is none
	answeredAt  time.Time // when the last packet of the backend server was received
	heartbeatAt time.Time
	gap         time.Duration // the longest recent interval between heartbeats
	checkedAt   time.Time
	pause       time.Duration
}

// OnDelivered records that a packet with data, or one that opens a flow, was delivered to the backend server.
func (s *Silence) OnDelivered(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deliveredAt.IsZero() {
		s.deliveredAt = now
	}
}

// OnServerPacket records a packet of the backend server.
func (s *Silence) OnServerPacket(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliveredAt, s.answeredAt, s.pause = time.Time{}, now, 0
}

// OnHeartbeat records a heartbeat; firstOfRun means that it is the first of its run.
func (s *Silence) OnHeartbeat(now time.Time, firstOfRun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !firstOfRun && !s.heartbeatAt.IsZero() {
		s.gap = max(now.Sub(s.heartbeatAt), s.gap-s.gap/8, minHeartbeatGap)
	}
	s.heartbeatAt, s.pause = now, 0
}

// CheckDue reports whether the agent must check now whether the process has ended, and counts the check.
func (s *Silence) CheckDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	unanswered := !s.deliveredAt.IsZero() && now.Sub(s.deliveredAt) >= silentAfter
	overdue := s.gap > 0 && now.Sub(s.heartbeatAt) >= overdueHeartbeats*s.gap
	if !unanswered && !overdue || now.Sub(s.checkedAt) < s.pause {
		return false
	}
	s.checkedAt = now
	s.pause = min(max(2*s.pause, silentAfter), maxCheckPause)
	return true
}

// HeardSince reports whether a packet or heartbeat of the backend server was received at or after a time.
func (s *Silence) HeardSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.answeredAt.Before(t) || !s.heartbeatAt.Before(t)
}
