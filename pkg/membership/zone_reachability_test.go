package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/internal/controltest"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/membership"
)

const portalContract = `{"service":"portal","addresses":["10.0.0.1:443"],"zones":["a","b","c","d"],"backend":{"slots":7},"cold_start":{"slots":2}}`

// newServingCluster returns a cluster with a contract, so that its members accept flows.
func newServingCluster(t *testing.T, seed uint64, heartbeat time.Duration, counts map[string]int) *controltest.Cluster {
	t.Helper()
	c := newCountingCluster(seed, counts)
	if heartbeat > 0 {
		c = controltest.New(controltest.Config{Seed: seed, Heartbeat: heartbeat})
	}
	populate(c, 4, 16, 40)
	portal, list := contract.Decode("", []byte(portalContract))
	assert.Equal(t, list.Len(), 0)
	c.Store.Put("portal", board.Contract{Contract: portal})
	c.Run(30 * time.Second)
	assert.Assert(t, servingZones(c, "a", "b", "c", "d")())
	return c
}

// servingZones returns a condition that holds when every process in the given zones has a view in which exactly the
// members of these zones accept and own flows.
func servingZones(c *controltest.Cluster, zones ...string) func() bool {
	return func() bool {
		return c.All(func(p *controltest.Process) bool { return !slices.Contains(zones, p.Zone) || viewServes(p, zones) })
	}
}

func viewServes(p *controltest.Process, zones []string) bool {
	members := p.Board.View("portal", func(string) bool { return false }).Members()
	for _, m := range members {
		if in := slices.Contains(zones, m.Zone()); m.AcceptsFlows() != in || m.OwnsFlows() != in {
			return false
		}
	}
	return len(members) == 40
}

func stopZone(c *controltest.Cluster, zone string) {
	for _, p := range c.Processes() {
		if p.Zone == zone {
			p.Stop()
		}
	}
}

// Guards against members of a lost zone that stay in views because a record for each of them waits for the byte budget.
func TestLostZoneIsOneRecord(t *testing.T) {
	for seed := range uint64(3) {
		c := newServingCluster(t, seed, 2*time.Second, nil)
		before := make(map[string]int)
		for _, p := range c.Processes() {
			before[p.ID] = p.Usage.SentBytes
		}
		stopZone(c, "d")
		took := runUntil(t, c, 14*time.Second, servingZones(c, "a", "b", "c"))
		most := 0
		for _, p := range c.Processes() {
			most = max(most, p.Usage.SentBytes-before[p.ID])
		}
		t.Logf("seed %d: %s, at most %d bytes sent by a node", seed, took, most)
		c.Run(time.Minute)
		assert.Equal(t, livenessAt(find(c, "b1"), board.KindAgent, "a4"), "alive", "a liveness record was written for a member of an unreachable zone")
		for _, p := range c.Processes() {
			if p.Zone == "d" && p.ID != "a4" {
				p.Restart(seeds...)
			}
		}
		runUntil(t, c, 20*time.Second, func() bool { return !find(c, "b1").Board.ZoneUnreachable("d") })
		runUntil(t, c, time.Minute, livenessEverywhere(c, board.KindAgent, "a4", "dead"))
		runUntil(t, c, time.Minute, livenessEverywhere(c, board.KindAgent, "a8", "alive"))
	}
}

// Guards against a refutation per member after a partition has ended, and against records that flap afterwards.
func TestRegionsRejoinByZoneRecords(t *testing.T) {
	for seed := range uint64(3) {
		counts := map[string]int{"suspected": 0, "zone_silent": 0}
		c := newServingCluster(t, seed, 0, counts)
		c.SetLink(partition(func(p *controltest.Process) bool { return p.Zone < "c" }))
		runUntil(t, c, 14*time.Second, func() bool {
			return c.All(func(p *controltest.Process) bool {
				if p.Zone < "c" {
					return viewServes(p, []string{"a", "b"})
				}
				return viewServes(p, []string{"c", "d"})
			})
		})
		c.Run(2 * time.Minute)
		assert.Equal(t, counts["suspected"], 0)
		c.SetLink(nil)
		took := runUntil(t, c, 10*time.Second, servingZones(c, "a", "b", "c", "d"))
		t.Logf("seed %d: %s until all views agree", seed, took)
		counts["zone_silent"] = 0
		c.Run(2 * time.Minute)
		assert.Assert(t, servingZones(c, "a", "b", "c", "d")())
		assert.Equal(t, counts["zone_silent"], 0)
	}
}

// Guards against a zone that is marked as unreachable although only one direction of a path has failed, and against
// live agents that are marked as dead with the balancers of their zone.
func TestOneWayPartitionAndLiveAgentsKeepZoneReachable(t *testing.T) {
	counts := map[string]int{"zone_silent": 0}
	c := newServingCluster(t, 3, 0, counts)
	c.SetLink(func(from, to *controltest.Process) controltest.Link {
		l := controltest.Link{Delay: 2 * time.Millisecond}
		if from.Zone == "d" && to.Zone == "a" {
			l.Loss = 1
		}
		return l
	})
	c.Run(2 * time.Minute)
	assert.Equal(t, counts["zone_silent"], 0)
	assert.Assert(t, servingZones(c, "a", "b", "c", "d")())
	c.SetLink(nil)
	for _, p := range c.Processes() {
		if p.Zone == "d" && p.Service == "" {
			p.Stop()
		}
	}
	runUntil(t, c, time.Minute, livenessEverywhere(c, board.KindBalancer, "b4", "dead"))
	c.Run(time.Minute)
	assert.Assert(t, servingZones(c, "a", "b", "c", "d")())
}

// Guards against a balancer that is cut off or paused, marks every other zone as unreachable, and spreads that to
// other processes afterwards.
func TestIsolatedOrPausedBalancerAffectsOnlyItself(t *testing.T) {
	c := newServingCluster(t, 4, 0, map[string]int{})
	isolated := find(c, "b1")
	c.SetLink(partition(func(p *controltest.Process) bool { return p == isolated }))
	runUntil(t, c, time.Minute, func() bool { return isolated.Board.ZoneUnreachable("b") && isolated.Board.ZoneUnreachable("c") })
	assert.Assert(t, c.All(func(p *controltest.Process) bool { return p == isolated || !p.Board.ZoneUnreachable("b") }))
	c.SetLink(nil)
	runUntil(t, c, 20*time.Second, servingZones(c, "a", "b", "c", "d"))

	for seed := range uint64(3) {
		c = newServingCluster(t, seed, 0, map[string]int{})
		for _, id := range []string{"b1", "b5", "b9"} {
			find(c, id).Pause()
		}
		c.Run(2 * time.Second)
		stopZone(c, "d")
		c.Run(8 * time.Second)
		for _, id := range []string{"b1", "b5", "b9"} {
			find(c, id).Resume() // The queued events include datagrams of the lost zone.
		}
		c.Run(time.Second)
		id := board.ID{Kind: board.KindZoneReachability, Key: "d"}
		assert.Equal(t, seqAt(find(c, "b2"), id), uint64(1), "a paused process marked the lost zone as reachable")
		runUntil(t, c, 20*time.Second, servingZones(c, "a", "b", "c"))
	}
}

// Guards against a false reachability record that stays, or that is corrected only by a digest.
func TestFalseUnreachabilityIsRefuted(t *testing.T) {
	for seed := range uint64(3) {
		c := newServingCluster(t, seed, 0, map[string]int{})
		wrong := membership.Push{Records: []board.Record{board.NewZoneReachability("d", 1)}}
		find(c, "b4").Receive(wrong)
		assert.Assert(t, !find(c, "b4").Board.ZoneUnreachable("d"), "a balancer of the zone applied the record")
		c.Run(time.Second)
		wrong = membership.Push{Records: []board.Record{board.NewZoneReachability("d", 3)}}
		find(c, "b1").Receive(wrong)
		find(c, "b2").Receive(wrong)
		runUntil(t, c, time.Second, func() bool { return servingZones(c, "a", "b", "c", "d")() && refutationAtAllBalancers(c) })
		find(c, "b3").Receive(wrong) // An old message.
		assert.Assert(t, servingZones(c, "a", "b", "c", "d")())
	}
}

// refutationAtAllBalancers reports whether every balancer has the refutation of zone d.
func refutationAtAllBalancers(c *controltest.Cluster) bool {
	id := board.ID{Kind: board.KindZoneReachability, Key: "d"}
	return c.All(func(p *controltest.Process) bool { return p.Service != "" || seqAt(p, id) == 4 })
}

// Guards against a state that depends on the order of records, and against two states of one version.
func TestReachabilityInEveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.SliceOfN(rapid.Uint64Range(1, 8), 1, 40).Draw(t, "order")
		b := &board.Board{}
		core := membership.New(membership.Config{ID: "a1", Zone: "a", Service: "portal", Incarnation: 1, Board: b, Address: controltest.AddressOf(1)})
		for _, seq := range order {
			payload, err := membership.Encode(membership.Push{Records: []board.Record{board.NewZoneReachability("z", seq)}})
			assert.NilError(t, err)
			m, err := membership.Decode(payload)
			assert.NilError(t, err)
			core.Handle(time.Unix(1000, 0), membership.Received{Message: m})
		}
		assert.Equal(t, b.ZoneUnreachable("z"), slices.Max(order)%2 == 1, fmt.Sprint(order))
	})
	forged := board.NewZoneReachability("z", 2)
	forged.Value = board.ZoneReachability{Unreachable: true}
	payload, err := membership.Encode(membership.Push{Records: []board.Record{forged}})
	assert.NilError(t, err)
	_, err = membership.Decode(payload)
	assert.ErrorIs(t, err, membership.ErrMalformed)
}

// Guards against zones whose monitors are all on the other side of a partition, so that their loss is not detected.
func TestEachSideOfAPartitionMonitorsZones(t *testing.T) {
	for i := range 12 {
		c := controltest.New(controltest.Config{Seed: uint64(i)})
		zone := func(j int) string { return fmt.Sprintf("%c%d", 'a'+j%3, i) }
		for j := range 9 {
			c.AddBalancer(fmt.Sprintf("b%d", j+1), zone(j), seeds...)
		}
		c.Run(15 * time.Second)
		c.SetLink(partition(func(p *controltest.Process) bool { return p.Zone == zone(0) }))
		runUntil(t, c, 14*time.Second, func() bool {
			return c.All(func(p *controltest.Process) bool {
				return p.Board.ZoneUnreachable(zone(1)) == (p.Zone == zone(0)) && p.Board.ZoneUnreachable(zone(2)) == (p.Zone == zone(0))
			})
		})
	}
}
