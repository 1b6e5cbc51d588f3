package passthrough

import (
	"strings"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// zoneKeysOut returns the keys of the zones that are out of service: those that a complete list holds too unless they
// have been deleted.
func (s *localState) zoneKeysOut() map[string]store.Revision {
	keys := make(map[string]store.Revision)
	for _, zone := range s.zonesOut() {
		_, at := s.board.ZoneOut(zone)
		keys[s.layout.ZonesOutPrefix+zone] = store.Revision(at)
	}
	return keys
}

// listedAgentKeys returns the keys of the agents that the store lists, as far as this process knows.
func (s *localState) listedAgentKeys() map[string]store.Revision {
	keys := make(map[string]store.Revision)
	for _, r := range s.board.Records(board.KindAgent) {
		if a, ok := r.Value.(board.Agent); ok && a.Phase != board.PhaseLeft && r.Version.Liveness == board.Alive {
			keys[agentsPrefix+r.ID.Key] = store.Revision(r.Version.Seq)
		}
	}
	return keys
}

// coverage is up to which store revision all changes of a prefix are applied. An entry of an earlier era that is not there
// is gone only if the era has settled: its writer may be about to write it again.
type coverage struct{ at, settledEra uint64 }

// shows reports whether an entry of a revision that is not there is gone.
func (c coverage) shows(revision uint64) bool {
	at := store.Revision(c.at)
	return c.at >= revision && (store.Revision(revision).Era() == at.Era() || c.settledEra >= at.Era())
}

// operatorCoverage returns the coverage of the operator's entries.
func (s *localState) operatorCoverage() coverage {
	return coverage{at: s.operatorAt.get(), settledEra: s.operatorSettled.get()}
}

// applyFetched applies the entries that another process has returned, with its coverage of the operator's entries.
//
// A deletion leaves no trace in the store, so the entry of another process may have been deleted long ago. It is gone if
// this process holds all changes up to a later revision and does not have it. In the same way an entry of this process is
// gone if the other one holds all later changes and does not have it.
func (s *localState) applyFetched(entries []fetchedEntry, theirs coverage) {
	own := s.operatorCoverage()
	received := make(map[string]bool)
	for _, e := range entries {
		received[e.Key] = true
		switch zone, isZone := strings.CutPrefix(e.Key, s.layout.ZonesOutPrefix); {
		case e.unlisted || s.isGoneAgent(e.Entry):
			s.applyUnlistedAgent(e.Entry)
		case isZone && !e.Deleted && own.shows(uint64(e.Revision)):
			if _, at := s.board.ZoneOut(zone); at < uint64(e.Revision) {
				s.applyZone(zone, false, store.Revision(own.at))
			}
		default:
			s.apply(e.Entry)
		}
	}
	for _, zone := range s.zonesOut() {
		if _, at := s.board.ZoneOut(zone); theirs.shows(at) && !received[s.layout.ZonesOutPrefix+zone] {
			s.applyZone(zone, false, store.Revision(theirs.at))
		}
	}
	s.operatorAt.add(theirs.at)
	s.operatorSettled.add(theirs.settledEra)
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
