package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleymast/bramleymast/pkg/board"
)

// bucketCount is the number of buckets of a digest, and of sub-buckets of a bucket.
const bucketCount = 64

// Buckets holds one sum per bucket.
type Buckets [bucketCount]uint64

func (b Buckets) bytes() []byte {
	out := make([]byte, 0, 8*bucketCount)
	for _, s := range b {
		out = binary.BigEndian.AppendUint64(out, s)
	}
	return out
}

func parseBuckets(b []byte) Buckets {
	var out Buckets
	for i := range out {
		out[i] = binary.BigEndian.Uint64(b[8*i:])
	}
	return out
}

// HashOf returns the hash by which control messages name a record.
func HashOf(id board.ID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{byte(id.Kind)})
	_, _ = d.WriteString(id.Key)
	return d.Sum64()
}

func bucketOf(hash uint64) int    { return int(hash >> 58) }
func subBucketOf(hash uint64) int { return int(hash >> 52 & (bucketCount - 1)) }

// sumOf is what a record adds to a sum; sums are combined by exclusive or, so the order does not matter.
func sumOf(hash uint64, v board.Version) uint64 {
	var b [25]byte
	binary.BigEndian.PutUint64(b[0:], hash)
	binary.BigEndian.PutUint64(b[8:], v.Epoch)
	binary.BigEndian.PutUint64(b[16:], v.Seq)
	b[24] = byte(v.Liveness)
	return xxhash.Sum64(b[:])
}

type indexed struct {
	id      board.ID
	version board.Version
	// counted is false for tombstones, which processes forget at different times, and for relay
	// records, whose refreshes stay in their zone and would make every digest of other zones differ.
	counted bool
	// service is the service of an agent, and zone the zone of a member.
	service, zone string
}

type scopeSums struct{ contract, backends, members uint64 }

// index keeps the digests of a board up to date with every record that is taken.
type index struct {
	items     map[uint64]indexed
	members   [bucketCount][bucketCount]map[uint64]struct{}
	top       Buckets
	sub       [bucketCount]Buckets
	zones     uint64
	balancers uint64
	services  map[string]*scopeSums
}

func newIndex() *index {
	return &index{items: make(map[uint64]indexed), services: make(map[string]*scopeSums)}
}

// isTombstone reports whether a record says that its member is gone.
func isTombstone(r board.Record) bool {
	a, ok := r.Value.(board.Agent)
	return r.Version.Liveness == board.Dead || ok && a.Phase == board.PhaseLeft
}

func (x *index) put(r board.Record) {
	hash := HashOf(r.ID)
	x.remove(hash)
	item := indexed{id: r.ID, version: r.Version, counted: !isTombstone(r) && r.ID.Kind != board.KindRelay, zone: zoneOf(r)}
	if a, ok := r.Value.(board.Agent); ok {
		item.service = a.Service
	}
	x.items[hash] = item
	set := &x.members[bucketOf(hash)][subBucketOf(hash)]
	if *set == nil {
		*set = make(map[uint64]struct{})
	}
	(*set)[hash] = struct{}{}
	x.toggle(hash, item)
}

func (x *index) remove(hash uint64) {
	item, ok := x.items[hash]
	if !ok {
		return
	}
	x.toggle(hash, item)
	delete(x.items, hash)
	delete(x.members[bucketOf(hash)][subBucketOf(hash)], hash)
}

func (x *index) service(name string) *scopeSums {
	s, ok := x.services[name]
	if !ok {
		s = &scopeSums{}
		x.services[name] = s
	}
	return s
}

// toggle adds a record to the sums, or takes it out again.
func (x *index) toggle(hash uint64, item indexed) {
	sum := sumOf(hash, item.version)
	if item.counted {
		x.top[bucketOf(hash)] ^= sum
		x.sub[bucketOf(hash)][subBucketOf(hash)] ^= sum
	}
	switch item.id.Kind {
	case board.KindZone:
		x.zones ^= sum
	case board.KindContract:
		x.service(item.id.Key).contract ^= sum
	case board.KindBackend:
		if a, ok := x.items[HashOf(board.ID{Kind: board.KindAgent, Key: item.id.Key})]; ok {
			x.service(a.service).backends ^= sum
		}
	case board.KindZoneReachability:
		x.balancers ^= sum
	case board.KindAgent:
		x.toggleAgent(sum, item)
	case board.KindBalancer:
		if item.counted {
			x.balancers ^= sum
		}
	case board.KindRelay:
	}
}

// toggleAgent also moves the state of the agent's backend server into or out of the service's sums.
func (x *index) toggleAgent(sum uint64, item indexed) {
	s := x.service(item.service)
	if item.counted {
		s.members ^= sum
	}
	hash := HashOf(board.ID{Kind: board.KindBackend, Key: item.id.Key})
	if b, ok := x.items[hash]; ok {
		s.backends ^= sumOf(hash, b.version)
	}
}

// balancerIDs returns the ids of all balancers, sorted.
func (x *index) balancerIDs() []board.ID {
	var out []board.ID
	for _, item := range x.items {
		if item.id.Kind == board.KindBalancer {
			out = append(out, item.id)
		}
	}
	slices.SortFunc(out, compareIDs)
	return out
}

// scope returns the sums of an agent's scope.
func (x *index) scope(service string) Sums {
	sums := Sums{Config: x.zones, Members: x.balancers}
	if s, ok := x.services[service]; ok {
		sums.Config ^= s.contract ^ s.backends
		sums.Members ^= s.members
	}
	return sums
}

// inSubBuckets returns the hashes in the sub-buckets of a mask, sorted.
func (x *index) inSubBuckets(bucket int, mask uint64) []uint64 {
	var hashes []uint64
	for sub := range bucketCount {
		if mask&(1<<sub) == 0 {
			continue
		}
		for hash := range x.members[bucket][sub] {
			hashes = append(hashes, hash)
		}
	}
	slices.Sort(hashes)
	return hashes
}
