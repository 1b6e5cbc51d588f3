package passthrough

import (
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/route"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// blackboard is the blackboard of a process: the configuration, the states of the zones and the agents.
// Versions only rise.
type blackboard struct {
	layout Layout
	logger hclog.Logger
	board  board.Board
	table  atomic.Pointer[route.Table]

	mu sync.Mutex // guards the order of configurations
	// config is the encoded configuration, for processes that cannot reach the store.
	config []byte
	// previous is the table before the newest one, which open flows may still follow.
	previous *route.Table
	// observed are the routes that are known before the first configuration.
	observed passthrough.ObservedRoutes
	// changed is called after entries were taken.
	changed func()
}

// Table returns the newest configuration, or nil before the first.
func (b *blackboard) Table() *route.Table { return b.table.Load() }

// previousTable returns the table before the newest one, or nil.
func (b *blackboard) previousTable() *route.Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.previous
}

// complete reports whether a balancer can serve: it knows the configuration and an agent.
func (b *blackboard) complete() bool {
	return b.Table() != nil && len(b.board.Records(board.KindAgent)) > 0
}

// operatorRevision returns the highest store revision of what operators have written.
func (b *blackboard) operatorRevision() uint64 {
	return max(b.table.Load().Revision(), b.board.ZoneRevision())
}

// apply takes an entry of the store.
func (b *blackboard) apply(e store.Entry) {
	if strings.HasPrefix(e.Key, agentsPrefix) {
		b.applyAgent(e)
		return
	}
	b.applyOperator(e)
}

// applyOperator takes an entry that an operator has written.
func (b *blackboard) applyOperator(e store.Entry) {
	switch zone, isZone := strings.CutPrefix(e.Key, b.layout.ZonesOutPrefix); {
	case e.Key == b.layout.ConfigKey:
		if !e.Deleted {
			b.takeConfig(e.Value, e.Revision)
		}
	case isZone:
		b.takeZone(zone, !e.Deleted, e.Revision)
	}
}

func (b *blackboard) takeConfig(value []byte, revision store.Revision) {
	b.mu.Lock()
	old := b.table.Load()
	if old.Revision() >= uint64(revision) {
		b.mu.Unlock()
		return
	}
	t, err := b.layout.DecodeConfig(value, revision)
	if err != nil {
		b.mu.Unlock()
		b.logger.Error("configuration cannot be read, the earlier one stays in force", "revision", revision, "error", err)
		return
	}
	b.config, b.previous = value, old
	b.table.Store(t)
	b.mu.Unlock()
	b.logger.Info("configuration in force", "version", t.Version(), "revision", revision, "routes", t.Len())
}

func (b *blackboard) takeZone(zone string, out bool, revision store.Revision) {
	r := board.Record{
		ID:      board.ID{Kind: board.KindZone, Key: zone},
		Version: board.Version{Seq: uint64(revision)},
		Value:   board.Zone{Availability: contract.NewAvailability(out, "operator", "")},
	}
	if taken, err := b.board.Merge(r); err != nil || !taken {
		return // An older state, since the kind always fits.
	}
	b.logger.Info("zone state", "zone", zone, "out", out, "revision", revision)
}

// applyAgent takes an agent's entry in the store.
//
// An entry that is gone does not mean that the agent is: its lease may have ended while the store was away. The agent
// stays in use as suspect until it is not heard any more; see dropUnheard.
func (b *blackboard) applyAgent(e store.Entry) {
	id := board.ID{Kind: board.KindAgent, Key: strings.TrimPrefix(e.Key, agentsPrefix)}
	v := board.Version{Seq: uint64(e.Revision)}
	if e.Deleted {
		old, ok := b.board.Get(id)
		if a, isAgent := old.Value.(board.Agent); ok && isAgent && a.Phase != board.PhaseLeft {
			v.Liveness = board.Suspect
			b.mergeAgent(board.Record{ID: id, Version: v, Value: a})
		}
		return
	}
	a, err := decodeAgent(e.Value)
	if err != nil {
		b.logger.Warn("agent entry skipped", "key", e.Key, "revision", e.Revision, "error", err)
		return
	}
	if e.Revision == 0 { // An announcement that another process has heard.
		v.Liveness = board.Suspect
	}
	b.mergeAgent(board.Record{ID: id, Version: v, Value: a})
}

// mergeAgent takes an agent's state and reports whether it is newer than the known one.
func (b *blackboard) mergeAgent(r board.Record) bool {
	taken, err := b.board.Merge(r)
	a, ok := r.Value.(board.Agent)
	if err != nil || !taken || !ok {
		return false // An older state, since the kind always fits.
	}
	b.logger.Info("agent state", "agent", r.ID.Key, "service", a.Service, "zone", a.Zone, "address", a.DataAddress, "phase", a.Phase.String(), "listed", r.Version.Liveness == board.Alive, "revision", r.Version.Seq)
	return true
}

// dropUnheard drops the agents without an entry that heard does not report.
func (b *blackboard) dropUnheard(heard func(address netip.AddrPort) bool) {
	dropped := false
	for _, r := range b.board.Records(board.KindAgent) {
		a, ok := r.Value.(board.Agent)
		if ok && r.Version.Liveness == board.Suspect && a.Phase != board.PhaseLeft && !heard(a.DataAddress) {
			b.drop(r, a, "unheard")
			dropped = true
		}
	}
	if dropped {
		b.changed()
	}
}

// dropAt drops the agents of other services at an address.
func (b *blackboard) dropAt(address netip.AddrPort, service flow.ServiceID) {
	for _, r := range b.board.Records(board.KindAgent) {
		a, ok := r.Value.(board.Agent)
		if ok && a.DataAddress == address && a.Phase != board.PhaseLeft && flow.ServiceIDOf(a.Service) != service {
			b.drop(r, a, "address_reused")
		}
	}
	b.changed()
}

// drop marks an agent as gone at the version at which it was seen last; any later entry overrides it. One that the store
// has never listed is forgotten, so that it can announce itself again.
func (b *blackboard) drop(r board.Record, a board.Agent, reason string) {
	if r.Version.Seq == 0 {
		b.board.Delete(r.ID)
		b.logger.Info("agent dropped", "agent", r.ID.Key, "address", a.DataAddress, "reason", reason, "revision", 0)
		return
	}
	a.Phase = board.PhaseLeft
	r.Version.Liveness, r.Value = board.Dead, a
	if _, err := b.board.Merge(r); err != nil {
		b.logger.Error("agent not dropped", "agent", r.ID.Key, "error", err)
		return
	}
	b.logger.Info("agent dropped", "agent", r.ID.Key, "address", a.DataAddress, "reason", reason, "revision", r.Version.Seq)
}

// idleTimeout returns after which time without packets a flow may be forgotten.
func (b *blackboard) idleTimeout() time.Duration {
	if t := b.table.Load(); t != nil && t.IdleTimeout() > 0 {
		return t.IdleTimeout()
	}
	return flowIdle
}
