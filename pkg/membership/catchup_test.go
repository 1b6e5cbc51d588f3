package membership_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/membership"
)

// Guards against balancers that start together, pull empty boards from each other and report that they are ready.
func TestPullFromUnsynchronisedPeerIsNotEnough(t *testing.T) {
	seed := netip.MustParseAddrPort("127.0.0.1:7000")
	start := time.Unix(1000, 0)
	n := membership.New(membership.Config{
		ID: "one", Zone: "a", Incarnation: 1, Board: &board.Board{}, Seeds: []netip.AddrPort{seed},
	})
	n.Handle(start, membership.Tick{})
	n.Handle(start, membership.PullResult{From: seed, Complete: false})
	assert.Assert(t, !n.Synchronised())
	n.Handle(start.Add(time.Second), membership.PullResult{From: seed, Complete: true})
	assert.Assert(t, n.Synchronised())
}

// Guards against a balancer that started alone and pulls from its first peer only after many seconds.
func TestFirstPeerIsPulledSoon(t *testing.T) {
	start := time.Unix(1000, 0)
	n := membership.New(membership.Config{ID: "one", Zone: "a", Incarnation: 1, Board: &board.Board{}})
	n.Handle(start, membership.Tick{})
	peer := board.Record{
		ID:      board.ID{Kind: board.KindBalancer, Key: "two"},
		Version: board.Version{Epoch: 1, Seq: 1},
		Value:   board.Balancer{Zone: "a", ControlAddress: netip.MustParseAddrPort("127.0.0.1:7000")},
	}
	n.Handle(start, membership.Received{From: peer.Value.(board.Balancer).ControlAddress, Message: membership.Push{Records: []board.Record{peer}}})
	var pulled bool
	for _, a := range n.Handle(start.Add(250*time.Millisecond), membership.Tick{}) {
		_, ok := a.(membership.Pull)
		pulled = pulled || ok
	}
	assert.Assert(t, pulled)
}
