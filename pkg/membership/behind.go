package membership

import (
	"net/netip"

	"github.com/bramleymast/bramleymast/pkg/board"
)

// PeerBehind says that a datagram of the data path showed a process without the newest zone states.
type PeerBehind struct{ Control netip.AddrPort }

func (PeerBehind) event() {}

// tellZones sends every zone state to a process that lacks the newest one; the process keeps what is new to it.
func (n *Node) tellZones(to netip.AddrPort) {
	for _, r := range n.board.Records(board.KindZone) {
		n.enqueue(to, r.ID, true)
	}
}
