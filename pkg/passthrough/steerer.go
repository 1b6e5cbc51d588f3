package passthrough

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

const (
	// suspectTimeout is several round trips between zones. An agent that has left a message unanswered for longer gets
	// no new flows.
	suspectTimeout = 150 * time.Millisecond
	// probesPerSecond limits the cost of probes for a balancer with many agents, most of which have no traffic from it.
	probesPerSecond = 100
	// isolationTimeout is how long no agent has answered before the balancer counts as isolated. It is longer than
	// agents need to answer a probe after a restart of all their processes.
	isolationTimeout = 400 * time.Millisecond
	// probeInterval limits the age of the last report of an agent without traffic.
	probeInterval = 500 * time.Millisecond
	// suspectProbeInterval is short, so that an agent gets flows soon after it answers again.
	suspectProbeInterval = 100 * time.Millisecond
	// reportTTL is how long a reported load counts; after that the agent counts as idle.
	reportTTL = time.Second
	// directorySize is how many agents keep a record of the owner of a flow.
	directorySize = 2
	// maxCandidates is how many agents a packet of a flow without a known owner visits: the directory, and those that
	// were the directory before agents joined. After these, all agents are searched.
	maxCandidates = 4
	// maxSuspects is how many higher-ranked agents that do not answer may be left out of the candidates.
	maxSuspects = MaxPath - maxCandidates
	// maxAlternatives is how many further agents an opening packet may visit.
	maxAlternatives = 3
	// retransmissionPeriod is longer than a caller retransmits an opening packet; a later packet opens a new flow.
	retransmissionPeriod = 1500 * time.Millisecond
	// defaultSlots is the number of slots assumed for an agent that has not reported yet.
	defaultSlots = 2
)

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
	sameZone        bool
	inService       bool // accepts flows according to the operator's and the agent's state in the store
	reported        bool
	reportedAt      time.Time
	unreported      int       // flows placed since the last report
	unansweredSince time.Time // when the oldest unanswered message was sent; zero if there is none
	lastSentAt      time.Time
}

// NewSteerer returns the steerer of a balancer in the given zone.
func NewSteerer(zone string) *Steerer {
	return &Steerer{zone: zone, agents: make(map[netip.AddrPort]*agentState), views: make(map[string]*flow.View)}
}

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
			st.sameZone = m.Zone() == s.zone
			st.inService = m.AcceptsFlows()
			agents[m.DataAddress()] = st
		}
	}
	s.agents, s.views = agents, views
}

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

// topRanked returns the n highest-ranked agents of a view that may own flows.
func topRanked(v *flow.View, hash uint64, n int) Path {
	var p Path
	var visited flow.Visited
	for p.Len() < n {
		m := v.TopRanked(hash, false, visited)
		if m == nil {
			break
		}
		visited.Add(m.ShortID())
		p.Add(m.DataAddress())
	}
	return p
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

func (st *agentState) suspect(now time.Time) bool {
	return !st.unansweredSince.IsZero() && now.Sub(st.unansweredSince) > suspectTimeout
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

// OwnerCandidates returns the agents of a service that may have a record of the owner of a flow, in the order in which a
// packet visits them, and the directory of the flow. An agent that does not answer would end the packet's path, so it is
// left out unless all are silent.
func (s *Steerer) OwnerCandidates(now time.Time, f FlowID, service string) (candidates, directory Path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.views[service]
	if !ok {
		return candidates, directory
	}
	return s.candidates(now, v, f.Hash())
}

func (s *Steerer) candidates(now time.Time, v *flow.View, hash uint64) (candidates, directory Path) {
	candidates = s.responsive(now, topRanked(v, hash, maxCandidates+maxSuspects))
	for _, a := range candidates.All()[:min(directorySize, candidates.Len())] {
		directory.Add(a)
	}
	return candidates, directory
}

// responsive returns the first maxCandidates agents that are not suspect, or the first ones if all are.
func (s *Steerer) responsive(now time.Time, ranked Path) Path {
	var usable, first Path
	for _, a := range ranked.All() {
		if first.Len() < maxCandidates {
			first.Add(a)
		}
		if st, ok := s.agents[a]; ok && !st.suspect(now) && usable.Len() < maxCandidates {
			usable.Add(a)
		}
	}
	if usable.Len() == 0 {
		return first
	}
	return usable
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

// SetLoad records the load that an agent of a service has reported. It returns false if the agent recorded at the
// address belongs to another service.
func (s *Steerer) SetLoad(now time.Time, agent netip.AddrPort, service flow.ServiceID, l Load) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.agents[agent]
	if !ok {
		return true
	}
	if st.service != service {
		return false
	}
	st.load, st.reported, st.reportedAt = l, true, now
	st.unreported = 0
	st.unansweredSince = time.Time{}
	return true
}

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

// Flows returns the number of flows that the balancer has a record of.
func (s *Steerer) Flows() int { return s.flows.Len() }

// Sweep removes flows without packets for longer than idle.
func (s *Steerer) Sweep(now time.Time, idle time.Duration) {
	s.flows.Sweep(now, func(_ flowOwner, unused time.Duration) bool { return unused > idle })
	s.searches.sweep(now)
}
