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
	// homeCount is the number of balancers to which a member sends heartbeats.
	homeCount = 2
	// fanout is the number of peers of the own zone to which a change is pushed.
	// With 4, a push that is never repeated reaches 98% of a large zone; digests repair the rest.
	fanout = 4
	// silenceFanout lets 0.04% of a large zone miss a silence record. It is rare, and must be in force everywhere
	// within seconds of being written, so it doesn't wait for digests.
	silenceFanout = 8
	// loadFanout is the largest number of co-members that are told the own load.
	loadFanout = 8
	// digestInterval is the time between two exchanges of digests.
	digestInterval = 5 * time.Second
	// tombstoneTime is how long the record of a dead member is kept.
	tombstoneTime = 10 * time.Minute
	// defaultHeartbeat and defaultBudget hold where the settings state nothing.
	defaultHeartbeat = time.Second
	defaultBudget    = 3 << 10
)

// Config describes one process; a process with a Service is an agent, and otherwise a balancer.
type Config struct {
	ID          string
	Zone        string
	Service     string
	Incarnation uint64
	// Address is the own control address.
	Address netip.AddrPort
	// Seeds are control addresses of some balancers, and may contain the own one.
	Seeds []netip.AddrPort
	Board *board.Board
	// Heartbeat is the time between two heartbeats; 0 means 1 s.
	Heartbeat time.Duration
	// Budget is the number of bytes a second that may be sent; 0 means 3 KiB.
	Budget int
	// Store is true when the process can reach the store and may take the relay role.
	Store bool
	// Seed makes random choices repeatable.
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
	bucket  bucket
	queues  [classCount]queue

	seq        uint64
	tombstones map[board.ID]time.Time
	// stated is false until the process has stated its member record.
	stated bool

	peers    peers
	liveness liveness
	catchUp  catchUp
	relay    relay

	nextBeat   time.Time
	nextDigest time.Time
	lastHandle time.Time
}

// New returns the core of a process, which first acts on its first Tick.
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
		bucket:     bucket{rate: float64(cfg.Budget)},
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

// Synchronised reports whether the process has caught up once, with a peer or with the store.
func (n *Node) Synchronised() bool { return n.catchUp.done }

// Holding reports whether the process holds the relay role of its zone.
func (n *Node) Holding() bool { return n.relay.state == relayHolding }

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) note(why Reason, id board.ID, v board.Version) {
	n.emit(Note{Reason: why, ID: id, Version: v})
}

// jitter returns a random time between half of d and d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.rand.Int64N(int64(d/2)+1))
}

// Handle takes one event and returns what is to be done.
func (n *Node) Handle(now time.Time, e Event) []Action {
	n.now = now
	n.actions = nil
	n.bucket.refill(now)
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
		n.pulled(e)
	case LeaseAnswer:
		n.leaseAnswer(e)
	case RenewAnswer:
		n.renewAnswer(e)
	case StoreRead:
		n.storeRead(e)
	case PeerBehind:
		n.tellZones(e.Control)
	}
	n.flush()
	return n.actions
}

// Next returns when the next Tick is due.
func (n *Node) Next() time.Time {
	next := n.nextBeat
	for _, t := range []time.Time{n.nextDigest, n.catchUp.next, n.relay.next} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	if !n.queueEmpty() {
		if t := n.now.Add(n.bucket.untilFilled()); t.Before(next) {
			next = t
		}
	}
	return next
}

func (n *Node) tick() {
	if n.nextBeat.IsZero() {
		n.nextBeat = n.now.Add(n.jitter(n.cfg.Heartbeat))
		n.catchUp.next = n.now
		if !n.isAgent() {
			n.nextDigest = n.now.Add(n.jitter(digestInterval))
			n.relay.next = n.now.Add(n.jitter(n.cfg.Heartbeat))
		}
	}
	if due(n.now, n.nextBeat) {
		n.nextBeat = n.now.Add(n.cfg.Heartbeat)
		n.beat()
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
		n.exchange()
	}
	if due(n.now, n.relay.next) {
		n.tickRelay()
	}
}

func due(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

func (n *Node) receive(from netip.AddrPort, m Message) {
	n.peers.heard(n, from)
	switch m := m.(type) {
	case Heartbeat:
		n.heartbeat(from, m)
	case Ack:
		n.ack(from, m)
	case Push:
		for _, r := range m.Records {
			n.take(r, from, m.Relayed)
		}
	case Notice:
		n.notice(from, m)
	case Digest:
		n.digest(from, m)
	case Versions:
		n.versions(from, m)
	case Want:
		n.want(from, m)
	case Query:
		n.query(from, m)
	case Heard:
		n.heardOf(m)
	case LoadReport:
		n.emit(DeliverLoad(m))
	}
}

// merge puts a record on the board if it is newer, and reports whether it was.
func (n *Node) merge(r board.Record) bool {
	old, had := n.board.Get(r.ID)
	taken, err := n.board.Merge(r)
	if err != nil {
		n.note(ReasonInvalid, r.ID, r.Version)
		return false
	}
	if !taken {
		return false
	}
	n.index.put(r)
	if isTombstone(r) {
		n.tombstones[r.ID] = n.now
	} else {
		delete(n.tombstones, r.ID)
	}
	n.noticeMember(old, had, r)
	n.note(ReasonTaken, r.ID, r.Version)
	return true
}

// noticeMember keeps the caches that depend on member records.
func (n *Node) noticeMember(old board.Record, had bool, r board.Record) {
	switch r.ID.Kind {
	case board.KindBalancer:
		n.peers.dirty = true
		n.liveness.dirty = true
		if r.ID != n.self {
			n.pullSoon()
		}
	case board.KindAgent:
		n.liveness.changed(n, old, had, r)
	case board.KindZoneReachability:
		n.silenceChanged(r)
	case board.KindContract, board.KindZone, board.KindBackend, board.KindRelay:
	}
}

// take merges a record of another process and spreads it if it is new.
// Tombstones are in no digest, so whoever sends an older record of a dead member is told.
// A record that comes from its origin is also sent to the other zones.
func (n *Node) take(r board.Record, from netip.AddrPort, relayed bool) {
	if r.ID == n.self {
		n.takeOwn(r, from)
		return
	}
	if n.withhold(r) {
		return
	}
	if n.merge(r) {
		n.spread(r, from, !relayed)
		return
	}
	if have, ok := n.board.Get(r.ID); ok && isTombstone(have) && have.Version.Compare(r.Version) > 0 {
		n.enqueue(from, r.ID, true)
	}
}

// takeOwn refutes what others say of this process.
func (n *Node) takeOwn(r board.Record, from netip.AddrPort) {
	own, ok := n.board.Get(n.self)
	if !ok || r.Version.Compare(own.Version) <= 0 {
		return
	}
	if r.Version.Epoch > n.cfg.Incarnation {
		n.note(ReasonSuperseded, r.ID, r.Version)
		return
	}
	n.refute(r.Version.Seq, own.Value)
	n.enqueue(from, n.self, false)
}

// withhold lets a member whose heartbeats come here refute a verdict of others before it is taken and spread.
func (n *Node) withhold(r board.Record) bool {
	h, ok := n.liveness.heard[r.ID]
	if r.Version.Liveness == board.Alive || !ok || n.now.Sub(h.at) > n.silence() || h.epoch != r.Version.Epoch {
		return false
	}
	have, ok := n.board.Get(r.ID)
	if !ok || have.Version.Compare(r.Version) >= 0 {
		return false
	}
	n.note(ReasonWithheld, r.ID, r.Version)
	n.sendSpare(controlOf(have), Push{Records: []board.Record{r}, Relayed: true})
	return true
}

func (n *Node) refute(seq uint64, v board.Value) {
	n.seq = max(n.seq, seq)
	n.note(ReasonRefuted, n.self, board.Version{Epoch: n.cfg.Incarnation, Seq: n.seq + 1})
	n.state(v)
}

func (n *Node) setMember(v board.Value) {
	n.stated = true
	n.state(v)
	if b, ok := v.(board.Balancer); ok && b.Leaving {
		n.release()
	}
}

// state writes the own member record with a higher sequence and announces it.
func (n *Node) state(v board.Value) {
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
		n.spread(r, netip.AddrPort{}, true)
	}
}

// spread pushes a new record to peers of the own zone, from its origin also to one peer of each
// other zone, and to the agents that send heartbeats here and need it. Agents spread nothing.
func (n *Node) spread(r board.Record, from netip.AddrPort, origin bool) {
	if n.isAgent() {
		return
	}
	count := fanout
	if r.ID.Kind == board.KindZoneReachability {
		count = silenceFanout
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
	n.spreadToAgents(r, from)
}

func (n *Node) spreadToAgents(r board.Record, from netip.AddrPort) {
	if r.ID.Kind == board.KindRelay {
		return
	}
	for _, id := range n.liveness.listeners(n, r) {
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

// forget removes tombstones whose time is over.
func (n *Node) forget() {
	var ids []board.ID
	for id, since := range n.tombstones {
		if n.now.Sub(since) >= tombstoneTime {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareIDs)
	for _, id := range ids {
		delete(n.tombstones, id)
		n.board.Delete(id)
		n.index.remove(HashOf(id))
		n.peers.dirty = n.peers.dirty || id.Kind == board.KindBalancer
		n.note(ReasonForgotten, id, board.Version{})
	}
}

// ContractRevision returns the revision of a service's contract on the board.
func (n *Node) contractRevision() uint64 {
	if !n.isAgent() {
		return 0
	}
	_, v, _ := n.board.Contract(n.cfg.Service)
	return v.Seq
}

// AgentState is what a home balancer knows of an agent that sends it heartbeats.
type AgentState struct {
	ID string
	// Contract is the revision of the contract that the agent applies.
	Contract uint64
	// InStep is true when the agent holds the same configuration as this balancer.
	InStep bool
}

// Agents returns the agents that send heartbeats to this balancer, sorted by id.
func (n *Node) Agents() []AgentState {
	var out []AgentState
	for id, h := range n.liveness.heard {
		r, ok := n.board.Get(id)
		if !ok || id.Kind != board.KindAgent || isTombstone(r) || n.now.Sub(h.at) > n.silence() {
			continue
		}
		scope := n.index.scope(agentService(r))
		out = append(out, AgentState{ID: id.Key, Contract: h.contract, InStep: h.scope.Config == scope.Config})
	}
	slices.SortFunc(out, func(a, b AgentState) int { return compareStrings(a.ID, b.ID) })
	return out
}

// Applied returns the store revision up to which the process has read as a relay; 0 when it is none.
func (n *Node) Applied() store.Revision { return n.relay.after }
