package flow

import (
	"net/netip"
	"time"
)

// Steerer is a balancer's decision where a caller's packet goes. It is safe for concurrent use.
type Steerer struct{ cache *Cache }

// NewSteerer returns a steerer that remembers owners in a cache.
func NewSteerer(cache *Cache) *Steerer { return &Steerer{cache: cache} }

// Decision is the member that gets a packet; Cached means that the member is known as the flow's owner.
type Decision struct {
	Member *Member
	Cached bool
}

// Steer returns the member of the view that gets a caller's packet, or false when there is none.
//
// A cached owner is used while it is in the view, even when others think that it is dead, so that a wrong
// verdict breaks no flow. It is not used for opening packets when it takes no new flows.
func (s *Steerer) Steer(now time.Time, v *View, caller netip.AddrPort, opening bool) (Decision, bool) {
	hash := NewKey(caller, v.service).Hash()
	if owner, ok := s.cache.Get(now, hash); ok {
		if m, ok := v.Member(owner); ok && (m.opens || !opening) {
			return Decision{Member: m, Cached: true}, true
		}
	}
	m := v.TopRanked(hash, opening, Visited{})
	return Decision{Member: m}, m != nil
}

// SetOwner notes the owner of a flow, which the established flag of a return datagram announces.
func (s *Steerer) SetOwner(now time.Time, key Key, owner ShortID) {
	if owner != 0 {
		s.cache.Put(now, key.Hash(), owner)
	}
}
