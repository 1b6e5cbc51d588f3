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

// viewed returns a world with a contract, so that views have members that open flows.
func viewed(t *testing.T, seed uint64, heartbeat time.Duration, counts map[string]int) *controltest.Cluster {
	t.Helper()
	w := counting(seed, counts)
	if heartbeat > 0 {
		w = controltest.New(controltest.Config{Seed: seed, Heartbeat: heartbeat})
	}
	populate(w, 4, 16, 40)
	c, list := contract.Decode("", []byte(portalContract))
	assert.Equal(t, list.Len(), 0)
	w.Store.Put("portal", board.Contract{Contract: c})
	w.Run(30 * time.Second)
	assert.Assert(t, opening(w, "a", "b", "c", "d")())
	return w
}

// opening holds when exactly the members of some zones open and hold flows in the view of every process outside the others.
func opening(w *controltest.Cluster, zones ...string) func() bool {
	return func() bool {
		return w.All(func(p *controltest.Process) bool { return !slices.Contains(zones, p.Zone) || opensIn(p, zones) })
	}
}

func opensIn(p *controltest.Process, zones []string) bool {
	members := p.Board.View("portal", func(string) bool { return false }).Members()
	for _, m := range members {
		if in := slices.Contains(zones, m.Zone()); m.AcceptsFlows() != in || m.OwnsFlows() != in {
			return false
		}
	}
	return len(members) == 40
}

func stopZone(w *controltest.Cluster, zone string) {
	for _, p := range w.Processes() {
		if p.Zone == zone {
			p.Stop()
		}
	}
}

// Guards against a lost zone whose members stay in views while one verdict for each of them waits for the byte budget.
func TestLostZoneIsOneRecord(t *testing.T) {
	for seed := range uint64(3) {
		w := viewed(t, seed, 2*time.Second, nil)
		before := make(map[string]int)
		for _, p := range w.Processes() {
			before[p.ID] = p.Usage.SentBytes
		}
		stopZone(w, "d")
		took := must(t, w, 14*time.Second, opening(w, "a", "b", "c"))
		most := 0
		for _, p := range w.Processes() {
			most = max(most, p.Usage.SentBytes-before[p.ID])
		}
		t.Logf("seed %d: %s, at most %d bytes sent by a node", seed, took, most)
		w.Run(time.Minute)
		assert.Equal(t, verdictOf(find(w, "b1"), board.KindAgent, "a4"), "alive", "a single verdict was written for a member of a silent zone")
		for _, p := range w.Processes() {
			if p.Zone == "d" && p.ID != "a4" {
				p.Restart(seeds...)
			}
		}
		must(t, w, 20*time.Second, func() bool { return !find(w, "b1").Board.ZoneUnreachable("d") })
		must(t, w, time.Minute, allSay(w, board.KindAgent, "a4", "dead"))
		must(t, w, time.Minute, allSay(w, board.KindAgent, "a8", "alive"))
	}
}

// Guards against regions that need one refutation for each member after a cut, and against records that flap afterwards.
func TestRegionsJoinByZoneRecords(t *testing.T) {
	for seed := range uint64(3) {
		counts := map[string]int{"suspected": 0, "zone_silent": 0}
		w := viewed(t, seed, 0, counts)
		w.SetLink(cut(func(p *controltest.Process) bool { return p.Zone < "c" }))
		must(t, w, 14*time.Second, func() bool {
			return w.All(func(p *controltest.Process) bool {
				if p.Zone < "c" {
					return opensIn(p, []string{"a", "b"})
				}
				return opensIn(p, []string{"c", "d"})
			})
		})
		w.Run(2 * time.Minute)
		assert.Equal(t, counts["suspected"], 0)
		w.SetLink(nil)
		took := must(t, w, 10*time.Second, opening(w, "a", "b", "c", "d"))
		t.Logf("seed %d: %s until all views agree", seed, took)
		counts["zone_silent"] = 0
		w.Run(2 * time.Minute)
		assert.Assert(t, opening(w, "a", "b", "c", "d")())
		assert.Equal(t, counts["zone_silent"], 0)
	}
}

// Guards against a zone that counts as silent because the guards cannot hear it over a path cut in one direction,
// and against agents that are condemned with the balancers of their zone.
func TestOneWayCutAndLiveAgentsAreNotSilent(t *testing.T) {
	counts := map[string]int{"zone_silent": 0}
	w := viewed(t, 3, 0, counts)
	w.SetLink(func(from, to *controltest.Process) controltest.Link {
		l := controltest.Link{Delay: 2 * time.Millisecond}
		if from.Zone == "d" && to.Zone == "a" {
			l.Loss = 1
		}
		return l
	})
	w.Run(2 * time.Minute)
	assert.Equal(t, counts["zone_silent"], 0)
	assert.Assert(t, opening(w, "a", "b", "c", "d")())
	w.SetLink(nil)
	for _, p := range w.Processes() {
		if p.Zone == "d" && p.Service == "" {
			p.Stop()
		}
	}
	must(t, w, time.Minute, allSay(w, board.KindBalancer, "b4", "dead"))
	w.Run(time.Minute)
	assert.Assert(t, opening(w, "a", "b", "c", "d")())
}

// Guards against a balancer that is cut off or paused, condemns every other zone, and is believed afterwards.
func TestCutOffOrPausedGuardHarmsOnlyItself(t *testing.T) {
	w := viewed(t, 4, 0, map[string]int{})
	lonely := find(w, "b1")
	w.SetLink(cut(func(p *controltest.Process) bool { return p == lonely }))
	must(t, w, time.Minute, func() bool { return lonely.Board.ZoneUnreachable("b") && lonely.Board.ZoneUnreachable("c") })
	assert.Assert(t, w.All(func(p *controltest.Process) bool { return p == lonely || !p.Board.ZoneUnreachable("b") }))
	w.SetLink(nil)
	must(t, w, 20*time.Second, opening(w, "a", "b", "c", "d"))

	for seed := range uint64(3) {
		w = viewed(t, seed, 0, map[string]int{})
		for _, id := range []string{"b1", "b5", "b9"} {
			find(w, id).Pause()
		}
		w.Run(2 * time.Second)
		stopZone(w, "d")
		w.Run(8 * time.Second)
		for _, id := range []string{"b1", "b5", "b9"} {
			find(w, id).Resume() // What was held includes datagrams of the lost zone.
		}
		w.Run(time.Second)
		id := board.ID{Kind: board.KindZoneReachability, Key: "d"}
		assert.Equal(t, seqAt(find(w, "b2"), id), uint64(1), "a paused process brought the lost zone back")
		must(t, w, 20*time.Second, opening(w, "a", "b", "c"))
	}
}

// Guards against a wrong verdict that stays, or that ends only after a digest.
func TestWrongSilenceIsRefuted(t *testing.T) {
	for seed := range uint64(3) {
		w := viewed(t, seed, 0, map[string]int{})
		wrong := membership.Push{Records: []board.Record{board.NewZoneReachability("d", 1)}}
		find(w, "b4").Receive(wrong)
		assert.Assert(t, !find(w, "b4").Board.ZoneUnreachable("d"), "a balancer of the zone believes the record")
		w.Run(time.Second)
		wrong = membership.Push{Records: []board.Record{board.NewZoneReachability("d", 3)}}
		find(w, "b1").Receive(wrong)
		find(w, "b2").Receive(wrong)
		must(t, w, time.Second, func() bool { return opening(w, "a", "b", "c", "d")() && seqOfSilence(w) })
		find(w, "b3").Receive(wrong) // An old message.
		assert.Assert(t, opening(w, "a", "b", "c", "d")())
	}
}

// seqOfSilence holds when every balancer has the refutation.
func seqOfSilence(w *controltest.Cluster) bool {
	id := board.ID{Kind: board.KindZoneReachability, Key: "d"}
	return w.All(func(p *controltest.Process) bool { return p.Service != "" || seqAt(p, id) == 4 })
}

// Guards against a state that depends on the order of records, and against two states of one version.
func TestSilenceInEveryOrder(t *testing.T) {
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

// Guards against zones whose guards are all on the other side of a cut, so that their silence is never noticed.
func TestEachSideOfACutHasGuards(t *testing.T) {
	for i := range 12 {
		w := controltest.New(controltest.Config{Seed: uint64(i)})
		zone := func(j int) string { return fmt.Sprintf("%c%d", 'a'+j%3, i) }
		for j := range 9 {
			w.AddBalancer(fmt.Sprintf("b%d", j+1), zone(j), seeds...)
		}
		w.Run(15 * time.Second)
		w.SetLink(cut(func(p *controltest.Process) bool { return p.Zone == zone(0) }))
		must(t, w, 14*time.Second, func() bool {
			return w.All(func(p *controltest.Process) bool {
				return p.Board.ZoneUnreachable(zone(1)) == (p.Zone == zone(0)) && p.Board.ZoneUnreachable(zone(2)) == (p.Zone == zone(0))
			})
		})
	}
}
