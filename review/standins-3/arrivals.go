//go:build review

package main

import (
	"net/netip"
	"time"
)

// arrival is a client's packet of a flow that has reached a server.
type arrival struct {
	at     time.Time
	server *server
}

// flowTrace is what became of the packets of one flow.
type flowTrace struct {
	owner    *server // the server at which the flow is open; nil before
	openedAt time.Time
	arrivals []arrival // after it was open, without opening packets
}

// opened records that the end of the handshake of a flow has reached a server.
func (d *deployment) opened(key [2]netip.AddrPort, s *server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.trace(key)
	if t.owner == nil {
		t.owner, t.openedAt = s, time.Now()
	}
}

// arrived records that a client's packet of a flow has reached a server, which may not hold the flow.
func (d *deployment) arrived(key [2]netip.AddrPort, s *server, holds, established bool) {
	d.mu.Lock()
	t := d.trace(key)
	stray := t.owner != nil && established && t.owner != s
	if t.owner != nil && established {
		t.arrivals = append(t.arrivals, arrival{time.Now(), s})
	}
	owner := t.owner
	d.mu.Unlock()
	if stray {
		d.record.line("stray", "client", key[0], "server", s.id, "owner", owner.id, "held", holds)
	}
}

func (d *deployment) trace(key [2]netip.AddrPort) *flowTrace {
	if d.traces == nil {
		d.traces = make(map[[2]netip.AddrPort]*flowTrace)
	}
	t, ok := d.traces[key]
	if !ok {
		t = &flowTrace{}
		d.traces[key] = t
	}
	return t
}

// isStray reports whether in some span of the given length three or more packets of the flow have reached other servers and
// none its own. Spans must end before the given time.
func (t *flowTrace) isStray(span time.Duration, end time.Time) bool {
	for i, first := range t.arrivals {
		if first.server == t.owner || first.at.Add(span).After(end) {
			continue
		}
		others, own := 0, 0
		for _, a := range t.arrivals[i:] {
			switch {
			case a.at.Sub(first.at) > span:
			case a.server == t.owner:
				own++
			default:
				others++
			}
		}
		if others >= 3 && own == 0 {
			return true
		}
	}
	return false
}
