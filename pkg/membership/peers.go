package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleymast/bramleymast/pkg/board"
)

func compareStrings(a, b string) int { return strings.Compare(a, b) }

func compareIDs(a, b board.ID) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Key, b.Key))
}

// peer is another balancer.
type peer struct {
	id      string
	hash    uint64
	zone    string
	control netip.AddrPort
}

// peers caches the balancers on the board.
type peers struct {
	dirty bool
	// byZone holds the live balancers, and zoneNames their zones in order.
	byZone    map[string][]peer
	zoneNames []string
	zoneOf    map[netip.AddrPort]string
	// dead holds the control addresses of balancers that are dead or in an unreachable zone.
	dead []netip.AddrPort
	// lastSeen is when a message from any balancer of a zone was last received.
	lastSeen map[string]time.Time
	// unreachable holds the balancers of unreachable zones, and unreachableZones these zones in order.
	unreachable      map[string][]peer
	unreachableZones []string
}

// refresh rebuilds the cache if a balancer or the reachability of a zone has changed.
func (p *peers) refresh(n *Node) {
	if !p.dirty {
		return
	}
	p.dirty = false
	p.byZone = make(map[string][]peer)
	p.zoneOf = make(map[netip.AddrPort]string)
	p.zoneNames, p.dead = nil, nil
	p.unreachable, p.unreachableZones = make(map[string][]peer), nil
	for _, id := range n.index.balancerIDs() {
		r, _ := n.board.Get(id)
		b, ok := r.Value.(board.Balancer)
		if !ok || r.ID == n.self {
			continue
		}
		p.zoneOf[b.ControlAddress] = b.Zone
		if r.Version.Liveness == board.Dead {
			p.dead = append(p.dead, b.ControlAddress)
		}
		if r.Version.Liveness == board.Dead || b.Leaving {
			continue
		}
		entry := peer{id: r.ID.Key, hash: xxhash.Sum64String(r.ID.Key), zone: b.Zone, control: b.ControlAddress}
		if n.isZoneUnreachable(b.Zone) {
			p.addUnreachable(entry)
			continue
		}
		if _, ok := p.byZone[b.Zone]; !ok {
			p.zoneNames = append(p.zoneNames, b.Zone)
		}
		p.byZone[b.Zone] = append(p.byZone[b.Zone], entry)
	}
	slices.Sort(p.zoneNames)
	slices.Sort(p.unreachableZones)
}

func (p *peers) addUnreachable(entry peer) {
	if _, ok := p.unreachable[entry.zone]; !ok {
		p.unreachableZones = append(p.unreachableZones, entry.zone)
	}
	p.unreachable[entry.zone] = append(p.unreachable[entry.zone], entry)
	p.dead = append(p.dead, entry.control)
}

// seen records that a message arrived from an address, if it is that of a balancer.
func (p *peers) seen(n *Node, from netip.AddrPort) {
	p.refresh(n)
	zone, ok := p.zoneOf[from]
	if !ok {
		return
	}
	if p.lastSeen == nil {
		p.lastSeen = make(map[string]time.Time)
	}
	p.lastSeen[zone] = n.now
	delete(n.liveness.recoveredZones, zone)
	n.zoneSeen(zone)
}

// zones returns the other zones with live balancers, sorted.
func (p *peers) zones(n *Node) []string {
	p.refresh(n)
	out := make([]string, 0, len(p.zoneNames))
	for _, z := range p.zoneNames {
		if z != n.cfg.Zone {
			out = append(out, z)
		}
	}
	return out
}

func (p *peers) count(n *Node) int {
	p.refresh(n)
	total := 0
	for _, ps := range p.byZone {
		total += len(ps)
	}
	return total
}

// all returns the live balancers of all zones, ordered by zone.
func (p *peers) all(n *Node) []peer {
	p.refresh(n)
	var out []peer
	for _, z := range p.zoneNames {
		out = append(out, p.byZone[z]...)
	}
	return out
}

// sample returns up to count random live balancers of a zone, except the one at an excluded address.
func (p *peers) sample(n *Node, zone string, count int, excluded netip.AddrPort) []peer {
	p.refresh(n)
	ps := p.byZone[zone]
	out := make([]peer, 0, count)
	if len(ps) <= count {
		for _, c := range ps {
			if c.control != excluded {
				out = append(out, c)
			}
		}
		return out
	}
	// At most 4 attempts per peer keep the cost independent of the size of the zone.
	for range 4 * count {
		c := ps[n.rand.IntN(len(ps))]
		if c.control == excluded || slices.Contains(out, c) {
			continue
		}
		out = append(out, c)
		if len(out) == count {
			break
		}
	}
	return out
}

// score returns the rendezvous hashing score of a balancer for a key, mixed as in SplitMix64.
func score(key, member uint64) uint64 {
	x := key ^ member*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rank returns the count candidates with the highest scores for a key, the highest first, without those that skip
// excludes; a nil skip excludes none.
func rank(key uint64, candidates []peer, count int, skip func(peer) bool) []peer {
	out := make([]peer, 0, count+1)
	for _, c := range candidates {
		if skip != nil && skip(c) {
			continue
		}
		s := score(key, c.hash)
		i := len(out)
		for i > 0 && s > score(key, out[i-1].hash) {
			i--
		}
		if i == count {
			continue
		}
		out = slices.Insert(out, i, c)
		out = out[:min(len(out), count)]
	}
	return out
}
