package membership_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/membership"
)

// Guards against a process that missed a zone change and receives it only with the next digest.
func TestOutdatedPeerReceivesZoneStates(t *testing.T) {
	var b board.Board
	zone := board.Record{
		ID:      board.ID{Kind: board.KindZone, Key: "a"},
		Version: board.Version{Seq: 7},
		Value:   board.Zone{Availability: contract.NewAvailability(true, "test", "repair")},
	}
	_, err := b.Merge(zone)
	assert.NilError(t, err)
	n := membership.New(membership.Config{ID: "one", Zone: "b", Incarnation: 1, Board: &b})
	peer := netip.MustParseAddrPort("127.0.0.1:7000")
	var sent []board.Record
	for _, a := range n.Handle(time.Unix(1000, 0), membership.PeerOutdated{ControlAddress: peer}) {
		if s, ok := a.(membership.Send); ok {
			assert.Equal(t, s.To, peer)
			sent = append(sent, s.Message.(membership.Push).Records...)
		}
	}
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, sent[0].Version, zone.Version)
}
