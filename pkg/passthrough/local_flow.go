package passthrough

import (
	"net/netip"
	"time"
)

// maxOwners limits the owners kept for one flow, which are backend servers that answered transmissions of the same
// opening packet.
const maxOwners = 2

// localFlow is an agent's record of a flow that has had packets to or from its backend server.
type localFlow struct {
	window      sequenceWindow // of the backend server
	accepted    bool           // the backend server answered the opening packet
	probed      bool           // a packet was delivered to find out whether the backend server has the flow
	established bool           // the backend server sent more than the answer to the opening packet
	notHeld     bool           // the flow is unknown to the backend server
	ended       bool           // the backend server has sent the end of its data or a reset
	callerEnded bool           // the caller has sent the end of its data or a reset
	delivered   time.Time      // when an opening packet was last delivered other than as a copy
	use         flowUse
}

// owner is an agent that reported that its backend server has a flow.
type owner struct {
	agent netip.AddrPort
	// minAck is the lowest number that the caller's packets acknowledge.
	minAck uint32
}

// ownsPacket reports whether the caller's packet acknowledges data of this backend server.
func (lf localFlow) ownsPacket(seg Segment) bool {
	return lf.accepted && !lf.notHeld && !lf.probed && lf.window.acknowledgedBy(seg)
}

// isNotOpen reports whether the flow is not open, as far as its packets show.
func (lf localFlow) isNotOpen() bool { return !lf.isOpen() }

// expectsCopies reports whether an opening packet was delivered so recently that another one is a copy of it.
func (lf localFlow) expectsCopies(now time.Time) bool {
	return !lf.notHeld && (now.Sub(lf.delivered) < retransmissionPeriod || now.Sub(lf.use.opened) < retransmissionPeriod)
}

// reopened returns the record of a flow after the backend server has answered an opening packet. It keeps the record if
// the answer is a copy of an earlier one.
func (lf localFlow) reopened(isn uint32) localFlow {
	switch {
	case !lf.accepted:
		return localFlow{window: newSequenceWindow(isn), accepted: true, delivered: lf.delivered}
	case lf.window.opensAt(isn):
		return lf
	}
	return localFlow{window: lf.window.reopened(isn), accepted: true, delivered: lf.delivered}
}

// hasJustOpened reports whether the backend server has answered an opening packet so recently that the caller may still
// send copies of it. A copy that it rejects, since it is full meanwhile, says nothing about the flow.
func (lf localFlow) hasJustOpened(now time.Time) bool {
	return lf.isOpen() && now.Sub(lf.use.opened) < retransmissionPeriod
}

func findOwner(os [maxOwners]owner, seg Segment) (netip.AddrPort, bool) {
	for _, o := range os {
		if o.agent.IsValid() && acknowledges(o.minAck, seg) {
			return o.agent, true
		}
	}
	return netip.AddrPort{}, false
}

// takesRequests reports whether the backend server holds the flow and its caller may send requests on it.
func (lf localFlow) takesRequests() bool {
	return lf.established && !lf.ended && !lf.callerEnded && !lf.notHeld
}
