package passthrough

import (
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

const (
	// maxAlternatives is how many further agents an opening packet may visit.
	maxAlternatives = 3
	// retransmissionPeriod is longer than a caller retransmits an opening packet; a later packet opens a new flow.
	retransmissionPeriod = 1500 * time.Millisecond
	// defaultSlots is the number of slots assumed for an agent that has not reported yet.
	defaultSlots = 2
)

// Destination is where a route sends a new flow.
type Destination struct {
	// Services are the customer services that may get the flow, in the order in which they are tried.
	Services []string
	// Objective is the latency objective of the requests; 0 if there is none.
	Objective time.Duration
}

// Placement is where an opening packet goes.
type Placement struct {
	Target netip.AddrPort
	// Service is the service of the target.
	Service string
	// Alternatives lists the agents to which the target may pass the packet on.
	Alternatives Path
	// Directory lists the agents that are notified of the owner of the flow.
	Directory Path
	// Kind says how the target was chosen by its expected time to an answer, which is Expected; both are zero if it was
	// not.
	Kind     PlacementKind
	Expected time.Duration
	// Retransmitted means that the flow keeps the agent of an earlier copy of the packet.
	Retransmitted bool
}

// PlacementKind is how a target was chosen by expected time. Its text is the value of the reason label of a metric.
type PlacementKind string

// Kinds of placements.
const (
	PlacedInZone    PlacementKind = "own_zone"
	PlacedElsewhere PlacementKind = "other_zone"
	// PlacedToExplore means that the backend server had no work and may have recovered.
	PlacedToExplore PlacementKind = "explored"
)

// Place returns where a packet that opens a flow to a service goes, or false if no agent accepts new flows.
// Retransmissions go to the agent of the first packet while it is usable.
func (s *Steerer) Place(now time.Time, seg Segment, service string) (Placement, bool) {
	return s.PlaceAt(now, seg, Destination{Services: []string{service}})
}

// PlaceAt is like Place for a flow that several services may get. It goes to the first one with room, or to the first one
// with an agent that accepts flows if none has room.
func (s *Steerer) PlaceAt(now time.Time, seg Segment, d Destination) (Placement, bool) {
	owner, known := s.flows.Get(now, seg.Flow())
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.decide(now, s.zone, seg.Flow(), d, owner, known)
	if !ok {
		return Placement{}, false
	}
	s.recordSent(now, o.Target)
	s.searches.flows.Delete(seg.Flow()) // Denials of an earlier flow with the same endpoints do not count.
	if !o.Retransmitted {
		st := s.agents[o.Target]
		st.unreported++
		st.placedAt = now
		s.flows.Put(now, seg.Flow(), flowOwner{agent: o.Target, openedAt: now})
	}
	_, o.Directory = s.candidates(now, s.views[o.Service], seg.Flow().Hash())
	return o, true
}

// decide returns where a new flow goes without recording it; zone is that from which it is sent.
func (s *Steerer) decide(now time.Time, zone string, f FlowID, d Destination, owner flowOwner, known bool) (Placement, bool) {
	var o Placement
	if known && now.Sub(owner.openedAt) < retransmissionPeriod && s.usable(now, owner.agent) {
		o.Target, o.Retransmitted = owner.agent, true
		o.Service = s.serviceOf(owner.agent, d.Services)
	}
	if o.Service == "" {
		o.Service = s.chooseService(now, d.Services)
	}
	v, ok := s.views[o.Service]
	if !ok {
		return Placement{}, false
	}
	s.rank(now, zone, v, f, d.Objective, &o)
	if !o.Target.IsValid() {
		return Placement{}, false
	}
	return o, true
}

// serviceOf returns the service among those given to which an agent belongs, or "" if it is none of them.
func (s *Steerer) serviceOf(agent netip.AddrPort, services []string) string {
	for _, name := range services {
		if v, ok := s.views[name]; ok && v.Service() == s.agents[agent].service {
			return name
		}
	}
	return ""
}

// chooseService returns the first service with room, or the first one with an agent that accepts flows.
func (s *Steerer) chooseService(now time.Time, services []string) string {
	if len(services) == 1 {
		return services[0]
	}
	first := ""
	for _, name := range services {
		switch s.roomOf(now, name) {
		case RoomFree:
			return name
		case RoomFull:
			if first == "" {
				first = name
			}
		case RoomClosed:
		}
	}
	return first
}

// ServiceRoom says whether the agents of a service take a new flow; its text is printed.
type ServiceRoom string

// Rooms of a service.
const (
	// RoomClosed means that no agent accepts flows, or that none that does answers.
	RoomClosed ServiceRoom = "no agent accepts flows"
	// RoomFull means that all agents that accept flows have as many requests as they take.
	RoomFull ServiceRoom = "no room"
	RoomFree ServiceRoom = "room"
)

func (s *Steerer) roomOf(now time.Time, service string) ServiceRoom {
	v, ok := s.views[service]
	if !ok {
		return RoomClosed
	}
	r := RoomClosed
	for i := range v.Members() {
		a := v.Members()[i].DataAddress()
		if !s.usable(now, a) {
			continue
		}
		r = RoomFull
		if st := s.agents[a]; now.Sub(st.reportedAt) > reportTTL || st.load.hasRoom(st.unreported) {
			return RoomFree
		}
	}
	return r
}

// usable reports whether an agent accepts new flows and is not suspect.
func (s *Steerer) usable(now time.Time, agent netip.AddrPort) bool {
	st, ok := s.agents[agent]
	return ok && st.exclusion(now) == includedAgent
}

// Exclusion is why an agent gets no new flows; its text is printed.
type Exclusion string

// Reasons for exclusions.
const (
	includedAgent Exclusion = ""
	// ExcludedOutOfService means that the agent is draining or its zone is out of service, according to the store.
	ExcludedOutOfService Exclusion = "out of service"
	// ExcludedRefusing means that the agent has reported that its backend server accepts no flows.
	ExcludedRefusing Exclusion = "accepts no flows"
	// ExcludedSilent means that the agent does not answer. It is used if all that accept flows are silent.
	ExcludedSilent Exclusion = "does not answer"
)

func (st *agentState) exclusion(now time.Time) Exclusion {
	switch {
	case !st.inService:
		return ExcludedOutOfService
	case !st.load.AcceptsFlows:
		return ExcludedRefusing
	case st.suspect(now):
		return ExcludedSilent
	}
	return includedAgent
}

// rank sets the target, unless it is set already, and the alternatives in order of expected wait. If all agents are
// suspect they are still used, since the balancer itself may be isolated.
func (s *Steerer) rank(now time.Time, zone string, v *flow.View, f FlowID, objective time.Duration, o *Placement) {
	var best [maxAlternatives + 1]rankedAgent
	n := 0
	for _, a := range s.rankAgents(now, zone, v, f, objective) {
		if a.address == o.Target {
			continue
		}
		j := n
		for j > 0 && a.cost < best[j-1].cost {
			j--
		}
		if j == len(best) {
			continue
		}
		if n < len(best) {
			n++
		}
		copy(best[j+1:n], best[j:n-1])
		best[j] = a
	}
	for _, a := range best[:n] {
		if !o.Target.IsValid() {
			o.Target = a.address
			o.Kind, o.Expected = a.kind(zone), a.choice.Estimate.Time()
		} else if o.Alternatives.Len() < maxAlternatives {
			o.Alternatives.Add(a.address)
		}
	}
}
