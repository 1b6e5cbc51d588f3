package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/store"
)

const (
	// homeCount is the number of home balancers of a member, to which it sends its heartbeats.
	homeCount = 2
	// fanout is the number of peers in the local zone to which a change is pushed.
	// With 4, a change that is pushed only once reaches 98% of a large zone; digests repair the rest.
	fanout = 4
	// zoneReachabilityFanout is the fanout of reachability records; with 8, a push misses only 0.04% of a large zone.
	// These records are rare and must be applied everywhere within seconds, sooner than digests repair a missed push.
	zoneReachabilityFanout = 8
	// loadFanout is the maximum number of agents to which one load report is sent.
	loadFanout = 8
	// digestInterval is the mean time between two digests sent.
	digestInterval = 5 * time.Second
	// tombstoneTTL is how long the record of a member that is dead or has left is kept.
	tombstoneTTL = 10 * time.Minute
	// defaultHeartbeat and defaultBudget apply when Config leaves the field at 0.
	defaultHeartbeat = time.Second
	defaultBudget    = 3 << 10 // bytes per second
)

// Config configures a Node. A process with a Service is an agent, any other a balancer.
type Config struct {
	ID      string
	Zone    string
	Service string
	// Incarnation is the epoch of the member record; it must increase with each start of the process.
	Incarnation uint64
	// Address is the control address of this process.
	Address netip.AddrPort
	// Seeds are control addresses of some balancers, possibly including this one.
	Seeds []netip.AddrPort
	Board *board.Board
	// Heartbeat is the time between two heartbeats; 0 means 1 s.
	Heartbeat time.Duration
	// Budget is the number of bytes per second that may be sent; 0 means 3 KiB.
	Budget int
	// Store is true when the process can reach the store and may take the relay role.
	Store bool
	// Seed seeds the random choices, so that they can be reproduced.
	Seed uint64
}

// Node is the control core of one process; it is not safe for concurrent use.
type Node struct {
	cfg   Config
	self  board.ID
	board *board.Board
	index *index
	rand  *rand.Rand

	now     time.Time
	actions []Action
	budget  tokenBucket
	queues  [priorityCount]queue

	seq        uint64
	tombstones map[board.ID]time.Time
	// hasOwnRecord is set by the first SetMember.
	hasOwnRecord bool

	peers    peers
	liveness liveness
	catchUp  catchUp
	relay    relay

	nextHeartbeat time.Time
	nextDigest    time.Time
	lastEventAt   time.Time
}

// New returns the core of a process; it starts to work on the first Tick.
func New(cfg Config) *Node {
	if cfg.Heartbeat <= 0 {
		cfg.Heartbeat = defaultHeartbeat
	}
	if cfg.Budget <= 0 {
		cfg.Budget = defaultBudget
	}
	n := &Node{
		cfg:        cfg,
		self:       board.ID{Kind: board.KindBalancer, Key: cfg.ID},
		board:      cfg.Board,
		index:      newIndex(),
		rand:       rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		budget:     tokenBucket{rate: float64(cfg.Budget)},
		tombstones: make(map[board.ID]time.Time),
		liveness:   newLiveness(),
	}
	if cfg.Service != "" {
		n.self.Kind = board.KindAgent
	}
	for _, r := range n.board.Records() {
		n.index.put(r)
	}
	n.peers.dirty = true
	return n
}

func (n *Node) isAgent() bool { return n.self.Kind == board.KindAgent }

// Synchronised reports whether the process has synchronised with a peer or the store since its start.
func (n *Node) Synchronised() bool { return n.catchUp.done }

// IsRelay reports whether the process holds the relay lease of its zone.
func (n *Node) IsRelay() bool { return n.relay.state == relayHolding }

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) trace(reason Reason, id board.ID, v board.Version) {
	n.emit(Trace{Reason: reason, ID: id, Version: v})
}

// jitter returns a random duration between d/2 and d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.rand.Int64N(int64(d/2)+1))
}

// Handle processes one event and returns the actions to carry out.
func (n *Node) Handle(now time.Time, e Event) []Action {
	n.now = now
	n.actions = nil
	n.budget.refill(now)
	n.checkPause()
	switch e := e.(type) {
	case Tick:
		n.tick()
	case Received:
		n.receive(e.From, e.Message)
	case SetMember:
		n.setMember(e.Value)
	case SendLoad:
		n.sendLoad(e.Load)
	case PullResult:
		n.handlePullResult(e)
	case LeaseResult:
		n.handleLeaseResult(e)
	case RenewResult:
		n.handleRenewResult(e)
	case ReadResult:
		n.handleReadResult(e)
	case PeerOutdated:
		n.sendZoneStates(e.ControlAddress)
	}
	n.flush()
	return n.actions
}

// Next returns when the next Tick is due.
func (n *Node) Next() time.Time {
	next := n.nextHeartbeat
	for _, t := range []time.Time{n.nextDigest, n.catchUp.next, n.relay.next} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	if !n.queueEmpty() {
		if t := n.now.Add(n.budget.untilFilled()); t.Before(next) {
			next = t
		}
	}
	return next
}

func (n *Node) tick() {
	if n.nextHeartbeat.IsZero() {
		n.nextHeartbeat = n.now.Add(n.jitter(n.cfg.Heartbeat))
		n.catchUp.next = n.now
		if !n.isAgent() {
			n.nextDigest = n.now.Add(n.jitter(digestInterval))
			n.relay.next = n.now.Add(n.jitter(n.cfg.Heartbeat))
		}
	}
	if due(n.now, n.nextHeartbeat) {
		n.nextHeartbeat = n.now.Add(n.cfg.Heartbeat)
		n.heartbeatTick()
	}
	if due(n.now, n.catchUp.next) {
		n.pull()
	}
	if !n.isAgent() {
		n.tickBalancer()
	}
}

func (n *Node) tickBalancer() {
	if due(n.now, n.nextDigest) {
		n.nextDigest = n.now.Add(n.jitter(2 * digestInterval * 2 / 3))
		n.sendDigest()
	}
	if due(n.now, n.relay.next) {
		n.tickRelay()
	}
}

func due(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

func (n *Node) receive(from netip.AddrPort, m Message) {
	n.peers.seen(n, from)
	switch m := m.(type) {
	case Heartbeat:
		n.handleHeartbeat(from, m)
	case Ack:
		n.handleAck(from, m)
	case Push:
		for _, r := range m.Records {
			n.apply(r, from, m.Relayed)
		}
	case Notice:
		n.handleNotice(from, m)
	case Digest:
		n.handleDigest(from, m)
	case Versions:
		n.handleVersions(from, m)
	case Want:
		n.handleWant(from, m)
	case LivenessQuery:
		n.handleLivenessQuery(from, m)
	case LivenessReply:
		n.handleLivenessReply(m)
	case LoadReport:
		n.emit(DeliverLoad(m))
	}
}

// merge stores a record if it is newer than the local one, and reports whether it was.
func (n *Node) merge(r board.Record) bool {
	old, had := n.board.Get(r.ID)
	stored, err := n.board.Merge(r)
	if err != nil {
		n.trace(ReasonInvalid, r.ID, r.Version)
		return false
	}
	if !stored {
		return false
	}
	n.index.put(r)
	if isTombstone(r) {
		n.tombstones[r.ID] = n.now
	} else {
		delete(n.tombstones, r.ID)
	}
	n.updateCaches(old, had, r)
	n.trace(ReasonApplied, r.ID, r.Version)
	return true
}

// updateCaches updates the peers, monitored members and pull schedule, which depend on the changed record.
func (n *Node) updateCaches(old board.Record, had bool, r board.Record) {
	switch r.ID.Kind {
	case board.KindBalancer:
		n.peers.dirty = true
		n.liveness.dirty = true
		if r.ID != n.self {
			n.advancePull()
		}
	case board.KindAgent:
		n.liveness.agentChanged(n, old, had, r)
	case board.KindZoneReachability:
		n.zoneReachabilityChanged(r)
	case board.KindContract, board.KindZone, board.KindBackend, board.KindRelay:
	}
}

// apply merges a received record and pushes it on if it is new. A record that comes from its origin is also pushed
// to the other zones. Digests omit tombstones, so the sender of an older record of a dead member gets the tombstone
// in reply.
func (n *Node) apply(r board.Record, from netip.AddrPort, relayed bool) {
	if r.ID == n.self {
		n.applyOwn(r, from)
		return
	}
	if n.withholdIfAlive(r) {
		return
	}
	if n.merge(r) {
		n.gossip(r, from, !relayed)
		return
	}
	if have, ok := n.board.Get(r.ID); ok && isTombstone(have) && have.Version.Compare(r.Version) > 0 {
		n.enqueue(from, r.ID, true)
	}
}

// applyOwn handles a record of this process that was received from another one, and refutes it if it is newer.
func (n *Node) applyOwn(r board.Record, from netip.AddrPort) {
	own, ok := n.board.Get(n.self)
	if !ok || r.Version.Compare(own.Version) <= 0 {
		return
	}
	if r.Version.Epoch > n.cfg.Incarnation {
		n.trace(ReasonSuperseded, r.ID, r.Version)
		return
	}
	n.refute(r.Version.Seq, own.Value)
	n.enqueue(from, n.self, false)
}

// withholdIfAlive reports whether a suspect or dead record of a member that still sends heartbeats here was withheld:
// it is neither merged nor pushed on, and is sent to the member to refute.
func (n *Node) withholdIfAlive(r board.Record) bool {
	h, ok := n.liveness.received[r.ID]
	if r.Version.Liveness == board.Alive || !ok || n.now.Sub(h.at) > n.heartbeatTimeout() || h.epoch != r.Version.Epoch {
		return false
	}
	have, ok := n.board.Get(r.ID)
	if !ok || have.Version.Compare(r.Version) >= 0 {
		return false
	}
	n.trace(ReasonConfirmedAlive, r.ID, r.Version)
	n.sendIfBudgetLeft(controlOf(have), Push{Records: []board.Record{r}, Relayed: true})
	return true
}

func (n *Node) refute(seq uint64, v board.Value) {
	n.seq = max(n.seq, seq)
	n.trace(ReasonRefuted, n.self, board.Version{Epoch: n.cfg.Incarnation, Seq: n.seq + 1})
	n.updateOwnRecord(v)
}

func (n *Node) setMember(v board.Value) {
	n.hasOwnRecord = true
	n.updateOwnRecord(v)
	if b, ok := v.(board.Balancer); ok && b.Leaving {
		n.releaseRelay()
	}
}

// updateOwnRecord writes the local member record with the next sequence and announces it.
func (n *Node) updateOwnRecord(v board.Value) {
	n.seq++
	r := board.Record{ID: n.self, Version: board.Version{Epoch: n.cfg.Incarnation, Seq: n.seq}, Value: v}
	if !n.merge(r) {
		return
	}
	n.announce(r)
}

func (n *Node) announce(r board.Record) {
	for _, h := range n.homes() {
		n.enqueue(h.control, r.ID, false)
	}
	if !n.isAgent() {
		n.gossip(r, netip.AddrPort{}, true)
	}
}

// gossip pushes a new record to peers of the local zone and to the agents in whose scope it is and whose heartbeats
// arrive here; origin also pushes it to one peer of each other zone. Agents don't forward records.
func (n *Node) gossip(r board.Record, from netip.AddrPort, origin bool) {
	if n.isAgent() {
		return
	}
	count := fanout
	if r.ID.Kind == board.KindZoneReachability {
		count = zoneReachabilityFanout
	}
	for _, p := range n.peers.sample(n, n.cfg.Zone, count, from) {
		n.enqueue(p.control, r.ID, true)
	}
	if origin {
		for _, zone := range n.peers.zones(n) {
			for _, p := range n.peers.sample(n, zone, 1, from) {
				n.enqueue(p.control, r.ID, true)
			}
		}
	}
	n.pushToAgents(r, from)
}

func (n *Node) pushToAgents(r board.Record, from netip.AddrPort) {
	if r.ID.Kind == board.KindRelay {
		return
	}
	for _, id := range n.liveness.agentsInScope(n, r) {
		a, ok := n.board.Get(board.ID{Kind: board.KindAgent, Key: id})
		if !ok || !isInScope(n.board, agentService(a), r) {
			continue
		}
		if to := controlOf(a); to != from {
			n.enqueue(to, r.ID, true)
		}
	}
}

func agentService(r board.Record) string {
	a, ok := r.Value.(board.Agent)
	if !ok {
		return ""
	}
	return a.Service
}

// controlOf returns the control address of a member.
func controlOf(r board.Record) netip.AddrPort {
	switch v := r.Value.(type) {
	case board.Agent:
		return v.ControlAddress
	case board.Balancer:
		return v.ControlAddress
	}
	return netip.AddrPort{}
}

func zoneOf(r board.Record) string {
	switch v := r.Value.(type) {
	case board.Agent:
		return v.Zone
	case board.Balancer:
		return v.Zone
	}
	return ""
}

func (n *Node) sendLoad(l Load) {
	own, ok := n.board.Get(n.self)
	if !ok {
		return
	}
	var to []netip.AddrPort
	for _, r := range n.board.Records(board.KindAgent) {
		if r.ID != n.self && agentService(r) == agentService(own) && !isTombstone(r) {
			to = append(to, controlOf(r))
		}
	}
	n.rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	for _, a := range to[:min(len(to), loadFanout)] {
		n.send(a, LoadReport{Agent: n.cfg.ID, Load: l})
	}
}

// expireTombstones deletes tombstones older than tombstoneTTL.
func (n *Node) expireTombstones() {
	var ids []board.ID
	for id, since := range n.tombstones {
		if n.now.Sub(since) >= tombstoneTTL {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareIDs)
	for _, id := range ids {
		delete(n.tombstones, id)
		n.board.Delete(id)
		n.index.remove(HashOf(id))
		n.peers.dirty = n.peers.dirty || id.Kind == board.KindBalancer
		n.trace(ReasonTombstoneExpired, id, board.Version{})
	}
}

// contractRevision returns the revision of the contract that an agent applies; 0 for a balancer.
func (n *Node) contractRevision() uint64 {
	if !n.isAgent() {
		return 0
	}
	_, v, _ := n.board.Contract(n.cfg.Service)
	return v.Seq
}

// AgentState is the state of an agent according to its last heartbeat to a home balancer.
type AgentState struct {
	ID string
	// Contract is the revision of the contract that the agent applies.
	Contract uint64
	// InSync is true when the agent holds the same configuration as this balancer.
	InSync bool
}

// Agents returns the agents that send heartbeats to this balancer, sorted by ID.
func (n *Node) Agents() []AgentState {
	var out []AgentState
	for id, h := range n.liveness.received {
		r, ok := n.board.Get(id)
		if !ok || id.Kind != board.KindAgent || isTombstone(r) || n.now.Sub(h.at) > n.heartbeatTimeout() {
			continue
		}
		scope := n.index.scope(agentService(r))
		out = append(out, AgentState{ID: id.Key, Contract: h.contract, InSync: h.scope.Config == scope.Config})
	}
	slices.SortFunc(out, func(a, b AgentState) int { return compareStrings(a.ID, b.ID) })
	return out
}

// AppliedRevision returns the store revision up to which the process has read as a relay, or 0.
func (n *Node) AppliedRevision() store.Revision { return n.relay.after }
