package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleymast/bramleymast/pkg/board"
)

// bucketCount is the number of buckets in a digest, and of sub-buckets in a bucket.
const bucketCount = 64

// BucketDigests holds one digest per bucket.
type BucketDigests [bucketCount]uint64

func (b BucketDigests) bytes() []byte {
	out := make([]byte, 0, 8*bucketCount)
	for _, d := range b {
		out = binary.BigEndian.AppendUint64(out, d)
	}
	return out
}

func parseBucketDigests(b []byte) BucketDigests {
	var out BucketDigests
	for i := range out {
		out[i] = binary.BigEndian.Uint64(b[8*i:])
	}
	return out
}

// HashOf returns the hash that identifies a record in control messages.
func HashOf(id board.ID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{byte(id.Kind)})
	_, _ = d.WriteString(id.Key)
	return d.Sum64()
}

func bucketOf(hash uint64) int    { return int(hash >> 58) }
func subBucketOf(hash uint64) int { return int(hash >> 52 & (bucketCount - 1)) }

// versionDigest returns the contribution of a record to a digest. Digests combine contributions by exclusive or, so
// that the order of changes does not matter.
func versionDigest(hash uint64, v board.Version) uint64 {
	var b [25]byte
	binary.BigEndian.PutUint64(b[0:], hash)
	binary.BigEndian.PutUint64(b[8:], v.Epoch)
	binary.BigEndian.PutUint64(b[16:], v.Seq)
	b[24] = byte(v.Liveness)
	return xxhash.Sum64(b[:])
}

type indexEntry struct {
	id      board.ID
	version board.Version
	// inDigest is false for tombstones, which processes delete at different times, and for relay records, whose
	// refreshes stay in their zone and would make the digests of other zones differ.
	inDigest bool
	// service is set for agents, zone for agents and balancers.
	service, zone string
}

type serviceDigests struct{ contract, backends, members uint64 }

// index holds the digests of a board, updated with every record that the board accepts.
type index struct {
	entries map[uint64]indexEntry
	// hashes holds the keys of entries by bucket and sub-bucket.
	hashes [bucketCount][bucketCount]map[uint64]struct{}
	top    BucketDigests
	sub    [bucketCount]BucketDigests
	// zones covers the zone states, balancers the balancers and the reachability of zones.
	zones     uint64
	balancers uint64
	services  map[string]*serviceDigests
}

func newIndex() *index {
	return &index{entries: make(map[uint64]indexEntry), services: make(map[string]*serviceDigests)}
}

// isTombstone reports whether a record marks its member as dead or left.
func isTombstone(r board.Record) bool {
	a, ok := r.Value.(board.Agent)
	return r.Version.Liveness == board.Dead || ok && a.Phase == board.PhaseLeft
}

func (x *index) put(r board.Record) {
	hash := HashOf(r.ID)
	x.remove(hash)
	entry := indexEntry{id: r.ID, version: r.Version, inDigest: !isTombstone(r) && r.ID.Kind != board.KindRelay, zone: zoneOf(r)}
	if a, ok := r.Value.(board.Agent); ok {
		entry.service = a.Service
	}
	x.entries[hash] = entry
	set := &x.hashes[bucketOf(hash)][subBucketOf(hash)]
	if *set == nil {
		*set = make(map[uint64]struct{})
	}
	(*set)[hash] = struct{}{}
	x.toggle(hash, entry)
}

func (x *index) remove(hash uint64) {
	entry, ok := x.entries[hash]
	if !ok {
		return
	}
	x.toggle(hash, entry)
	delete(x.entries, hash)
	delete(x.hashes[bucketOf(hash)][subBucketOf(hash)], hash)
}

func (x *index) service(name string) *serviceDigests {
	s, ok := x.services[name]
	if !ok {
		s = &serviceDigests{}
		x.services[name] = s
	}
	return s
}

// toggle adds a record's contribution to the digests, or removes it again.
func (x *index) toggle(hash uint64, entry indexEntry) {
	digest := versionDigest(hash, entry.version)
	if entry.inDigest {
		x.top[bucketOf(hash)] ^= digest
		x.sub[bucketOf(hash)][subBucketOf(hash)] ^= digest
	}
	switch entry.id.Kind {
	case board.KindZone:
		x.zones ^= digest
	case board.KindContract:
		x.service(entry.id.Key).contract ^= digest
	case board.KindBackend:
		if a, ok := x.entries[HashOf(board.ID{Kind: board.KindAgent, Key: entry.id.Key})]; ok {
			x.service(a.service).backends ^= digest
		}
	case board.KindZoneReachability:
		x.balancers ^= digest
	case board.KindAgent:
		x.toggleAgent(digest, entry)
	case board.KindBalancer:
		if entry.inDigest {
			x.balancers ^= digest
		}
	case board.KindRelay:
	}
}

// toggleAgent also adds or removes the agent's backend server in the service's digest, because a backend record
// doesn't contain its service.
func (x *index) toggleAgent(digest uint64, entry indexEntry) {
	s := x.service(entry.service)
	if entry.inDigest {
		s.members ^= digest
	}
	hash := HashOf(board.ID{Kind: board.KindBackend, Key: entry.id.Key})
	if b, ok := x.entries[hash]; ok {
		s.backends ^= versionDigest(hash, b.version)
	}
}

// balancerIDs returns the IDs of all balancers, sorted.
func (x *index) balancerIDs() []board.ID {
	var out []board.ID
	for _, entry := range x.entries {
		if entry.id.Kind == board.KindBalancer {
			out = append(out, entry.id)
		}
	}
	slices.SortFunc(out, compareIDs)
	return out
}

// scope returns the digest of the records that an agent of a service needs.
func (x *index) scope(service string) ScopeDigest {
	digests := ScopeDigest{Config: x.zones, Members: x.balancers}
	if s, ok := x.services[service]; ok {
		digests.Config ^= s.contract ^ s.backends
		digests.Members ^= s.members
	}
	return digests
}

// inSubBuckets returns the hashes in the sub-buckets of a mask, sorted.
func (x *index) inSubBuckets(bucket int, mask uint64) []uint64 {
	var hashes []uint64
	for sub := range bucketCount {
		if mask&(1<<sub) == 0 {
			continue
		}
		for hash := range x.hashes[bucket][sub] {
			hashes = append(hashes, hash)
		}
	}
	slices.Sort(hashes)
	return hashes
}
