package membership

import (
	"net/netip"

	"github.com/bramleymast/bramleymast/pkg/board"
)

// PeerOutdated reports that a datagram on the data path came from a process that lacks the newest zone states.
type PeerOutdated struct{ ControlAddress netip.AddrPort }

func (PeerOutdated) event() {}

// sendZoneStates queues every zone state for an outdated process; its board ignores the versions that it already has.
func (n *Node) sendZoneStates(to netip.AddrPort) {
	for _, r := range n.board.Records(board.KindZone) {
		n.enqueue(to, r.ID, true)
	}
}
