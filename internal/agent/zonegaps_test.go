package agent

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/board"
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

// Guards against answers that are sent through balancers of a silent zone.
func TestSilentZoneCarriesNoAnswers(t *testing.T) {
	var b board.Board
	data := netip.MustParseAddrPort("127.0.0.1:9")
	for _, r := range []board.Record{
		{ID: board.ID{Kind: board.KindBalancer, Key: "b1"}, Version: board.Version{Seq: 1}, Value: board.Balancer{Zone: "z", DataAddress: data}},
		board.NewZoneReachability("z", 1), board.NewZoneReachability("z", 2),
	} {
		_, err := b.Merge(r)
		assert.NilError(t, err)
		_, lost := waysOf(&b, func(string) bool { return false }).lost[data]
		assert.Equal(t, lost, b.ZoneUnreachable("z"))
	}
}
