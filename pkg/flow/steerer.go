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
	if owner, ok := s.cache.Get(now, hash); ok {
		if m, ok := v.Member(owner); ok && (m.acceptsFlows || !opening) {
			return Decision{Member: m, Cached: true}, true
		}
	}
	m := v.TopRanked(hash, opening, Visited{})
	return Decision{Member: m}, m != nil
}

// SetOwner caches the owner of a flow, unless it is 0. Balancers call it for a return datagram with the established flag.
func (s *Steerer) SetOwner(now time.Time, key Key, owner ShortID) {
	if owner != 0 {
		s.cache.Put(now, key.Hash(), owner)
	}
}
