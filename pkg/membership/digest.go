package membership

import (
	"net/netip"
	"slices"

	"github.com/bramleymast/bramleymast/pkg/board"
)

const (
	// maxBucketsPerExchange limits what one exchange of digests repairs; later exchanges repair the rest.
	maxBucketsPerExchange = 4
	// maxItemsPerMessage keeps a Versions message within one datagram.
	maxItemsPerMessage = 32
	// Of exchangeShares digests, on average seedShare go to a seed, so that parts of the system that have no records of
	// each other connect, and deadShare to a balancer that is marked as dead, so that both sides of a network partition
	// detect its end.
	exchangeShares = 8
	seedShare      = 1
	deadShare      = 2
)

// sendDigest sends the digest of the board to one random peer.
func (n *Node) sendDigest() {
	to, ok := n.digestPeer()
	if ok {
		n.sendIfBudgetLeft(to, Digest{Buckets: n.index.top})
	}
}

func (n *Node) digestPeer() (netip.AddrPort, bool) {
	all := n.peers.all(n)
	draw := n.rand.IntN(exchangeShares)
	if draw < seedShare || len(all) == 0 {
		if a, ok := n.randomSeed(); ok {
			return a, true
		}
	}
	if dead := n.peers.dead; len(dead) > 0 && draw < seedShare+deadShare {
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

func (n *Node) handleDigest(from netip.AddrPort, m Digest) {
	if n.isAgent() {
		return
	}
	if m.Level == 0 {
		n.compareBuckets(from, m.Buckets)
		return
	}
	own := n.index.sub[m.Bucket]
	var mask uint64
	var items []Item
	for sub := range bucketCount {
		if own[sub] == m.Buckets[sub] || len(items) >= maxItemsPerMessage {
			continue
		}
		mask |= 1 << sub
		items = append(items, n.itemsOf(int(m.Bucket), 1<<sub)...)
	}
	if mask != 0 {
		n.sendIfBudgetLeft(from, Versions{Bucket: m.Bucket, Mask: mask, Items: items[:min(len(items), maxItemsPerMessage)]})
	}
}

func (n *Node) compareBuckets(from netip.AddrPort, digests BucketDigests) {
	var differing []int
	for b := range bucketCount {
		if digests[b] != n.index.top[b] {
			differing = append(differing, b)
		}
	}
	n.rand.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	for _, b := range differing[:min(len(differing), maxBucketsPerExchange)] {
		n.sendIfBudgetLeft(from, Digest{Level: 1, Bucket: uint8(b), Buckets: n.index.sub[b]})
	}
}

// itemsOf lists the versions in the sub-buckets of a mask, without tombstones and relay records.
func (n *Node) itemsOf(bucket int, mask uint64) []Item {
	var out []Item
	for _, h := range n.index.inSubBuckets(bucket, mask) {
		if entry := n.index.entries[h]; entry.inDigest {
			out = append(out, Item{Hash: h, Version: entry.version})
		}
	}
	return out
}

// handleVersions sends the records that the sender lacks and requests those that this process lacks.
func (n *Node) handleVersions(from netip.AddrPort, m Versions) {
	if n.isAgent() {
		return
	}
	theirs := make(map[uint64]board.Version, len(m.Items))
	var wanted []uint64
	for _, i := range m.Items {
		theirs[i.Hash] = i.Version
		if own, ok := n.index.entries[i.Hash]; !ok || own.version.Compare(i.Version) < 0 {
			wanted = append(wanted, i.Hash)
		}
	}
	for _, h := range n.index.inSubBuckets(int(m.Bucket), m.Mask) {
		own := n.index.entries[h]
		v, listed := theirs[h]
		if listed && own.version.Compare(v) > 0 || !listed && own.inDigest {
			n.trace(ReasonRepaired, own.id, own.version)
			n.enqueue(from, own.id, true)
		}
	}
	if len(wanted) > 0 {
		n.sendIfBudgetLeft(from, Want{Hashes: wanted})
	}
}

func (n *Node) handleWant(from netip.AddrPort, m Want) {
	for _, h := range m.Hashes {
		if entry, ok := n.index.entries[h]; ok {
			n.enqueue(from, entry.id, true)
		}
	}
}

// handleNotice pulls the announced records that are newer than the local ones.
func (n *Node) handleNotice(from netip.AddrPort, m Notice) {
	var wanted []uint64
	for _, i := range m.Items {
		if own, ok := n.index.entries[i.Hash]; !ok || own.version.Compare(i.Version) < 0 {
			wanted = append(wanted, i.Hash)
		}
	}
	if len(wanted) > 0 {
		n.trace(ReasonOversized, board.ID{}, board.Version{})
		n.emit(Pull{To: from, Request: PullRequest{Want: wanted}})
	}
}
