package agent

import (
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/internal/wire"
)

// zoneGapInterval is the least time between two messages to one balancer.
const zoneGapInterval = time.Second

// zoneGaps tells the zone states to balancers whose datagrams show that they lack the newest one.
// It is used by the goroutine that reads the data socket.
type zoneGaps struct {
	tell func(to netip.AddrPort)
	told map[netip.AddrPort]time.Time
}

// check compares the zone revision of a forward datagram with the own one. Only balancers of the board are told.
func (g *zoneGaps) check(now time.Time, d *wire.Datagram, own uint64, w *ways) {
	if d.ZoneRevision >= own {
		return
	}
	to, ok := w.control[d.Balancer]
	if !ok || now.Sub(g.told[to]) < zoneGapInterval {
		return
	}
	if g.told == nil || len(g.told) > len(w.control) {
		g.told = make(map[netip.AddrPort]time.Time)
	}
	g.told[to] = now
	g.tell(to)
}
