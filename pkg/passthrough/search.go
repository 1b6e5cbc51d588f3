package passthrough

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// searchInterval is the minimum interval between searches for the owner of one flow. Callers retransmit after
	// 200 ms at the earliest.
	searchInterval = 150 * time.Millisecond
	// searchVisitsPerSecond limits how many agents a balancer visits in searches, which bounds their cost after a loss
	// of all records.
	searchVisitsPerSecond = 20_000
	// maxSearchedAgents is the number of agents up to which a search includes the agents of all services.
	maxSearchedAgents = 1024
	// MaxSearchGroup is the maximum number of agents in a search group, which fit into one datagram beside a packet.
	MaxSearchGroup = 48
)

// SearchGroup is a set of agents to search for the owner of a flow. The first one passes the packet on to the others, so
// that the entry host sends it once for each group.
type SearchGroup []netip.AddrPort

// Search returns the agents, in groups, to which a packet of a flow without a known owner is sent. These are the agents
// of all services, since a route may have led to another service when the flow opened, or only those of the given
// services if there are very many. It returns nil if the flow was searched for within searchInterval or the rate limit
// is reached: the caller retransmits.
func (s *Steerer) Search(now time.Time, f FlowID, services ...string) []SearchGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.searchesAllServices() {
		services = slices.Sorted(maps.Keys(s.views))
	}
	var responsive, others []netip.AddrPort
	for _, service := range services {
		v, ok := s.views[service]
		if !ok {
			continue
		}
		for i := range v.Members() {
			a := v.Members()[i].DataAddress()
			if st, ok := s.agents[a]; ok && st.reported && !st.suspect(now) {
				responsive = append(responsive, a)
			} else {
				others = append(others, a)
			}
		}
	}
	n, ok := s.searches.allow(now, f, len(responsive)+len(others))
	if !ok {
		return nil
	}
	return searchGroups(responsive, others, int(f.Hash()%MaxSearchGroup)+n)
}

func (s *Steerer) searchesAllServices() bool { return len(s.agents) <= maxSearchedAgents }

// Denial is the outcome of a search so far: SomeDeny, AllDeny or AllRestarted.
type Denial uint8

// Outcomes of a search.
const (
	// SomeDeny means that an agent has not denied the flow.
	SomeDeny Denial = iota
	// AllDeny means that the agents of all services have denied the flow: no backend server in the current views holds it.
	AllDeny
	// AllRestarted means that all have denied it, and that all have just started together with their backend servers, so
	// the flow was lost in an outage of all hosts.
	AllRestarted
)

// Deny records that the backend server of an agent does not hold a flow; restarted means that both have just started. Once
// all agents have denied the flow it is forgotten, so that later packets of it start another search.
func (s *Steerer) Deny(now time.Time, f FlowID, agent netip.AddrPort, restarted bool) Denial {
	s.mu.Lock()
	defer s.mu.Unlock()
	denied := s.searches.deny(now, f, agent, restarted)
	if !s.searchesAllServices() {
		return SomeDeny
	}
	outcome := s.denial(now, denied)
	if outcome != SomeDeny {
		s.searches.flows.Delete(f)
	}
	return outcome
}

// searchGroups distributes agents over groups. Each group starts with a responsive agent if there are enough, and
// rotation varies which ones these are, since one that has just stopped would lose its group in each search.
func searchGroups(responsive, others []netip.AddrPort, rotation int) []SearchGroup {
	total := len(responsive) + len(others)
	groups := make([]SearchGroup, (total+MaxSearchGroup-1)/MaxSearchGroup)
	if len(groups) == 0 {
		return nil
	}
	next := 0
	add := func(a netip.AddrPort) {
		groups[next%len(groups)] = append(groups[next%len(groups)], a)
		next++
	}
	for i := range responsive {
		add(responsive[(i+rotation)%len(responsive)])
	}
	for _, a := range others {
		add(a)
	}
	return groups
}

// searchLimiter limits searches for each flow and in total; the zero value allows searches.
type searchLimiter struct {
	flows Table[flowSearch]

	mu     sync.Mutex
	visits float64 // agents that may be visited at the time at
	at     time.Time
}

// flowSearch is the state of the searches for one flow.
type flowSearch struct {
	last  time.Time
	count int
	// denied holds the agents whose backend servers do not hold the flow, and whether both have just started.
	denied map[netip.AddrPort]bool
	// ack is what the caller's last searched packet acknowledged.
	ack uint32
}

// allow reports whether a search that visits the given number of agents may start, and returns how many searches for the
// flow there were before.
func (l *searchLimiter) allow(now time.Time, f FlowID, visits int) (before int, ok bool) {
	old, known := l.flows.Get(now, f)
	if visits == 0 || known && now.Sub(old.last) < searchInterval || !l.takeVisits(now, visits) {
		return 0, false
	}
	l.flows.Update(now, f, func(v flowSearch, _ bool) flowSearch {
		v.last, v.count = now, old.count+1
		return v
	})
	return old.count, true
}

// deny records an agent that denies a flow that was searched for, and returns all of them. The caller must hold the lock
// of the steerer while it uses the result.
func (l *searchLimiter) deny(now time.Time, f FlowID, agent netip.AddrPort, restarted bool) map[netip.AddrPort]bool {
	if _, ok := l.flows.Get(now, f); !ok {
		return nil
	}
	var denied map[netip.AddrPort]bool
	l.flows.Update(now, f, func(v flowSearch, _ bool) flowSearch {
		if v.denied == nil {
			v.denied = make(map[netip.AddrPort]bool)
		}
		v.denied[agent] = restarted
		denied = v.denied
		return v
	})
	return denied
}

func (l *searchLimiter) takeVisits(now time.Time, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.visits = min(l.visits+now.Sub(l.at).Seconds()*searchVisitsPerSecond, searchVisitsPerSecond)
	l.at = now
	if l.visits < float64(n) {
		return false
	}
	l.visits -= float64(n)
	return true
}

// flowSearchTTL is how long a balancer remembers a search; callers give up within it.
const flowSearchTTL = 3 * time.Second

func (l *searchLimiter) sweep(now time.Time) {
	l.flows.Sweep(now, func(_ flowSearch, unused time.Duration) bool { return unused > flowSearchTTL })
}
