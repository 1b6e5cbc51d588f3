package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleymast/bramleymast/pkg/board"
)

// isSilent reports whether the members of another zone count as dead. A process that runs shows that its own
// zone is not silent.
func (n *Node) isSilent(zone string) bool { return zone != n.cfg.Zone && n.board.ZoneUnreachable(zone) }

// writeSilence states that a zone is silent or heard again, unless the board already says so.
func (n *Node) writeSilence(zone string, silent bool, why Reason) {
	old, _ := n.board.Get(board.ID{Kind: board.KindZoneReachability, Key: zone})
	if n.isAgent() || old.Version.Seq%2 == 1 == silent {
		return
	}
	r := board.NewZoneReachability(zone, old.Version.Seq+1)
	n.note(why, r.ID, r.Version)
	if n.merge(r) {
		n.spread(r, netip.AddrPort{}, true)
	}
}

// silenceChanged follows a record that was taken, and refutes it when this process knows better.
func (n *Node) silenceChanged(r board.Record) {
	l := &n.liveness
	zone := r.ID.Key
	n.peers.dirty = true
	l.dirty = true
	if !n.board.ZoneUnreachable(zone) {
		l.guarding[zone] = n.now
		l.doubted[zone] = struct{}{}
		return
	}
	if zone == n.cfg.Zone || n.isRecent(n.peers.heardAt[zone]) || n.isRecent(l.agentsAt[zone]) {
		n.writeSilence(zone, false, ReasonZoneHeard)
	}
}

// isRecent reports whether a member heard at a time is alive. What a process reads in the first interval
// after a pause may have waited for it since before the zone was lost.
func (n *Node) isRecent(at time.Time) bool {
	return !at.IsZero() && n.now.Sub(at) <= n.silence() && !n.isAfterPause(at)
}

func (n *Node) isAfterPause(at time.Time) bool {
	paused := n.liveness.pausedAt
	return !paused.IsZero() && at.Sub(paused) <= n.beats(1)
}

// zoneHeard ends the silence of a zone of which a member was heard.
func (n *Node) zoneHeard(zone string) {
	if n.isSilent(zone) && !n.isAfterPause(n.now) {
		n.writeSilence(zone, false, ReasonZoneHeard)
	}
}

// vouch answers a guard that asks whether a balancer of a zone was heard here.
func (n *Node) vouch(from netip.AddrPort, m Query) {
	if at := n.peers.heardAt[m.Member.Key]; n.isRecent(at) {
		n.send(from, Heard{Member: m.Member, AgeMS: uint32(n.now.Sub(at).Milliseconds())})
	}
}

func (n *Node) vouchedFor(m Heard) {
	at := n.now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	if have, ok := n.peers.heardAt[m.Member.Key]; ok && at.After(have) {
		n.peers.heardAt[m.Member.Key] = at
	}
}

// refreshGuard finds the zones whose silence this balancer judges: home balancers live in the zone
// of their members, so nobody would notice the loss of a whole zone. Each zone has its own guards of each
// other zone; with guards chosen from all zones, those of a region could all be on the other side of a cut.
func (n *Node) refreshGuard() {
	own := xxhash.Sum64String(n.cfg.ID)
	for _, zone := range slices.Concat(n.peers.zones(n), n.peers.silentNames) {
		key := xxhash.Sum64String(zone)
		above := 0
		for _, p := range n.peers.byZone[n.cfg.Zone] {
			if score(key, p.hash) > score(key, own) {
				above++
			}
		}
		_, guarding := n.liveness.guarding[zone]
		switch {
		case above >= guardCount:
			delete(n.liveness.guarding, zone)
		case !guarding:
			n.liveness.guarding[zone] = n.now
		}
	}
}

func (n *Node) guard() {
	for _, zone := range n.peers.zones(n) {
		since, ok := n.liveness.guarding[zone]
		if !ok {
			continue
		}
		if at := n.peers.heardAt[zone]; at.After(since) {
			since = at
		}
		silent := n.now.Sub(since)
		if silent > n.beats(missedForSilentZone) {
			n.declareSilent(zone)
			continue
		}
		if silent > n.beats(missedForQuietZone) {
			n.askZone(zone)
		}
	}
	n.probeSilent()
}

// probeSilent asks one balancer of each silent zone, so that both sides of a cut soon notice its end.
func (n *Node) probeSilent() {
	for _, zone := range n.peers.silentNames {
		if _, ok := n.liveness.guarding[zone]; !ok {
			continue
		}
		ps := n.peers.silent[zone]
		p := ps[n.rand.IntN(len(ps))]
		n.send(p.control, Query{Member: board.ID{Kind: board.KindBalancer, Key: p.id}})
	}
}

// askZone asks balancers of a quiet zone, and balancers of other zones whether they hear it,
// so that a path that is broken in one direction condemns nobody.
func (n *Node) askZone(zone string) {
	for _, p := range n.peers.sample(n, zone, zoneQueries, netip.AddrPort{}) {
		n.send(p.control, Query{Member: board.ID{Kind: board.KindBalancer, Key: p.id}})
	}
	others := slices.DeleteFunc(n.peers.all(n), func(p peer) bool { return p.zone == zone })
	n.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, p := range others[:min(len(others), zoneQueries)] {
		n.send(p.control, Query{Member: board.ID{Kind: board.KindZoneReachability, Key: zone}})
	}
}

// declareSilent condemns a zone with one record. Where a member refuted that before and still no balancer is
// heard, agents of the zone live without balancers, and only the balancers are condemned, one by one.
func (n *Node) declareSilent(zone string) {
	_, doubted := n.liveness.doubted[zone]
	if !doubted && !n.isRecent(n.liveness.agentsAt[zone]) {
		n.writeSilence(zone, true, ReasonZoneSilent)
		return
	}
	for _, p := range slices.Clone(n.peers.byZone[zone]) {
		if r, ok := n.board.Get(board.ID{Kind: board.KindBalancer, Key: p.id}); ok {
			n.verdict(r, board.Dead, ReasonBalancersDead)
		}
	}
}
