package passthrough

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/bramleymast/bramleymast/pkg/board"
)

// operatorVersion summarizes the operator's entries of a process. Processes whose versions differ do not hold the same
// entries: one with the lower revision lacks a change. With equal revisions one lacks the end of an evacuation, or has read
// an older configuration in a store that has come back from a copy.
type operatorVersion struct {
	// revision is the highest store revision of the entries.
	revision uint64
	// digest is one of the configuration's version and the zones that are out of service; 0 if it is not known.
	digest uint32
}

// operatorVersion returns the version of the operator's entries.
func (s *localState) operatorVersion() operatorVersion {
	if v := s.version.Load(); v != nil {
		return *v
	}
	return operatorVersion{digest: operatorDigest(0, nil)}
}

// updateVersion computes the version after a change. The caller must hold s.mu, so that the newest one is stored last.
func (s *localState) updateVersion() {
	t := s.table.Load()
	s.version.Store(&operatorVersion{revision: max(t.Revision(), s.board.ZoneRevision()), digest: operatorDigest(t.Version(), s.zonesOut())})
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

// operatorDigest returns a digest that is not 0.
func operatorDigest(configuration uint64, zonesOut []string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, configuration)) // Never fails.
	for _, z := range zonesOut {
		_, _ = h.Write(append([]byte(z), 0))
	}
	return max(h.Sum32(), 1)
}
