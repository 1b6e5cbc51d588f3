package flow

import (
	"net/netip"
	"slices"
)

// Member is a backend server with its agent, as steering sees it.
type Member struct {
	id    string
	short ShortID
	hash  uint64
	data  netip.AddrPort
	zone  string
	opens bool
	holds bool
}

// NewMember returns a member that receives packets at data; opens means that it may take new flows,
// and holds that it may own flows.
func NewMember(id string, data netip.AddrPort, zone string, opens, holds bool) Member {
	short := ShortIDOf(id)
	return Member{id: id, short: short, hash: mix(uint64(short)), data: data, zone: zone, opens: opens, holds: holds}
}

// ID returns the id of the agent.
func (m *Member) ID() string { return m.id }

// ShortID returns the short id of the agent.
func (m *Member) ShortID() ShortID { return m.short }

// DataAddress returns the address that receives forwarded packets.
func (m *Member) DataAddress() netip.AddrPort { return m.data }

// Zone returns the availability zone.
func (m *Member) Zone() string { return m.zone }

// AcceptsFlows reports whether the member may take new flows.
func (m *Member) AcceptsFlows() bool { return m.opens }

// OwnsFlows reports whether the member may own flows.
func (m *Member) OwnsFlows() bool { return m.holds }

// mix is the finalizer of SplitMix64; it spreads every input bit over the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// score is the rendezvous score of a member for a flow; the highest ranks first.
func (m *Member) score(flowHash uint64) uint64 {
	return mix(flowHash ^ m.hash)
}

// View is the state of one customer service as steering sees it; it is never changed after it is made.
type View struct {
	service ServiceID
	members []Member
}

// NewView returns a view of a service with its members in any order.
func NewView(service ServiceID, members []Member) *View {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return int(int64(a.short) - int64(b.short)) })
	return &View{service: service, members: members}
}

// Service returns the id of the customer service.
func (v *View) Service() ServiceID { return v.service }

// Members returns the members sorted by short id; callers must not change them.
func (v *View) Members() []Member { return v.members }

// Member returns the member with a short id.
func (v *View) Member(id ShortID) (*Member, bool) {
	i, ok := slices.BinarySearchFunc(v.members, id, func(m Member, id ShortID) int {
		return int(int64(m.short) - int64(id))
	})
	if !ok {
		return nil, false
	}
	return &v.members[i], true
}

// TopRanked returns the member that ranks first for a flow among those that may take new flows (opening)
// or may own flows, without those already tried; nil means that there is none.
func (v *View) TopRanked(flowHash uint64, opening bool, tried Visited) *Member {
	var best *Member
	var bestScore uint64
	for i := range v.members {
		m := &v.members[i]
		if !m.eligible(opening) || tried.Has(m.short) {
			continue
		}
		if s := m.score(flowHash); best == nil || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

func (m *Member) eligible(opening bool) bool {
	if opening {
		return m.opens
	}
	return m.holds
}

// MaxVisited bounds how many agents one packet may visit.
const MaxVisited = 8

// Visited lists the agents that a packet has visited; the zero value is empty.
type Visited struct {
	ids [MaxVisited]ShortID
	n   uint8
}

// Add appends an agent and reports whether there was room.
func (t *Visited) Add(id ShortID) bool {
	if int(t.n) == MaxVisited {
		return false
	}
	t.ids[t.n] = id
	t.n++
	return true
}

// Has reports whether the packet has visited an agent.
func (t Visited) Has(id ShortID) bool {
	return slices.Contains(t.ids[:t.n], id)
}

// Len returns the number of agents visited.
func (t Visited) Len() int { return int(t.n) }

// IDs returns the agents in the order in which they were visited.
func (t *Visited) IDs() []ShortID { return t.ids[:t.n] }
