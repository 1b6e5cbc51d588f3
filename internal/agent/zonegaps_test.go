package agent

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/wire"
)

// Guards against a balancer that missed a zone change and is not told by the agents that it still reaches,
// and against a message for each packet.
func TestBalancerThatMissedAZoneChangeIsTold(t *testing.T) {
	data, control := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	w := &ways{control: map[netip.AddrPort]netip.AddrPort{data: control}}
	var told []netip.AddrPort
	g := zoneGaps{tell: func(to netip.AddrPort) { told = append(told, to) }}
	now := time.Unix(1000, 0)
	g.check(now, &wire.Datagram{Balancer: data, ZoneRevision: 7}, 7, w)
	g.check(now, &wire.Datagram{Balancer: control, ZoneRevision: 6}, 7, w)
	assert.Equal(t, len(told), 0)
	for range 100 {
		g.check(now, &wire.Datagram{Balancer: data, ZoneRevision: 6}, 7, w)
	}
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0], control)
	g.check(now.Add(zoneGapInterval), &wire.Datagram{Balancer: data, ZoneRevision: 6}, 7, w)
	assert.Equal(t, len(told), 2)
}
