package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleymast/bramleymast/pkg/board"
)

// isZoneUnreachable reports whether another zone is marked as unreachable. The local zone never is, because this
// process runs in it.
func (n *Node) isZoneUnreachable(zone string) bool {
	return zone != n.cfg.Zone && n.board.ZoneUnreachable(zone)
}

// setZoneUnreachable writes the reachability of a zone unless the board already has it.
func (n *Node) setZoneUnreachable(zone string, unreachable bool, reason Reason) {
	old, _ := n.board.Get(board.ID{Kind: board.KindZoneReachability, Key: zone})
	if n.isAgent() || old.Version.Seq%2 == 1 == unreachable {
		return
	}
	r := board.NewZoneReachability(zone, old.Version.Seq+1)
	n.trace(reason, r.ID, r.Version)
	if n.merge(r) {
		n.gossip(r, netip.AddrPort{}, true)
	}
}

// zoneReachabilityChanged updates monitoring after a reachability record was merged, and refutes the record if this
// process is in the zone or has seen a member of it recently.
func (n *Node) zoneReachabilityChanged(r board.Record) {
	l := &n.liveness
	zone := r.ID.Key
	n.peers.dirty = true
	l.dirty = true
	if !n.board.ZoneUnreachable(zone) {
		l.monitoredZones[zone] = n.now
		l.recoveredZones[zone] = struct{}{}
		return
	}
	if zone == n.cfg.Zone || n.isRecent(n.peers.lastSeen[zone]) || n.isRecent(l.agentLastSeen[zone]) {
		n.setZoneUnreachable(zone, false, ReasonZoneReachable)
	}
}

// isRecent reports whether a member last seen at a time still counts as alive. Messages read in the first heartbeat
// interval after a pause don't count: they may have been queued since before the zone was lost.
func (n *Node) isRecent(at time.Time) bool {
	return !at.IsZero() && n.now.Sub(at) <= n.heartbeatTimeout() && !n.isAfterPause(at)
}

func (n *Node) isAfterPause(at time.Time) bool {
	resumed := n.liveness.resumedAt
	return !resumed.IsZero() && at.Sub(resumed) <= n.heartbeats(1)
}

// zoneSeen marks an unreachable zone as reachable after a message from one of its members.
func (n *Node) zoneSeen(zone string) {
	if n.isZoneUnreachable(zone) && !n.isAfterPause(n.now) {
		n.setZoneUnreachable(zone, false, ReasonZoneReachable)
	}
}

// answerZoneQuery replies to another balancer if a message from a balancer of the zone was received here recently.
func (n *Node) answerZoneQuery(from netip.AddrPort, m LivenessQuery) {
	if at := n.peers.lastSeen[m.Member.Key]; n.isRecent(at) {
		n.send(from, LivenessReply{Member: m.Member, AgeMS: uint32(n.now.Sub(at).Milliseconds())})
	}
}

func (n *Node) handleZoneReply(m LivenessReply) {
	at := n.now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	if have, ok := n.peers.lastSeen[m.Member.Key]; ok && at.After(have) {
		n.peers.lastSeen[m.Member.Key] = at
	}
}

// refreshMonitoredZones selects the zones whose reachability this balancer monitors: the home balancers of a member
// are in its own zone, so none of them would detect the loss of a whole zone. Each zone has its own monitors of each
// other zone; if they were chosen from all zones, those of a region could all be on the other side of a partition.
func (n *Node) refreshMonitoredZones() {
	own := xxhash.Sum64String(n.cfg.ID)
	for _, zone := range slices.Concat(n.peers.zones(n), n.peers.unreachableZones) {
		key := xxhash.Sum64String(zone)
		above := 0
		for _, p := range n.peers.byZone[n.cfg.Zone] {
			if score(key, p.hash) > score(key, own) {
				above++
			}
		}
		_, monitored := n.liveness.monitoredZones[zone]
		switch {
		case above >= zoneMonitorCount:
			delete(n.liveness.monitoredZones, zone)
		case !monitored:
			n.liveness.monitoredZones[zone] = n.now
		}
	}
}

func (n *Node) checkZones() {
	for _, zone := range n.peers.zones(n) {
		since, ok := n.liveness.monitoredZones[zone]
		if !ok {
			continue
		}
		if at := n.peers.lastSeen[zone]; at.After(since) {
			since = at
		}
		elapsed := n.now.Sub(since)
		if elapsed > n.heartbeats(missedForUnreachableZone) {
			n.declareUnreachable(zone)
			continue
		}
		if elapsed > n.heartbeats(missedForZoneQuery) {
			n.queryZone(zone)
		}
	}
	n.probeUnreachableZones()
}

// probeUnreachableZones queries one balancer of each unreachable zone, so that both sides of a partition detect its
// end soon.
func (n *Node) probeUnreachableZones() {
	for _, zone := range n.peers.unreachableZones {
		if _, ok := n.liveness.monitoredZones[zone]; !ok {
			continue
		}
		ps := n.peers.unreachable[zone]
		p := ps[n.rand.IntN(len(ps))]
		n.send(p.control, LivenessQuery{Member: board.ID{Kind: board.KindBalancer, Key: p.id}})
	}
}

// queryZone queries balancers of a zone that has gone silent, and balancers of other zones that may still receive
// messages from it, so that a path that fails in one direction doesn't make the zone unreachable.
func (n *Node) queryZone(zone string) {
	for _, p := range n.peers.sample(n, zone, zoneQueryFanout, netip.AddrPort{}) {
		n.send(p.control, LivenessQuery{Member: board.ID{Kind: board.KindBalancer, Key: p.id}})
	}
	others := slices.DeleteFunc(n.peers.all(n), func(p peer) bool { return p.zone == zone })
	n.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, p := range others[:min(len(others), zoneQueryFanout)] {
		n.send(p.control, LivenessQuery{Member: board.ID{Kind: board.KindZoneReachability, Key: zone}})
	}
}

// declareUnreachable marks a zone as unreachable with one record. If an agent of the zone was seen recently, or the
// zone became reachable again and still no balancer of it was seen, it has live agents without balancers, and only its
// balancers are marked as dead.
func (n *Node) declareUnreachable(zone string) {
	_, recovered := n.liveness.recoveredZones[zone]
	if !recovered && !n.isRecent(n.liveness.agentLastSeen[zone]) {
		n.setZoneUnreachable(zone, true, ReasonZoneUnreachable)
		return
	}
	for _, p := range slices.Clone(n.peers.byZone[zone]) {
		if r, ok := n.board.Get(board.ID{Kind: board.KindBalancer, Key: p.id}); ok {
			n.setLiveness(r, board.Dead, ReasonBalancersDead)
		}
	}
}
