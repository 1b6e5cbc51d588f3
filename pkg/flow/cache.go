package flow

import (
	"math"
	"sync"
	"time"
)

const (
	// cacheShards is a power of two, and far above the number of threads to keep lock contention low.
	cacheShards = 256
	// cacheWays is the number of entries in a bucket: six entries of 10 bytes fit in one 64-byte cache line.
	cacheWays = 6
	// tickDuration is the resolution of the last-used time. The 16-bit tick counter wraps after six days; beyond
	// that the order of two entries may be wrong.
	tickDuration = 8 * time.Second
	// DefaultCacheEntries holds 500,000 flows with few overwritten entries.
	DefaultCacheEntries = 3 << 18
)

// cacheBucket is one set of entries. It holds no pointers, so the garbage collector does not scan the cache.
//
// A tag is 32 bits of the hash. Together with the bits that select the bucket, the probability that any two of
// 500,000 flows share a bucket and a tag is below 0.001. Two such flows get the same cached owner, which passes on the
// packets of the flow that it does not own.
type cacheBucket struct {
	tags     [cacheWays]uint32
	owners   [cacheWays]ShortID // 0 marks an empty entry
	lastUsed [cacheWays]uint16  // in ticks
	_        [4]byte
}

type cacheShard struct {
	mu      sync.Mutex
	buckets []cacheBucket
	// The padding keeps the locks of neighbouring shards in separate cache lines.
	_ [32]byte
}

// Cache is a set-associative cache of the owners of flows by the hash of their key. It has a fixed size and
// overwrites the least recently used entry of a bucket and its neighbour. It is safe for concurrent use.
type Cache struct {
	shards [cacheShards]cacheShard
	mask   uint64
}

// NewCache returns an empty cache with a capacity of at least the given number of entries.
func NewCache(entries int) *Cache {
	// A shard has an even number of buckets, so that each has a neighbour.
	perShard := 2
	for perShard*cacheWays*cacheShards < entries {
		perShard *= 2
	}
	c := &Cache{mask: uint64(perShard - 1)}
	buckets := make([]cacheBucket, perShard*cacheShards)
	for i := range c.shards {
		c.shards[i].buckets = buckets[i*perShard : (i+1)*perShard]
	}
	return c
}

// Capacity returns the maximum number of entries.
func (c *Cache) Capacity() int { return cacheShards * cacheWays * int(c.mask+1) }

// locate takes the shard from the low bits of the hash, the bucket from the next bits and the tag from the high 32.
func (c *Cache) locate(hash uint64) (s *cacheShard, i uint64, tag uint32) {
	return &c.shards[hash%cacheShards], hash / cacheShards & c.mask, uint32(hash >> 32)
}

func toTicks(now time.Time) uint16 { return uint16(now.Unix() / int64(tickDuration/time.Second)) }

// find returns the index of a tag, or -1 if the bucket does not contain it.
func (b *cacheBucket) find(tag uint32) int {
	for i := range b.tags {
		if b.tags[i] == tag && b.owners[i] != 0 {
			return i
		}
	}
	return -1
}

// full reports whether a bucket has no empty entry. Entries are filled in order and never cleared.
func (b *cacheBucket) full() bool { return b.owners[cacheWays-1] != 0 }

// victim returns the index of an empty entry or of the least recently used one, and its age in ticks.
func (b *cacheBucket) victim(ticks uint16) (index int, age uint16) {
	for i := range b.owners {
		if b.owners[i] == 0 {
			return i, math.MaxUint16
		}
		if a := ticks - b.lastUsed[i]; a > age {
			index, age = i, a
		}
	}
	return index, age
}

// find returns the bucket and index of a tag. It searches the neighbouring bucket only if bucket i is full.
func (s *cacheShard) find(i uint64, tag uint32) (*cacheBucket, int) {
	b := &s.buckets[i]
	if at := b.find(tag); at >= 0 || !b.full() {
		return b, at
	}
	b = &s.buckets[i^1]
	return b, b.find(tag)
}

// victim returns the entry to overwrite: one in bucket i, unless that is full and its neighbour has an older or
// empty entry.
func (s *cacheShard) victim(i uint64, ticks uint16) (*cacheBucket, int) {
	own, next := &s.buckets[i], &s.buckets[i^1]
	at, age := own.victim(ticks)
	if !own.full() {
		return own, at
	}
	if other, otherAge := next.victim(ticks); otherAge > age {
		return next, other
	}
	return own, at
}

// Get returns the owner of a flow and updates its last-used time.
func (c *Cache) Get(now time.Time, hash uint64) (ShortID, bool) {
	ticks := toTicks(now)
	s, i, tag := c.locate(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, at := s.find(i, tag)
	if at < 0 {
		return 0, false
	}
	if b.lastUsed[at] != ticks {
		b.lastUsed[at] = ticks
	}
	return b.owners[at], true
}

// peek returns the owner of a flow, or 0, and leaves its last-used time.
func (c *Cache) peek(hash uint64) ShortID {
	s, i, tag := c.locate(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, at := s.find(i, tag); at >= 0 {
		return b.owners[at]
	}
	return 0
}

// Put stores the owner of a flow. It overwrites the entry of the flow if there is one, and otherwise an empty or the
// least recently used entry.
func (c *Cache) Put(now time.Time, hash uint64, owner ShortID) {
	ticks := toTicks(now)
	s, i, tag := c.locate(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, at := s.find(i, tag)
	if at < 0 {
		b, at = s.victim(i, ticks)
	}
	b.tags[at], b.owners[at], b.lastUsed[at] = tag, owner, ticks
}
