package passthrough

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

const (
	// suspectAfter is several round trips between zones; an agent that is silent longer gets no new flows.
	suspectAfter = 150 * time.Millisecond
	// probesPerSecond bounds what probes cost a balancer before many agents, of which most have no traffic from it.
	probesPerSecond = 100
	// isolatedAfter is how long no agent has answered a balancer that is cut off; it is longer than a restart of all
	// agents' processes would need to answer a probe.
	isolatedAfter = 400 * time.Millisecond
	// probeInterval bounds how old the news of an agent without traffic gets.
	probeInterval = 500 * time.Millisecond
	// suspectProbeInterval lets an agent that is back get flows soon.
	suspectProbeInterval = 100 * time.Millisecond
	// reportLife is how long a reported load counts; later the agent counts as idle.
	reportLife = time.Second
	// directorySize is how many agents remember the owner of a flow.
	directorySize = 2
	// alternatives is how many further agents a packet that opens a flow may visit.
	alternatives = 3
	// copyTime is longer than a caller repeats the packet that opens a flow; later it is a new flow.
	copyTime = 1500 * time.Millisecond
	// assumedSlots is the slots of an agent that has not reported yet.
	assumedSlots = 2
)

// Steerer is a balancer's decision which agent gets a caller's packet. It is safe for concurrent use.
//
// New flows go to the agent with the shortest expected wait, and later packets to the agent that is known to own
// the flow. For a flow that the balancer does not know, the packet visits the agents that remember owners and then
// the other agents of the service.
type Steerer struct {
	zone  string
	flows Table[steered]

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	views map[string]*flow.View
	// probeTokens is how many probes may be sent by probedAt.
	probeTokens float64
	probedAt    time.Time
}

// steered is what a balancer remembers of a flow.
type steered struct {
	agent  netip.AddrPort
	opened time.Time
}

// peer is an agent as a balancer sees it.
type peer struct {
	service    flow.ServiceID
	load       Load
	sameZone   bool
	admitted   bool // by the operator's and the agent's own state in the store
	reported   bool
	reportedAt time.Time
	unreported int       // flows sent since the last report
	waiting    time.Time // when the oldest message without an answer was sent; zero when there is none
	sent       time.Time
}

// NewSteerer returns the steerer of a balancer in a zone.
func NewSteerer(zone string) *Steerer {
	return &Steerer{zone: zone, peers: make(map[netip.AddrPort]*peer), views: make(map[string]*flow.View)}
}

// SetViews replaces the members of all services.
func (s *Steerer) SetViews(views map[string]*flow.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make(map[netip.AddrPort]*peer)
	for _, v := range views {
		for i := range v.Members() {
			m := &v.Members()[i]
			p, ok := s.peers[m.DataAddress()]
			if !ok || p.service != v.Service() {
				p = &peer{service: v.Service(), load: Load{Slots: assumedSlots, AcceptsFlows: true}}
			}
			p.sameZone = m.Zone() == s.zone
			p.admitted = m.AcceptsFlows()
			peers[m.DataAddress()] = p
		}
	}
	s.peers, s.views = peers, views
}

// Placement says where a packet that opens a flow goes.
type Placement struct {
	Target netip.AddrPort
	// Alternatives are the agents to which the target may pass the packet on.
	Alternatives Path
	// Directory are the agents that are told the owner of the flow.
	Directory Path
}

// Place returns where a packet that opens a flow to a service goes, or false when no agent takes new flows.
func (s *Steerer) Place(now time.Time, seg Segment, service string) (Placement, bool) {
	known, repeated := s.flows.Get(now, seg.Flow())
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.views[service]
	if !ok {
		return Placement{}, false
	}
	hash := seg.Flow().Hash()
	var o Placement
	repeated = repeated && now.Sub(known.opened) < copyTime && s.usable(now, known.agent)
	if repeated {
		o.Target = known.agent
	}
	s.rank(now, v, hash, &o)
	if !o.Target.IsValid() {
		return Placement{}, false
	}
	s.note(now, o.Target)
	if !repeated {
		s.peers[o.Target].unreported++
		s.flows.Put(now, seg.Flow(), steered{agent: o.Target, opened: now})
	}
	var tried flow.Visited
	for range directorySize {
		m := v.TopRanked(hash, false, tried)
		if m == nil {
			break
		}
		tried.Add(m.ShortID())
		o.Directory.Add(m.DataAddress())
	}
	return o, true
}

// usable reports whether an agent takes new flows and answers.
func (s *Steerer) usable(now time.Time, agent netip.AddrPort) bool {
	p, ok := s.peers[agent]
	return ok && p.admitted && p.load.AcceptsFlows && !p.suspect(now)
}

// rank fills in the target, unless it is set, and the alternatives by expected wait.
// When all agents are suspect they are used all the same, since the balancer itself may be cut off.
func (s *Steerer) rank(now time.Time, v *flow.View, hash uint64, o *Placement) {
	members := v.Members()
	if len(members) == 0 {
		return
	}
	var best [alternatives + 1]netip.AddrPort
	var costs [alternatives + 1]float64
	n := 0
	start := int(hash % uint64(len(members)))
	for i := range members {
		a := members[(start+i)%len(members)].DataAddress()
		p, ok := s.peers[a]
		if !ok || !p.admitted || !p.load.AcceptsFlows || a == o.Target {
			continue
		}
		c := p.cost(now)
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
		} else if o.Alternatives.Len() < alternatives {
			o.Alternatives.Add(a)
		}
	}
}

// suspectCost ranks agents that do not answer behind all others.
const suspectCost = 1e6

func (p *peer) cost(now time.Time) float64 {
	l := p.load
	if now.Sub(p.reportedAt) > reportLife {
		l.InProgress = 0
	}
	c := l.cost(p.unreported, p.sameZone)
	if p.suspect(now) {
		c += suspectCost
	}
	return c
}

func (p *peer) suspect(now time.Time) bool {
	return !p.waiting.IsZero() && now.Sub(p.waiting) > suspectAfter
}

func (s *Steerer) note(now time.Time, agent netip.AddrPort) {
	p, ok := s.peers[agent]
	if !ok {
		return
	}
	p.sent = now
	if p.waiting.IsZero() {
		p.waiting = now
	}
}

// Owner returns the agent that owns a flow, if the balancer knows it.
func (s *Steerer) Owner(now time.Time, f FlowID) (netip.AddrPort, bool) {
	known, ok := s.flows.Get(now, f)
	return known.agent, ok
}

// OwnerCandidates returns the agents of a service to ask for the owner of a flow that the balancer does not know.
func (s *Steerer) OwnerCandidates(f FlowID, service string) Path {
	s.mu.Lock()
	defer s.mu.Unlock()
	var p Path
	v, ok := s.views[service]
	if !ok {
		return p
	}
	var tried flow.Visited
	for hash := f.Hash(); ; {
		m := v.TopRanked(hash, false, tried)
		if m == nil || !tried.Add(m.ShortID()) || !p.Add(m.DataAddress()) {
			return p
		}
	}
}

// SetOwner notes the owner of a flow.
func (s *Steerer) SetOwner(now time.Time, f FlowID, agent netip.AddrPort) {
	s.flows.Update(now, f, func(v steered, known bool) steered {
		if !known {
			v.opened = now
		}
		v.agent = agent
		return v
	})
}

// SetLoad notes the load that an agent of a service has told. It reports false when the agent at the address is known
// as one of another service.
func (s *Steerer) SetLoad(now time.Time, agent netip.AddrPort, service flow.ServiceID, l Load) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.peers[agent]
	if !ok {
		return true
	}
	if p.service != service {
		return false
	}
	p.load, p.reported, p.reportedAt = l, true, now
	p.unreported = 0
	p.waiting = time.Time{}
	return true
}

// DueProbes returns the agents that have to be asked for their load now: first those that have not answered, then those
// of which there has been no news for the longest time, within the budget of probes.
func (s *Steerer) DueProbes(now time.Time) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probeTokens = min(s.probeTokens+now.Sub(s.probedAt).Seconds()*probesPerSecond, probesPerSecond)
	s.probedAt = now
	var due []netip.AddrPort
	for a, p := range s.peers {
		interval := probeInterval
		if !p.waiting.IsZero() {
			interval = suspectProbeInterval
		}
		if now.Sub(p.sent) >= interval && now.Sub(p.reportedAt) >= interval {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b netip.AddrPort) int {
		p, q := s.peers[a], s.peers[b]
		if p.waiting.IsZero() != q.waiting.IsZero() {
			if q.waiting.IsZero() {
				return -1
			}
			return 1
		}
		return p.sent.Compare(q.sent)
	})
	due = due[:min(len(due), int(s.probeTokens))]
	s.probeTokens -= float64(len(due))
	for _, a := range due {
		s.note(now, a)
	}
	return due
}

// UnansweredFor returns how long an agent has not answered; 0 means that it has answered all messages.
func (s *Steerer) UnansweredFor(now time.Time, agent netip.AddrPort) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.peers[agent]
	if !ok || p.waiting.IsZero() {
		return 0
	}
	return now.Sub(p.waiting)
}

// Isolated reports whether the balancer knows agents and none of them has answered for a while.
func (s *Steerer) Isolated(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if p.waiting.IsZero() || now.Sub(p.waiting) < isolatedAfter {
			return false
		}
	}
	return len(s.peers) > 0
}

// Flows returns the number of flows that the balancer remembers.
func (s *Steerer) Flows() int { return s.flows.Len() }

// Sweep forgets flows without packets for longer than idle.
func (s *Steerer) Sweep(now time.Time, idle time.Duration) {
	s.flows.Sweep(now, func(_ steered, unused time.Duration) bool { return unused > idle })
}
