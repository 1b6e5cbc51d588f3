package flow

import (
	"net/netip"
	"time"
)

// Steerer selects the member to which a balancer forwards a caller's packet. It is safe for concurrent use.
type Steerer struct{ cache *Cache }

// NewSteerer returns a steerer that keeps the owners of flows in cache.
func NewSteerer(cache *Cache) *Steerer { return &Steerer{cache: cache} }

// Decision holds the member that receives a packet. Cached is true if the member is the cached owner of the flow.
type Decision struct {
	Member *Member
	Cached bool
}

// Steer returns the member of the view that receives a caller's packet, or false if no member is eligible.
//
// A cached owner is used as long as it is in the view, even if it is marked as dead, so that a member wrongly
// marked as dead keeps its flows. Opening packets skip a cached owner that accepts no new flows.
func (s *Steerer) Steer(now time.Time, v *View, caller netip.AddrPort, opening bool) (Decision, bool) {
	hash := NewKey(caller, v.service).Hash()
	owner, _ := s.cache.Get(now, hash)
	return steer(v, hash, owner, opening)
}

// steer decides by the cached owner of a flow, 0 if there is none.
func steer(v *View, hash uint64, owner ShortID, opening bool) (Decision, bool) {
	if owner != 0 {
		if m, ok := v.Member(owner); ok && (m.acceptsFlows || !opening) {
			return Decision{Member: m, Cached: true}, true
		}
	}
	m := v.TopRanked(hash, opening, Visited{})
	return Decision{Member: m}, m != nil
}

// Explanation is the decision about an opening packet with its inputs.
type Explanation struct {
	Decision
	// Owner is the cached owner of the flow, or nil.
	Owner *Member
	// Ranked are the members that accept flows, the highest-ranked first.
	Ranked []*Member
}

// Explain returns the decision that Steer would take about an opening packet, or false if no member is eligible. It does
// not count as a use of the flow.
func (s *Steerer) Explain(v *View, caller netip.AddrPort) (Explanation, bool) {
	hash := NewKey(caller, v.service).Hash()
	owner := s.cache.peek(hash)
	d, ok := steer(v, hash, owner, true)
	e := Explanation{Decision: d, Ranked: v.ranked(hash)}
	if owner != 0 {
		e.Owner, _ = v.Member(owner)
	}
	return e, ok
}

// SetOwner caches the owner of a flow, unless it is 0. Balancers call it for a return datagram with the established flag.
func (s *Steerer) SetOwner(now time.Time, key Key, owner ShortID) {
	if owner != 0 {
		s.cache.Put(now, key.Hash(), owner)
	}
}
