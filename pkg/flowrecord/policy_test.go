package flowrecord_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/flowrecord"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

var start = time.Unix(1000, 0)

// replay lets each of n agents check every half second whether its record is due and returns the writes of all in the
// last third of the period. flowsAt returns the open flows of each agent; the store accepts up to limit writes a second.
func replay(n, limit int, period time.Duration, flowsAt func(at time.Duration) []passthrough.OpenFlow) int {
	policies := make([]flowrecord.Policy, n)
	revision, late := uint64(1), 0
	inSecond, second := 0, time.Duration(0)
	for at := time.Duration(0); at < period; at += time.Second / 2 {
		if at-second >= time.Second {
			inSecond, second = 0, at
		}
		now, open := start.Add(at), flowsAt(at)
		for i := range policies {
			if !policies[i].Due(now, open) {
				continue
			}
			if inSecond++; inSecond > limit {
				policies[i].OnFailed(now)
				continue
			}
			revision++
			policies[i].OnWritten(now, open, revision)
			if at >= period*2/3 {
				late++
			}
		}
	}
	return late
}

// churn returns 60 flows, three of which are replaced each second.
func churn(at time.Duration) []passthrough.OpenFlow {
	first := int(at.Seconds() * 3)
	return flows(first, first+60)
}

// Load: callers keep flows open for 20 s at 295 agents, or 22,000, which share a store that takes 400 writes a second.
// Guards against records that use up the rate of the store.
func TestWritesFollowTheFleet(t *testing.T) {
	for _, c := range []struct {
		agents int
		period time.Duration
	}{{46, 3 * time.Minute}, {295, 3 * time.Minute}, {22_000, 40 * time.Minute}} {
		perSecond := float64(replay(c.agents, 400, c.period, churn)) / (c.period.Seconds() / 3)
		t.Logf("%d agents: %.1f writes a second", c.agents, perSecond)
		assert.Assert(t, perSecond <= 45, "%d agents: %.1f writes a second", c.agents, perSecond)
		assert.Assert(t, perSecond > 5, "%d agents: %.1f writes a second", c.agents, perSecond)
	}
}

// Load: deployments with a flow for each request, whose flows never count as kept. Guards against any write.
func TestNoWritesWithoutKeptFlows(t *testing.T) {
	assert.Equal(t, replay(10, 400, time.Minute, func(time.Duration) []passthrough.OpenFlow { return nil }), 0)
}

// Load: callers that keep their flows and send little. Guards against writes that change nothing, and against records that
// miss a few flows for good.
func TestWritesFollowChanges(t *testing.T) {
	assert.Equal(t, replay(1, 400, time.Minute, func(time.Duration) []passthrough.OpenFlow { return flows(0, 60) }), 0)
	var p flowrecord.Policy
	p.OnWritten(start, flows(0, 60), 1)
	assert.Assert(t, !p.Due(start.Add(8*time.Second), flows(0, 61)), "one flow of 61")
	assert.Assert(t, p.Due(start.Add(16*time.Second), flows(0, 61)), "one flow of 61 for long")
	assert.Assert(t, p.Due(start.Add(4*time.Second), flows(0, 67)), "seven flows of 67")
	assert.Assert(t, p.Due(start.Add(4*time.Second), flows(0, 30)), "half of the record is outdated")
	moved := flows(0, 60)
	for i := range moved {
		moved[i].Seq += flowrecord.ResetTolerance + 1
	}
	assert.Assert(t, p.Due(start.Add(4*time.Second), moved), "resets would not count any more")
}

// Load: a store that is down for a minute. Guards against agents that press it, and against long gaps afterwards.
func TestStoreDown(t *testing.T) {
	var p flowrecord.Policy
	tries := 0
	for at := time.Duration(0); at < time.Minute; at += time.Second / 2 {
		if p.Due(start.Add(at), flows(0, 10)) {
			tries++
			p.OnFailed(start.Add(at))
		}
	}
	assert.Assert(t, tries <= 5, "%d tries in a minute", tries)
	assert.Assert(t, p.Interval() <= 2*time.Minute, "interval %s", p.Interval())
	at := start.Add(time.Minute)
	for revision := range uint64(6) {
		at = at.Add(p.Interval())
		p.OnWritten(at, flows(0, 10), revision+1)
	}
	assert.Equal(t, p.Interval(), 4*time.Second)
}

// Guards against the gravest error, the reset of flows whose backend server lives: a heartbeat of an earlier run arrives
// late, the clock was set back, or the agent has restarted beside an old run.
func TestUncertainLossResetsNothing(t *testing.T) {
	r := flowrecord.Record{Service: "orders", Run: flowrecord.Run{ID: "a", StartedMS: 1000}}
	assert.Equal(t, r.Compare("orders", flowrecord.Run{ID: "a", StartedMS: 999}, 1), flowrecord.Uncertain)
	assert.Equal(t, r.Compare("orders", flowrecord.Run{ID: "b", StartedMS: 1000}, 1), flowrecord.Uncertain)
	assert.Equal(t, r.Compare("orders", flowrecord.Run{ID: "b", StartedMS: 2000}, 9), flowrecord.Uncertain)
	assert.Equal(t, flowrecord.Record{Service: "orders"}.Compare("orders", flowrecord.Run{ID: "b", StartedMS: 2000}, 1), flowrecord.Foreign)
	assert.Equal(t, r.CompareGone("billing"), flowrecord.Foreign)
	assert.Equal(t, r.CompareGone("orders"), flowrecord.Lost)
}
