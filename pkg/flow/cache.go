package flow

import (
	"sync"
	"time"
)

const (
	// cacheShards is a power of two; it is well above the number of threads, so that two rarely want one lock.
	cacheShards = 256
	// cacheWays is how many entries share a bucket: four entries of 16 bytes fill one 64-byte cache line.
	cacheWays = 4
	// DefaultCacheEntries leaves room for 500,000 flows with few overwritten entries.
	DefaultCacheEntries = 1 << 20
)

// cacheEntry has no pointers, so the garbage collector does not scan the cache.
type cacheEntry struct {
	hash  uint64
	owner ShortID // 0 marks an empty entry
	used  uint32  // seconds since the Unix epoch
}

type cacheBucket [cacheWays]cacheEntry

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

// NewCache returns a cache with room for at least the given number of entries, rounded up to a power of two.
func NewCache(entries int) *Cache {
	perShard := 1
	for perShard*cacheWays*cacheShards < entries {
		perShard *= 2
	}
	c := &Cache{mask: uint64(perShard - 1)}
	for i := range c.shards {
		c.shards[i].buckets = make([]cacheBucket, perShard)
	}
	return c
}

// Entries returns how many entries fit.
func (c *Cache) Entries() int { return cacheShards * cacheWays * int(c.mask+1) }

// bucket takes the shard from the low bits of the hash and the bucket from the high ones.
func (c *Cache) bucket(hash uint64) (*cacheShard, *cacheBucket) {
	s := &c.shards[hash%cacheShards]
	return s, &s.buckets[hash>>32&c.mask]
}

// Get returns the owner of a flow and notes that the flow is in use.
func (c *Cache) Get(now time.Time, hash uint64) (ShortID, bool) {
	used := uint32(now.Unix())
	s, b := c.bucket(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range b {
		e := &b[i]
		if e.owner != 0 && e.hash == hash {
			e.used = max(e.used, used)
			return e.owner, true
		}
	}
	return 0, false
}

// Put notes the owner of a flow; it replaces the flow's earlier owner, else an empty or the oldest entry.
func (c *Cache) Put(now time.Time, hash uint64, owner ShortID) {
	used := uint32(now.Unix())
	s, b := c.bucket(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := &b[0]
	for i := range b {
		e := &b[i]
		if e.owner != 0 && e.hash == hash {
			slot = e
			break
		}
		if e.owner == 0 || slot.owner != 0 && e.used < slot.used {
			slot = e
		}
	}
	*slot = cacheEntry{hash: hash, owner: owner, used: used}
}
