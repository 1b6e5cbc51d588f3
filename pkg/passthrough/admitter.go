package passthrough

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleymast/bramleymast/pkg/concurrency"
	"github.com/bramleymast/bramleymast/pkg/route"
)

// FlowTTL is how long flows may live if the platform states no limit; see SetFlowTTL.
const FlowTTL = time.Minute

// Reason is why a packet was not delivered to the backend server. Its text is the value of the reason label of a
// metric.
type Reason string

// Reasons.
const (
	ReasonDraining Reason = "draining"
	ReasonZoneOut  Reason = "zone_out"
	ReasonCold     Reason = "cold"
	ReasonBusy     Reason = "busy"
	ReasonRejected Reason = "returned"
	ReasonAbsent   Reason = "backend_absent"
	// ReasonOtherService means that a balancer sent the packet to an agent of another service.
	ReasonOtherService Reason = "other_service"
)

// Decision is what an agent does with a packet: Deliver, PassOn, Queued, Refuse, Forward, UnknownFlow, Deny or Drop.
type Decision interface{ decision() }

// Deliver means that the packet goes to the backend server.
type Deliver struct{}

// PassOn means that the packet goes to the next agent of its path, or is refused when there is none.
type PassOn struct{ Reason Reason }

// Queued means that the admitter keeps the packet until the backend server has capacity.
type Queued struct{}

// Refuse means that the flow is reset at the caller.
type Refuse struct{ Reason Reason }

// Forward means that the packet goes to the agent that owns its flow.
type Forward struct{ Owner netip.AddrPort }

// UnknownFlow means that the agent has no record of the flow's owner.
type UnknownFlow struct{}

// Deny means that the backend server certainly does not hold the flow.
type Deny struct{}

// Drop means that the packet is not needed.
type Drop struct{}

func (Deliver) decision()     {}
func (PassOn) decision()      {}
func (Queued) decision()      {}
func (Refuse) decision()      {}
func (Forward) decision()     {}
func (UnknownFlow) decision() {}
func (Deny) decision()        {}
func (Drop) decision()        {}

// Admitter decides which packets an agent delivers to its backend server. It is safe for concurrent use.
type Admitter struct {
	flows      Table[localFlow]
	nextAgents Table[netip.AddrPort]
	owners     Table[[maxOwners]owner]
	open       openFlows

	mu   sync.Mutex
	room room

	started        time.Time
	flowTTL        time.Duration
	tracksRequests bool
	// noPreExisting means that the backend server started after the agent.
	noPreExisting atomic.Bool
	backendGone   atomic.Bool // the process of the backend server has ended
}

// NewAdmitter returns the admitter of an agent that started at the given time.
func NewAdmitter(started time.Time) *Admitter {
	return &Admitter{room: newRoom(started), started: started, flowTTL: FlowTTL}
}

// SetAnswerObserver sets a function that is called with the time from a request to the first packet of its response. It
// must be called before the admitter is used.
func (ad *Admitter) SetAnswerObserver(f func(d time.Duration)) { ad.room.observeAnswer = f }

// TrackRequests makes load, failure rate, answer times and limits count every request of a flow and not only the first
// one. It must be called before the admitter is used.
func (ad *Admitter) TrackRequests() {
	ad.tracksRequests = true
	ad.room.trackRequests()
}

// LearnCapacity makes the admitter learn the speed of the backend server and how many requests it takes at a time, report
// them with the load and limit the requests in progress by them. It includes TrackRequests and must be called before the
// admitter is used.
func (ad *Admitter) LearnCapacity() {
	ad.TrackRequests()
	ad.room.capacity.estimator = new(concurrency.Estimator)
	ad.room.capacity.estimator.SetSlots(ad.room.slots)
}

// SetOutcomeObserver sets a function that is called with the outcome of each tracked request. It must be called before the
// admitter is used.
func (ad *Admitter) SetOutcomeObserver(f func(o RequestOutcome)) { ad.room.observeOutcome = f }

// SetFlowTTL sets how long flows may live; 0 means FlowTTL. Records of flows are kept for as long at least, and for as
// long after its start the agent finds out whether unknown flows are pre-existing ones. It must be called before the
// admitter is used.
func (ad *Admitter) SetFlowTTL(d time.Duration) {
	if d > 0 {
		ad.flowTTL = d
	}
}

// SetServiceLimits sets the configured limits of the backend server.
func (ad *Admitter) SetServiceLimits(s route.ServiceLimits) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.room.limits, ad.room.limitsKnown = s, true
}

// SetZoneOut sets whether operators have taken the zone out of service.
func (ad *Admitter) SetZoneOut(out bool) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.room.zoneOut = out
}

// SetBackendState applies a heartbeat of the backend server; cold is how much longer it stays cold.
func (ad *Admitter) SetBackendState(now time.Time, slots int, draining bool, cold time.Duration) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if slots > 0 {
		ad.room.setSlots(slots)
	}
	ad.room.draining = draining
	ad.backendGone.Store(false)
	ad.room.heard = true
	ad.room.coldUntil = now.Add(cold)
	ad.room.reachability.onSeen(now)
}

// SetBackendRestarted records that another run of the backend server has started. What was learned of the earlier one and
// its requests in progress count no more.
func (ad *Admitter) SetBackendRestarted(now time.Time) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.room.dropRequests(now)
	ad.room.capacity.reset()
}

// SetNoPreExisting records that the backend server started after the agent, so it holds no flow that the agent has no
// record of.
func (ad *Admitter) SetNoPreExisting() { ad.noPreExisting.Store(true) }

// SetDraining makes the agent stop accepting flows.
func (ad *Admitter) SetDraining() {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.room.draining = true
}

// Load returns the load of the backend server.
func (ad *Admitter) Load(now time.Time) Load {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	n := ad.room.inProgress(now) + ad.room.queue.len() + ad.room.heldRequests()
	l := Load{
		InProgress:     uint16(min(n, 1<<15)),             //nolint:gosec // bounded by min
		Slots:          uint16(min(ad.room.slots, 1<<15)), //nolint:gosec // bounded by min
		FailurePercent: ad.room.failureRate.percent(now),
		AcceptsFlows:   !ad.room.draining && !ad.room.zoneOut && !ad.room.reachability.unreachable(now),
		Flows:          ad.open.count(),
		Refused:        ad.room.refusedPriority(),
	}
	ad.room.capacity.report(now, n, &l)
	return l
}

// BackendConfirmed reports whether the backend server has been seen and has not rejected an opening packet since.
func (ad *Admitter) BackendConfirmed() bool {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.room.reachability.confirmed
}

// OnOpeningPacket decides on a packet that opens a flow. Copies of a delivered packet are delivered too.
func (ad *Admitter) OnOpeningPacket(now time.Time, p OpeningPacket) Decision {
	seg := p.Segment
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if lf, ok := ad.flows.Get(now, seg.Flow()); ok && lf.expectsCopies(now) {
		return Deliver{} // A copy, which another agent may have held for longer than the first one took.
	}
	d := ad.room.admit(now, p)
	if _, ok := d.(Deliver); ok {
		ad.recordDelivery(now, seg)
	}
	return d
}

// recordDelivery records that an opening packet is delivered to the backend server. The record of a flow that is open
// stays until the answer shows whether the packet was a late copy or the caller uses its port again.
func (ad *Admitter) recordDelivery(now time.Time, seg Segment) {
	f := seg.Flow()
	ad.room.onOpening(now, seg)
	ad.room.forgetWaiting(f)
	ad.room.reachability.onDelivered(now)
	ad.flows.Update(now, f, func(lf localFlow, _ bool) localFlow {
		if lf.isNotOpen() {
			lf = localFlow{}
		}
		lf.delivered = now
		return lf
	})
	ad.nextAgents.Delete(f)
}

// Rerouted is a queued packet that must be passed on to another agent.
type Rerouted struct {
	OpeningPacket
	Reason Reason
}

// Dequeue removes queued packets and returns those that the backend server has capacity for, and those that must be
// passed on to other agents.
func (ad *Admitter) Dequeue(now time.Time) (deliver []OpeningPacket, passOn []Rerouted) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if reason, closed := ad.room.closed(now); closed {
		for _, p := range ad.room.queue.dequeueAll(now) {
			passOn = append(passOn, Rerouted{p, reason})
		}
		return nil, passOn
	}
	if ad.room.awaitsLimits(now) {
		ad.room.queue.expire(now)
		return nil, nil
	}
	for n := ad.room.inProgress(now); ; n++ {
		p, ok := ad.room.queue.dequeue(now, n < ad.room.requestLimit(), n < ad.room.lateRequestLimit())
		if !ok {
			return deliver, nil
		}
		if !ad.room.coldAllows(now) {
			return deliver, []Rerouted{{p, ReasonCold}}
		}
		ad.recordDelivery(now, p.Segment)
		deliver = append(deliver, p)
	}
}

// UnansweredAttempts returns the queued attempts that must now be reported to the balancers; each is returned once.
func (ad *Admitter) UnansweredAttempts(now time.Time) []UnansweredAttempt {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.room.queue.unansweredAttempts(now)
}

// SetNextAgent records the agent to which an opening packet was passed on. The packet may be a late copy, so the record of
// a flow that is open stays.
func (ad *Admitter) SetNextAgent(now time.Time, f FlowID, agent netip.AddrPort) {
	ad.flows.DeleteIf(f, localFlow.isNotOpen)
	ad.nextAgents.Put(now, f, agent)
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.room.onEnd(now, f)
	ad.room.forgetWaiting(f)
}

// OnEstablishedPacket decides on a packet of a flow that is already open. likelyOwner means that the sender has a record
// that this agent owns the flow. Only then does an agent that has just started deliver a packet of an unknown flow: on
// its way from agent to agent, the packet would reach many backend servers that do not hold the flow before its own.
func (ad *Admitter) OnEstablishedPacket(now time.Time, seg Segment, likelyOwner bool) Decision {
	f := seg.Flow()
	lf, known := ad.flows.Get(now, f)
	if known && lf.ownsPacket(seg) {
		return ad.deliverOwned(now, seg)
	}
	if a, ok := ad.nextAgents.Get(now, f); ok {
		return Forward{a}
	}
	if os, ok := ad.owners.Get(now, f); ok {
		if a, ok := findOwner(os, seg); ok {
			return Forward{a}
		}
	}
	if !known && likelyOwner && ad.mayHoldUnknown(now) {
		ad.flows.Put(now, f, localFlow{probed: true})
		return Deliver{}
	}
	return UnknownFlow{}
}

// OnSearchedPacket decides on a packet of an open flow that is sent to all agents: Deliver, Deny or, if it is not certain
// whether the backend server holds the flow, UnknownFlow. sameService means that the flow's route leads to the service
// of this agent, or did before the last change; no other packet is delivered to find out whether the backend server
// holds the flow.
func (ad *Admitter) OnSearchedPacket(now time.Time, seg Segment, sameService bool) Decision {
	f := seg.Flow()
	lf, known := ad.flows.Get(now, f)
	switch {
	case ad.backendGone.Load():
		return Deny{}
	case known && lf.ownsPacket(seg):
		return ad.deliverOwned(now, seg)
	case known && (lf.notHeld || lf.accepted):
		return Deny{}
	case known:
		return UnknownFlow{} // The answer of the backend server to an earlier packet is not known yet.
	case !ad.mayHoldUnknown(now):
		return Deny{}
	case !sameService:
		return UnknownFlow{}
	}
	ad.flows.Put(now, f, localFlow{probed: true})
	return Deliver{}
}

// deliverOwned decides on a packet of a flow that the agent owns.
func (ad *Admitter) deliverOwned(now time.Time, seg Segment) Decision {
	if ad.backendGone.Load() {
		return Refuse{ReasonAbsent}
	}
	ad.recordRequest(now, seg)
	ad.recordCallerEnd(now, seg)
	return Deliver{}
}

// OpenFlow is a flow that was open when its backend server ended.
type OpenFlow struct {
	Flow FlowID
	// Seq is the next sequence number of the backend server, which a reset needs.
	Seq uint32
}

// SetBackendGone records that the process of the backend server has ended, and returns the flows that were open there and
// had a packet within the idle timeout. Their callers would notice the end only at their next deadline. A heartbeat or a
// packet of another run ends this state.
func (ad *Admitter) SetBackendGone(now time.Time, idle time.Duration) []OpenFlow {
	ad.backendGone.Store(true)
	ad.mu.Lock()
	ad.room.dropRequests(now)
	ad.mu.Unlock()
	var open []OpenFlow
	ad.flows.Each(now, func(f FlowID, lf localFlow, unused time.Duration) {
		if lf.accepted && !lf.ended && !lf.notHeld && unused <= idle {
			open = append(open, OpenFlow{Flow: f, Seq: lf.window.next})
		}
	})
	return open
}

// restartPeriod is how long after its start an agent counts as just started.
const restartPeriod = 15 * time.Second

// Restarted reports whether the agent has just started together with its backend server, or without one.
func (ad *Admitter) Restarted(now time.Time) bool {
	return now.Sub(ad.started) < restartPeriod && (ad.noPreExisting.Load() || ad.backendGone.Load())
}

// mayHoldUnknown reports whether the backend server may hold flows that the agent has no record of, which were opened
// before the agent started.
func (ad *Admitter) mayHoldUnknown(now time.Time) bool {
	return !ad.noPreExisting.Load() && now.Sub(ad.started) < ad.flowTTL
}

// mayHaveMissedOpening reports whether an opening packet may be a copy of one that was delivered before the agent started,
// so that the backend server may have sent packets on the flow that the agent does not know.
func (ad *Admitter) mayHaveMissedOpening(now time.Time) bool {
	return !ad.noPreExisting.Load() && now.Sub(ad.started) < retransmissionPeriod
}

// recordRequest updates the requests in progress when a caller's packet of an open flow is delivered.
func (ad *Admitter) recordRequest(now time.Time, seg Segment) {
	if !ad.tracksRequests && seg.Size() == 0 && !seg.Has(FlagReset) {
		return
	}
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.room.onCallerPacket(now, seg)
}

// SetOwner records that the backend server of another agent has a flow, and the lowest number that the caller's packets
// acknowledge.
func (ad *Admitter) SetOwner(now time.Time, f FlowID, agent netip.AddrPort, minAck uint32) {
	ad.owners.Update(now, f, func(os [maxOwners]owner, _ bool) [maxOwners]owner {
		if os[0].agent != agent {
			os[1] = os[0]
		}
		os[0] = owner{agent: agent, minAck: minAck}
		return os
	})
}

// MinAck returns the lowest number that the caller's packets acknowledge on a flow that this agent owns, or false if the
// agent does not own the flow. It rises as the backend server sends.
func (ad *Admitter) MinAck(now time.Time, f FlowID) (uint32, bool) {
	lf, ok := ad.flows.Get(now, f)
	return lf.window.min, ok && lf.accepted && !lf.notHeld
}

// OnServerPacket records a packet of the backend server and reports whether it accepts a new flow. failed means that
// the packet starts the response to a failed request.
func (ad *Admitter) OnServerPacket(now time.Time, seg Segment, failed bool) (accepted bool) {
	f := seg.Flow()
	ad.backendGone.Store(false)
	ad.flows.Update(now, f, func(lf localFlow, known bool) localFlow {
		before := lf
		defer func() { ad.open.change(before, lf) }()
		switch {
		case seg.Has(FlagOpen | FlagAck):
			accepted = !lf.accepted
			lf = lf.reopened(seg.Seq())
			lf.window.complete = lf.window.complete && !ad.mayHaveMissedOpening(now)
		case !known || lf.probed:
			lf = localFlow{window: preExistingWindow(seg.Seq()), accepted: true, established: true}
		default:
			lf.established = true
		}
		lf.window.advance(seg)
		lf.use.record(now, seg)
		lf.ended = lf.ended || seg.Has(FlagFinish) || seg.Has(FlagReset)
		return lf
	})
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.room.reachability.onSeen(now)
	ad.room.onServerPacket(now, seg, failed)
	return accepted
}

// OnRejected decides on a caller's packet that the backend server rejected.
func (ad *Admitter) OnRejected(now time.Time, seg Segment) Decision {
	f := seg.Flow()
	lf, known := ad.flows.Get(now, f)
	if seg.IsOpening() && known && lf.hasJustOpened(now) {
		return Drop{}
	}
	ad.mu.Lock()
	ad.room.onEnd(now, f)
	ad.room.forgetWaiting(f)
	if seg.IsOpening() {
		ad.room.reachability.onRejected(now)
	}
	ad.mu.Unlock()
	switch {
	case seg.IsOpening():
		ad.flows.DeleteIf(f, localFlow.isNotOpen)
		return PassOn{ReasonRejected}
	case known && lf.established && lf.ownsPacket(seg):
		ad.flows.Delete(f)
		return Refuse{ReasonRejected}
	}
	ad.flows.Put(now, f, localFlow{notHeld: true})
	return UnknownFlow{}
}

// Sweep removes flows without packets for longer than idle.
func (ad *Admitter) Sweep(now time.Time, idle time.Duration) {
	// A missing record means that the backend server does not hold the flow, so it is kept for as long as flows live.
	ad.flows.Sweep(now, func(_ localFlow, unused time.Duration) bool { return unused > max(idle, ad.flowTTL) })
	ad.open.recount(now, &ad.flows, idle)
	ad.nextAgents.Sweep(now, func(_ netip.AddrPort, unused time.Duration) bool { return unused > idle })
	ad.owners.Sweep(now, func(_ [maxOwners]owner, unused time.Duration) bool { return unused > idle })
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.room.sweepRequests(now, max(idle, ad.flowTTL))
}

// Flows returns the number of flows that the agent has a record of.
func (ad *Admitter) Flows() int { return ad.flows.Len() }
