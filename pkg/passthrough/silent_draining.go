package passthrough

import (
	"net/netip"
	"time"
)

const (
	// silentDrainingPeriod is how long a draining agent leaves all messages of a balancer that has just started unanswered
	// before its denial is not needed any more. Agents answer within milliseconds.
	silentDrainingPeriod = time.Second
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
	return !st.inService && !st.reported && !st.unansweredSince.IsZero() && now.Sub(st.unansweredSince) >= silentDrainingPeriod
}
