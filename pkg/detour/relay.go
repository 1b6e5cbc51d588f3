package detour

import (
	"net/netip"
	"time"
)

// Classes of relays, the most likely first.
const (
	thirdZone    = iota // neither the own zone nor that of the peer: reaches both if the link between these is down
	peerZone            // the zone of the peer: helps if the way to a single host is down
	ownZone             // the own zone
	relayClasses        // the number of classes
)

// checksPerClass is how many relays of a class are tried before the next class.
const checksPerClass = 2

func (p *Planner) relayClass(zone string, q *peer) int {
	switch zone {
	case p.zone:
		return ownZone
	case q.zone:
		return peerZone
	}
	return thirdZone
}

// relayFor returns a relay for a peer, or false if no other peer answers. Each unanswered check leads to another relay,
// and peers that differ use different relays, so that no relay gets all the load.
func (p *Planner) relayFor(now time.Time, q *peer) (netip.AddrPort, bool) {
	wanted := q.checks / checksPerClass
	hash := addressHash(q.address) + uint64(q.checks) //nolint:gosec // not negative
	for i := range relayClasses {
		if r := p.relayOf(now, q, (wanted+i)%relayClasses, hash); r != nil {
			return r.address, true
		}
	}
	return netip.AddrPort{}, false
}

// relayOf returns a relay of a class, or nil if no peer of the class answers.
func (p *Planner) relayOf(now time.Time, q *peer, class int, hash uint64) *peer {
	for i := range p.zoneOrder {
		z := p.zoneOrder[(hash+uint64(i))%uint64(len(p.zoneOrder))] //nolint:gosec // not negative
		if p.relayClass(z.name, q) != class {
			continue
		}
		for j := range z.peers {
			r := z.peers[(hash+uint64(j))%uint64(len(z.peers))] //nolint:gosec // not negative
			if r != q && r.canRelay(now) {
				return r
			}
		}
	}
	return nil
}

// addressHash spreads neighboring addresses (FNV-1a).
func addressHash(a netip.AddrPort) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, b := range a.Addr().As16() {
		h = (h ^ uint64(b)) * prime
	}
	return (h ^ uint64(a.Port())) * prime
}
