package passthrough_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// Guards against new flows through a relay while agents in direct reach have room, against none while these are full, and
// against an agent that is silent to balancers between two checks of its detour.
func TestSteererDetouredAgent(t *testing.T) {
	s := steerer(2)
	s.SetDetoured(address(0), true)
	for i := range 6 {
		o, ok := s.Place(start, openingSegment(i, 0), service)
		assert.Assert(t, ok)
		assert.Equal(t, o.Target, address(1), "flow %d", i)
	}
	s.SetLoad(start, address(1), serviceID, passthrough.Load{InProgress: 20, Slots: 2, AcceptsFlows: true})
	o, ok := s.Place(start, openingSegment(6, 0), service)
	assert.Assert(t, ok)
	assert.Equal(t, o.Target, address(0))
	s.DueProbes(start.Add(500 * time.Millisecond)) // Neither answers.
	_, directory := s.OwnerCandidates(start.Add(750*time.Millisecond), openingSegment(7, 0).Flow(), service)
	assert.Equal(t, directory.Len(), 1)
	assert.Equal(t, directory.All()[0], address(0))
}
