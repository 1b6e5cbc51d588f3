package passthrough

import (
	"bytes"
	"net/netip"
	"slices"
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

// localState is what a process holds of the store: the configuration, the states of the zones and the agents. Versions
// never decrease.
type localState struct {
	layout Layout
	logger hclog.Logger
	board  board.Board
	table  atomic.Pointer[route.Table]

	mu sync.Mutex // guards config and previous, and orders updates of table
	// config is the encoded configuration, which is passed to processes that cannot reach the store.
	config     []byte
	compressed compressedConfig
	// previous is the table before the current one; open flows may still follow it.
	previous *route.Table
	// observed holds the routes that are observed before the first configuration.
	observed passthrough.ObservedRoutes
	// changed is called after entries were applied.
	changed func()
	// lostAt is when an agent that had not announced its departure was last dropped, or nil.
	lostAt atomic.Pointer[time.Time]
	// newest are the newest entries of agents that the process knows of, even if it does not have them.
	newest newestEntries
	// operatorAt and agentsAt are the store revisions up to which all changes of the operator's entries and of the agents'
	// entries are applied, as far as this process or the one that it fetched them from has listed them; 0 if neither has.
	operatorAt, agentsAt maxRevision
	// operatorSettled is the last era of the store in which it is known which of the operator's entries of earlier eras are
	// gone.
	operatorSettled maxRevision
	// version summarizes the operator's entries, or is nil if there are none.
	version atomic.Pointer[operatorVersion]
}

// Table returns the current configuration, or nil if there is none yet.
func (s *localState) Table() *route.Table { return s.table.Load() }

// previousTable returns the table before the current one, or nil.
func (s *localState) previousTable() *route.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.previous
}

// completeness is how much of the state that a balancer needs is there.
type completeness int

// Degrees of completeness.
const (
	// insufficient means that the configuration or all agents are missing.
	insufficient completeness = iota
	// partial means that a service of a route has no agent.
	partial
	// complete means that each service of a route has an agent.
	complete
)

// completeness returns how much of the state of a balancer is there.
func (s *localState) completeness() completeness {
	t := s.Table()
	if t == nil {
		return insufficient
	}
	services := make(map[string]bool)
	for _, r := range s.board.Records(board.KindAgent) {
		if a, ok := r.Value.(board.Agent); ok {
			services[a.Service] = true
		}
	}
	if len(services) == 0 {
		return insufficient
	}
	for _, service := range t.RoutedServices() {
		if !services[service] {
			return partial
		}
	}
	return complete
}

// hasAgentIn reports whether an agent is known in a zone.
func (s *localState) hasAgentIn(zone string) bool {
	return slices.ContainsFunc(s.board.Records(board.KindAgent), func(r board.Record) bool {
		a, ok := r.Value.(board.Agent)
		return ok && a.Zone == zone
	})
}

// operatorRevision returns the highest store revision of the operator's entries.
func (s *localState) operatorRevision() uint64 { return s.operatorVersion().revision }

// apply applies a store entry.
func (s *localState) apply(e store.Entry) {
	if strings.HasPrefix(e.Key, agentsPrefix) {
		s.applyAgent(e)
		return
	}
	s.applyOperator(e)
}

// applyOperator applies a store entry of an operator.
func (s *localState) applyOperator(e store.Entry) {
	switch zone, isZone := strings.CutPrefix(e.Key, s.layout.ZonesOutPrefix); {
	case e.Key == s.layout.ConfigKey:
		if !e.Deleted {
			s.applyConfig(e.Value, e.Revision)
		}
	case isZone:
		s.applyZone(zone, !e.Deleted, e.Revision)
	}
}

func (s *localState) applyConfig(value []byte, revision store.Revision) {
	s.mu.Lock()
	old := s.table.Load()
	if at := store.Revision(old.Revision()); at > revision && at.Era() == revision.Era() || at >= revision && len(value) == 0 {
		s.mu.Unlock()
		return // Older, or left out because this process has it.
	}
	if old != nil && store.Revision(old.Revision()) < revision && bytes.Equal(value, s.config) {
		s.table.Store(old.WithRevision(uint64(revision)))
		s.updateVersion()
		s.mu.Unlock()
		s.logger.Info("configuration written again", "version", old.Version(), "revision", loggedRevision(revision))
		return
	}
	t, err := s.layout.DecodeConfig(value, revision)
	if err != nil {
		s.mu.Unlock()
		s.logger.Error("cannot decode configuration, keeping the current one", "revision", loggedRevision(revision), "error", err)
		return
	}
	order := compareConfigs(t, old)
	switch order {
	case configNewer:
		s.config, s.previous = value, old
		s.table.Store(t)
	case configReverted:
		s.table.Store(old.WithRevision(uint64(revision)))
	case configOlder:
	}
	s.updateVersion()
	s.mu.Unlock()
	switch order {
	case configNewer:
		s.logger.Info("configuration in force", "version", t.Version(), "revision", loggedRevision(revision), "routes", t.Len())
	case configReverted:
		s.logger.Warn("configuration of the store is older than the current one, keeping that", "version", t.Version(), "current", old.Version(), "revision", loggedRevision(revision))
	case configOlder:
	}
}

func (s *localState) applyZone(zone string, out bool, revision store.Revision) {
	r := board.Record{
		ID:      board.ID{Kind: board.KindZone, Key: zone},
		Version: board.Version{Seq: uint64(revision)},
		Value:   board.Zone{Availability: contract.NewAvailability(out, "operator", "")},
	}
	s.mu.Lock()
	merged, err := s.board.Merge(r)
	s.updateVersion()
	s.mu.Unlock()
	if err != nil || !merged {
		return // Older than the current state; the kind always matches.
	}
	s.logger.Info("zone state", "zone", zone, "out", out, "revision", loggedRevision(revision))
}

// applyAgent applies an agent's store entry.
//
// A deleted entry does not mean that the agent has stopped: its lease may have expired while the store was unavailable.
// The agent is kept as suspect until it stops answering; see dropUnresponsive.
func (s *localState) applyAgent(e store.Entry) {
	id := board.ID{Kind: board.KindAgent, Key: strings.TrimPrefix(e.Key, agentsPrefix)}
	v := board.Version{Seq: uint64(e.Revision)}
	if e.Deleted {
		old, ok := s.board.Get(id)
		if a, isAgent := old.Value.(board.Agent); ok && isAgent && a.Phase != board.PhaseLeft {
			v.Liveness = board.Suspect
			s.mergeAgent(board.Record{ID: id, Version: v, Value: a})
		}
		return
	}
	s.newest.add(entryRevisions{created: uint64(e.Created), written: uint64(e.Revision)})
	s.decodeAndMerge(e, board.Record{ID: id, Version: v})
}

// applyUnlistedAgent applies the state of an agent that another process keeps although the store does not list it. It is
// kept here under the same condition, that it answers: otherwise an agent that has left would be used again by each
// balancer that starts later.
func (s *localState) applyUnlistedAgent(e store.Entry) {
	id := board.ID{Kind: board.KindAgent, Key: strings.TrimPrefix(e.Key, agentsPrefix)}
	s.decodeAndMerge(e, board.Record{ID: id, Version: board.Version{Seq: uint64(e.Revision), Liveness: board.Suspect}})
}

// decodeAndMerge merges the record of an agent with the value of its entry.
func (s *localState) decodeAndMerge(e store.Entry, r board.Record) {
	a, err := decodeAgent(e.Value)
	if err != nil {
		s.logger.Warn("agent entry skipped", "key", e.Key, "revision", loggedRevision(e.Revision), "error", err)
		return
	}
	r.Value = a
	s.mergeAgent(r)
}

// mergeAgent merges an agent's state and reports whether it is newer than the current one.
func (s *localState) mergeAgent(r board.Record) bool {
	merged, err := s.board.Merge(r)
	a, ok := r.Value.(board.Agent)
	if err != nil || !merged || !ok {
		return false // Older than the current state; the kind always matches.
	}
	s.logger.Info("agent state", "agent", r.ID.Key, "service", a.Service, "zone", a.Zone, "address", a.DataAddress, "phase", a.Phase.String(), "listed", r.Version.Liveness == board.Alive, "revision", loggedRevision(r.Version.Seq))
	return true
}

// dropUnresponsive drops the agents without a store entry for which responsive returns false.
func (s *localState) dropUnresponsive(now time.Time, responsive func(address netip.AddrPort) bool) {
	dropped := false
	for _, r := range s.board.Records(board.KindAgent) {
		a, ok := r.Value.(board.Agent)
		if ok && r.Version.Liveness == board.Suspect && a.Phase != board.PhaseLeft && !responsive(a.DataAddress) {
			if a.Phase == board.PhaseReady {
				s.lostAt.Store(&now)
			}
			s.dropAgent(r, a, "unheard")
			dropped = true
		}
	}
	if dropped {
		s.changed()
	}
}

// lostAgent reports whether an agent that had not announced its departure was dropped within a period. It may be paused
// or cut off, and its backend server may still hold flows.
func (s *localState) lostAgent(now time.Time, period time.Duration) bool {
	at := s.lostAt.Load()
	return at != nil && now.Sub(*at) < period
}

// dropOtherServices drops the agents at an address that belong to another service.
func (s *localState) dropOtherServices(address netip.AddrPort, service flow.ServiceID) {
	for _, r := range s.board.Records(board.KindAgent) {
		a, ok := r.Value.(board.Agent)
		if ok && a.DataAddress == address && a.Phase != board.PhaseLeft && flow.ServiceIDOf(a.Service) != service {
			s.dropAgent(r, a, "address_reused")
		}
	}
	s.changed()
}

// dropAgent marks an agent as dead at its last version; any later entry overrides that. An agent that the store has
// never listed is removed, so that it can announce itself again.
func (s *localState) dropAgent(r board.Record, a board.Agent, reason string) {
	if r.Version.Seq == 0 {
		s.board.Delete(r.ID)
		s.logger.Info("agent dropped", "agent", r.ID.Key, "address", a.DataAddress, "reason", reason, "revision", 0)
		return
	}
	a.Phase = board.PhaseLeft
	r.Version.Liveness, r.Value = board.Dead, a
	if _, err := s.board.Merge(r); err != nil {
		s.logger.Error("agent not dropped", "agent", r.ID.Key, "error", err)
		return
	}
	s.logger.Info("agent dropped", "agent", r.ID.Key, "address", a.DataAddress, "reason", reason, "revision", loggedRevision(r.Version.Seq))
}

// idleTimeout returns the time without packets after which a flow may be removed.
func (s *localState) idleTimeout() time.Duration {
	if t := s.table.Load(); t != nil && t.IdleTimeout() > 0 {
		return t.IdleTimeout()
	}
	return defaultIdleTimeout
}
