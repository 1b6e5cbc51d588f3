package passthrough

import (
	"hash/fnv"

	"github.com/bramleymast/bramleymast/pkg/board"
)

// operatorVersion summarizes the operator's entries of a process. Processes whose versions differ do not hold the same
// entries: one with the lower revision lacks a change, and with equal revisions one lacks the end of an evacuation.
type operatorVersion struct {
	// revision is the highest store revision of the entries.
	revision uint64
	// zonesOut is a digest of the zones that are out of service; 0 if it is not known.
	zonesOut uint32
}

// operatorVersion returns the version of the operator's entries.
func (s *localState) operatorVersion() operatorVersion {
	if v := s.version.Load(); v != nil {
		return *v
	}
	return operatorVersion{zonesOut: digestOfZones(nil)}
}

// updateVersion computes the version after a change. The caller must hold s.mu, so that the newest one is stored last.
func (s *localState) updateVersion() {
	v := operatorVersion{revision: s.table.Load().Revision(), zonesOut: digestOfZones(s.zonesOut())}
	v.revision = max(v.revision, s.board.ZoneRevision())
	s.version.Store(&v)
}

// zonesOut returns the zones that are out of service, in order.
func (s *localState) zonesOut() []string {
	var out []string
	for _, r := range s.board.Records(board.KindZone) {
		if z, ok := r.Value.(board.Zone); ok && z.Out() {
			out = append(out, r.ID.Key)
		}
	}
	return out
}

// digestOfZones returns a digest of zone names that is not 0.
func digestOfZones(zones []string) uint32 {
	h := fnv.New32a()
	for _, z := range zones {
		_, _ = h.Write(append([]byte(z), 0)) // Never fails.
	}
	return max(h.Sum32(), 1)
}
