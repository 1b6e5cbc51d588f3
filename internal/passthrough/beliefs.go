package passthrough

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/route"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// beliefs is the blackboard of a process: the configuration, the states of the zones and the agents.
// Versions only rise.
type beliefs struct {
	layout Layout
	logger hclog.Logger
	board  board.Board
	table  atomic.Pointer[route.Table]

	mu sync.Mutex // guards the order of configurations
	// config is the encoded configuration, for processes that cannot reach the store.
	config []byte
	// previous is the table before the newest one, which open flows may still follow.
	previous *route.Table
	// changed is called after a new configuration, zone state or agent.
	changed func()
}

// Table returns the newest configuration, or nil before the first.
func (b *beliefs) Table() *route.Table { return b.table.Load() }

// operatorRevision returns the highest store revision of what operators have written.
func (b *beliefs) operatorRevision() uint64 {
	return max(b.table.Load().Revision(), b.board.ZoneRevision())
}

// apply takes an entry of the store.
func (b *beliefs) apply(e store.Entry) {
	if strings.HasPrefix(e.Key, agentsPrefix) {
		b.applyAgent(e)
		return
	}
	b.applyOperator(e)
}

// applyOperator takes an entry that an operator has written.
func (b *beliefs) applyOperator(e store.Entry) {
	switch zone, isZone := strings.CutPrefix(e.Key, b.layout.ZonesOut); {
	case e.Key == b.layout.Config:
		if !e.Deleted {
			b.takeConfig(e.Value, e.Revision)
		}
	case isZone:
		b.takeZone(zone, !e.Deleted, e.Revision)
	}
}

func (b *beliefs) takeConfig(value []byte, revision store.Revision) bool {
	b.mu.Lock()
	old := b.table.Load()
	if old.Revision() >= uint64(revision) {
		b.mu.Unlock()
		return false
	}
	t, err := b.layout.DecodeConfig(value, revision)
	if err != nil {
		b.mu.Unlock()
		b.logger.Error("configuration cannot be read, the earlier one stays in force", "revision", revision, "error", err)
		return false
	}
	b.config, b.previous = value, old
	b.table.Store(t)
	b.mu.Unlock()
	b.logger.Info("configuration in force", "version", t.Version(), "revision", revision, "routes", t.Len())
	b.changed()
	return true
}

func (b *beliefs) takeZone(zone string, out bool, revision store.Revision) {
	r := board.Record{
		ID:      board.ID{Kind: board.KindZone, Key: zone},
		Version: board.Version{Seq: uint64(revision)},
		Value:   board.Zone{Availability: contract.NewAvailability(out, "operator", "")},
	}
	if taken, err := b.board.Merge(r); err != nil || !taken {
		return // An older state, since the kind always fits.
	}
	b.logger.Info("zone state", "zone", zone, "out", out, "revision", revision)
	b.changed()
}

// applyAgent takes an agent's entry in the store.
func (b *beliefs) applyAgent(e store.Entry) {
	id := strings.TrimPrefix(e.Key, agentsPrefix)
	rid := board.ID{Kind: board.KindAgent, Key: id}
	v := board.Version{Seq: uint64(e.Revision)}
	if e.Deleted {
		old, ok := b.board.Get(rid)
		a, isAgent := old.Value.(board.Agent)
		if !ok || !isAgent {
			return
		}
		a.Phase = board.PhaseLeft
		b.mergeAgent(board.Record{ID: rid, Version: v, Value: a})
		return
	}
	a, err := decodeAgent(e.Value)
	if err != nil {
		b.logger.Warn("agent entry skipped", "key", e.Key, "revision", e.Revision, "error", err)
		return
	}
	b.mergeAgent(board.Record{ID: rid, Version: v, Value: a})
}

func (b *beliefs) mergeAgent(r board.Record) {
	taken, err := b.board.Merge(r)
	if err != nil || !taken {
		return // An older state, since the kind always fits.
	}
	if a, ok := r.Value.(board.Agent); ok {
		b.logger.Info("agent state", "agent", r.ID.Key, "service", a.Service, "zone", a.Zone, "address", a.Data, "phase", a.Phase.String(), "revision", r.Version.Seq)
	}
	b.changed()
}

// idleTimeout returns after which time without packets a flow may be forgotten.
func (b *beliefs) idleTimeout() time.Duration {
	if t := b.table.Load(); t != nil && t.IdleTimeout() > 0 {
		return t.IdleTimeout()
	}
	return flowIdle
}
