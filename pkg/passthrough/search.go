package passthrough

import (
	"net/netip"
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
	// MaxSearchGroup is the maximum number of agents in a search group, which fit into one datagram beside a packet.
	MaxSearchGroup = 48
)

// SearchGroup is a set of agents to search for the owner of a flow. The first one passes the packet on to the others, so
// that the entry host sends it once for each group.
type SearchGroup []netip.AddrPort

// Search returns the agents of the services, in groups, to which a packet of a flow without a known owner is sent. It
// returns nil if the flow was searched for within searchInterval or the rate limit is reached: the caller retransmits.
func (s *Steerer) Search(now time.Time, f FlowID, services ...string) []SearchGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// flowSearch counts the searches for one flow.
type flowSearch struct {
	last  time.Time
	count int
}

// allow reports whether a search that visits the given number of agents may start, and returns how many searches for the
// flow there were before.
func (l *searchLimiter) allow(now time.Time, f FlowID, visits int) (before int, ok bool) {
	old, known := l.flows.Get(now, f)
	if visits == 0 || known && now.Sub(old.last) < searchInterval || !l.takeVisits(now, visits) {
		return 0, false
	}
	l.flows.Put(now, f, flowSearch{last: now, count: old.count + 1})
	return old.count, true
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
const flowSearchTTL = 5 * time.Second

func (l *searchLimiter) sweep(now time.Time) {
	l.flows.Sweep(now, func(_ flowSearch, unused time.Duration) bool { return unused > flowSearchTTL })
}
