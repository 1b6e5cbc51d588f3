package passthrough

import (
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/pkg/dispatch"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// reportTTL is how long a reported load counts; after that the agent counts as idle.
const reportTTL = time.Second

const (
	// detourCost is the cost of a flow to an agent behind a detour, in requests per slot: more than those that an agent
	// with a full backend server queues, so that others lack room first.
	detourCost = 4
	// detourWay is the same as a time, for agents that are ranked by expected time.
	detourWay = 200 * time.Millisecond
)

// suspectCost ranks suspect agents behind all others.
const suspectCost = 1e6

// rankedAgent is an agent that a new flow may go to.
type rankedAgent struct {
	address netip.AddrPort
	state   *agentState
	// cost orders the agents: the lowest gets the flow. choice explains it if byTime is set.
	cost   float64
	byTime bool
	choice dispatch.Choice
}

// kind returns how the agent is chosen for a flow from a zone, or "" if it is not chosen by expected time.
func (a *rankedAgent) kind(zone string) PlacementKind {
	switch {
	case !a.byTime:
		return ""
	case a.choice.Explored:
		return PlacedToExplore
	case a.state.zone != zone:
		return PlacedElsewhere
	}
	return PlacedInZone
}

// agentRanker keeps the memory of rankAgents between calls.
type agentRanker struct {
	agents  []rankedAgent
	servers []dispatch.Server
	times   dispatch.Ranker
}

// rankAgents returns the agents of a view that accept flows, with their costs. Agents of equal cost follow each other in
// an order that depends on the flow, and those that do not answer come last. The result is valid until the next call.
func (s *Steerer) rankAgents(now time.Time, zone string, v *flow.View, f FlowID, objective time.Duration) []rankedAgent {
	members := v.Members()
	if len(members) == 0 {
		return nil
	}
	r := &s.ranker
	r.agents, r.servers = r.agents[:0], r.servers[:0]
	start := int(f.Hash() % uint64(len(members)))
	for _, suspect := range []bool{false, true} {
		for i := range members {
			m := &members[(start+i)%len(members)]
			st, ok := s.agents[m.DataAddress()]
			if !ok || !st.inService || !st.load.AcceptsFlows || st.suspect(now) != suspect {
				continue
			}
			a := rankedAgent{address: m.DataAddress(), state: st, cost: st.cost(now, st.zone == zone)}
			if suspect {
				a.cost += suspectCost
			} else if s.byTime {
				r.servers = append(r.servers, s.server(now, zone, uint64(m.ShortID()), st))
			}
			r.agents = append(r.agents, a)
		}
	}
	if s.byTime {
		r.rankByTime(dispatch.Flow{Hash: f.Hash(), Zone: zone, Objective: objective})
	}
	return r.agents
}

// rankByTime replaces the costs of the agents that answer by those of their expected times, if the speed of a backend
// server is known.
func (r *agentRanker) rankByTime(f dispatch.Flow) {
	choices, ok := r.times.Rank(f, r.servers)
	if !ok {
		return
	}
	for i := range choices {
		r.agents[i].cost, r.agents[i].byTime, r.agents[i].choice = choices[i].Key, true, choices[i]
	}
}

// smooth updates the means when a load is reported.
func (st *agentState) smooth(now time.Time, l Load) {
	since := now.Sub(st.reportedAt)
	reported := dispatch.Server{Slots: int(l.Slots), Limit: int(l.Limit), InProgress: int(l.InProgress)}
	st.meanBusy = dispatch.Smooth(st.meanBusy, reported.Busy(), since)
	st.meanFlows = dispatch.Smooth(st.meanFlows, float64(l.Flows), since)
}

// cost returns the expected wait in requests per slot.
func (st *agentState) cost(now time.Time, sameZone bool) float64 {
	l := st.load
	if now.Sub(st.reportedAt) > reportTTL {
		l.InProgress = 0
	}
	c := l.cost(st.unreported, sameZone)
	if st.detoured {
		c += detourCost
	}
	return c
}

// server returns what is known of the backend server of an agent, seen from a zone.
func (s *Steerer) server(now time.Time, zone string, key uint64, st *agentState) dispatch.Server {
	l := st.load
	sv := dispatch.Server{
		Key: key, Zone: st.zone, Slots: int(l.Slots), Limit: int(l.Limit), InProgress: int(l.InProgress), Flows: int(l.Flows),
		Placed: st.unreported, ServiceTime: l.ServiceTime, Wait: l.Wait, Age: min(now.Sub(st.reportedAt), reportTTL), Idle: now.Sub(st.placedAt),
		FailurePercent: int(l.FailurePercent), MeanBusy: st.meanBusy, MeanFlows: st.meanFlows,
	}
	if st.zone != zone {
		sv.Way = s.way(zone, st.zone)
	}
	if st.detoured {
		sv.Way += detourWay
	}
	return sv
}

// way returns how much longer a round trip between two zones takes than one within a zone. The balancer measures only
// those from its own zone; between two others it takes the longer one of the ways to them.
func (s *Steerer) way(from, to string) time.Duration {
	var longest time.Duration
	for _, zone := range []string{from, to} {
		if zone == s.zone {
			continue
		}
		d, ok := s.ways.Extra(s.zone, zone)
		if !ok {
			d = unknownWay
		}
		longest = max(longest, d)
	}
	return longest
}

// unknownWay is the way to another zone that has not been measured yet, a typical one between zones of a region.
const unknownWay = 2 * time.Millisecond
