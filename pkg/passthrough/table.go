package passthrough

import (
	"sync"
	"time"
)

// tableShards reduces contention between goroutines: each shard has its own lock.
const tableShards = 16

// Table holds a value for each flow; the zero value is empty and ready to use. It is safe for concurrent use.
type Table[V any] struct {
	shards [tableShards]tableShard[V]
}

type tableShard[V any] struct {
	mu      sync.Mutex
	entries map[FlowID]tableEntry[V]
}

type tableEntry[V any] struct {
	value V
	used  time.Time
}

// maxShardEntries limits the memory of a table to that of about 250,000 flows.
const maxShardEntries = 16 << 10

func (t *Table[V]) shard(f FlowID) *tableShard[V] { return &t.shards[f.Hash()%tableShards] }

// Get returns the value of a flow and marks the flow as used.
func (t *Table[V]) Get(now time.Time, f FlowID) (V, bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[f]
	if ok {
		e.used = now
		s.entries[f] = e
	}
	return e.value, ok
}

// Peek returns the value of a flow without marking the flow as used.
func (t *Table[V]) Peek(f FlowID) (V, bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[f]
	return e.value, ok
}

// Put sets the value of a flow. If the flow's shard is full, it replaces an arbitrary other entry.
func (t *Table[V]) Put(now time.Time, f FlowID, v V) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(now, f, v)
}

// Update replaces the value of a flow with the result of change; known reports whether the flow had a value.
func (t *Table[V]) Update(now time.Time, f FlowID, change func(v V, known bool) V) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[f]
	s.put(now, f, change(e.value, ok))
}

func (s *tableShard[V]) put(now time.Time, f FlowID, v V) {
	if s.entries == nil {
		s.entries = make(map[FlowID]tableEntry[V])
	}
	if _, ok := s.entries[f]; !ok && len(s.entries) >= maxShardEntries {
		for other := range s.entries {
			delete(s.entries, other)
			break
		}
	}
	s.entries[f] = tableEntry[V]{value: v, used: now}
}

// Delete removes a flow.
func (t *Table[V]) Delete(f FlowID) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, f)
}

// DeleteIf removes a flow if the condition holds for its value.
func (t *Table[V]) DeleteIf(f FlowID, condition func(v V) bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[f]; ok && condition(e.value) {
		delete(s.entries, f)
	}
}

// Sweep removes the flows for which expired returns true; idle is the time since the flow's last use.
func (t *Table[V]) Sweep(now time.Time, expired func(v V, idle time.Duration) bool) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for f, e := range s.entries {
			if expired(e.value, now.Sub(e.used)) {
				delete(s.entries, f)
			}
		}
		s.mu.Unlock()
	}
}

// Each calls visit for each flow; idle is the time since the flow's last use. visit must not use the table.
func (t *Table[V]) Each(now time.Time, visit func(f FlowID, v V, idle time.Duration)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for f, e := range s.entries {
			visit(f, e.value, now.Sub(e.used))
		}
		s.mu.Unlock()
	}
}

// Len returns the number of flows.
func (t *Table[V]) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n
}
