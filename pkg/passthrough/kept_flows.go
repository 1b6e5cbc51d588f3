package passthrough

import "time"

const (
	// minKeptAge is the age from which a flow counts as kept open by its caller.
	minKeptAge = 2 * time.Second
	// minKeptAnswers is the number of answered requests from which a flow counts as kept open. A flow for each request
	// never reaches it.
	minKeptAnswers = 2
	// minKeptIdle is how long a flow without a packet after its first answer counts as kept open. A flow for each request
	// ends at once.
	minKeptIdle = time.Second
	// runMargin is longer than a heartbeat takes to reach the agent. A flow that was opened so long before a heartbeat
	// was received belongs to the run of the heartbeat, or to an earlier one.
	runMargin = 500 * time.Millisecond
)

// flowUse is how a flow has been used; the zero value is that of a flow without packets of the backend server.
type flowUse struct {
	opened  time.Time // when its first packet of the backend server was received
	ack     uint32    // the acknowledgement of the last answer
	answers uint8     // the number of answered requests, up to minKeptAnswers
}

// record applies a packet of the backend server. Answers to different requests acknowledge different numbers.
func (u *flowUse) record(now time.Time, seg Segment) {
	if u.opened.IsZero() {
		u.opened = now
	}
	if seg.Size() > 0 && (u.answers == 0 || seg.Ack() != u.ack) {
		u.ack = seg.Ack()
		u.answers = min(u.answers+1, minKeptAnswers)
	}
}

// isKept reports whether the caller keeps the flow open for further requests; unused is the time since its last packet.
func (u flowUse) isKept(now time.Time, unused time.Duration) bool {
	return now.Sub(u.opened) >= minKeptAge && (u.answers >= minKeptAnswers || u.answers > 0 && unused >= minKeptIdle)
}

// isOpen reports whether the flow is open at the backend server, as far as its packets show.
func (lf localFlow) isOpen() bool { return lf.accepted && !lf.ended && !lf.notHeld && !lf.probed }

// KeptFlows returns the open flows that their callers keep for several requests and that had a packet within the
// idle timeout. They were opened before the given time, at which the current run of the backend server sent a heartbeat,
// so that none belongs to a later run.
func (ad *Admitter) KeptFlows(now, heartbeat time.Time, idle time.Duration) []OpenFlow {
	var kept []OpenFlow
	ad.flows.Each(now, func(f FlowID, lf localFlow, unused time.Duration) {
		if lf.isOpen() && unused <= idle && lf.use.isKept(now, unused) && heartbeat.Sub(lf.use.opened) >= runMargin {
			kept = append(kept, OpenFlow{Flow: f, Seq: lf.window.next})
		}
	})
	return kept
}

// EndFlows marks the flows as ended that were opened at the backend server before a run of it ended, and returns those
// that were open and had a packet within the idle timeout. A flow of which the backend server has only answered the opening
// packet may be open at another one. heartbeat is when a heartbeat of that run was received, or a
// time at which the process had ended.
func (ad *Admitter) EndFlows(now, heartbeat time.Time, idle time.Duration) []OpenFlow {
	var open []OpenFlow
	ad.flows.Each(now, func(f FlowID, lf localFlow, unused time.Duration) {
		if lf.isOpen() && lf.established && unused <= idle && heartbeat.Sub(lf.use.opened) >= runMargin {
			open = append(open, OpenFlow{Flow: f, Seq: lf.window.next})
		}
	})
	ended := open[:0]
	for _, o := range open {
		ad.flows.Update(now, o.Flow, func(lf localFlow, _ bool) localFlow {
			if lf.isOpen() && heartbeat.Sub(lf.use.opened) >= runMargin {
				before := lf
				lf.ended = true
				ad.open.change(before, lf)
				ended = append(ended, o)
			}
			return lf
		})
	}
	return ended
}

// HoldsFlow reports whether a flow is open at the backend server, as far as its packets show.
func (ad *Admitter) HoldsFlow(now time.Time, f FlowID) bool {
	lf, ok := ad.flows.Get(now, f)
	return ok && lf.isOpen()
}
