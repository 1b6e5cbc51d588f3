package passthrough

import (
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/pkg/detour"
)

// agentDetours answers the checks of balancers and uses the relays that balancers of the zone share. A nil value does
// neither.
type agentDetours struct {
	*detours
	arrivals *detour.Arrivals
	zone     string
	// outsideReportedAt is when the balancers were last told about a check from another zone. Only the reader of the link
	// uses it.
	outsideReportedAt time.Time
}

// outsideReportInterval is the interval between reports of checks from other zones.
const outsideReportInterval = 500 * time.Millisecond

// reportOutsideCheck tells the balancers that one of another zone checks this agent, because it does not hear it. The
// balancers include those that have not sent anything for some seconds: they may be busy with probes of silent agents.
func (d *agentDetours) reportOutsideCheck(now time.Time, m *check) {
	if !d.isOutsideReportDue(now, m) {
		return
	}
	for _, b := range d.arrivals.Senders(maxUnansweredReports) {
		d.link.send(b, &checkedFromOutside{agent: d.link.self})
	}
}

// isOutsideReportDue reports whether balancers must be told that a check came from another zone.
func (d *agentDetours) isOutsideReportDue(now time.Time, m *check) bool {
	if d == nil || m.zone == d.zone || now.Sub(d.outsideReportedAt) < outsideReportInterval {
		return false
	}
	d.outsideReportedAt = now
	return true
}

// received records a message that was received directly from a balancer.
func (d *agentDetours) received(now time.Time, src source, m message) {
	if d == nil || !src.direct() {
		return
	}
	var origin netip.AddrPort
	switch m := m.(type) {
	case *forward:
		origin = m.origin
	case *search:
		origin = m.origin
	case *probe:
		origin = m.origin
	}
	if origin == src.address {
		d.arrivals.Add(now, origin)
	}
}

// answer answers a check directly, which is a trial of the direct way, and through the relay of the check.
func (d *agentDetours) answer(now time.Time, src source, m *check, r *report) {
	if d == nil || src.direct() {
		return
	}
	if m.answerByRelay {
		d.table.Set(m.origin, src.relay, now.Add(detour.AnswerTTL))
	} else {
		d.table.Remove(m.origin)
	}
	answer := &checked{report: *r, age: d.arrivals.Age(now, m.origin)}
	d.link.sendDirect(m.origin, answer)
	d.link.sendVia(src.relay, m.origin, answer)
}

// use uses the relays that a balancer of the zone has shared.
func (d *agentDetours) use(now time.Time, m *share) {
	if d == nil {
		return
	}
	for _, shared := range m.detours {
		if shared.To != d.link.self && shared.Relay != d.link.self {
			d.table.Set(shared.To, shared.Relay, now.Add(detour.ShareTTL))
		}
	}
}

// sweep removes what has expired.
func (d *agentDetours) sweep(now time.Time) {
	if d != nil {
		d.table.Sweep(now)
		d.arrivals.Sweep(now)
	}
}
