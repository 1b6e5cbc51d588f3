package agent

import (
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/internal/wire"
)

// zoneNotifyInterval is the minimum time between two messages to one balancer.
const zoneNotifyInterval = time.Second

// zoneNotifier sends the zone states to balancers whose datagrams show that they lack the newest one.
// Only the goroutine that reads the data socket uses it.
type zoneNotifier struct {
	notify     func(to netip.AddrPort)
	notifiedAt map[netip.AddrPort]time.Time
}

// check notifies the balancer of a forward datagram if the datagram's zone revision is below ownRevision and the
// balancer's record is on the board.
func (n *zoneNotifier) check(now time.Time, d *wire.Datagram, ownRevision uint64, rb *returnBalancers) {
	if d.ZoneRevision >= ownRevision {
		return
	}
	to, ok := rb.control[d.Balancer]
	if !ok || now.Sub(n.notifiedAt[to]) < zoneNotifyInterval {
		return
	}
	if n.notifiedAt == nil || len(n.notifiedAt) > len(rb.control) {
		n.notifiedAt = make(map[netip.AddrPort]time.Time)
	}
	n.notifiedAt[to] = now
	n.notify(to)
}
