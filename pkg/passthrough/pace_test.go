package passthrough_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// Guards against calls to the store that grow with the number of balancers, and against a small fleet or a single
// balancer that notices changes later than before. In a quiet fleet of any size up to the design size, at most 200 watches
// begin in a second, and a watch begins at least every 0.2 s unless there are fewer than 16 balancers.
func TestPaceOfStoreCalls(t *testing.T) {
	for _, n := range []int{0, 1, 4, 16, 20, 91, 300, 2900} {
		watch, pause := passthrough.ConfigurationWatch(n), passthrough.AgentsPause(n)
		perSecond := float64(n) / watch.Seconds()
		assert.Assert(t, perSecond <= 200, "%d balancers: %.0f watches a second", n, perSecond)
		assert.Assert(t, n < 16 || perSecond >= 5, "%d balancers: %.1f watches a second", n, perSecond)
		assert.Assert(t, watch <= 15*time.Second && pause <= 4*time.Second)
		if n <= 16 {
			assert.Equal(t, watch, 2500*time.Millisecond)
			assert.Equal(t, pause, time.Second)
		}
	}
}

// Guards against a pace for a small fleet in a large one, because one agent that has just started knows few balancers,
// and against the pace of a large fleet after it has shrunk.
func TestFleetSize(t *testing.T) {
	var s passthrough.FleetSize
	s.Report(start, 91)
	s.Report(start.Add(time.Second), 3)
	assert.Equal(t, s.Balancers(), 91)
	s.Report(start.Add(20*time.Second), 40)
	assert.Equal(t, s.Balancers(), 40)
}
