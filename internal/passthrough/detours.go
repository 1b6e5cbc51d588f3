package passthrough

import (
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramleymast/bramleymast/pkg/detour"
)

// relayedPerSecond limits the datagrams that a process relays, since its host may be small.
const relayedPerSecond = 500

// Events of detours.
const (
	// eventDetoured counts datagrams that were sent to a relay, eventRelayed those that were sent on as a relay.
	eventDetoured flowEvent = "detoured"
	eventRelayed  flowEvent = "relayed"
	// eventDetourChosen and eventDetourEnded count changes of the detours to an agent.
	eventDetourChosen flowEvent = "detour_chosen"
	eventDetourEnded  flowEvent = "detour_ended"
)

// detours sends the datagrams of a process through relays, and relays those of other processes. A nil value does
// neither.
type detours struct {
	link    *link
	table   detour.Table
	relayed detour.Limiter
	logger  hclog.Logger
}

// newDetours makes a link use detours if the deployment asks for them, or returns nil.
func newDetours(l *link, features Features, logger hclog.Logger) *detours {
	if !features.Has(Detours) {
		return nil
	}
	d := &detours{link: l, relayed: detour.Limiter{Rate: relayedPerSecond}, logger: logger}
	l.detours = d
	l.metrics.addGauge("bramleymast_detours", "Processes to which datagrams go through a relay.", func() float64 { return float64(d.table.Len()) })
	return d
}

// relayTo returns the relay for datagrams to a process, or false if they go directly.
func (d *detours) relayTo(to netip.AddrPort) (netip.AddrPort, bool) {
	if d == nil || d.table.Len() == 0 {
		return netip.AddrPort{}, false
	}
	return d.table.Relay(time.Now(), to)
}

// source is where a datagram came from.
type source struct {
	address netip.AddrPort
	// relay is the process that sent the datagram on; it is not valid if the datagram was received directly.
	relay netip.AddrPort
}

func (s source) direct() bool { return !s.relay.IsValid() }

// callable returns the process to call for what a balancer knows, whose datagram came from a source: the balancer, or the
// relay between the two if there is one. Calls take no detours and block until a timeout on a way that is down.
func (d *detours) callable(src source, balancer netip.AddrPort) netip.AddrPort {
	if !src.direct() {
		return src.relay
	}
	if relay, ok := d.relayTo(balancer); ok {
		return relay
	}
	return balancer
}

// open decodes a datagram and returns where it came from. It returns a nil message for a datagram that was sent on, or
// dropped because this process takes part in no detours.
func (d *detours) open(now time.Time, from netip.AddrPort, data []byte) (message, source, error) {
	m, err := decodeMessage(data)
	wrapped, ok := m.(*relay)
	if err != nil || !ok {
		return m, source{address: from}, err
	}
	if d == nil {
		return nil, source{}, nil
	}
	if wrapped.to != d.link.self {
		d.sendOn(now, wrapped)
		return nil, source{}, nil
	}
	m, err = decodeMessage(wrapped.datagram)
	if _, ok := m.(*relay); ok {
		return nil, source{}, nil
	}
	return m, source{address: wrapped.from, relay: from}, err
}

// sendOn sends a datagram to its receiver, unless it has visited a relay before or too many have been relayed.
func (d *detours) sendOn(now time.Time, m *relay) {
	if m.forwarded {
		d.link.metrics.count(eventDropped, "relayed_twice")
		return
	}
	if !d.relayed.Allow(now) {
		d.link.metrics.count(eventDropped, "relay_limit")
		return
	}
	d.link.metrics.count(eventRelayed, reasonNone)
	m.forwarded = true
	d.link.sendDirect(m.to, m)
}
