package passthrough_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/route"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7720)
}

func flowOf(i int) passthrough.FlowID {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 16), byte(i >> 8)}), uint16(1024+i&0xff))
	return passthrough.NewFlowID(caller, netip.MustParseAddrPort("198.18.0.1:443"))
}

func opening(i, copies int) passthrough.Segment {
	return passthrough.NewSegment(flowOf(i), passthrough.FlagOpen, 1, uint32(copies), 0)
}

func accepting(i int, isn uint32) passthrough.Segment {
	return passthrough.NewSegment(flowOf(i), passthrough.FlagOpen|passthrough.FlagAck, isn, 2, 0)
}

func data(i int, ack uint32) passthrough.Segment {
	return passthrough.NewSegment(flowOf(i), passthrough.FlagAck, 2, ack, 100)
}

func answer(i int) passthrough.Segment {
	return passthrough.NewSegment(flowOf(i), passthrough.FlagAck, 100, 102, 500)
}

func arrival(i, copies int, path ...netip.AddrPort) passthrough.Arrival {
	a := passthrough.Arrival{Segment: opening(i, copies), Packet: []byte{byte(i)}}
	for _, p := range path {
		a.Path.Add(p)
	}
	return a
}

// newGate returns the gate of an agent whose backend server is there.
func newGate(slots int) *passthrough.Gate {
	g := passthrough.NewGate(start.Add(-time.Hour))
	g.SetBackend(start, slots, false, 0)
	return g
}

// Guards against new flows at a backend server that leaves or whose zone is out.
func TestGateClosed(t *testing.T) {
	for name, c := range map[string]struct {
		set  func(g *passthrough.Gate)
		want passthrough.Verdict
	}{
		"draining":     {func(g *passthrough.Gate) { g.SetBackend(start, 2, true, 0) }, passthrough.PassOn{Reason: passthrough.ReasonDraining}},
		"left":         {func(g *passthrough.Gate) { g.SetDraining() }, passthrough.PassOn{Reason: passthrough.ReasonDraining}},
		"zone out":     {func(g *passthrough.Gate) { g.SetZoneOut(true) }, passthrough.PassOn{Reason: passthrough.ReasonZoneOut}},
		"in service":   {func(*passthrough.Gate) {}, passthrough.Deliver{}},
		"zone is back": {func(g *passthrough.Gate) { g.SetZoneOut(true); g.SetZoneOut(false) }, passthrough.Deliver{}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate(2)
			c.set(g)
			assert.Equal(t, g.Open(start, arrival(1, 0, address(2))), c.want)
			_, delivers := c.want.(passthrough.Deliver)
			assert.Equal(t, g.Load(start).Opens, delivers)
		})
	}
}

// Guards against cutting off flows that are open when their backend server begins to leave.
func TestGateKeepsOpenFlowsWhenClosed(t *testing.T) {
	g := newGate(2)
	assert.Equal(t, g.Open(start, arrival(1, 0)), passthrough.Verdict(passthrough.Deliver{}))
	assert.Assert(t, g.Answered(start, accepting(1, 5000), false))
	g.SetBackend(start, 2, true, 0)
	g.SetZoneOut(true)
	assert.Equal(t, g.Continue(start, data(1, 5001)), passthrough.Verdict(passthrough.Deliver{}))
}

// Guards against more requests than a cold backend server bears, in any second, however they arrive.
func TestGateColdRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		g := passthrough.NewGate(start.Add(-time.Hour))
		g.SetService(route.Service{ColdPerSecond: float64(limit), ColdTime: time.Minute})
		g.SetBackend(start, 500, false, time.Minute)
		now := start
		var delivered []time.Time
		for i := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			if _, ok := g.Open(now, arrival(i, 0)).(passthrough.Deliver); ok {
				delivered = append(delivered, now)
			}
		}
		for i, first := range delivered {
			n := 0
			for _, d := range delivered[i:] {
				if d.Sub(first) < time.Second {
					n++
				}
			}
			if n > limit {
				t.Fatalf("%d requests within a second after %s, limit %d", n, first.Sub(start), limit)
			}
		}
	})
}

// Guards against an agent without a backend server that gets all flows because it has no load.
func TestGateAbsentBackend(t *testing.T) {
	g := passthrough.NewGate(start)
	assert.Equal(t, g.Open(start, arrival(1, 0)), passthrough.Verdict(passthrough.Deliver{}))
	assert.Equal(t, g.Open(start, arrival(2, 0, address(2))), passthrough.Verdict(passthrough.PassOn{Reason: passthrough.ReasonAbsent}))
	assert.Equal(t, g.Returned(start, opening(1, 0)), passthrough.Verdict(passthrough.PassOn{Reason: passthrough.ReasonReturned}))
	assert.Assert(t, !g.Load(start).Opens)
	later := start.Add(100 * time.Millisecond)
	assert.Equal(t, g.Open(later, arrival(3, 0, address(2))), passthrough.Verdict(passthrough.PassOn{Reason: passthrough.ReasonAbsent}))
	g.SetBackend(later, 2, false, 0)
	assert.Assert(t, g.Load(later).Opens)
	assert.Equal(t, g.Open(later, arrival(3, 0, address(2))), passthrough.Verdict(passthrough.Deliver{}))
}

// Guards against flows that wait at a backend server that has died without a word.
func TestGateSilentBackend(t *testing.T) {
	g := newGate(2)
	assert.Equal(t, g.Open(start, arrival(1, 0)), passthrough.Verdict(passthrough.Deliver{}))
	later := start.Add(150 * time.Millisecond)
	assert.Assert(t, !g.Load(later).Opens)
	assert.Equal(t, g.Open(later, arrival(2, 0, address(2))), passthrough.Verdict(passthrough.PassOn{Reason: passthrough.ReasonAbsent}))
	trial := start.Add(300 * time.Millisecond)
	assert.Equal(t, g.Open(trial, arrival(3, 0, address(2))), passthrough.Verdict(passthrough.Deliver{}))
	g.Answered(trial, accepting(3, 1), false)
	assert.Assert(t, g.Load(trial).Opens)
}

// Guards against a caller's packet at a backend server that has answered another copy of its opening packet.
func TestGateFollowsTheAnsweredCopy(t *testing.T) {
	const own, other = 5000, 3_000_000_000
	g := newGate(2)
	g.Open(start, arrival(1, 0))
	g.Answered(start, accepting(1, own), false)
	assert.Equal(t, g.Continue(start, data(1, other+1)), passthrough.Verdict(passthrough.Unknown{}))
	g.Own(start, flowOf(1), address(2), other)
	assert.Equal(t, g.Continue(start, data(1, other+1)), passthrough.Verdict(passthrough.Forward{Owner: address(2)}))
	assert.Equal(t, g.Continue(start, data(1, own+1)), passthrough.Verdict(passthrough.Deliver{}))
}

// Guards against a directory that forgets the first of two backend servers that have answered one caller.
func TestGateRemembersTwoOwners(t *testing.T) {
	g := newGate(2)
	g.Own(start, flowOf(1), address(2), 1000)
	g.Own(start, flowOf(1), address(3), 2_000_000_000)
	assert.Equal(t, g.Continue(start, data(1, 1001)), passthrough.Verdict(passthrough.Forward{Owner: address(2)}))
	assert.Equal(t, g.Continue(start, data(1, 2_000_000_001)), passthrough.Verdict(passthrough.Forward{Owner: address(3)}))
}

// Guards against open flows that an agent breaks, or offers to its backend server again and again, after a restart.
func TestGateAfterRestart(t *testing.T) {
	g := passthrough.NewGate(start)
	assert.Equal(t, g.Continue(start, data(1, 77)), passthrough.Verdict(passthrough.Deliver{}))
	assert.Equal(t, g.Returned(start, data(1, 77)), passthrough.Verdict(passthrough.Unknown{}))
	assert.Equal(t, g.Continue(start, data(1, 77)), passthrough.Verdict(passthrough.Unknown{}))

	assert.Equal(t, g.Continue(start, data(2, 77)), passthrough.Verdict(passthrough.Deliver{}))
	g.Answered(start, answer(2), false)
	assert.Equal(t, g.Continue(start, data(2, 78)), passthrough.Verdict(passthrough.Deliver{}))
}

// Guards against a reset of a flow that another backend server holds: only the owner's loss ends a flow.
func TestGateReturnedData(t *testing.T) {
	g := newGate(2)
	g.Open(start, arrival(1, 0))
	g.Answered(start, accepting(1, 5000), false)
	assert.Equal(t, g.Returned(start, data(1, 3_000_000_000)), passthrough.Verdict(passthrough.Unknown{}))
	g = newGate(2)
	g.Open(start, arrival(1, 0))
	g.Answered(start, accepting(1, 5000), false)
	g.Answered(start, answer(1), false)
	assert.Equal(t, g.Returned(start, data(1, 5001)), passthrough.Verdict(passthrough.Refuse{Reason: passthrough.ReasonReturned}))
}

// Guards against a reset of a flow that is open at another backend server, whose sequence numbers happen to be near:
// the soak's seed 47.
func TestGateReturnedDataOfFlowNeverOpen(t *testing.T) {
	g := newGate(2)
	g.Open(start, arrival(1, 0))
	g.Answered(start, accepting(1, 5000), false)
	assert.Equal(t, g.Returned(start, data(1, 9000)), passthrough.Verdict(passthrough.Unknown{}))
}

// Guards against more requests in progress than a backend server queues, and against waiting while another agent is free.
func TestGateBusy(t *testing.T) {
	g := newGate(2)
	n := 0
	for ; ; n++ {
		if _, ok := g.Open(start, arrival(n, 0, address(2))).(passthrough.Deliver); !ok {
			break
		}
	}
	assert.Equal(t, n, 6)
	assert.Equal(t, g.Open(start, arrival(100, 0, address(2))), passthrough.Verdict(passthrough.PassOn{Reason: passthrough.ReasonBusy}))
	assert.Equal(t, g.Open(start, arrival(101, 0)), passthrough.Verdict(passthrough.Hold{}))
	deliver, passOn := g.Due(start)
	assert.Equal(t, len(deliver)+len(passOn), 0)
	g.Answered(start, accepting(0, 1), false)
	g.Answered(start, answer(0), false)
	deliver, _ = g.Due(start)
	assert.Equal(t, len(deliver), 1)
	assert.Equal(t, deliver[0].Segment.Flow(), flowOf(101))
}

// Guards against held packets that are forgotten when their backend server leaves.
func TestGateHandsHeldPacketsOn(t *testing.T) {
	g := newGate(1)
	for i := range 4 {
		g.Open(start, arrival(i, 0))
	}
	for i := 10; i < 13; i++ {
		assert.Equal(t, g.Open(start, arrival(i, 1, address(2))), passthrough.Verdict(passthrough.Hold{}))
	}
	g.SetBackend(start, 1, true, 0)
	deliver, passOn := g.Due(start)
	assert.Equal(t, len(deliver), 0)
	assert.Equal(t, len(passOn), 3)
}

// Guards against flows to a backend server that fails requests while its health check is good, and against one that
// is never tried again.
func TestGateReportsFailures(t *testing.T) {
	for name, end := range map[string]func(g *passthrough.Gate, now time.Time, i int){
		"errors": func(g *passthrough.Gate, now time.Time, i int) { g.Answered(now, answer(i), true) },
		"resets": func(g *passthrough.Gate, now time.Time, i int) {
			g.Answered(now, passthrough.NewSegment(flowOf(i), passthrough.FlagReset, 1, 1, 0), false)
		},
		"hangs": func(*passthrough.Gate, time.Time, int) {},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate(50)
			for i := range 20 {
				g.Open(start, arrival(i, 0))
				g.Answered(start, accepting(i, 1), false)
				g.Continue(start, data(i, 2))
				if i%2 == 0 {
					g.Answered(start, answer(i), false)
				} else {
					end(g, start, i)
				}
			}
			now := start.Add(time.Second)
			failing := g.Load(now).Failing
			assert.Assert(t, failing >= 30 && failing <= 50, "%d%%", failing)
			assert.Assert(t, g.Load(now.Add(time.Minute)).Failing == 0)
		})
	}
}

// Guards against new flows at a cold backend server while nobody knows how much it bears.
func TestGateProvisionalCold(t *testing.T) {
	g := passthrough.NewGate(start)
	g.SetBackend(start, 2, false, time.Second)
	for _, c := range []struct {
		after       time.Duration
		provisional bool
		want        passthrough.Verdict
	}{
		{0, true, passthrough.PassOn{Reason: passthrough.ReasonCold}},
		{0, false, passthrough.Deliver{}},
		{2 * time.Second, true, passthrough.Deliver{}},
	} {
		a := passthrough.Arrival{Segment: opening(int(c.after)+1, 0), Provisional: c.provisional}
		assert.Equal(t, g.Open(start.Add(c.after), a), c.want)
	}
}
