package passthrough

import (
	"net/netip"
	"time"
)

const (
	// silentDrainingPeriod and silentProbes are for how long, and for how many probes, a draining agent leaves all messages
	// of a balancer that has just started unanswered before its denial is not needed any more. Agents answer within
	// milliseconds, and callers of lost flows that wait for longer have little time left for another try. Probes are rarer
	// while many agents are silent, so a lost one does not count as silence.
	silentDrainingPeriod = 500 * time.Millisecond
	silentProbes         = 5
	// minDenialsPerSilent is how many agents must deny a flow for each draining one that is silent.
	minDenialsPerSilent = 8
)

// AllowSilentDraining makes the denial of draining agents unnecessary that have not answered since an outage of all hosts.
// It must be called before the steerer is used.
//
// The platform does not start a host again that was draining when its power was lost, and the entry of its agent stays
// until its lease ends. No flow would be reset as long.
func (s *Steerer) AllowSilentDraining() { s.silentDraining = true }

// denial returns the outcome of a search, given the agents that have denied the flow and whether each has just started.
// The caller must hold the lock.
//
// Load: all callers of kept flows retransmit after an outage of all hosts, two of which do not come back.
func (s *Steerer) denial(now time.Time, denied map[netip.AddrPort]bool) Denial {
	if len(s.agents) == 0 {
		return SomeDeny
	}
	outcome, silent := AllRestarted, 0
	for a, st := range s.agents {
		restarted, ok := denied[a]
		switch {
		case !ok && s.silentDraining && st.silentWhileDraining(now):
			silent++
		case !ok:
			return SomeDeny
		case !restarted:
			outcome = AllDeny
		}
	}
	if silent > 0 && (outcome != AllRestarted || len(s.agents)-silent < minDenialsPerSilent*silent) {
		return SomeDeny
	}
	return outcome
}

// silentWhileDraining reports whether an agent that accepts no flows has never answered this balancer.
func (st *agentState) silentWhileDraining(now time.Time) bool {
	return !st.inService && !st.reported && st.unansweredProbes >= silentProbes && now.Sub(st.unansweredSince) >= silentDrainingPeriod
}

// DeniedFlow is a flow whose search has been denied.
type DeniedFlow struct {
	Flow FlowID
	// Ack is what the caller's last searched packet acknowledged.
	Ack uint32
}

// SetDeniedAck records what the caller acknowledged in a packet of a flow that an agent has denied.
func (s *Steerer) SetDeniedAck(now time.Time, f FlowID, ack uint32) {
	if _, ok := s.searches.flows.Get(now, f); !ok {
		return
	}
	s.searches.flows.Update(now, f, func(v flowSearch, _ bool) flowSearch {
		v.ack = ack
		return v
	})
}

// DueDenials returns the flows that count as denied because a draining agent has been silent for long enough, and forgets
// them. Without it, each would wait for the next retransmission of its caller, up to 1.6 s.
func (s *Steerer) DueDenials(now time.Time) []DeniedFlow {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.silentDraining {
		return nil
	}
	silent := 0
	for _, st := range s.agents {
		if st.silentWhileDraining(now) {
			silent++
		}
	}
	more := silent > s.silent
	s.silent = silent
	if !more {
		return nil
	}
	var due []DeniedFlow
	s.searches.flows.Each(now, func(f FlowID, v flowSearch, unused time.Duration) {
		if unused <= flowSearchTTL && s.denial(now, v.denied) == AllRestarted {
			due = append(due, DeniedFlow{Flow: f, Ack: v.ack})
		}
	})
	for _, d := range due {
		s.searches.flows.Delete(d.Flow)
	}
	return due
}
