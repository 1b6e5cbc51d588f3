package passthrough

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// probesPerSecond limits the cost of probes for a balancer with many agents, most of which have no traffic from it.
	probesPerSecond = 100
	// isolationTimeout is how long no agent has answered before the balancer counts as isolated. It is longer than
	// agents need to answer a probe after a restart of all their processes.
	isolationTimeout = 400 * time.Millisecond
	// probeInterval limits the age of the last report of an agent without traffic.
	probeInterval = 500 * time.Millisecond
	// suspectProbeInterval is short, so that an agent gets flows soon after it answers again.
	suspectProbeInterval = 100 * time.Millisecond
)

// DueProbes returns the agents to probe now, at most probesPerSecond: first those with an unanswered message, then those
// whose last message was sent the longest time ago. It records them as probed.
func (s *Steerer) DueProbes(now time.Time) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probeTokens = min(s.probeTokens+now.Sub(s.probedAt).Seconds()*probesPerSecond, probesPerSecond)
	s.probedAt = now
	var due []netip.AddrPort
	for a, st := range s.agents {
		interval := probeInterval
		if !st.unansweredSince.IsZero() {
			interval = suspectProbeInterval
		}
		if now.Sub(st.lastSentAt) >= interval && now.Sub(st.reportedAt) >= interval {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b netip.AddrPort) int {
		st, other := s.agents[a], s.agents[b]
		if st.unansweredSince.IsZero() != other.unansweredSince.IsZero() {
			if other.unansweredSince.IsZero() {
				return -1
			}
			return 1
		}
		return st.lastSentAt.Compare(other.lastSentAt)
	})
	due = due[:min(len(due), int(s.probeTokens))]
	s.probeTokens -= float64(len(due))
	for _, a := range due {
		s.recordSent(now, a)
		s.agents[a].unansweredProbes++
	}
	return due
}

// UnansweredFor returns how long the oldest unanswered message to an agent has been waiting, or 0 if there is none.
func (s *Steerer) UnansweredFor(now time.Time, agent netip.AddrPort) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.agents[agent]
	if !ok || st.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(st.unansweredSince)
}

// Isolated reports whether the balancer has agents and all of them have left a message unanswered for isolationTimeout.
func (s *Steerer) Isolated(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.agents {
		if st.unansweredSince.IsZero() || now.Sub(st.unansweredSince) < isolationTimeout {
			return false
		}
	}
	return len(s.agents) > 0
}
