package flow

import (
	"cmp"
	"net/netip"
	"slices"
)

// Member is an agent and its backend server in the view of a service.
type Member struct {
	id           string
	shortID      ShortID
	hash         uint64
	dataAddress  netip.AddrPort
	zone         string
	acceptsFlows bool
	ownsFlows    bool
}

// NewMember returns a member that receives packets at dataAddress. acceptsFlows states whether it may take new flows,
// and ownsFlows whether it may own flows.
func NewMember(id string, dataAddress netip.AddrPort, zone string, acceptsFlows, ownsFlows bool) Member {
	short := ShortIDOf(id)
	return Member{
		id: id, shortID: short, hash: mix(uint64(short)), dataAddress: dataAddress, zone: zone,
		acceptsFlows: acceptsFlows, ownsFlows: ownsFlows,
	}
}

// ID returns the id of the agent.
func (m *Member) ID() string { return m.id }

// ShortID returns the short id of the agent.
func (m *Member) ShortID() ShortID { return m.shortID }

// DataAddress returns the address that receives forwarded packets.
func (m *Member) DataAddress() netip.AddrPort { return m.dataAddress }

// Zone returns the availability zone.
func (m *Member) Zone() string { return m.zone }

// AcceptsFlows reports whether the member may take new flows.
func (m *Member) AcceptsFlows() bool { return m.acceptsFlows }

// OwnsFlows reports whether the member may own flows.
func (m *Member) OwnsFlows() bool { return m.ownsFlows }

// mix is the finalizer of SplitMix64: each input bit affects all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// score returns the rendezvous score of a member for a flow; the highest score ranks first.
func (m *Member) score(flowHash uint64) uint64 {
	return mix(flowHash ^ m.hash)
}

// View is an immutable snapshot of the members of one customer service.
type View struct {
	service ServiceID
	members []Member
}

// NewView returns a view of a service; the members may be in any order.
func NewView(service ServiceID, members []Member) *View {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return int(int64(a.shortID) - int64(b.shortID)) })
	return &View{service: service, members: members}
}

// Service returns the id of the customer service.
func (v *View) Service() ServiceID { return v.service }

// Members returns the members sorted by short id; callers must not change them.
func (v *View) Members() []Member { return v.members }

// Member returns the member with the given short id, or false if the view has none.
func (v *View) Member(id ShortID) (*Member, bool) {
	i, ok := slices.BinarySearchFunc(v.members, id, func(m Member, id ShortID) int {
		return int(int64(m.shortID) - int64(id))
	})
	if !ok {
		return nil, false
	}
	return &v.members[i], true
}

// TopRanked returns the highest-ranked member for a flow among those not yet visited that accept flows (opening)
// or own flows (not opening). It returns nil if there is none.
func (v *View) TopRanked(flowHash uint64, opening bool, visited Visited) *Member {
	var best *Member
	var bestScore uint64
	for i := range v.members {
		m := &v.members[i]
		if !m.eligible(opening) || visited.Has(m.shortID) {
			continue
		}
		if s := m.score(flowHash); best == nil || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// ranked returns the members that accept flows in the order in which TopRanked returns them.
func (v *View) ranked(flowHash uint64) []*Member {
	var all []*Member
	for i := range v.members {
		if v.members[i].eligible(true) {
			all = append(all, &v.members[i])
		}
	}
	slices.SortStableFunc(all, func(a, b *Member) int { return cmp.Compare(b.score(flowHash), a.score(flowHash)) })
	return all
}

func (m *Member) eligible(opening bool) bool {
	if opening {
		return m.acceptsFlows
	}
	return m.ownsFlows
}

// MaxVisited is the maximum number of agents that one packet may visit.
const MaxVisited = 8

// Visited lists the agents that a packet has visited; the zero value is empty.
type Visited struct {
	ids [MaxVisited]ShortID
	n   uint8
}

// Add appends an agent. It returns false if the list is full.
func (v *Visited) Add(id ShortID) bool {
	if int(v.n) == MaxVisited {
		return false
	}
	v.ids[v.n] = id
	v.n++
	return true
}

// Has reports whether the packet has visited the agent.
func (v Visited) Has(id ShortID) bool {
	return slices.Contains(v.ids[:v.n], id)
}

// Len returns the number of agents visited.
func (v Visited) Len() int { return int(v.n) }

// IDs returns the agents in the order in which they were visited.
func (v *Visited) IDs() []ShortID { return v.ids[:v.n] }
