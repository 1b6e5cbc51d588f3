package passthrough

import (
	"time"

	"github.com/bramleymast/bramleymast/pkg/priority"
)

// Admits reports whether any agent of a service may accept a new flow of a priority. It returns false only if all agents
// that accept flows have reported within reportTTL that they refuse the priority: an agent whose report is missing or
// old, or that knows no priorities, may have room.
func (s *Steerer) Admits(now time.Time, service string, p int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.views[service]
	if !ok {
		return true
	}
	refused := false
	for i := range v.Members() {
		st, ok := s.agents[v.Members()[i].DataAddress()]
		if !ok || !st.inService || !st.load.AcceptsFlows || st.suspect(now) {
			continue
		}
		if !st.reported || now.Sub(st.reportedAt) > reportTTL || priority.Admits(int(st.load.Refused), p) {
			return true
		}
		refused = true
	}
	return !refused
}
