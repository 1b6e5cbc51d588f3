package passthrough

import (
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

const (
	// reportTTL is how long a reported load counts; after that the agent counts as idle.
	reportTTL = time.Second
	// maxAlternatives is how many further agents an opening packet may visit.
	maxAlternatives = 3
	// retransmissionPeriod is longer than a caller retransmits an opening packet; a later packet opens a new flow.
	retransmissionPeriod = 1500 * time.Millisecond
	// defaultSlots is the number of slots assumed for an agent that has not reported yet.
	defaultSlots = 2
)

// Placement is where an opening packet goes.
type Placement struct {
	Target netip.AddrPort
	// Alternatives lists the agents to which the target may pass the packet on.
	Alternatives Path
	// Directory lists the agents that are notified of the owner of the flow.
	Directory Path
}

// Place returns where a packet that opens a flow to a service goes, or false if no agent accepts new flows.
// Retransmissions go to the agent of the first packet while it is usable.
func (s *Steerer) Place(now time.Time, seg Segment, service string) (Placement, bool) {
	owner, retransmitted := s.flows.Get(now, seg.Flow())
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.views[service]
	if !ok {
		return Placement{}, false
	}
	hash := seg.Flow().Hash()
	var o Placement
	retransmitted = retransmitted && now.Sub(owner.openedAt) < retransmissionPeriod && s.usable(now, owner.agent)
	if retransmitted {
		o.Target = owner.agent
	}
	s.rank(now, v, hash, &o)
	if !o.Target.IsValid() {
		return Placement{}, false
	}
	s.recordSent(now, o.Target)
	s.searches.flows.Delete(seg.Flow()) // Denials of an earlier flow with the same endpoints do not count.
	if !retransmitted {
		s.agents[o.Target].unreported++
		s.flows.Put(now, seg.Flow(), flowOwner{agent: o.Target, openedAt: now})
	}
	_, o.Directory = s.candidates(now, v, hash)
	return o, true
}

// usable reports whether an agent accepts new flows and is not suspect.
func (s *Steerer) usable(now time.Time, agent netip.AddrPort) bool {
	st, ok := s.agents[agent]
	return ok && st.inService && st.load.AcceptsFlows && !st.suspect(now)
}

// rank sets the target, unless it is set already, and the alternatives in order of expected wait. If all agents are
// suspect they are still used, since the balancer itself may be isolated.
func (s *Steerer) rank(now time.Time, v *flow.View, hash uint64, o *Placement) {
	members := v.Members()
	if len(members) == 0 {
		return
	}
	var best [maxAlternatives + 1]netip.AddrPort
	var costs [maxAlternatives + 1]float64
	n := 0
	start := int(hash % uint64(len(members)))
	for i := range members {
		a := members[(start+i)%len(members)].DataAddress()
		st, ok := s.agents[a]
		if !ok || !st.inService || !st.load.AcceptsFlows || a == o.Target {
			continue
		}
		c := st.cost(now)
		j := n
		for j > 0 && c < costs[j-1] {
			j--
		}
		if j == len(best) {
			continue
		}
		if n < len(best) {
			n++
		}
		copy(best[j+1:n], best[j:n-1])
		copy(costs[j+1:n], costs[j:n-1])
		best[j], costs[j] = a, c
	}
	for _, a := range best[:n] {
		if !o.Target.IsValid() {
			o.Target = a
		} else if o.Alternatives.Len() < maxAlternatives {
			o.Alternatives.Add(a)
		}
	}
}

// suspectCost ranks suspect agents behind all others.
const suspectCost = 1e6

func (st *agentState) cost(now time.Time) float64 {
	l := st.load
	if now.Sub(st.reportedAt) > reportTTL {
		l.InProgress = 0
	}
	c := l.cost(st.unreported, st.sameZone)
	if st.suspect(now) {
		c += suspectCost
	}
	return c
}
