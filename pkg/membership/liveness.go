package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleymast/bramleymast/pkg/board"
)

// Numbers of heartbeats.
const (
	// missedForQuery is the number of missed heartbeats after which a home balancer asks the other one.
	missedForQuery = 3
	// missedForSuspicion leaves one heartbeat for the answer of the other home balancer.
	missedForSuspicion = 4
	// missedForDeath is the time that a suspect member has for its refutation.
	missedForDeath = 3
	// missedForSilentZone is the silence after which a zone counts as silent. With a heartbeat of 2 s the record
	// is written after at most 12 s, which leaves 2 s of the 14 s for its way.
	missedForSilentZone = 5
	// missedForQuietZone is the silence after which balancers of a zone are asked whether they are alive.
	missedForQuietZone = 2
	// missedAcks and retryAcks bound the time for which a home balancer that does not answer is passed over.
	missedAcks = 4
	retryAcks  = 30
	// missedForPause is the gap between two events that can only mean that this process was paused.
	missedForPause = 3
)

const (
	guardCount  = 2
	zoneQueries = 3
	// mismatchesForPull is the number of acks with other sums after which an agent asks for what it lacks;
	// a single one may be a change that is still on its way.
	mismatchesForPull = 2
	minRepair         = 5 * time.Second
	maxRepair         = time.Minute
)

type heard struct {
	at       time.Time
	epoch    uint64
	contract uint64
	scope    Sums
}

// duty is what a balancer remembers of a member that it judges.
type duty struct {
	since     time.Time
	vouched   time.Time
	suspectAt time.Time
}

// liveness holds both sides of the heartbeats: those sent to home balancers, and those of members.
type liveness struct {
	dirty    bool
	heard    map[board.ID]heard
	byScope  map[string]map[string]struct{}
	duties   map[board.ID]*duty
	guarding map[string]time.Time
	// doubted holds the zones that were silent and heard again, of which no balancer has been heard since.
	doubted map[string]struct{}
	// agentsAt holds when an agent of another zone was last heard.
	agentsAt map[string]time.Time
	pausedAt time.Time
	// unanswered holds since when a home balancer has not answered.
	unanswered map[netip.AddrPort]time.Time
	lastAck    time.Time
	mismatches int
	nextRepair time.Time
	repairWait time.Duration
}

func newLiveness() liveness {
	return liveness{
		dirty:      true,
		heard:      make(map[board.ID]heard),
		byScope:    make(map[string]map[string]struct{}),
		duties:     make(map[board.ID]*duty),
		guarding:   make(map[string]time.Time),
		doubted:    make(map[string]struct{}),
		agentsAt:   make(map[string]time.Time),
		unanswered: make(map[netip.AddrPort]time.Time),
	}
}

func (n *Node) beats(count int) time.Duration { return time.Duration(count) * n.cfg.Heartbeat }

// silence is how long a member may be silent before it is asked for.
func (n *Node) silence() time.Duration { return n.beats(missedForQuery) }

// checkPause withholds verdicts after a pause of this process, in which it could hear nobody.
func (n *Node) checkPause() {
	last := n.lastHandle
	n.lastHandle = n.now
	if last.IsZero() || n.now.Sub(last) <= n.beats(missedForPause) {
		return
	}
	n.note(ReasonPaused, n.self, board.Version{})
	n.liveness.pausedAt = n.now
	for _, d := range n.liveness.duties {
		d.since = n.now
		d.suspectAt = time.Time{}
	}
	for z := range n.liveness.guarding {
		n.liveness.guarding[z] = n.now
	}
}

// beat runs once in each heartbeat interval.
func (n *Node) beat() {
	n.sendHeartbeats()
	n.forget()
	n.checkIsolation()
	if n.isAgent() {
		return
	}
	n.refreshDuties()
	n.judgeAll()
	n.guard()
}

// homes returns the home balancers of this process; those that do not answer are passed over for a while.
// Where the own zone has too few, balancers of other zones fill up: a member with one home hears nothing
// between the death of that balancer and its noticing, and a change must be in force within seconds.
func (n *Node) homes() []peer {
	key := xxhash.Sum64String(n.cfg.ID)
	candidates := n.homeCandidates(n.cfg.Zone)
	out := rank(key, candidates, homeCount, func(p peer) bool { return n.silentHome(p.control) })
	if missing := homeCount - len(out); missing > 0 {
		out = append(out, rank(key, n.peers.all(n), missing, func(p peer) bool {
			return slices.Contains(out, p) || n.silentHome(p.control)
		})...)
	}
	if len(out) == 0 {
		return rank(key, candidates, homeCount, nil)
	}
	return out
}

// homeCandidates returns the balancers of a zone without this one, or those of all zones when there is none.
func (n *Node) homeCandidates(zone string) []peer {
	n.peers.refresh(n)
	if ps := n.peers.byZone[zone]; len(ps) > 0 {
		return ps
	}
	return n.peers.all(n)
}

func (n *Node) silentHome(a netip.AddrPort) bool {
	since, ok := n.liveness.unanswered[a]
	if !ok {
		return false
	}
	silent := n.now.Sub(since)
	if silent > n.beats(retryAcks) {
		delete(n.liveness.unanswered, a)
		return false
	}
	return silent > n.beats(missedAcks)
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
		if _, ok := n.liveness.unanswered[p.control]; !ok {
			n.liveness.unanswered[p.control] = n.now
		}
		n.send(p.control, h)
	}
}

// heartbeat answers a member with what the board holds of it.
func (n *Node) heartbeat(from netip.AddrPort, m Heartbeat) {
	if n.isAgent() {
		return
	}
	r, ok := n.board.Get(m.Member)
	if !ok || m.Version.Epoch >= r.Version.Epoch {
		n.hear(r, m)
	}
	ack := Ack{Known: r.Version}
	if m.Member.Kind == board.KindAgent {
		ack.Scope = n.index.scope(agentService(r))
	}
	if ok && ack.Known == m.Version && ack.Scope == m.Scope {
		ack = Ack{Same: true}
	}
	n.send(from, ack)
}

func (n *Node) hear(r board.Record, m Heartbeat) {
	if zone := zoneOf(r); r.ID.Kind == board.KindAgent && zone != n.cfg.Zone {
		n.liveness.agentsAt[zone] = n.now
		n.zoneHeard(zone)
	}
	n.liveness.heard[m.Member] = heard{at: n.now, epoch: m.Version.Epoch, contract: m.Contract, scope: m.Scope}
	if service := agentService(r); service != "" {
		set := n.liveness.byScope[service]
		if set == nil {
			set = make(map[string]struct{})
			n.liveness.byScope[service] = set
		}
		set[m.Member.Key] = struct{}{}
	}
}

// listeners returns the agents whose heartbeats come here and that may need a record, sorted.
func (l *liveness) listeners(n *Node, r board.Record) []string {
	var out []string
	for service, set := range l.byScope {
		if !isInScope(n.board, service, r) {
			continue
		}
		for id := range set {
			h := l.heard[board.ID{Kind: board.KindAgent, Key: id}]
			if n.now.Sub(h.at) <= n.silence() {
				out = append(out, id)
				continue
			}
			delete(set, id)
		}
	}
	slices.Sort(out)
	return out
}

// ack compares what a home balancer knows with the own state.
func (n *Node) ack(from netip.AddrPort, m Ack) {
	n.liveness.lastAck = n.now
	delete(n.liveness.unanswered, from)
	if m.Same {
		n.liveness.mismatches = 0
		n.liveness.repairWait = 0
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
		n.note(ReasonSuperseded, n.self, m.Known)
	}
	if n.isAgent() {
		n.compareScope(from, m.Scope)
	}
}

// compareScope asks a home balancer for what this agent lacks when the sums have differed more than once.
func (n *Node) compareScope(from netip.AddrPort, theirs Sums) {
	l := &n.liveness
	if theirs == n.index.scope(n.cfg.Service) {
		l.mismatches = 0
		l.repairWait = 0
		return
	}
	l.mismatches++
	if l.mismatches < mismatchesForPull || n.now.Before(l.nextRepair) {
		return
	}
	l.repairWait = min(max(2*l.repairWait, minRepair), maxRepair)
	l.nextRepair = n.now.Add(n.jitter(l.repairWait))
	n.emit(Pull{To: from, Request: PullRequest{Service: n.cfg.Service, Have: n.have()}})
}

// have lists the versions on the board.
func (n *Node) have() []Item {
	records := n.board.Records()
	out := make([]Item, 0, len(records))
	for _, r := range records {
		out = append(out, Item{Hash: HashOf(r.ID), Version: r.Version})
	}
	return out
}

// isJudged reports whether this balancer is one of the home balancers of a member.
func (n *Node) isJudged(r board.Record) bool {
	if r.ID == n.self || isTombstone(r) || n.isAgent() || n.isSilent(zoneOf(r)) {
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

// otherHomeCandidates returns the balancers that may be homes of a member, without this one and the member.
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

// refreshDuties finds the members that this balancer judges after the set of balancers has changed.
func (n *Node) refreshDuties() {
	if !n.liveness.dirty {
		return
	}
	n.liveness.dirty = false
	n.peers.refresh(n)
	for _, item := range n.index.items {
		if !n.mayJudge(item) {
			delete(n.liveness.duties, item.id)
			continue
		}
		if r, ok := n.board.Get(item.id); ok {
			n.setDuty(r)
		}
	}
	n.refreshGuard()
}

// mayJudge excludes most members without ranking the balancers: those of other zones that have balancers of their own.
func (n *Node) mayJudge(item indexed) bool {
	if item.id.Kind != board.KindAgent && item.id.Kind != board.KindBalancer {
		return false
	}
	if n.isSilent(item.zone) {
		return false
	}
	return item.zone == n.cfg.Zone || len(n.peers.byZone[item.zone]) <= 1
}

func (n *Node) setDuty(r board.Record) {
	d, has := n.liveness.duties[r.ID]
	switch judged := n.isJudged(r); {
	case judged && !has:
		n.liveness.duties[r.ID] = &duty{since: n.now}
	case !judged && has:
		delete(n.liveness.duties, r.ID)
	case has && r.Version.Liveness == board.Alive:
		d.suspectAt = time.Time{}
	}
}

// changed updates the duty for one agent.
func (l *liveness) changed(n *Node, old board.Record, had bool, r board.Record) {
	if isTombstone(r) {
		delete(l.duties, r.ID)
		delete(l.heard, r.ID)
		delete(l.byScope[agentService(r)], r.ID.Key)
		return
	}
	if had && old.Version.Epoch != r.Version.Epoch {
		delete(l.duties, r.ID)
	}
	n.setDuty(r)
}

func (n *Node) judgeAll() {
	ids := make([]board.ID, 0, len(n.liveness.duties))
	for id := range n.liveness.duties {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	for _, id := range ids {
		r, ok := n.board.Get(id)
		if !ok || isTombstone(r) {
			delete(n.liveness.duties, id)
			continue
		}
		n.judge(r, n.liveness.duties[id])
	}
}

// judge compares the silence of a member with the limits.
func (n *Node) judge(r board.Record, d *duty) {
	last := d.since
	for _, t := range []time.Time{d.vouched, n.liveness.heard[r.ID].at} {
		if t.After(last) {
			last = t
		}
	}
	silent := n.now.Sub(last)
	if silent <= n.silence() {
		d.suspectAt = time.Time{}
		return
	}
	switch r.Version.Liveness {
	case board.Alive:
		if silent > n.beats(missedForSuspicion) {
			d.suspectAt = n.now
			n.verdict(r, board.Suspect, ReasonSuspected)
			return
		}
		n.askOthers(r)
	case board.Suspect:
		if d.suspectAt.IsZero() {
			d.suspectAt = n.now
		}
		if n.now.Sub(d.suspectAt) >= n.beats(missedForDeath) {
			n.verdict(r, board.Dead, ReasonDead)
		}
	case board.Dead:
	}
}

// askOthers asks the other home balancer, which may hear the member when the path to this one is broken,
// and the member itself, which sends its heartbeats elsewhere while its view of the balancers differs.
// Without the latter, views that differ after a cut keep suspicions and refutations going for ever.
func (n *Node) askOthers(r board.Record) {
	n.send(controlOf(r), Query{Member: r.ID})
	for _, p := range rank(xxhash.Sum64String(r.ID.Key), n.otherHomeCandidates(r), homeCount, nil) {
		n.send(p.control, Query{Member: r.ID})
	}
}

func (n *Node) verdict(r board.Record, v board.Liveness, why Reason) {
	r.Version.Liveness = v
	n.note(why, r.ID, r.Version)
	if n.merge(r) {
		n.spread(r, netip.AddrPort{}, true)
		n.enqueue(controlOf(r), r.ID, true)
	}
}

func (n *Node) query(from netip.AddrPort, m Query) {
	if m.Member.Kind == board.KindZoneReachability {
		n.vouch(from, m)
		return
	}
	if m.Member == n.self {
		n.send(from, Heard{Member: m.Member})
		return
	}
	h, ok := n.liveness.heard[m.Member]
	if age := n.now.Sub(h.at); ok && age <= n.silence() {
		n.send(from, Heard{Member: m.Member, AgeMS: uint32(age.Milliseconds())})
	}
}

func (n *Node) heardOf(m Heard) {
	if m.Member.Kind == board.KindZoneReachability {
		n.vouchedFor(m)
		return
	}
	d, ok := n.liveness.duties[m.Member]
	if !ok {
		return
	}
	if at := n.now.Add(-time.Duration(m.AgeMS) * time.Millisecond); at.After(d.vouched) {
		d.vouched = at
	}
}
