package passthrough

import (
	"net/netip"
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/dispatch"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// suspectTimeout is several round trips between zones. An agent that has left a message unanswered for longer gets
// no new flows.
const suspectTimeout = 150 * time.Millisecond

// Steerer decides which agent a balancer sends a caller's packet to. It is safe for concurrent use.
//
// New flows go to the agent with the shortest expected wait, and later packets to the owner of the flow. A packet of a
// flow without a known owner visits the directory agents of the flow; if these have no record, it is sent to all agents
// of the service.
type Steerer struct {
	zone     string
	flows    Table[flowOwner]
	searches searchLimiter
	// silentDraining is set by AllowSilentDraining.
	silentDraining bool

	mu     sync.Mutex
	silent int // the number of silent draining agents at the last DueDenials
	agents map[netip.AddrPort]*agentState
	// byTime makes new flows go by expected time; see UseExpectedTime.
	byTime bool
	ways   dispatch.Ways
	ranker agentRanker
	views  map[string]*flow.View
	// probeTokens is the number of probes that could be sent at probedAt.
	probeTokens float64
	probedAt    time.Time
}

// flowOwner is a balancer's record of a flow.
type flowOwner struct {
	agent    netip.AddrPort
	openedAt time.Time
}

// agentState is a balancer's local state of an agent.
type agentState struct {
	service         flow.ServiceID
	load            Load
	zone            string
	sameZone        bool
	inService       bool // accepts flows according to the operator's and the agent's state in the store
	reported        bool
	reportedAt      time.Time
	unreported      int       // flows placed since the last report
	unansweredSince time.Time // when the oldest unanswered message was sent; zero if there is none
	// unansweredProbes is the number of probes since then, at least suspectProbeInterval apart.
	unansweredProbes int
	placedAt         time.Time // when a flow was last placed
	// meanBusy and meanFlows are the means of the reported values over the last seconds.
	meanBusy, meanFlows float64
	lastSentAt          time.Time
	detoured            bool // reached through a relay
	// contradictedAt is when another service was first heard at the address of an agent that has not reported; zero if it
	// was not.
	contradictedAt time.Time
}

// NewSteerer returns the steerer of a balancer in the given zone.
func NewSteerer(zone string) *Steerer {
	return &Steerer{zone: zone, agents: make(map[netip.AddrPort]*agentState), views: make(map[string]*flow.View)}
}

// UseExpectedTime makes new flows go to the agents with the shortest expected time to an answer, as far as agents report
// the service times of their backend servers. It must be called before the steerer is used.
func (s *Steerer) UseExpectedTime() { s.byTime = true }

// SetViews replaces the members of all services. It keeps the state of agents that stay in the same service.
func (s *Steerer) SetViews(views map[string]*flow.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	agents := make(map[netip.AddrPort]*agentState)
	for _, v := range views {
		for i := range v.Members() {
			m := &v.Members()[i]
			st, ok := s.agents[m.DataAddress()]
			if !ok || st.service != v.Service() {
				st = &agentState{service: v.Service(), load: Load{Slots: defaultSlots, AcceptsFlows: true}}
			}
			st.zone, st.sameZone = m.Zone(), m.Zone() == s.zone
			st.inService = m.AcceptsFlows()
			agents[m.DataAddress()] = st
		}
	}
	s.agents, s.views = agents, views
}

// detouredSuspectTimeout replaces suspectTimeout for agents behind a detour, which are checked every 500 ms.
const detouredSuspectTimeout = 800 * time.Millisecond

func (st *agentState) suspect(now time.Time) bool {
	timeout := suspectTimeout
	if st.detoured {
		timeout = detouredSuspectTimeout
	}
	return !st.unansweredSince.IsZero() && now.Sub(st.unansweredSince) > timeout
}

// SetDetoured records whether an agent is reached through a relay. Such an agent gets new flows only when those of
// others wait longer.
func (s *Steerer) SetDetoured(agent netip.AddrPort, detoured bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st, ok := s.agents[agent]; ok {
		st.detoured = detoured
	}
}

func (s *Steerer) recordSent(now time.Time, agent netip.AddrPort) {
	st, ok := s.agents[agent]
	if !ok {
		return
	}
	st.lastSentAt = now
	if st.unansweredSince.IsZero() {
		st.unansweredSince = now
	}
}

// Owner returns the agent that owns a flow, or false if the balancer has no record of it.
func (s *Steerer) Owner(now time.Time, f FlowID) (netip.AddrPort, bool) {
	owner, ok := s.flows.Get(now, f)
	return owner.agent, ok
}

// SetOwner records the owner of a flow.
func (s *Steerer) SetOwner(now time.Time, f FlowID, agent netip.AddrPort) {
	s.searches.flows.Delete(f)
	s.flows.Update(now, f, func(v flowOwner, known bool) flowOwner {
		if !known {
			v.openedAt = now
		}
		v.agent = agent
		return v
	})
}

// maxLateMessage is how long after the entry of an agent a balancer may still read messages of the earlier agent at its
// address, which have waited while the balancer was paused.
const maxLateMessage = 500 * time.Millisecond

// contradicted reports whether a message of another service shows that the agent does not exist any more.
func (st *agentState) contradicted(now time.Time) bool {
	if st.reported {
		return true
	}
	if st.contradictedAt.IsZero() {
		st.contradictedAt = now
	}
	return now.Sub(st.contradictedAt) >= maxLateMessage
}

// SetLoad records the load that an agent of a service has reported. It returns false if the agent recorded at the
// address belongs to another service and does not exist any more.
func (s *Steerer) SetLoad(now time.Time, agent netip.AddrPort, service flow.ServiceID, l Load) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.agents[agent]
	if !ok {
		return true
	}
	if st.service != service {
		return !st.contradicted(now)
	}
	if s.byTime && !st.detoured && !st.unansweredSince.IsZero() {
		s.ways.Add(st.zone, now.Sub(st.unansweredSince))
	}
	st.smooth(now, l)
	st.load, st.reported, st.reportedAt = l, true, now
	st.unreported = 0
	st.unansweredSince, st.unansweredProbes = time.Time{}, 0
	return true
}

// Flows returns the number of flows that the balancer has a record of.
func (s *Steerer) Flows() int { return s.flows.Len() }

// Sweep removes flows without packets for longer than idle.
func (s *Steerer) Sweep(now time.Time, idle time.Duration) {
	s.flows.Sweep(now, func(_ flowOwner, unused time.Duration) bool { return unused > idle })
	s.searches.sweep(now)
}
