package passthrough

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bramleymast/bramleymast/pkg/dispatch"
)

// Explanation is where a new flow would go now, and why.
type Explanation struct {
	// Owner is the agent that owns the flow, if the balancer has a record of it; the zero value if not.
	Owner netip.AddrPort
	// Placement is what PlaceAt would return, without the directory. It is meaningful only if Placed is true.
	Placement Placement
	Placed    bool
	// Services are those that may get the flow, in the order in which they are tried.
	Services []ServiceExplanation
}

// ServiceExplanation is what a balancer knows of a service.
type ServiceExplanation struct {
	Service string
	// Room says why the service gets the flow or not.
	Room ServiceRoom
	// Agents lists all agents, those that the flow tries first before the others.
	Agents []AgentExplanation
}

// AgentExplanation is what a balancer knows of an agent, and how it ranks it.
type AgentExplanation struct {
	ID       string
	Address  netip.AddrPort
	Zone     string
	Excluded Exclusion
	Load     Load
	// Reported is false if the agent has not reported its load to this balancer, and ReportAge the time since it has.
	Reported  bool
	ReportAge time.Duration
	// Placed is the number of flows placed there since the report, and Unanswered how long the oldest message to it has
	// been waiting for an answer.
	Placed     int
	Unanswered time.Duration
	// Cost orders the agents; the lowest gets the flow. Kind and Estimate explain it if it is one of expected time.
	Cost     float64
	Kind     PlacementKind
	Estimate dispatch.Estimate
}

// Explain returns where a flow that opens now would go, seen from a zone or, if it is empty, from that of the balancer.
// It changes nothing.
func (s *Steerer) Explain(now time.Time, zone string, f FlowID, d Destination) Explanation {
	owner, known := s.flows.Peek(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if zone == "" {
		zone = s.zone
	}
	e := Explanation{Owner: owner.agent}
	e.Placement, e.Placed = s.decide(now, zone, f, d, owner, known)
	for _, service := range d.Services {
		e.Services = append(e.Services, s.explainService(now, zone, f, service, d.Objective))
	}
	return e
}

func (s *Steerer) explainService(now time.Time, zone string, f FlowID, service string, objective time.Duration) ServiceExplanation {
	e := ServiceExplanation{Service: service, Room: s.roomOf(now, service)}
	v, ok := s.views[service]
	if !ok {
		return e
	}
	ids := make(map[netip.AddrPort]string)
	for i := range v.Members() {
		ids[v.Members()[i].DataAddress()] = v.Members()[i].ID()
	}
	for _, a := range s.rankAgents(now, zone, v, f, objective) {
		x := a.state.explain(now)
		x.ID, x.Address, x.Cost, x.Kind, x.Estimate = ids[a.address], a.address, a.cost, a.kind(zone), a.choice.Estimate
		e.Agents = append(e.Agents, x)
		delete(ids, a.address)
	}
	for address, id := range ids {
		if st, ok := s.agents[address]; ok {
			x := st.explain(now)
			x.ID, x.Address = id, address
			e.Agents = append(e.Agents, x)
		}
	}
	slices.SortStableFunc(e.Agents, compareExplained)
	return e
}

// explain returns what the balancer knows of an agent.
func (st *agentState) explain(now time.Time) AgentExplanation {
	a := AgentExplanation{
		Zone: st.zone, Excluded: st.exclusion(now), Load: st.load, Reported: st.reported, ReportAge: now.Sub(st.reportedAt), Placed: st.unreported,
	}
	if !st.unansweredSince.IsZero() {
		a.Unanswered = now.Sub(st.unansweredSince)
	}
	return a
}

// compareExplained orders agents that the flow may go to by cost, before the others.
func compareExplained(a, b AgentExplanation) int {
	switch {
	case (a.Excluded == includedAgent) != (b.Excluded == includedAgent):
		if a.Excluded == includedAgent {
			return -1
		}
		return 1
	case a.Cost < b.Cost:
		return -1
	case a.Cost > b.Cost:
		return 1
	}
	return 0
}
