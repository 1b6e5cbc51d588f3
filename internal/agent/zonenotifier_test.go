package agent

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/board"
)

// Guards against a balancer that missed a zone change and is not notified by the agents it still reaches, and against
// one notification per packet.
func TestBalancerThatMissedAZoneChangeIsNotified(t *testing.T) {
	data, control := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	rb := &returnBalancers{control: map[netip.AddrPort]netip.AddrPort{data: control}}
	var notified []netip.AddrPort
	n := zoneNotifier{notify: func(to netip.AddrPort) { notified = append(notified, to) }}
	now := time.Unix(1000, 0)
	n.check(now, &wire.Datagram{Balancer: data, ZoneRevision: 7}, 7, rb)
	n.check(now, &wire.Datagram{Balancer: control, ZoneRevision: 6}, 7, rb)
	assert.Equal(t, len(notified), 0)
	for range 100 {
		n.check(now, &wire.Datagram{Balancer: data, ZoneRevision: 6}, 7, rb)
	}
	assert.Equal(t, len(notified), 1)
	assert.Equal(t, notified[0], control)
	n.check(now.Add(zoneNotifyInterval), &wire.Datagram{Balancer: data, ZoneRevision: 6}, 7, rb)
	assert.Equal(t, len(notified), 2)
}

// Guards against answers that are sent through balancers of an unreachable zone.
func TestUnreachableZoneCarriesNoAnswers(t *testing.T) {
	var b board.Board
	data := netip.MustParseAddrPort("127.0.0.1:9")
	for _, r := range []board.Record{
		{ID: board.ID{Kind: board.KindBalancer, Key: "b1"}, Version: board.Version{Seq: 1}, Value: board.Balancer{Zone: "z", DataAddress: data}},
		board.NewZoneReachability("z", 1), board.NewZoneReachability("z", 2),
	} {
		_, err := b.Merge(r)
		assert.NilError(t, err)
		_, unusable := newReturnBalancers(&b, func(string) bool { return false }).unusable[data]
		assert.Equal(t, unusable, b.ZoneUnreachable("z"))
	}
}
