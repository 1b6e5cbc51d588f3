package passthrough

import (
	"net/netip"
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/route"
)

const (
	// handshakeTime is several round trips to a caller; one that takes longer to send its request is not coming.
	handshakeTime = 80 * time.Millisecond
	// workTime bounds how long a request counts whose answer is not seen.
	workTime = 2 * time.Second
	// maxSequenceGap is more bytes than a backend server sends on one flow; a random number is within it once in 256.
	maxSequenceGap = 1 << 24
	// maxOwners is how many backend servers may have answered the copies of one opening packet.
	maxOwners = 2
	// maxBusyHops bounds how often a packet is passed on because backend servers are busy. When all are, a second
	// choice gains nothing and costs every agent time.
	maxBusyHops = 1
	// settleTime is how long after its start an agent asks its backend server for flows that it does not know.
	settleTime = 20 * time.Second
)

// Reason is why a packet was not given to the backend server; the text is the value of the reason label of a metric.
type Reason string

// Reasons.
const (
	ReasonDraining Reason = "draining"
	ReasonZoneOut  Reason = "zone_out"
	ReasonCold     Reason = "cold"
	ReasonBusy     Reason = "busy"
	ReasonRejected Reason = "returned"
	ReasonAbsent   Reason = "backend_absent"
	// ReasonOtherService means that a balancer took the agent for one of another service.
	ReasonOtherService Reason = "other_service"
)

// Decision is what an agent does with a packet: Deliver, PassOn, Hold, Refuse, Forward or Unknown.
type Decision interface{ decision() }

// Deliver gives the packet to the backend server.
type Deliver struct{}

// PassOn sends the packet to the next agent of its path, or refuses it when there is none.
type PassOn struct{ Reason Reason }

// Queued means that the gate has kept the packet until the backend server can take it.
type Queued struct{}

// Refuse ends the flow at the caller.
type Refuse struct{ Reason Reason }

// Forward sends the packet to the agent that owns its flow.
type Forward struct{ Owner netip.AddrPort }

// UnknownFlow means that the agent does not know the flow.
type UnknownFlow struct{}

func (Deliver) decision()     {}
func (PassOn) decision()      {}
func (Queued) decision()      {}
func (Refuse) decision()      {}
func (Forward) decision()     {}
func (UnknownFlow) decision() {}

// Admitter is an agent's decision which packets its backend server gets. It is safe for concurrent use.
type Admitter struct {
	flows  Table[held]
	passed Table[netip.AddrPort]
	owners Table[[maxOwners]owner]

	mu        sync.Mutex
	work      map[FlowID]request
	waiting   waitingLine
	presence  presence
	outcomes  outcomes
	slots     int
	draining  bool
	zoneOut   bool
	coldUntil time.Time
	coldLimit SlidingWindowLimiter
	service   route.ServiceLimits
	started   time.Time
	answered  func(d time.Duration)
}

// held is a flow whose opening packet the backend server got.
type held struct {
	isn      uint32
	accepted bool // the backend server has answered the opening packet
	adopted  bool // the flow was open before the agent started, so its first sequence number is not known
	probed   bool // the packet was delivered to find out whether the backend server holds the flow
	opened   bool // the backend server has answered more than the opening packet, so the flow is open there
	foreign  bool // the backend server does not hold the flow
}

// owner is an agent that says that its backend server holds a flow.
type owner struct {
	agent netip.AddrPort
	isn   uint32
}

// request is work that the backend server has or is about to get.
type request struct {
	since   time.Time
	working bool
	hangs   bool // counted as failed
}

// NewAdmitter returns the gate of an agent that started at a time.
func NewAdmitter(started time.Time) *Admitter {
	return &Admitter{work: make(map[FlowID]request), slots: assumedSlots, started: started}
}

// SetAnswerObserver calls f with the time from a request to the first packet of its answer; it must be set before use.
func (g *Admitter) SetAnswerObserver(f func(d time.Duration)) { g.answered = f }

// SetServiceLimits sets what the configuration states of the backend server.
func (g *Admitter) SetServiceLimits(s route.ServiceLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service = s
}

// SetZoneOut notes whether operators have taken the zone out of service.
func (g *Admitter) SetZoneOut(out bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.zoneOut = out
}

// SetBackendState notes what the backend server says of itself; cold is how much longer it stays cold.
func (g *Admitter) SetBackendState(now time.Time, slots int, draining bool, cold time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slots > 0 {
		g.slots = slots
	}
	g.draining = draining
	g.coldUntil = now.Add(cold)
	g.presence.seen(now)
}

// SetDraining makes the agent take no more flows.
func (g *Admitter) SetDraining() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Load returns the load of the backend server.
func (g *Admitter) Load(now time.Time) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.inProgress(now) + g.waiting.len()
	return Load{
		InProgress:     uint16(min(n, 1<<15)),       //nolint:gosec // bounded by min
		Slots:          uint16(min(g.slots, 1<<15)), //nolint:gosec // bounded by min
		FailurePercent: g.outcomes.failing(now),
		AcceptsFlows:   !g.draining && !g.zoneOut && !g.presence.absent(now),
	}
}

// BackendConfirmed reports whether the backend server has been seen since the agent started.
func (g *Admitter) BackendConfirmed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.presence.confirmed
}

// inProgress counts the work and forgets requests that can no longer be waiting.
func (g *Admitter) inProgress(now time.Time) int {
	for f, r := range g.work {
		limit := handshakeTime
		if r.working {
			limit = workTime
		}
		if r.working && !r.hangs && now.Sub(r.since) > hangTime {
			r.hangs = true
			g.work[f] = r
			g.outcomes.note(now, true)
		}
		if now.Sub(r.since) > limit {
			delete(g.work, f)
		}
	}
	return len(g.work)
}

// limit is how many requests may be in progress: enough that no slot is idle while a caller's request is on its
// way, and fewer than a backend server queues.
func (g *Admitter) limit() int { return 2*g.slots + 2 }

// lateLimit is how many requests may be in progress when one is taken whose caller waits for long: it takes a free
// slot, but no place before callers that can still be answered in time.
func (g *Admitter) lateLimit() int { return g.slots + 1 }

// OnOpeningPacket decides on a packet that opens a flow.
func (g *Admitter) OnOpeningPacket(now time.Time, a OpeningPacket) Decision {
	seg := a.Segment
	if h, ok := g.flows.Get(now, seg.Flow()); ok && seg.Retransmissions() > 0 && !h.foreign {
		return Deliver{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.admit(now, a)
	if _, ok := v.(Deliver); ok {
		g.take(now, seg.Flow())
	}
	return v
}

// take notes that the backend server gets the packet that opens a flow.
func (g *Admitter) take(now time.Time, f FlowID) {
	g.work[f] = request{since: now}
	g.presence.delivered(now)
	g.flows.Put(now, f, held{})
	g.passed.Delete(f)
}

func (g *Admitter) admit(now time.Time, a OpeningPacket) Decision {
	switch {
	case g.draining:
		return PassOn{ReasonDraining}
	case g.zoneOut:
		return PassOn{ReasonZoneOut}
	case !g.presence.allows(now):
		return PassOn{ReasonAbsent}
	case a.Unconfigured && now.Before(g.coldUntil):
		return PassOn{ReasonCold} // How much it bears is not known without a configuration.
	}
	limit := g.limit()
	if a.late() {
		limit = g.lateLimit()
	}
	if g.inProgress(now) >= limit {
		if a.Path.Len() > 0 && a.Hops < maxBusyHops && !a.late() {
			return PassOn{ReasonBusy}
		}
		g.waiting.push(now, a)
		return Queued{}
	}
	if !g.coldAllows(now) {
		return PassOn{ReasonCold}
	}
	return Deliver{}
}

// coldAllows applies the rate that a cold backend server bears.
func (g *Admitter) coldAllows(now time.Time) bool {
	if g.service.ColdRequestsPerSecond <= 0 || !now.Before(g.coldUntil) {
		return true
	}
	return g.coldLimit.Allow(now, max(1, int(g.service.ColdRequestsPerSecond)))
}

// Dequeue returns the held packets that the backend server can take now, and those that it will not get, which go to
// other agents.
func (g *Admitter) Dequeue(now time.Time) (deliver, passOn []OpeningPacket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining || g.zoneOut || !g.presence.allows(now) {
		return nil, g.waiting.takeAll(now)
	}
	for n := g.inProgress(now); ; n++ {
		a, ok := g.waiting.pop(now, n < g.limit(), n < g.lateLimit())
		if !ok {
			return deliver, nil
		}
		if !g.coldAllows(now) {
			return deliver, []OpeningPacket{a}
		}
		g.take(now, a.Segment.Flow())
		deliver = append(deliver, a)
	}
}

// UnansweredAttempts returns the attempts that still wait and of which balancers have to be told.
func (g *Admitter) UnansweredAttempts(now time.Time) []UnansweredAttempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting.unanswered(now)
}

// SetNextAgent notes to which agent the packet that opens a flow was sent.
func (g *Admitter) SetNextAgent(now time.Time, f FlowID, agent netip.AddrPort) {
	g.flows.Delete(f)
	g.passed.Put(now, f, agent)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.work, f)
}

// OnEstablishedPacket decides on a packet of a flow that is already open.
func (g *Admitter) OnEstablishedPacket(now time.Time, seg Segment) Decision {
	f := seg.Flow()
	h, known := g.flows.Get(now, f)
	if known && h.owns(seg) {
		g.noteRequest(now, seg)
		return Deliver{}
	}
	if a, ok := g.passed.Get(now, f); ok {
		return Forward{a}
	}
	if os, ok := g.owners.Get(now, f); ok {
		if a, ok := match(os, seg); ok {
			return Forward{a}
		}
	}
	if !known && now.Sub(g.started) < settleTime {
		g.flows.Put(now, f, held{probed: true})
		return Deliver{}
	}
	return UnknownFlow{}
}

// noteRequest notes that the backend server gets a caller's request, or that the caller has given up.
func (g *Admitter) noteRequest(now time.Time, seg Segment) {
	ends := seg.Has(FlagReset)
	if seg.Size() == 0 && !ends {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.work[seg.Flow()]
	switch {
	case ok && ends:
		delete(g.work, seg.Flow())
	case ok && !r.working:
		g.work[seg.Flow()] = request{since: now, working: true}
	}
}

// owns reports whether the caller's packet acknowledges bytes of this backend server.
func (h held) owns(seg Segment) bool {
	switch {
	case h.foreign || h.probed:
		return false
	case h.adopted:
		return true
	}
	return h.accepted && follows(h.isn, seg)
}

// follows reports whether a packet acknowledges bytes that begin after a first sequence number.
func follows(isn uint32, seg Segment) bool {
	return seg.Has(FlagReset) || seg.Ack()-isn < maxSequenceGap
}

func match(os [maxOwners]owner, seg Segment) (netip.AddrPort, bool) {
	for _, o := range os {
		if o.agent.IsValid() && follows(o.isn, seg) {
			return o.agent, true
		}
	}
	return netip.AddrPort{}, false
}

// SetOwner notes that another agent's backend server holds a flow.
func (g *Admitter) SetOwner(now time.Time, f FlowID, agent netip.AddrPort, isn uint32) {
	g.owners.Update(now, f, func(os [maxOwners]owner, _ bool) [maxOwners]owner {
		if os[0].agent != agent {
			os[1] = os[0]
		}
		os[0] = owner{agent: agent, isn: isn}
		return os
	})
}

// OnServerPacket notes a packet of the backend server and reports whether it accepts a new flow. The flag says that the
// packet begins the answer to a failed request.
func (g *Admitter) OnServerPacket(now time.Time, seg Segment, failed bool) (accepted bool) {
	f := seg.Flow()
	g.flows.Update(now, f, func(h held, known bool) held {
		if seg.Has(FlagOpen | FlagAck) {
			accepted = !h.accepted
			return held{isn: seg.Seq(), accepted: true}
		}
		if !known || h.probed {
			return held{adopted: true, accepted: true, opened: true}
		}
		h.opened = true
		return h
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.presence.seen(now)
	if seg.Size() > 0 || seg.Has(FlagReset) || seg.Has(FlagFinish) {
		if r, ok := g.work[f]; ok && r.working && !r.hangs {
			g.outcomes.note(now, failed || seg.Size() == 0)
			if g.answered != nil {
				g.answered(now.Sub(r.since))
			}
		}
		delete(g.work, f)
	}
	return accepted
}

// OnRejected decides on a caller's packet that the backend server gave back.
func (g *Admitter) OnRejected(now time.Time, seg Segment) Decision {
	f := seg.Flow()
	h, known := g.flows.Get(now, f)
	g.mu.Lock()
	delete(g.work, f)
	if seg.IsOpening() {
		g.presence.returned(now)
	}
	g.mu.Unlock()
	switch {
	case seg.IsOpening():
		g.flows.Delete(f)
		return PassOn{ReasonRejected}
	case known && h.opened && h.owns(seg):
		g.flows.Delete(f)
		return Refuse{ReasonRejected}
	}
	g.flows.Put(now, f, held{foreign: true})
	return UnknownFlow{}
}

// Sweep forgets flows without packets for longer than idle.
func (g *Admitter) Sweep(now time.Time, idle time.Duration) {
	g.flows.Sweep(now, func(_ held, unused time.Duration) bool { return unused > idle })
	g.passed.Sweep(now, func(_ netip.AddrPort, unused time.Duration) bool { return unused > idle })
	g.owners.Sweep(now, func(_ [maxOwners]owner, unused time.Duration) bool { return unused > idle })
}

// Flows returns the number of flows that the agent remembers.
func (g *Admitter) Flows() int { return g.flows.Len() }
