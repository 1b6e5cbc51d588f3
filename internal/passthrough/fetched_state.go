package passthrough

import (
	"strings"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// zoneKeysOut returns the keys of the zones that are out of service: those that a complete list holds too unless they
// have been deleted.
func (s *localState) zoneKeysOut() []string {
	zones := s.zonesOut()
	keys := make([]string, 0, len(zones))
	for _, zone := range zones {
		keys = append(keys, s.layout.ZonesOutPrefix+zone)
	}
	return keys
}

// listedAgentKeys returns the keys of the agents that the store lists, as far as this process knows.
func (s *localState) listedAgentKeys() []string {
	var keys []string
	for _, r := range s.board.Records(board.KindAgent) {
		if a, ok := r.Value.(board.Agent); ok && a.Phase != board.PhaseLeft && r.Version.Liveness == board.Alive {
			keys = append(keys, agentsPrefix+r.ID.Key)
		}
	}
	return keys
}

// applyFetched applies the entries that another process has returned, which held all changes of the operator's entries up
// to a store revision.
//
// A deletion leaves no trace in the store, so the entry of another process may have been deleted long ago. It is gone if
// this process holds all changes up to a later revision and does not have it. In the same way an entry of this process is
// gone if the other one holds all later changes and does not have it.
func (s *localState) applyFetched(entries []fetchedEntry, operatorAt uint64) {
	received := make(map[string]bool)
	for _, e := range entries {
		received[e.Key] = true
		switch zone, isZone := strings.CutPrefix(e.Key, s.layout.ZonesOutPrefix); {
		case e.unlisted || s.isGoneAgent(e.Entry):
			s.applyUnlistedAgent(e.Entry)
		case isZone && !e.Deleted && s.operatorAt.get() >= uint64(e.Revision):
			if _, at := s.board.ZoneOut(zone); at < uint64(e.Revision) {
				s.applyZone(zone, false, store.Revision(s.operatorAt.get()))
			}
		default:
			s.apply(e.Entry)
		}
	}
	for _, zone := range s.zonesOut() {
		if _, at := s.board.ZoneOut(zone); at <= operatorAt && !received[s.layout.ZonesOutPrefix+zone] {
			s.applyZone(zone, false, store.Revision(operatorAt))
		}
	}
	s.operatorAt.add(operatorAt)
}

// isGoneAgent reports whether the entry of an agent is no longer in the store, according to the later changes that this
// process has applied.
func (s *localState) isGoneAgent(e store.Entry) bool {
	id, isAgent := strings.CutPrefix(e.Key, agentsPrefix)
	if !isAgent || e.Deleted || s.agentsAt.get() < uint64(e.Revision) {
		return false
	}
	r, ok := s.board.Get(board.ID{Kind: board.KindAgent, Key: id})
	return !ok || r.Version.Seq < uint64(e.Revision)
}
