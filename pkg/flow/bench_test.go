package flow_test

import (
	"fmt"
	"runtime"
	"sync"
	"testing"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

// shardedMap is the baseline for steering: a hash and a lookup in one of 256 maps with a mutex each.
type shardedMap struct {
	shards [256]struct {
		mu     sync.Mutex
		owners map[uint64]flow.ShortID
	}
}

func (m *shardedMap) put(hash uint64, owner flow.ShortID) {
	s := &m.shards[hash%256]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners == nil {
		s.owners = make(map[uint64]flow.ShortID)
	}
	s.owners[hash] = owner
}

func (m *shardedMap) get(hash uint64) (flow.ShortID, bool) {
	s := &m.shards[hash%256]
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, ok := s.owners[hash]
	return owner, ok
}

func viewOf(members int) *flow.View {
	ms := make([]flow.Member, members)
	for i := range ms {
		ms[i] = newMember(fmt.Sprintf("m%d", i), true, true)
	}
	return flow.NewView(service, ms)
}

const benchFlows = 5000

// BenchmarkSteer measures steering one packet against the baseline, with 7 members.
func BenchmarkSteer(b *testing.B) {
	view := viewOf(7)
	var m shardedMap
	s := flow.NewSteerer(flow.NewCache(flow.DefaultCacheEntries))
	for i := range benchFlows {
		owner := flow.ShortIDOf(fmt.Sprintf("m%d", i%7))
		key := flow.NewKey(callerAt(i), service)
		m.put(key.Hash(), owner)
		s.SetOwner(start, key, owner)
	}
	b.Run("baseline", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			if _, ok := m.get(flow.NewKey(callerAt(i%benchFlows), service).Hash()); !ok {
				b.Fatal("not found")
			}
		}
	})
	b.Run("cached", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			if d, _ := s.Steer(start, view, callerAt(i%benchFlows), false); !d.Cached {
				b.Fatal("not cached")
			}
		}
	})
	b.Run("ranked", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			if d, _ := s.Steer(start, view, callerAt(benchFlows+i%benchFlows), true); d.Cached {
				b.Fatal("cached")
			}
		}
	})
}

// BenchmarkCache looks up flows in an order that defeats hardware prefetching, for two numbers of flows.
// Each lookup starts from the caller's address, as for a packet.
func BenchmarkCache(b *testing.B) {
	for _, flows := range []int{5_000, 500_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			cache := flow.NewCache(flow.DefaultCacheEntries)
			runtime.GC()
			runtime.ReadMemStats(&after)
			hash := func(i int) uint64 { return flow.NewKey(callerAt(i), service).Hash() }
			for i := range flows {
				cache.Put(start, hash(i), 1)
			}
			kept := 0
			for i := range flows {
				if _, ok := cache.Get(start, hash(i)); ok {
					kept++
				}
			}
			for i := 0; b.Loop(); i++ {
				cache.Get(start, hash(i*7919%flows))
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(flows), "B/flow")
			b.ReportMetric(100*float64(kept)/float64(flows), "%kept")
		})
	}
}
