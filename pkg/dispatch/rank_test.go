package dispatch_test

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/dispatch"
)

// serverCount and slotsPerServer are those of a service in three zones. With work of 30 ms, servers of speed 1 serve 2,400
// requests a second.
const (
	serverCount    = 18
	slotsPerServer = 4
)

// noise is what the share of requests in time differs by between replays with other random numbers, and imbalanceNoise
// the same of the work of the busiest server to the mean.
const (
	noise          = 0.001
	imbalanceNoise = 0.05
)

// newLoad returns a load on servers with the given speeds in turn; 21 balancers have reports of 5 to 500 ms age.
func newLoad(perSecond float64, speeds ...float64) load {
	l := load{
		balancers: 21, zones: 3, way: 1800 * time.Microsecond, work: 30 * time.Millisecond, perSecond: perSecond,
		minAge: 5 * time.Millisecond, maxAge: 500 * time.Millisecond, objective: 250 * time.Millisecond, length: 25 * time.Second,
	}
	for i := range serverCount {
		l.servers = append(l.servers, testServer{zone: i % 3, slots: slotsPerServer, speed: speeds[(i/3)%len(speeds)]})
	}
	return l
}

// kept makes the requests of a load share flows that stay open for some seconds.
func (l load) kept() load {
	l.flowLife, l.flowRate = 6*time.Second, 2
	return l
}

// seeds returns as many as noise needs: a service with kept flows has a tenth of the flows.
func (l load) seeds() []uint64 {
	if l.flowLife > 0 {
		return []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	}
	return []uint64{1}
}

func byCosts() policy { return byCost }

// inTurn raises the load of each zone by 55% in turn.
func inTurn(zone int, at time.Duration) float64 {
	return 1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/17-float64(zone)/3))
}

// wave raises the load of all zones by 55%, one soon after the other.
func wave(zone int, at time.Duration) float64 {
	return 1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/17-float64(zone)*0.08))
}

// inIncident reports whether a time is within the 6 s from 6 s on in which tests let servers be slow or silent.
func inIncident(at time.Duration) bool { return at >= 6*time.Second && at < 12*time.Second }

// compare replays a load with both policies, for flows of one request and for kept flows.
func compare(t *testing.T, l load, check func(t *testing.T, l load, cost, byTime result)) {
	t.Helper()
	t.Parallel()
	for name, l := range map[string]load{"flow for each request": l, "kept flows": l.kept()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cost, expected := run(l, byCosts, l.seeds()...), run(l, byTime, l.seeds()...)
			t.Logf("requests per slot: %s", cost)
			t.Logf("expected time:     %s", expected)
			check(t, l, cost, expected)
		})
	}
}

// Guards against fast servers that idle while callers wait at slow ones of the same service.
// Load: servers of speed 0.7, 0.7 and 1.7 under a wave whose peak needs all of their capacity.
func TestThreeSpeedsUnderWave(t *testing.T) {
	l := newLoad(1600, 0.7, 0.7, 1.7)
	l.peak = wave
	compare(t, l, func(t *testing.T, l load, cost, expected result) {
		t.Helper()
		assert.Assert(t, expected.inTime >= cost.inTime-noise)
		assert.Assert(t, expected.p99 < cost.p99)
		for speed, work := range expected.bySpeed {
			assert.Assert(t, math.Abs(work-1) <= 0.15, "speed %.1f in the busiest two seconds: %.2f", speed, work)
		}
		if l.flowLife > 0 {
			assert.Assert(t, expected.inTime > cost.inTime)
			assert.Assert(t, expected.imbalance <= 1.15, "work follows the speed")
		}
	})
}

// Guards against a herd: many balancers that all send to the server that looked idle in their last reports.
// Load: equal servers at 85% with 21 balancers and reports of 5 to 500 ms age.
func TestEqualServers(t *testing.T) {
	compare(t, newLoad(2040, 1), func(t *testing.T, l load, cost, expected result) {
		t.Helper()
		assert.Assert(t, expected.imbalance <= cost.imbalance+imbalanceNoise)
		assert.Assert(t, expected.inTime >= cost.inTime-noise)
		assert.Assert(t, expected.elsewhere <= 0.05, "no zone is busier than another")
		if l.flowLife == 0 {
			assert.Assert(t, expected.swing <= 1.5, "the busiest server within any half second")
		}
	})
}

// Guards against callers that wait at a server that has slowed down, and against one that gets no flows after its
// recovery.
// Load: equal servers at 75%, one of them five times slower for 6 s.
func TestOneSlowServer(t *testing.T) {
	l := newLoad(1800, 1)
	l.servers[0].slowdown = func(at time.Duration) float64 {
		if inIncident(at) {
			return 5
		}
		return 1
	}
	compare(t, l, func(t *testing.T, _ load, cost, expected result) {
		t.Helper()
		assert.Assert(t, expected.inTime >= cost.inTime-noise)
		assert.Assert(t, expected.share(0, 8, 12) < 0.4, "while it is slow: %.2f", expected.share(0, 8, 12))
		assert.Assert(t, expected.share(0, 18, 25) > 0.6, "after its recovery: %.2f", expected.share(0, 18, 25))
	})
}

// Guards against traffic between zones that gains callers nothing, and against callers who wait in the zone that has its
// peak while others have free servers.
// Load: equal servers at 78%, the load of each zone 55% higher in turn, zones 0.9 or 5.4 ms apart.
func TestPeaksInTurn(t *testing.T) {
	for _, way := range []time.Duration{1800 * time.Microsecond, 10800 * time.Microsecond} {
		t.Run(way.String(), func(t *testing.T) {
			l := newLoad(1870, 1)
			l.peak, l.way = inTurn, way
			compare(t, l, func(t *testing.T, _ load, cost, expected result) {
				t.Helper()
				assert.Assert(t, expected.inTime >= 0.99)
				assert.Assert(t, expected.elsewhere <= cost.elsewhere/2)
			})
		})
	}
}

// Guards against a rush to the servers of a zone that returns, and against callers who stay elsewhere.
// Load: equal servers at 55%, the zone 0 evacuated from 6 to 12 s.
func TestEvacuatedZoneReturns(t *testing.T) {
	l := newLoad(1320, 1)
	for i := range l.servers {
		if l.servers[i].zone == 0 {
			l.servers[i].closed = inIncident
		}
	}
	compare(t, l, func(t *testing.T, _ load, cost, expected result) {
		t.Helper()
		assert.Assert(t, expected.inTime >= cost.inTime-noise)
		assert.Assert(t, expected.elsewhere <= cost.elsewhere/2)
		for i, s := range l.servers {
			if s.zone == 0 {
				assert.Assert(t, expected.share(i, 12, 13) <= 2, "server %d in the first second: %.2f", i, expected.share(i, 12, 13))
				assert.Assert(t, expected.share(i, 16, 25) >= 0.6, "server %d afterwards: %.2f", i, expected.share(i, 16, 25))
			}
		}
	})
}

// Guards against a rush to new servers, and against new servers that stay idle.
// Load: equal servers at 85% while three of them are new.
func TestNewServersFillUp(t *testing.T) {
	l := newLoad(1700, 1)
	for i := range 3 {
		l.servers[i].closed = func(at time.Duration) bool { return at < 10*time.Second }
	}
	compare(t, l, func(t *testing.T, _ load, cost, expected result) {
		t.Helper()
		assert.Assert(t, expected.inTime >= cost.inTime-noise)
		for i := range 3 {
			assert.Assert(t, expected.share(i, 10, 11) <= 4, "server %d in the first second: %.2f", i, expected.share(i, 10, 11))
			assert.Assert(t, expected.share(i, 14, 25) >= 0.8, "server %d afterwards: %.2f", i, expected.share(i, 14, 25))
		}
	})
}

// Guards against servers that have as many flows as others and more work, because some callers send more.
// Load: equal servers at 79%, kept flows of which one in ten sends half of the requests.
func TestCallersThatSendMore(t *testing.T) {
	l := newLoad(1900, 1).kept()
	l.flowLife, l.length, l.hot = 8*time.Second, 40*time.Second, true
	check := func(seeds ...uint64) {
		t.Helper()
		cost, expected := run(l, byCosts, seeds...), run(l, byTime, seeds...)
		t.Logf("requests per slot: %s", cost)
		t.Logf("expected time:     %s", expected)
		assert.Assert(t, expected.inTime >= 0.995)
		assert.Assert(t, expected.imbalance <= cost.imbalance+imbalanceNoise)
		assert.Assert(t, expected.elsewhere <= cost.elsewhere/2)
	}
	for seed := range uint64(3) {
		check(seed)
	}
	check(l.seeds()...)
}

// Guards against servers that get too much because their reports are missing or show a moment that is long gone.
// Load: equal servers at 80%; one never reports, and another one not for 6 s.
func TestMissingReports(t *testing.T) {
	l := newLoad(1920, 1)
	l.servers[0].silent = func(time.Duration) bool { return true }
	l.servers[1].silent = inIncident
	compare(t, l, func(t *testing.T, _ load, cost, expected result) {
		t.Helper()
		assert.Assert(t, expected.inTime >= cost.inTime-noise)
		assert.Assert(t, expected.share(0, 2, 25) <= 1.2, "without a report: %.2f", expected.share(0, 2, 25))
		assert.Assert(t, expected.share(1, 7, 12) <= 1.5, "with an old report: %.2f", expected.share(1, 7, 12))
	})
}

// Guards against a service that looks like many outliers when all its servers are slow.
// Load: equal servers at 50% that all become 1.8 times slower for 6 s.
func TestAllSlow(t *testing.T) {
	l := newLoad(1200, 1)
	for i := range l.servers {
		l.servers[i].slowdown = func(at time.Duration) float64 {
			if inIncident(at) {
				return 1.8
			}
			return 1
		}
	}
	compare(t, l, func(t *testing.T, _ load, cost, expected result) {
		t.Helper()
		assert.Assert(t, expected.inTime >= cost.inTime-noise)
		for i := range l.servers {
			assert.Assert(t, expected.share(i, 8, 12) <= 1.6, "server %d: %.2f", i, expected.share(i, 8, 12))
		}
	})
}

// Guards against slots that make a server look free although more requests only slow each other down.
// Load: every third server gives no more answers beyond 2 of its 4 slots; a wave whose peak needs all capacity.
func TestKneeAtHalfOfSlots(t *testing.T) {
	l := newLoad(1250, 1)
	for i := range l.servers {
		if i/3%3 == 2 {
			l.servers[i].knee = 2
		}
	}
	l.peak = wave
	compare(t, l, func(t *testing.T, _ load, cost, expected result) {
		t.Helper()
		assert.Assert(t, expected.inTime >= cost.inTime-noise)
		assert.Assert(t, expected.imbalance < cost.imbalance)
	})
}

// Guards against servers that pass for slow because their callers ask for more, and lose work to others for it.
// Load: equal servers at 80%; a fifth of the flows are to a route whose requests take four times as long.
func TestMixedRoutes(t *testing.T) {
	l := newLoad(1200, 1)
	l.heavyShare, l.objective = 0.2, 500*time.Millisecond
	compare(t, l, func(t *testing.T, _ load, cost, expected result) {
		t.Helper()
		assert.Assert(t, expected.inTime >= cost.inTime-noise)
		assert.Assert(t, expected.imbalance <= cost.imbalance+imbalanceNoise)
	})
}

// Guards against servers that are favored or avoided while little is known of them.
// Load: 12 requests a second for 18 servers, so that few of them have the answers for an estimate.
func TestFewSamples(t *testing.T) {
	l := newLoad(12, 1)
	l.length = 100 * time.Second
	compare(t, l, func(t *testing.T, l load, cost, expected result) {
		t.Helper()
		assert.Assert(t, expected.inTime >= cost.inTime-noise)
		if l.flowLife == 0 {
			for i := range l.servers {
				assert.Assert(t, expected.share(i, 0, 100) > 0.5 && expected.share(i, 0, 100) < 1.6, "server %d: %.2f", i, expected.share(i, 0, 100))
			}
		}
	})
}

// Guards against a rush to, or away from, servers that are cold and of which nothing is known.
// Load: equal servers at 60% from the first moment, 1.6 times slower for 2 s; some more of these start at 10 s.
func TestColdStart(t *testing.T) {
	l := newLoad(1400, 1)
	for i := range l.servers {
		start := time.Duration(0)
		if i < 3 {
			start = 10 * time.Second
		}
		l.servers[i].closed = func(at time.Duration) bool { return at < start }
		l.servers[i].slowdown = func(at time.Duration) float64 {
			if at < start+2*time.Second {
				return 1.6
			}
			return 1
		}
	}
	compare(t, l, func(t *testing.T, _ load, cost, expected result) {
		t.Helper()
		assert.Assert(t, expected.inTime >= cost.inTime-noise)
		for i := range 3 {
			assert.Assert(t, expected.share(i, 10, 11) <= 4, "server %d in the first second: %.2f", i, expected.share(i, 10, 11))
			assert.Assert(t, expected.share(i, 14, 25) >= 0.7, "server %d afterwards: %.2f", i, expected.share(i, 14, 25))
		}
	})
}

// Guards against a restarted agent that passes for fast or slow, and against work that no longer follows the speed.
// Load: servers of speed 0.7, 0.7 and 1.7 under a wave; two agents of each speed restart shortly before the peak.
func TestAgentsRestart(t *testing.T) {
	l := newLoad(1600, 0.7, 0.7, 1.7)
	l.peak = wave
	for _, i := range []int{0, 1, 3, 4, 6, 7} {
		l.servers[i].restarts = []time.Duration{19 * time.Second}
	}
	compare(t, l, func(t *testing.T, _ load, cost, expected result) {
		t.Helper()
		assert.Assert(t, expected.inTime >= cost.inTime-noise)
		assert.Assert(t, expected.p99 < cost.p99)
		for speed, work := range expected.bySpeed {
			assert.Assert(t, math.Abs(work-1) <= 0.15, "speed %.1f: %.2f", speed, work)
		}
		for _, i := range []int{0, 1, 6, 7} { // Their shares are about 0.7 and 1.7.
			before, after := expected.share(i, 12, 19), expected.share(i, 19, 22)
			assert.Assert(t, after < 2*before+0.5, "server %d: %.2f before, %.2f after", i, before, after)
		}
	})
}

// Guards against flows to a server that has stopped to answer: few answers must not make it look fast.
// Load: equal servers at 70%, one of which gives no answers from 6 to 12 s.
func TestAnswersStop(t *testing.T) {
	l := newLoad(1680, 1)
	l.servers[0].stopped = inIncident
	compare(t, l, func(t *testing.T, _ load, cost, expected result) {
		t.Helper()
		assert.Assert(t, expected.inTime >= cost.inTime-noise)
		assert.Assert(t, expected.share(0, 8, 12) < 0.2, "while it is silent: %.2f", expected.share(0, 8, 12))
		assert.Assert(t, expected.share(0, 18, 25) > 0.5, "afterwards: %.2f", expected.share(0, 18, 25))
	})
}

// Guards against work for servers that fail requests while others do not.
func TestFailingServerGetsNearlyNothing(t *testing.T) {
	all := make([]dispatch.Server, 6)
	for i := range all {
		all[i] = dispatch.Server{Key: uint64(i + 1), Zone: "a", Slots: 4, InProgress: 2, Flows: 2, MeanBusy: 2, MeanFlows: 2, ServiceTime: 30 * time.Millisecond}
	}
	all[0].FailurePercent = 40
	var r dispatch.Ranker
	count := 0
	for hash := range uint64(2000) {
		choices, ok := r.Rank(dispatch.Flow{Hash: hash * 0x9e3779b97f4a7c15, Zone: "a"}, all)
		assert.Assert(t, ok)
		if first(choices) == 0 {
			count++
		}
	}
	assert.Assert(t, count <= 2, "%d of 2000 flows", count)
}

// Guards against the recovery of a server that nobody sees because it gets no work.
func TestIdleServerIsExplored(t *testing.T) {
	all := make([]dispatch.Server, 6)
	for i := range all {
		all[i] = dispatch.Server{Key: uint64(i + 1), Zone: "a", Slots: 4, InProgress: 2, Flows: 2, MeanBusy: 2, MeanFlows: 2, ServiceTime: 30 * time.Millisecond}
	}
	all[0].ServiceTime, all[0].InProgress, all[0].Flows, all[0].Idle = 3*time.Second, 0, 0, 5*time.Second
	all[0].MeanBusy, all[0].MeanFlows = 0, 0
	var r dispatch.Ranker
	count := 0
	for hash := range uint64(6400) {
		choices, _ := r.Rank(dispatch.Flow{Hash: hash * 0x9e3779b97f4a7c15, Zone: "a"}, all)
		if i := first(choices); i == 0 {
			count++
			assert.Assert(t, choices[i].Explored)
		}
	}
	assert.Assert(t, count >= 60 && count <= 140, "%d of 6400 flows", count)
}

// Guards against balancers that all send their flows to the one server that has just become free.
// Load: flows that stay, a server that has returned, and 19 others with a long queue in their last reports.
func TestReturnedServerGetsBoundedShare(t *testing.T) {
	all := make([]dispatch.Server, 20)
	for i := range all {
		all[i] = dispatch.Server{
			Key: uint64(i + 1), Zone: "a", Slots: 4, InProgress: 12, Flows: 100, MeanBusy: 12, MeanFlows: 100, ServiceTime: 30 * time.Millisecond,
			Wait: 60 * time.Millisecond, Age: 400 * time.Millisecond,
		}
	}
	all[0].InProgress, all[0].Flows, all[0].MeanBusy, all[0].MeanFlows, all[0].Wait = 0, 0, 0, 0, 0
	var r dispatch.Ranker
	count := 0
	const flows = 2000
	for hash := range uint64(flows) {
		choices, _ := r.Rank(dispatch.Flow{Hash: hash * 0x9e3779b97f4a7c15, Zone: "a"}, all)
		if first(choices) == 0 {
			count++
		}
	}
	share := float64(count) * float64(len(all)) / flows
	assert.Assert(t, share >= 2 && share <= 4.4, "%.1f times its share", share) // 4, and the noise of 2,000 flows
}

// Guards against a server without a recent report that looks free among busy ones and attracts the flows of all balancers.
// Load: flows that stay, 19 servers at 80%, and one of which nothing is known.
func TestSilentServerGetsLess(t *testing.T) {
	all := make([]dispatch.Server, 20)
	for i := range all {
		all[i] = dispatch.Server{Key: uint64(i + 1), Zone: "a", Slots: 5, InProgress: 4, Flows: 100, MeanBusy: 4, MeanFlows: 100, ServiceTime: 30 * time.Millisecond}
	}
	all[0] = dispatch.Server{Key: 1, Zone: "a", Slots: 5, Age: time.Second}
	var r dispatch.Ranker
	count := 0
	const flows = 4000
	for hash := range uint64(flows) {
		choices, _ := r.Rank(dispatch.Flow{Hash: hash * 0x9e3779b97f4a7c15, Zone: "a"}, all)
		if first(choices) == 0 {
			count++
		}
	}
	share := float64(count) * float64(len(all)) / flows
	assert.Assert(t, share >= 0.2 && share <= 1, "%.2f times its share", share) // Half of it, and nothing waits there.
}

// Guards against a result that cannot be ordered, for any state that agents may report.
func TestRankOrdersAllStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := rapid.Custom(func(t *rapid.T) dispatch.Server {
			ms := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.Uint16().Draw(t, "ms")) * time.Millisecond })
			return dispatch.Server{
				Key: rapid.Uint64().Draw(t, "key"), Zone: strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "zone")), Way: ms.Draw(t, "way"),
				Slots: int(rapid.Uint16().Draw(t, "slots")), Limit: int(rapid.Uint16().Draw(t, "limit")),
				InProgress: int(rapid.Uint16().Draw(t, "in progress")), Flows: int(rapid.Uint16().Draw(t, "flows")),
				Placed: int(rapid.Uint16().Draw(t, "placed")), ServiceTime: ms.Draw(t, "service time"), Wait: ms.Draw(t, "wait"),
				MeanBusy: rapid.Float64Range(0, 1e5).Draw(t, "mean in progress"), MeanFlows: rapid.Float64Range(0, 1e5).Draw(t, "mean flows"),
				Age: ms.Draw(t, "age"), Idle: ms.Draw(t, "idle"), FailurePercent: rapid.IntRange(0, 100).Draw(t, "failures"),
			}
		})
		all := rapid.SliceOfN(server, 1, 8).Draw(t, "servers")
		f := dispatch.Flow{Hash: rapid.Uint64().Draw(t, "hash"), Zone: "0", Objective: rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(t, "objective")}
		choices, ok := new(dispatch.Ranker).Rank(f, all)
		learned := false
		for _, s := range all {
			learned = learned || s.ServiceTime > 0
		}
		if ok != learned {
			t.Fatalf("ranked %v, learned %v", ok, learned)
		}
		for i, c := range choices {
			if math.IsNaN(c.Key) || math.IsInf(c.Key, 0) || c.Estimate.Time() <= 0 {
				t.Fatalf("server %d: %+v", i, c)
			}
		}
	})
}

// Guards against a way that follows delays of busy hosts instead of the distance.
func TestWays(t *testing.T) {
	var w dispatch.Ways
	_, ok := w.Extra("a", "b")
	assert.Assert(t, !ok)
	for i := range 200 {
		delay := time.Duration(i%10) * time.Millisecond
		w.Add("a", time.Millisecond+delay)
		w.Add("b", 12*time.Millisecond+delay)
	}
	d, ok := w.Extra("a", "b")
	assert.Assert(t, ok)
	assert.Assert(t, d > 9*time.Millisecond && d < 13*time.Millisecond, "%s", d)
	d, _ = w.Extra("b", "a")
	assert.Equal(t, d, time.Duration(0))
	w.Add("c", time.Minute)
	d, _ = w.Extra("a", "c")
	assert.Equal(t, d, 50*time.Millisecond)
}

func first(choices []dispatch.Choice) int {
	best := 0
	for i := range choices {
		if choices[i].Key < choices[best].Key {
			best = i
		}
	}
	return best
}

// share returns how many flows a server got from second from to second to, relative to an equal share.
func (r result) share(server, from, to int) float64 {
	var own, all float64
	for _, replay := range r.shares {
		for _, second := range replay[from:to] {
			own += second[server]
			for _, n := range second {
				all += n
			}
		}
	}
	return own * float64(len(r.shares[0][0])) / all
}
