package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleymast/bramleymast/pkg/board"
)

// Numbers of heartbeat intervals.
const (
	// missedForQuery is the number of missed heartbeats after which a home balancer queries the other one.
	missedForQuery = 3
	// missedForSuspicion leaves one heartbeat for the reply of the other home balancer.
	missedForSuspicion = 4
	// missedForDead is how long a suspect member may take to refute before it is marked as dead.
	missedForDead = 3
	// missedForUnreachableZone is the number of heartbeats without a message from any balancer of a zone after which the
	// zone is marked as unreachable. With a heartbeat of 2 s the record is written after at most 12 s, which leaves 2 s
	// of the allowed 14 s for its propagation.
	missedForUnreachableZone = 5
	// missedForZoneQuery is the number of such heartbeats after which balancers of the zone are queried.
	missedForZoneQuery = 2
	// missedAcksForSkip is the number of heartbeats without an ack after which a home balancer is replaced by another
	// one, and missedAcksForRetry that after which it is used again.
	missedAcksForSkip  = 4
	missedAcksForRetry = 30
	// missedForPause is the gap between two events that only a pause of this process explains.
	missedForPause = 3
)

const (
	// zoneMonitorCount is the number of balancers in each zone that monitor another zone.
	zoneMonitorCount = 2
	// zoneQueryFanout is the maximum number of balancers queried about a zone, inside it and outside it.
	zoneQueryFanout = 3
	// mismatchesForPull is the number of consecutive acks with a different scope digest after which an agent pulls.
	// A single one may be a change that is still being pushed.
	mismatchesForPull = 2
	minRepairBackoff  = 5 * time.Second
	maxRepairBackoff  = time.Minute
)

// receivedHeartbeat is the last heartbeat received from a member.
type receivedHeartbeat struct {
	at       time.Time
	epoch    uint64
	contract uint64
	scope    ScopeDigest
}

// monitor is the failure detection state of a monitored member.
type monitor struct {
	// since is when monitoring started.
	since time.Time
	// confirmedAt is when the member was last alive according to the replies to queries.
	confirmedAt time.Time
	suspectAt   time.Time
}

// liveness holds the state of sending heartbeats to home balancers and of monitoring members and zones.
type liveness struct {
	// dirty is set when the set of balancers has changed, so that the monitored members must be found again.
	dirty    bool
	received map[board.ID]receivedHeartbeat
	// agentsByService holds the IDs of the agents whose heartbeats arrive here.
	agentsByService map[string]map[string]struct{}
	monitored       map[board.ID]*monitor
	// monitoredZones holds the zones that this balancer monitors, and when monitoring started.
	monitoredZones map[string]time.Time
	// recoveredZones holds the zones that became reachable again and of which no balancer has sent a message since.
	recoveredZones map[string]struct{}
	// agentLastSeen is when a heartbeat from an agent of another zone was last received, by zone.
	agentLastSeen map[string]time.Time
	// resumedAt is when this process resumed after its last pause.
	resumedAt time.Time
	// unansweredSince is when the first heartbeat was sent that a home balancer has not acknowledged.
	unansweredSince map[netip.AddrPort]time.Time
	lastAckAt       time.Time
	mismatches      int
	nextRepair      time.Time
	repairBackoff   time.Duration
}

func newLiveness() liveness {
	return liveness{
		dirty:           true,
		received:        make(map[board.ID]receivedHeartbeat),
		agentsByService: make(map[string]map[string]struct{}),
		monitored:       make(map[board.ID]*monitor),
		monitoredZones:  make(map[string]time.Time),
		recoveredZones:  make(map[string]struct{}),
		agentLastSeen:   make(map[string]time.Time),
		unansweredSince: make(map[netip.AddrPort]time.Time),
	}
}

func (n *Node) heartbeats(count int) time.Duration { return time.Duration(count) * n.cfg.Heartbeat }

// heartbeatTimeout is the time since a member's last heartbeat after which its liveness is queried.
func (n *Node) heartbeatTimeout() time.Duration { return n.heartbeats(missedForQuery) }

// checkPause detects a pause of this process, during which it received nothing, and restarts the timeouts of all
// monitored members and zones.
func (n *Node) checkPause() {
	last := n.lastEventAt
	n.lastEventAt = n.now
	if last.IsZero() || n.now.Sub(last) <= n.heartbeats(missedForPause) {
		return
	}
	n.trace(ReasonPaused, n.self, board.Version{})
	n.liveness.resumedAt = n.now
	for _, mon := range n.liveness.monitored {
		mon.since = n.now
		mon.suspectAt = time.Time{}
	}
	for z := range n.liveness.monitoredZones {
		n.liveness.monitoredZones[z] = n.now
	}
}

// heartbeatTick runs once per heartbeat interval.
func (n *Node) heartbeatTick() {
	n.sendHeartbeats()
	n.expireTombstones()
	n.checkIsolation()
	if n.isAgent() {
		return
	}
	n.refreshMonitored()
	n.checkMonitored()
	n.checkZones()
}

// homes returns the home balancers of this process, skipping unresponsive ones for a while. Balancers of other zones
// fill up the list where the local zone has too few: with a single home, a member would receive no changes between
// the failure of that balancer and its detection, and changes must be applied within seconds.
func (n *Node) homes() []peer {
	key := xxhash.Sum64String(n.cfg.ID)
	candidates := n.homeCandidates(n.cfg.Zone)
	out := rank(key, candidates, homeCount, func(p peer) bool { return n.isUnresponsive(p.control) })
	if missing := homeCount - len(out); missing > 0 {
		out = append(out, rank(key, n.peers.all(n), missing, func(p peer) bool {
			return slices.Contains(out, p) || n.isUnresponsive(p.control)
		})...)
	}
	if len(out) == 0 {
		return rank(key, candidates, homeCount, nil)
	}
	return out
}

// homeCandidates returns the other balancers of a zone, or those of all zones if it has none.
func (n *Node) homeCandidates(zone string) []peer {
	n.peers.refresh(n)
	if ps := n.peers.byZone[zone]; len(ps) > 0 {
		return ps
	}
	return n.peers.all(n)
}

func (n *Node) isUnresponsive(a netip.AddrPort) bool {
	since, ok := n.liveness.unansweredSince[a]
	if !ok {
		return false
	}
	elapsed := n.now.Sub(since)
	if elapsed > n.heartbeats(missedAcksForRetry) {
		delete(n.liveness.unansweredSince, a)
		return false
	}
	return elapsed > n.heartbeats(missedAcksForSkip)
}

func (n *Node) sendHeartbeats() {
	own, ok := n.board.Get(n.self)
	if !ok || isTombstone(own) {
		return
	}
	h := Heartbeat{Member: n.self, Version: own.Version, Contract: n.contractRevision()}
	if n.isAgent() {
		h.Scope = n.index.scope(n.cfg.Service)
	}
	for _, p := range n.homes() {
		if _, ok := n.liveness.unansweredSince[p.control]; !ok {
			n.liveness.unansweredSince[p.control] = n.now
		}
		n.send(p.control, h)
	}
}

// handleHeartbeat records a heartbeat and replies with the member's version on the board.
func (n *Node) handleHeartbeat(from netip.AddrPort, m Heartbeat) {
	if n.isAgent() {
		return
	}
	r, ok := n.board.Get(m.Member)
	if !ok || m.Version.Epoch >= r.Version.Epoch {
		n.recordHeartbeat(r, m)
	}
	ack := Ack{Known: r.Version}
	if m.Member.Kind == board.KindAgent {
		ack.Scope = n.index.scope(agentService(r))
	}
	if ok && ack.Known == m.Version && ack.Scope == m.Scope {
		ack = Ack{InSync: true}
	}
	n.send(from, ack)
}

func (n *Node) recordHeartbeat(r board.Record, m Heartbeat) {
	if zone := zoneOf(r); r.ID.Kind == board.KindAgent && zone != n.cfg.Zone {
		n.liveness.agentLastSeen[zone] = n.now
		n.zoneSeen(zone)
	}
	n.liveness.received[m.Member] = receivedHeartbeat{at: n.now, epoch: m.Version.Epoch, contract: m.Contract, scope: m.Scope}
	if service := agentService(r); service != "" {
		set := n.liveness.agentsByService[service]
		if set == nil {
			set = make(map[string]struct{})
			n.liveness.agentsByService[service] = set
		}
		set[m.Member.Key] = struct{}{}
	}
}

// agentsInScope returns the agents whose heartbeats arrive here and in whose scope a record is, sorted.
func (l *liveness) agentsInScope(n *Node, r board.Record) []string {
	var out []string
	for service, set := range l.agentsByService {
		if !isInScope(n.board, service, r) {
			continue
		}
		for id := range set {
			h := l.received[board.ID{Kind: board.KindAgent, Key: id}]
			if n.now.Sub(h.at) <= n.heartbeatTimeout() {
				out = append(out, id)
				continue
			}
			delete(set, id)
		}
	}
	slices.Sort(out)
	return out
}

// handleAck compares the state of a home balancer with the local one.
func (n *Node) handleAck(from netip.AddrPort, m Ack) {
	n.liveness.lastAckAt = n.now
	delete(n.liveness.unansweredSince, from)
	if m.InSync {
		n.liveness.mismatches = 0
		n.liveness.repairBackoff = 0
		return
	}
	own, ok := n.board.Get(n.self)
	if !ok {
		return
	}
	switch c := m.Known.Compare(own.Version); {
	case c < 0:
		n.enqueue(from, n.self, false)
	case c > 0 && m.Known.Epoch <= n.cfg.Incarnation:
		n.refute(m.Known.Seq, own.Value)
	case c > 0:
		n.trace(ReasonSuperseded, n.self, m.Known)
	}
	if n.isAgent() {
		n.compareScope(from, m.Scope)
	}
}

// compareScope pulls from a home balancer when its scope digest has differed repeatedly.
func (n *Node) compareScope(from netip.AddrPort, theirs ScopeDigest) {
	l := &n.liveness
	if theirs == n.index.scope(n.cfg.Service) {
		l.mismatches = 0
		l.repairBackoff = 0
		return
	}
	l.mismatches++
	if l.mismatches < mismatchesForPull || n.now.Before(l.nextRepair) {
		return
	}
	l.repairBackoff = min(max(2*l.repairBackoff, minRepairBackoff), maxRepairBackoff)
	l.nextRepair = n.now.Add(n.jitter(l.repairBackoff))
	n.emit(Pull{To: from, Request: PullRequest{Service: n.cfg.Service, Have: n.heldVersions()}})
}

// heldVersions lists the versions on the board.
func (n *Node) heldVersions() []Item {
	records := n.board.Records()
	out := make([]Item, 0, len(records))
	for _, r := range records {
		out = append(out, Item{Hash: HashOf(r.ID), Version: r.Version})
	}
	return out
}

// shouldMonitor reports whether this balancer is one of the home balancers of a member.
func (n *Node) shouldMonitor(r board.Record) bool {
	if r.ID == n.self || isTombstone(r) || n.isAgent() || n.isZoneUnreachable(zoneOf(r)) {
		return false
	}
	zone := zoneOf(r)
	inZone := 0
	for _, p := range n.peers.byZone[zone] {
		if p.id != r.ID.Key {
			inZone++
		}
	}
	if zone != n.cfg.Zone && inZone > 0 {
		return false
	}
	return n.ranksAmongHomes(r, n.otherHomeCandidates(r))
}

// otherHomeCandidates returns the balancers that may be homes of a member, without this one and the member itself.
func (n *Node) otherHomeCandidates(r board.Record) []peer {
	zone := zoneOf(r)
	ps := n.peers.byZone[zone]
	if r.ID.Kind == board.KindBalancer {
		ps = slices.DeleteFunc(slices.Clone(ps), func(p peer) bool { return p.id == r.ID.Key })
	}
	if len(ps) > 0 || zone == n.cfg.Zone {
		return ps
	}
	return slices.DeleteFunc(n.peers.all(n), func(p peer) bool { return p.id == r.ID.Key })
}

func (n *Node) ranksAmongHomes(r board.Record, others []peer) bool {
	key := xxhash.Sum64String(r.ID.Key)
	own := score(key, xxhash.Sum64String(n.cfg.ID))
	above := 0
	for _, p := range others {
		if score(key, p.hash) > own {
			above++
		}
		if above == homeCount {
			return false
		}
	}
	return true
}

// refreshMonitored updates the monitored members after the set of balancers has changed.
func (n *Node) refreshMonitored() {
	if !n.liveness.dirty {
		return
	}
	n.liveness.dirty = false
	n.peers.refresh(n)
	for _, entry := range n.index.entries {
		if !n.mayMonitor(entry) {
			delete(n.liveness.monitored, entry.id)
			continue
		}
		if r, ok := n.board.Get(entry.id); ok {
			n.updateMonitor(r)
		}
	}
	n.refreshMonitoredZones()
}

// mayMonitor excludes most members without ranking balancers: those of other zones that have their own balancers.
func (n *Node) mayMonitor(entry indexEntry) bool {
	if entry.id.Kind != board.KindAgent && entry.id.Kind != board.KindBalancer {
		return false
	}
	if n.isZoneUnreachable(entry.zone) {
		return false
	}
	return entry.zone == n.cfg.Zone || len(n.peers.byZone[entry.zone]) <= 1
}

func (n *Node) updateMonitor(r board.Record) {
	mon, has := n.liveness.monitored[r.ID]
	switch isHome := n.shouldMonitor(r); {
	case isHome && !has:
		n.liveness.monitored[r.ID] = &monitor{since: n.now}
	case !isHome && has:
		delete(n.liveness.monitored, r.ID)
	case has && r.Version.Liveness == board.Alive:
		mon.suspectAt = time.Time{}
	}
}

// agentChanged updates monitoring after the record of an agent has changed.
func (l *liveness) agentChanged(n *Node, old board.Record, had bool, r board.Record) {
	if isTombstone(r) {
		delete(l.monitored, r.ID)
		delete(l.received, r.ID)
		delete(l.agentsByService[agentService(r)], r.ID.Key)
		return
	}
	if had && old.Version.Epoch != r.Version.Epoch {
		delete(l.monitored, r.ID)
	}
	n.updateMonitor(r)
}

func (n *Node) checkMonitored() {
	ids := make([]board.ID, 0, len(n.liveness.monitored))
	for id := range n.liveness.monitored {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	for _, id := range ids {
		r, ok := n.board.Get(id)
		if !ok || isTombstone(r) {
			delete(n.liveness.monitored, id)
			continue
		}
		n.checkMember(r, n.liveness.monitored[id])
	}
}

// checkMember compares the time since a member was last seen with the timeouts.
func (n *Node) checkMember(r board.Record, mon *monitor) {
	last := mon.since
	for _, t := range []time.Time{mon.confirmedAt, n.liveness.received[r.ID].at} {
		if t.After(last) {
			last = t
		}
	}
	elapsed := n.now.Sub(last)
	if elapsed <= n.heartbeatTimeout() {
		mon.suspectAt = time.Time{}
		return
	}
	switch r.Version.Liveness {
	case board.Alive:
		if elapsed > n.heartbeats(missedForSuspicion) {
			mon.suspectAt = n.now
			n.setLiveness(r, board.Suspect, ReasonSuspected)
			return
		}
		n.queryLiveness(r)
	case board.Suspect:
		if mon.suspectAt.IsZero() {
			mon.suspectAt = n.now
		}
		if n.now.Sub(mon.suspectAt) >= n.heartbeats(missedForDead) {
			n.setLiveness(r, board.Dead, ReasonDead)
		}
	case board.Dead:
	}
}

// queryLiveness queries the other home balancer, which may receive heartbeats that are lost on the way here, and the
// member itself, which sends its heartbeats elsewhere while its set of balancers differs. Without the latter,
// differing sets after a partition would cause suspicions and refutations without end.
func (n *Node) queryLiveness(r board.Record) {
	n.send(controlOf(r), LivenessQuery{Member: r.ID})
	for _, p := range rank(xxhash.Sum64String(r.ID.Key), n.otherHomeCandidates(r), homeCount, nil) {
		n.send(p.control, LivenessQuery{Member: r.ID})
	}
}

func (n *Node) setLiveness(r board.Record, v board.Liveness, reason Reason) {
	r.Version.Liveness = v
	n.trace(reason, r.ID, r.Version)
	if n.merge(r) {
		n.gossip(r, netip.AddrPort{}, true)
		n.enqueue(controlOf(r), r.ID, true)
	}
}

func (n *Node) handleLivenessQuery(from netip.AddrPort, m LivenessQuery) {
	if m.Member.Kind == board.KindZoneReachability {
		n.answerZoneQuery(from, m)
		return
	}
	if m.Member == n.self {
		n.send(from, LivenessReply{Member: m.Member})
		return
	}
	h, ok := n.liveness.received[m.Member]
	if age := n.now.Sub(h.at); ok && age <= n.heartbeatTimeout() {
		n.send(from, LivenessReply{Member: m.Member, AgeMS: uint32(age.Milliseconds())})
	}
}

func (n *Node) handleLivenessReply(m LivenessReply) {
	if m.Member.Kind == board.KindZoneReachability {
		n.handleZoneReply(m)
		return
	}
	mon, ok := n.liveness.monitored[m.Member]
	if !ok {
		return
	}
	if at := n.now.Add(-time.Duration(m.AgeMS) * time.Millisecond); at.After(mon.confirmedAt) {
		mon.confirmedAt = at
	}
}
