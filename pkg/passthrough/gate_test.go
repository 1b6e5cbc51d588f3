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

func arrival(i, copies int, path ...netip.AddrPort) passthrough.OpeningPacket {
	a := passthrough.OpeningPacket{Segment: opening(i, copies), Packet: []byte{byte(i)}}
	for _, p := range path {
		a.Path.Add(p)
	}
	return a
}

// newGate returns the gate of an agent whose backend server is there.
func newGate(slots int) *passthrough.Admitter {
	g := passthrough.NewAdmitter(start.Add(-time.Hour))
	g.SetBackendState(start, slots, false, 0)
	return g
}

// Guards against new flows at a backend server that leaves or whose zone is out.
func TestGateClosed(t *testing.T) {
	for name, c := range map[string]struct {
		set  func(g *passthrough.Admitter)
		want passthrough.Decision
	}{
		"draining":     {func(g *passthrough.Admitter) { g.SetBackendState(start, 2, true, 0) }, passthrough.PassOn{Reason: passthrough.ReasonDraining}},
		"left":         {func(g *passthrough.Admitter) { g.SetDraining() }, passthrough.PassOn{Reason: passthrough.ReasonDraining}},
		"zone out":     {func(g *passthrough.Admitter) { g.SetZoneOut(true) }, passthrough.PassOn{Reason: passthrough.ReasonZoneOut}},
		"in service":   {func(*passthrough.Admitter) {}, passthrough.Deliver{}},
		"zone is back": {func(g *passthrough.Admitter) { g.SetZoneOut(true); g.SetZoneOut(false) }, passthrough.Deliver{}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate(2)
			c.set(g)
			assert.Equal(t, g.OnOpeningPacket(start, arrival(1, 0, address(2))), c.want)
			_, delivers := c.want.(passthrough.Deliver)
			assert.Equal(t, g.Load(start).AcceptsFlows, delivers)
		})
	}
}

// Guards against cutting off flows that are open when their backend server begins to leave.
func TestGateKeepsOpenFlowsWhenClosed(t *testing.T) {
	g := newGate(2)
	assert.Equal(t, g.OnOpeningPacket(start, arrival(1, 0)), passthrough.Decision(passthrough.Deliver{}))
	assert.Assert(t, g.OnServerPacket(start, accepting(1, 5000), false))
	g.SetBackendState(start, 2, true, 0)
	g.SetZoneOut(true)
	assert.Equal(t, g.OnEstablishedPacket(start, data(1, 5001)), passthrough.Decision(passthrough.Deliver{}))
}

// Guards against more requests than a cold backend server bears, in any second, however they arrive.
func TestGateColdRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		g := passthrough.NewAdmitter(start.Add(-time.Hour))
		g.SetServiceLimits(route.ServiceLimits{ColdRequestsPerSecond: float64(limit), ColdPeriod: time.Minute})
		g.SetBackendState(start, 500, false, time.Minute)
		now := start
		var delivered []time.Time
		for i := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			if _, ok := g.OnOpeningPacket(now, arrival(i, 0)).(passthrough.Deliver); ok {
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
	g := passthrough.NewAdmitter(start)
	assert.Equal(t, g.OnOpeningPacket(start, arrival(1, 0)), passthrough.Decision(passthrough.Deliver{}))
	assert.Equal(t, g.OnOpeningPacket(start, arrival(2, 0, address(2))), passthrough.Decision(passthrough.PassOn{Reason: passthrough.ReasonAbsent}))
	assert.Equal(t, g.OnRejected(start, opening(1, 0)), passthrough.Decision(passthrough.PassOn{Reason: passthrough.ReasonRejected}))
	assert.Assert(t, !g.Load(start).AcceptsFlows)
	later := start.Add(100 * time.Millisecond)
	assert.Equal(t, g.OnOpeningPacket(later, arrival(3, 0, address(2))), passthrough.Decision(passthrough.PassOn{Reason: passthrough.ReasonAbsent}))
	g.SetBackendState(later, 2, false, 0)
	assert.Assert(t, g.Load(later).AcceptsFlows)
	assert.Equal(t, g.OnOpeningPacket(later, arrival(3, 0, address(2))), passthrough.Decision(passthrough.Deliver{}))
}

// Guards against flows that wait at a backend server that has died without a word.
func TestGateSilentBackend(t *testing.T) {
	g := newGate(2)
	assert.Equal(t, g.OnOpeningPacket(start, arrival(1, 0)), passthrough.Decision(passthrough.Deliver{}))
	later := start.Add(150 * time.Millisecond)
	assert.Assert(t, !g.Load(later).AcceptsFlows)
	assert.Equal(t, g.OnOpeningPacket(later, arrival(2, 0, address(2))), passthrough.Decision(passthrough.PassOn{Reason: passthrough.ReasonAbsent}))
	trial := start.Add(300 * time.Millisecond)
	assert.Equal(t, g.OnOpeningPacket(trial, arrival(3, 0, address(2))), passthrough.Decision(passthrough.Deliver{}))
	g.OnServerPacket(trial, accepting(3, 1), false)
	assert.Assert(t, g.Load(trial).AcceptsFlows)
}

// Guards against a caller's packet at a backend server that has answered another copy of its opening packet.
func TestGateFollowsTheAnsweredCopy(t *testing.T) {
	const own, other = 5000, 3_000_000_000
	g := newGate(2)
	g.OnOpeningPacket(start, arrival(1, 0))
	g.OnServerPacket(start, accepting(1, own), false)
	assert.Equal(t, g.OnEstablishedPacket(start, data(1, other+1)), passthrough.Decision(passthrough.UnknownFlow{}))
	g.SetOwner(start, flowOf(1), address(2), other)
	assert.Equal(t, g.OnEstablishedPacket(start, data(1, other+1)), passthrough.Decision(passthrough.Forward{Owner: address(2)}))
	assert.Equal(t, g.OnEstablishedPacket(start, data(1, own+1)), passthrough.Decision(passthrough.Deliver{}))
}

// Guards against a directory that forgets the first of two backend servers that have answered one caller.
func TestGateRemembersTwoOwners(t *testing.T) {
	g := newGate(2)
	g.SetOwner(start, flowOf(1), address(2), 1000)
	g.SetOwner(start, flowOf(1), address(3), 2_000_000_000)
	assert.Equal(t, g.OnEstablishedPacket(start, data(1, 1001)), passthrough.Decision(passthrough.Forward{Owner: address(2)}))
	assert.Equal(t, g.OnEstablishedPacket(start, data(1, 2_000_000_001)), passthrough.Decision(passthrough.Forward{Owner: address(3)}))
}

// Guards against open flows that an agent breaks, or offers to its backend server again and again, after a restart.
func TestGateAfterRestart(t *testing.T) {
	g := passthrough.NewAdmitter(start)
	assert.Equal(t, g.OnEstablishedPacket(start, data(1, 77)), passthrough.Decision(passthrough.Deliver{}))
	assert.Equal(t, g.OnRejected(start, data(1, 77)), passthrough.Decision(passthrough.UnknownFlow{}))
	assert.Equal(t, g.OnEstablishedPacket(start, data(1, 77)), passthrough.Decision(passthrough.UnknownFlow{}))

	assert.Equal(t, g.OnEstablishedPacket(start, data(2, 77)), passthrough.Decision(passthrough.Deliver{}))
	g.OnServerPacket(start, answer(2), false)
	assert.Equal(t, g.OnEstablishedPacket(start, data(2, 78)), passthrough.Decision(passthrough.Deliver{}))
}

// Guards against a reset of a flow that another backend server holds: only the owner's loss ends a flow.
func TestGateReturnedData(t *testing.T) {
	g := newGate(2)
	g.OnOpeningPacket(start, arrival(1, 0))
	g.OnServerPacket(start, accepting(1, 5000), false)
	assert.Equal(t, g.OnRejected(start, data(1, 3_000_000_000)), passthrough.Decision(passthrough.UnknownFlow{}))
	g = newGate(2)
	g.OnOpeningPacket(start, arrival(1, 0))
	g.OnServerPacket(start, accepting(1, 5000), false)
	g.OnServerPacket(start, answer(1), false)
	assert.Equal(t, g.OnRejected(start, data(1, 5001)), passthrough.Decision(passthrough.Refuse{Reason: passthrough.ReasonRejected}))
}

// Guards against a reset of a flow that is open at another backend server, whose sequence numbers happen to be near:
// the soak's seed 47.
func TestGateReturnedDataOfFlowNeverOpen(t *testing.T) {
	g := newGate(2)
	g.OnOpeningPacket(start, arrival(1, 0))
	g.OnServerPacket(start, accepting(1, 5000), false)
	assert.Equal(t, g.OnRejected(start, data(1, 9000)), passthrough.Decision(passthrough.UnknownFlow{}))
}

// Guards against more requests in progress than a backend server queues, and against waiting while another agent is free.
func TestGateBusy(t *testing.T) {
	g := newGate(2)
	n := 0
	for ; ; n++ {
		if _, ok := g.OnOpeningPacket(start, arrival(n, 0, address(2))).(passthrough.Deliver); !ok {
			break
		}
	}
	assert.Equal(t, n, 6)
	assert.Equal(t, g.OnOpeningPacket(start, arrival(100, 0, address(2))), passthrough.Decision(passthrough.PassOn{Reason: passthrough.ReasonBusy}))
	assert.Equal(t, g.OnOpeningPacket(start, arrival(101, 0)), passthrough.Decision(passthrough.Queued{}))
	deliver, passOn := g.Dequeue(start)
	assert.Equal(t, len(deliver)+len(passOn), 0)
	g.OnServerPacket(start, accepting(0, 1), false)
	g.OnServerPacket(start, answer(0), false)
	deliver, _ = g.Dequeue(start)
	assert.Equal(t, len(deliver), 1)
	assert.Equal(t, deliver[0].Segment.Flow(), flowOf(101))
}

// Guards against held packets that are forgotten when their backend server leaves.
func TestGateHandsHeldPacketsOn(t *testing.T) {
	g := newGate(1)
	for i := range 4 {
		g.OnOpeningPacket(start, arrival(i, 0))
	}
	for i := 10; i < 13; i++ {
		assert.Equal(t, g.OnOpeningPacket(start, arrival(i, 1, address(2))), passthrough.Decision(passthrough.Queued{}))
	}
	g.SetBackendState(start, 1, true, 0)
	deliver, passOn := g.Dequeue(start)
	assert.Equal(t, len(deliver), 0)
	assert.Equal(t, len(passOn), 3)
}

// Guards against flows to a backend server that fails requests while its health check is good, and against one that
// is never tried again.
func TestGateReportsFailures(t *testing.T) {
	for name, end := range map[string]func(g *passthrough.Admitter, now time.Time, i int){
		"errors": func(g *passthrough.Admitter, now time.Time, i int) { g.OnServerPacket(now, answer(i), true) },
		"resets": func(g *passthrough.Admitter, now time.Time, i int) {
			g.OnServerPacket(now, passthrough.NewSegment(flowOf(i), passthrough.FlagReset, 1, 1, 0), false)
		},
		"hangs": func(*passthrough.Admitter, time.Time, int) {},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate(50)
			for i := range 20 {
				g.OnOpeningPacket(start, arrival(i, 0))
				g.OnServerPacket(start, accepting(i, 1), false)
				g.OnEstablishedPacket(start, data(i, 2))
				if i%2 == 0 {
					g.OnServerPacket(start, answer(i), false)
				} else {
					end(g, start, i)
				}
			}
			now := start.Add(time.Second)
			failing := g.Load(now).FailurePercent
			assert.Assert(t, failing >= 30 && failing <= 50, "%d%%", failing)
			assert.Assert(t, g.Load(now.Add(time.Minute)).FailurePercent == 0)
		})
	}
}

// Guards against new flows at a cold backend server while nobody knows how much it bears.
func TestGateProvisionalCold(t *testing.T) {
	g := passthrough.NewAdmitter(start)
	g.SetBackendState(start, 2, false, time.Second)
	for _, c := range []struct {
		after       time.Duration
		provisional bool
		want        passthrough.Decision
	}{
		{0, true, passthrough.PassOn{Reason: passthrough.ReasonCold}},
		{0, false, passthrough.Deliver{}},
		{2 * time.Second, true, passthrough.Deliver{}},
	} {
		a := passthrough.OpeningPacket{Segment: opening(int(c.after)+1, 0), Unconfigured: c.provisional}
		assert.Equal(t, g.OnOpeningPacket(start.Add(c.after), a), c.want)
	}
}
