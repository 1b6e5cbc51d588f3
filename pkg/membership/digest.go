package membership

import (
	"net/netip"
	"slices"

	"github.com/bramleymast/bramleymast/pkg/board"
)

const (
	// bucketsPerExchange bounds what one exchange of digests repairs; the next one goes on.
	bucketsPerExchange = 4
	// itemsPerMessage keeps a Versions message within one datagram.
	itemsPerMessage = 32
	// seedShare of exchangeShares go to a seed, so that parts of the system that have never heard
	// of each other meet, and deadShare to a balancer that counts as dead, so that parts that
	// were cut off from each other notice the end of the cut.
	exchangeShares = 8
	seedShare      = 1
	deadShare      = 2
)

// exchange sends the digest of the board to one random peer.
func (n *Node) exchange() {
	to, ok := n.exchangePeer()
	if ok {
		n.sendSpare(to, Digest{Sums: n.index.top})
	}
}

func (n *Node) exchangePeer() (netip.AddrPort, bool) {
	all := n.peers.all(n)
	share := n.rand.IntN(exchangeShares)
	if share < seedShare || len(all) == 0 {
		if a, ok := n.randomSeed(); ok {
			return a, true
		}
	}
	if dead := n.peers.dead; len(dead) > 0 && share < seedShare+deadShare {
		return dead[n.rand.IntN(len(dead))], true
	}
	if len(all) == 0 {
		return netip.AddrPort{}, false
	}
	if own := n.peers.byZone[n.cfg.Zone]; len(own) > 0 && n.rand.IntN(2) == 0 {
		return own[n.rand.IntN(len(own))].control, true
	}
	return all[n.rand.IntN(len(all))].control, true
}

func (n *Node) randomSeed() (netip.AddrPort, bool) {
	seeds := slices.DeleteFunc(slices.Clone(n.cfg.Seeds), func(a netip.AddrPort) bool { return a == n.cfg.Address })
	if len(seeds) == 0 {
		return netip.AddrPort{}, false
	}
	return seeds[n.rand.IntN(len(seeds))], true
}

func (n *Node) digest(from netip.AddrPort, m Digest) {
	if n.isAgent() {
		return
	}
	if m.Level == 0 {
		n.digestTop(from, m.Sums)
		return
	}
	own := n.index.sub[m.Bucket]
	var mask uint64
	var items []Item
	for sub := range bucketCount {
		if own[sub] == m.Sums[sub] || len(items) >= itemsPerMessage {
			continue
		}
		mask |= 1 << sub
		items = append(items, n.itemsOf(int(m.Bucket), 1<<sub)...)
	}
	if mask != 0 {
		n.sendSpare(from, Versions{Bucket: m.Bucket, Mask: mask, Items: items[:min(len(items), itemsPerMessage)]})
	}
}

func (n *Node) digestTop(from netip.AddrPort, sums Buckets) {
	var differing []int
	for b := range bucketCount {
		if sums[b] != n.index.top[b] {
			differing = append(differing, b)
		}
	}
	n.rand.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	for _, b := range differing[:min(len(differing), bucketsPerExchange)] {
		n.sendSpare(from, Digest{Level: 1, Bucket: uint8(b), Sums: n.index.sub[b]})
	}
}

// itemsOf lists the versions in sub-buckets without tombstones.
func (n *Node) itemsOf(bucket int, mask uint64) []Item {
	var out []Item
	for _, h := range n.index.inSubBuckets(bucket, mask) {
		if item := n.index.items[h]; item.counted {
			out = append(out, Item{Hash: h, Version: item.version})
		}
	}
	return out
}

// versions sends what the other side lacks and asks for what this side lacks.
func (n *Node) versions(from netip.AddrPort, m Versions) {
	if n.isAgent() {
		return
	}
	theirs := make(map[uint64]board.Version, len(m.Items))
	var wanted []uint64
	for _, i := range m.Items {
		theirs[i.Hash] = i.Version
		if own, ok := n.index.items[i.Hash]; !ok || own.version.Compare(i.Version) < 0 {
			wanted = append(wanted, i.Hash)
		}
	}
	for _, h := range n.index.inSubBuckets(int(m.Bucket), m.Mask) {
		own := n.index.items[h]
		v, listed := theirs[h]
		if listed && own.version.Compare(v) > 0 || !listed && own.counted {
			n.note(ReasonRepaired, own.id, own.version)
			n.enqueue(from, own.id, true)
		}
	}
	if len(wanted) > 0 {
		n.sendSpare(from, Want{Hashes: wanted})
	}
}

func (n *Node) want(from netip.AddrPort, m Want) {
	for _, h := range m.Hashes {
		if item, ok := n.index.items[h]; ok {
			n.enqueue(from, item.id, true)
		}
	}
}

// notice pulls the announced records that are newer than the own ones.
func (n *Node) notice(from netip.AddrPort, m Notice) {
	var wanted []uint64
	for _, i := range m.Items {
		if own, ok := n.index.items[i.Hash]; !ok || own.version.Compare(i.Version) < 0 {
			wanted = append(wanted, i.Hash)
		}
	}
	if len(wanted) > 0 {
		n.note(ReasonOversized, board.ID{}, board.Version{})
		n.emit(Pull{To: from, Request: PullRequest{Want: wanted}})
	}
}
