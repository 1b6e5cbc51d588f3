package passthrough

import (
	"time"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

const (
	// directorySize is how many agents keep a record of the owner of a flow.
	directorySize = 2
	// maxCandidates is how many agents a packet of a flow without a known owner visits: the directory, and those that
	// were the directory before agents joined. After these, all agents are searched.
	maxCandidates = 4
	// maxSuspects is how many higher-ranked agents that do not answer may be left out of the candidates.
	maxSuspects = MaxPath - maxCandidates
)

// OwnerCandidates returns the agents of a service that may have a record of the owner of a flow, in the order in which a
// packet visits them, and the directory of the flow. An agent that does not answer would end the packet's path, so it is
// left out unless all are silent.
func (s *Steerer) OwnerCandidates(now time.Time, f FlowID, service string) (candidates, directory Path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.views[service]
	if !ok {
		return candidates, directory
	}
	return s.candidates(now, v, f.Hash())
}

func (s *Steerer) candidates(now time.Time, v *flow.View, hash uint64) (candidates, directory Path) {
	candidates = s.responsive(now, topRanked(v, hash, maxCandidates+maxSuspects))
	for _, a := range candidates.All()[:min(directorySize, candidates.Len())] {
		directory.Add(a)
	}
	return candidates, directory
}

// responsive returns the first maxCandidates agents that are not suspect, or the first ones if all are.
func (s *Steerer) responsive(now time.Time, ranked Path) Path {
	var usable, first Path
	for _, a := range ranked.All() {
		if first.Len() < maxCandidates {
			first.Add(a)
		}
		if st, ok := s.agents[a]; ok && !st.suspect(now) && usable.Len() < maxCandidates {
			usable.Add(a)
		}
	}
	if usable.Len() == 0 {
		return first
	}
	return usable
}

// topRanked returns the n highest-ranked agents of a view that may own flows.
func topRanked(v *flow.View, hash uint64, n int) Path {
	var p Path
	var visited flow.Visited
	for p.Len() < n {
		m := v.TopRanked(hash, false, visited)
		if m == nil {
			break
		}
		visited.Add(m.ShortID())
		p.Add(m.DataAddress())
	}
	return p
}
