package board

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/juju/errors"
)

// ErrKindMismatch is returned for a record whose value is not of the kind in its ID.
const ErrKindMismatch = errors.ConstError("value does not match the kind of the record")

// Board holds the newest received version of each record; the zero value is empty and ready to use.
//
// Merging keeps the higher version, so it is commutative, associative and idempotent: neither the order nor the
// number of deliveries matters, and a record never reverts.
type Board struct {
	mu       sync.RWMutex
	records  map[ID]Record
	watchers []func(Record)
}

// Merge stores a record if its version is higher than the stored one and reports whether it did.
func (b *Board) Merge(r Record) (bool, error) {
	if r.Value == nil || r.Value.kind() != r.ID.Kind {
		return false, errors.Annotatef(ErrKindMismatch, "record %s %q", r.ID.Kind, r.ID.Key)
	}
	watchers, stored := b.store(r)
	for _, w := range watchers {
		w(r)
	}
	return stored, nil
}

func (b *Board) store(r Record) ([]func(Record), bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.records[r.ID]; ok && old.Version.Compare(r.Version) >= 0 {
		return nil, false
	}
	if b.records == nil {
		b.records = make(map[ID]Record)
	}
	b.records[r.ID] = r
	return slices.Clone(b.watchers), true
}

// OnChange registers a function that is called, without locks held, after each record that Merge stores.
func (b *Board) OnChange(f func(Record)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watchers = append(b.watchers, f)
}

// Get returns a record.
func (b *Board) Get(id ID) (Record, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	r, ok := b.records[id]
	return r, ok
}

// Delete removes a record, such as an expired tombstone.
func (b *Board) Delete(id ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.records, id)
}

// Records returns the records of the given kinds, or of all kinds if none is given, sorted by kind and key.
func (b *Board) Records(kinds ...Kind) []Record {
	b.mu.RLock()
	rs := slices.Collect(maps.Values(b.records))
	b.mu.RUnlock()
	if len(kinds) > 0 {
		rs = slices.DeleteFunc(rs, func(r Record) bool { return !slices.Contains(kinds, r.ID.Kind) })
	}
	slices.SortFunc(rs, func(a, c Record) int {
		if a.ID.Kind != c.ID.Kind {
			return int(a.ID.Kind) - int(c.ID.Kind)
		}
		return strings.Compare(a.ID.Key, c.ID.Key)
	})
	return rs
}

// Contract returns the contract of a service and its version.
func (b *Board) Contract(service string) (Contract, Version, bool) {
	r, ok := b.Get(ID{Kind: KindContract, Key: service})
	if !ok {
		return Contract{}, Version{}, false
	}
	c, ok := r.Value.(Contract)
	return c, r.Version, ok
}

// ZoneOut reports whether operators have taken a zone out of service, and the store revision of that state.
func (b *Board) ZoneOut(zone string) (out bool, revision uint64) {
	r, ok := b.Get(ID{Kind: KindZone, Key: zone})
	if !ok {
		return false, 0
	}
	z, ok := r.Value.(Zone)
	return ok && z.Out(), r.Version.Seq
}

// ZoneUnreachable reports whether a zone is marked as unreachable, so that all its members count as dead.
func (b *Board) ZoneUnreachable(zone string) bool {
	r, ok := b.Get(ID{Kind: KindZoneReachability, Key: zone})
	if !ok {
		return false
	}
	s, ok := r.Value.(ZoneReachability)
	return ok && s.Unreachable
}

// BackendOut reports whether operators have taken a backend server out of service.
func (b *Board) BackendOut(id string) bool {
	r, ok := b.Get(ID{Kind: KindBackend, Key: id})
	if !ok {
		return false
	}
	s, ok := r.Value.(Backend)
	return ok && s.Out()
}

// ZoneRevision returns the highest store revision of any zone state.
func (b *Board) ZoneRevision() uint64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var highest uint64
	for id, r := range b.records {
		if id.Kind == KindZone {
			highest = max(highest, r.Version.Seq)
		}
	}
	return highest
}
