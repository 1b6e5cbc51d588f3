package flow

import (
	"math"
	"sync"
	"time"
)

const (
	// cacheShards is a power of two; it is well above the number of threads, so that two rarely want one lock.
	cacheShards = 256
	// cacheWays is how many entries share a bucket: six entries of 10 bytes fit one 64-byte cache line.
	cacheWays = 6
	// cacheTick is the resolution of the time of last use; 16 bits of it span six days, after which the order
	// of two entries may be mistaken.
	cacheTick = 8 * time.Second
	// DefaultCacheEntries leaves room for 500,000 flows with few overwritten entries.
	DefaultCacheEntries = 3 << 18
)

// cacheBucket has no pointers, so the garbage collector does not scan the cache.
//
// A tag is 32 bits of the hash. With the bits that choose the bucket, two flows of 500,000 share a place and a tag
// with a chance below one in a thousand; the agent that gets the wrong packet passes it on.
type cacheBucket struct {
	tags   [cacheWays]uint32
	owners [cacheWays]ShortID // 0 marks an empty entry
	used   [cacheWays]uint16  // in ticks
	_      [4]byte
}

type cacheShard struct {
	mu      sync.Mutex
	buckets []cacheBucket
	// The padding keeps the locks of neighbouring shards in separate cache lines.
	_ [32]byte
}

// Cache remembers the owners of flows by the hash of their key; it has a fixed size and overwrites the entries
// that were not used for the longest time. It is safe for concurrent use.
type Cache struct {
	shards [cacheShards]cacheShard
	mask   uint64
}

// NewCache returns a cache with room for at least the given number of entries.
func NewCache(entries int) *Cache {
	// Each bucket has a neighbour.
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

// Capacity returns how many entries fit.
func (c *Cache) Capacity() int { return cacheShards * cacheWays * int(c.mask+1) }

// place takes the shard from the low bits of the hash, the bucket from those above and the tag from the high ones.
func (c *Cache) place(hash uint64) (s *cacheShard, i uint64, tag uint32) {
	return &c.shards[hash%cacheShards], hash / cacheShards & c.mask, uint32(hash >> 32)
}

func cacheTicks(now time.Time) uint16 { return uint16(now.Unix() / int64(cacheTick/time.Second)) }

// find returns the place of a tag, or -1.
func (b *cacheBucket) find(tag uint32) int {
	for i := range b.tags {
		if b.tags[i] == tag && b.owners[i] != 0 {
			return i
		}
	}
	return -1
}

// full reports whether a bucket has no empty entry; entries are filled in order and never emptied.
func (b *cacheBucket) full() bool { return b.owners[cacheWays-1] != 0 }

// victim returns an empty entry or the one that was not used for the longest time, and for how long.
func (b *cacheBucket) victim(ticks uint16) (place int, age uint16) {
	for i := range b.owners {
		if b.owners[i] == 0 {
			return i, math.MaxUint16
		}
		if a := ticks - b.used[i]; a > age {
			place, age = i, a
		}
	}
	return place, age
}

// find returns the entry of a tag in its bucket, or in the neighbouring one when its own is full.
func (s *cacheShard) find(i uint64, tag uint32) (*cacheBucket, int) {
	b := &s.buckets[i]
	if at := b.find(tag); at >= 0 || !b.full() {
		return b, at
	}
	b = &s.buckets[i^1]
	return b, b.find(tag)
}

// victim returns the entry to overwrite: the own bucket comes first unless the neighbouring one has an older entry.
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

// Get returns the owner of a flow and notes that the flow is in use.
func (c *Cache) Get(now time.Time, hash uint64) (ShortID, bool) {
	ticks := cacheTicks(now)
	s, i, tag := c.place(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, at := s.find(i, tag)
	if at < 0 {
		return 0, false
	}
	if b.used[at] != ticks {
		b.used[at] = ticks
	}
	return b.owners[at], true
}

// Put notes the owner of a flow; it replaces the flow's earlier owner, else an empty or the oldest entry.
func (c *Cache) Put(now time.Time, hash uint64, owner ShortID) {
	ticks := cacheTicks(now)
	s, i, tag := c.place(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, at := s.find(i, tag)
	if at < 0 {
		b, at = s.victim(i, ticks)
	}
	b.tags[at], b.owners[at], b.used[at] = tag, owner, ticks
}
