package passthrough

import (
	"strconv"
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/route"
)

const (
	// reasonPriority is the reason for the refusal of a new flow whose priority no agent of the service admits.
	reasonPriority = "priority"
	// reasonSilent means that a flow was accepted although its caller has probably given up.
	reasonSilent = "silent"
)

// heldRequests delivers packets in the order of their requests' priorities; the zero value delivers all at once.
type heldRequests struct {
	enabled bool
	// mu is locked while a packet is decided on and delivered, so that no packet overtakes a held one of its flow.
	mu    sync.Mutex
	level int
}

// prioritize makes the agent order requests if the deployment asks for it.
func (a *Agent) prioritize() {
	if a.cfg.Features.Has(RequestPriorities) {
		a.held.enabled = true
		a.admitter.SetPriorities()
	}
}

// orderPacket holds a packet of an open flow if its request waits for capacity, and calls decide otherwise.
func (a *Agent) orderPacket(now time.Time, seg passthrough.Segment, m *forward, decide func()) {
	if !a.held.enabled {
		decide()
		return
	}
	a.held.mu.Lock()
	held := a.hold(now, seg, m)
	if held == passthrough.NotHeld {
		decide()
	}
	a.held.mu.Unlock()
	if held == passthrough.HeldRequest {
		a.deliverQueued(now)
	}
}

// hold holds a packet if its request waits for capacity. held.mu must be locked.
func (a *Agent) hold(now time.Time, seg passthrough.Segment, m *forward) passthrough.Held {
	r, ok := a.state.Table().Route(seg.Flow().Address())
	if !ok {
		return passthrough.NotHeld
	}
	p := passthrough.FlowPacket{Segment: seg, Priority: r.Priority, Objective: r.TargetLatency, Timeout: r.Timeout, Packet: m.packet}
	held := a.admitter.Hold(now, p)
	switch held {
	case passthrough.NotHeld:
		return held
	case passthrough.AbsorbedCopy:
		a.metrics.count(eventAbsorbed, reasonNone)
		return held
	case passthrough.HeldRequest:
		load := a.admitter.Load(now)
		a.metrics.count(eventRequestHeld, strconv.Itoa(r.Priority))
		a.cfg.Logger.Info("request held", "flow", seg.Flow().String(), "priority", r.Priority, "in_progress", load.InProgress, "slots", load.Slots)
	case passthrough.HeldBehind:
	}
	a.onOwnedPacket(now, seg, m)
	return held
}

// deliverByPriority delivers what has capacity now, in the order of priorities, and passes on openings that the backend
// server cannot take.
func (a *Agent) deliverByPriority(now time.Time) {
	a.held.mu.Lock()
	d := a.admitter.DequeueByPriority(now)
	for i := range d.Requests {
		a.deliverHeld(now, &d.Requests[i])
	}
	if d.LevelChanged {
		a.held.level = d.Level
	}
	a.held.mu.Unlock()
	if d.LevelChanged {
		a.metrics.count(eventLevelChanged, strconv.Itoa(d.Level))
		a.cfg.Logger.Warn("admitted priorities changed", "refused_from", d.Level)
	}
	a.deliverOpenings(now, d.Openings, d.PassOn)
}

func (a *Agent) deliverHeld(now time.Time, r *passthrough.ReleasedRequest) {
	for i := range r.Packets {
		a.records.onDelivered(now, r.Packets[i].Segment)
		a.deliver(r.Packets[i].Packet)
	}
	first := r.Packets[0]
	a.metrics.holds.Observe(r.Waited.Seconds())
	a.metrics.count(eventRequestReleased, string(r.Reason))
	a.cfg.Logger.Info("request released", "flow", first.Segment.Flow().String(), "priority", first.Priority, "reason", string(r.Reason), "waited_ms", r.Waited.Milliseconds(), "packets", len(r.Packets))
}

// refusedPriority returns the highest priority that the agent refuses, for the gauge.
func (a *Agent) refusedPriority() float64 {
	a.held.mu.Lock()
	defer a.held.mu.Unlock()
	return float64(a.held.level)
}

// refusesPriority reports whether no agent of a route's services admits its priority. A retransmission is never refused:
// an agent may be about to deliver the first packet.
func (b *Balancer) refusesPriority(now time.Time, seg passthrough.Segment, r route.Route) bool {
	if !b.cfg.Features.Has(RequestPriorities) || seg.Retransmissions() > 0 {
		return false
	}
	for _, s := range r.Split {
		if s.Weight > 0 && b.steerer.Admits(now, s.Service, r.Priority) {
			return false
		}
	}
	return !b.steerer.Admits(now, r.Service, r.Priority)
}
