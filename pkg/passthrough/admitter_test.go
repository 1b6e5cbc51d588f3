package passthrough_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
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

func openingSegment(i, retransmissions int) passthrough.Segment {
	return passthrough.NewSegment(flowOf(i), passthrough.FlagOpen, 1, uint32(retransmissions), 0)
}

func acceptSegment(i int, isn uint32) passthrough.Segment {
	return passthrough.NewSegment(flowOf(i), passthrough.FlagOpen|passthrough.FlagAck, isn, 2, 0)
}

func requestSegment(i int, ack uint32) passthrough.Segment {
	return passthrough.NewSegment(flowOf(i), passthrough.FlagAck, 2, ack, 100)
}

func responseSegment(i int) passthrough.Segment {
	return passthrough.NewSegment(flowOf(i), passthrough.FlagAck, 100, 102, 500)
}

func openingPacket(i, retransmissions int, path ...netip.AddrPort) passthrough.OpeningPacket {
	p := passthrough.OpeningPacket{Segment: openingSegment(i, retransmissions), Packet: []byte{byte(i)}}
	for _, a := range path {
		p.Path.Add(a)
	}
	return p
}

// newAdmitter returns the admitter of an agent whose backend server has been seen.
func newAdmitter(slots int) *passthrough.Admitter {
	ad := passthrough.NewAdmitter(start.Add(-time.Hour))
	ad.SetBackendState(start, slots, false, 0)
	return ad
}

// Guards against new flows at a backend server that is draining or whose zone is out of service.
func TestAdmitterOutOfService(t *testing.T) {
	for name, c := range map[string]struct {
		set  func(ad *passthrough.Admitter)
		want passthrough.Decision
	}{
		"draining":     {func(ad *passthrough.Admitter) { ad.SetBackendState(start, 2, true, 0) }, passthrough.PassOn{Reason: passthrough.ReasonDraining}},
		"left":         {func(ad *passthrough.Admitter) { ad.SetDraining() }, passthrough.PassOn{Reason: passthrough.ReasonDraining}},
		"zone out":     {func(ad *passthrough.Admitter) { ad.SetZoneOut(true) }, passthrough.PassOn{Reason: passthrough.ReasonZoneOut}},
		"in service":   {func(*passthrough.Admitter) {}, passthrough.Deliver{}},
		"zone is back": {func(ad *passthrough.Admitter) { ad.SetZoneOut(true); ad.SetZoneOut(false) }, passthrough.Deliver{}},
	} {
		t.Run(name, func(t *testing.T) {
			ad := newAdmitter(2)
			c.set(ad)
			assert.Equal(t, ad.OnOpeningPacket(start, openingPacket(1, 0, address(2))), c.want)
			_, delivers := c.want.(passthrough.Deliver)
			assert.Equal(t, ad.Load(start).AcceptsFlows, delivers)
		})
	}
}

// Guards against broken flows that were open when their backend server started to drain.
func TestAdmitterKeepsOpenFlows(t *testing.T) {
	ad := newAdmitter(2)
	assert.Equal(t, ad.OnOpeningPacket(start, openingPacket(1, 0)), passthrough.Decision(passthrough.Deliver{}))
	assert.Assert(t, ad.OnServerPacket(start, acceptSegment(1, 5000), false))
	ad.SetBackendState(start, 2, true, 0)
	ad.SetZoneOut(true)
	assert.Equal(t, ad.OnEstablishedPacket(start, requestSegment(1, 5001), true), passthrough.Decision(passthrough.Deliver{}))
}

// Guards against more requests in any second than a cold backend server can process, however they arrive.
func TestAdmitterColdRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		ad := passthrough.NewAdmitter(start.Add(-time.Hour))
		ad.SetServiceLimits(route.ServiceLimits{ColdRequestsPerSecond: float64(limit), ColdPeriod: time.Minute})
		ad.SetBackendState(start, 500, false, time.Minute)
		now := start
		var delivered []time.Time
		for i := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			if _, ok := ad.OnOpeningPacket(now, openingPacket(i, 0)).(passthrough.Deliver); ok {
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

// Guards against a queued packet whose way to another agent is logged and counted as that of a busy backend server,
// although the backend server drains or its zone was taken out.
func TestDequeueTellsReason(t *testing.T) {
	for want, closeAgent := range map[passthrough.Reason]func(ad *passthrough.Admitter){
		passthrough.ReasonDraining: func(ad *passthrough.Admitter) { ad.SetDraining() },
		passthrough.ReasonZoneOut:  func(ad *passthrough.Admitter) { ad.SetZoneOut(true) },
	} {
		ad := newAdmitter(1)
		for i := range 6 {
			ad.OnOpeningPacket(start, openingPacket(i, 0))
		}
		closeAgent(ad)
		_, passOn := ad.Dequeue(start)
		assert.Assert(t, len(passOn) > 0)
		for _, p := range passOn {
			assert.Equal(t, p.Reason, want)
		}
	}
}

// Guards against callers that lose the next request on a flow that was open when its backend server ended, and against
// resets of flows that have ended or that the next run of the backend server accepts.
func TestAdmitterBackendGone(t *testing.T) {
	ad := newAdmitter(4)
	for i := 1; i <= 3; i++ {
		ad.OnOpeningPacket(start, openingPacket(i, 0))
		ad.OnServerPacket(start, acceptSegment(i, 5000), false)
	}
	ad.OnServerPacket(start, passthrough.NewSegment(flowOf(2), passthrough.FlagAck|passthrough.FlagFinish, 5001, 2, 0), false)
	now := start.Add(time.Second)
	ad.OnServerPacket(now, passthrough.NewSegment(flowOf(1), passthrough.FlagAck, 5001, 2, 300), false)
	open := ad.SetBackendGone(now, 500*time.Millisecond)
	assert.DeepEqual(t, open, []passthrough.OpenFlow{{Flow: flowOf(1), Seq: 5301}}, cmp.Comparer(func(a, b passthrough.FlowID) bool { return a == b }))
	assert.Equal(t, ad.OnEstablishedPacket(now, requestSegment(1, 5301), true), passthrough.Decision(passthrough.Refuse{Reason: passthrough.ReasonAbsent}))
	assert.Equal(t, ad.OnSearchedPacket(now, requestSegment(1, 5301), true), passthrough.Decision(passthrough.Deny{}))
	ad.SetBackendState(now, 4, false, 0)
	assert.Equal(t, ad.OnOpeningPacket(now, openingPacket(4, 0)), passthrough.Decision(passthrough.Deliver{}))
	ad.OnServerPacket(now, acceptSegment(4, 9000), false)
	assert.Equal(t, ad.OnEstablishedPacket(now, requestSegment(4, 9001), true), passthrough.Decision(passthrough.Deliver{}))
}

// Guards against a denial of a flow that the backend server may hold, which could break the flow, and against packets
// at a backend server of another service.
func TestAdmitterSearchedPacket(t *testing.T) {
	early, late := start.Add(time.Second), start.Add(2*time.Minute)
	restarted := func() *passthrough.Admitter { return passthrough.NewAdmitter(start) }
	deny, uncertain, deliver := passthrough.Decision(passthrough.Deny{}), passthrough.Decision(passthrough.UnknownFlow{}), passthrough.Decision(passthrough.Deliver{})

	ad := restarted()
	assert.Equal(t, ad.OnSearchedPacket(early, requestSegment(1, 77), false), uncertain, "another service")
	assert.Equal(t, ad.OnSearchedPacket(early, requestSegment(1, 77), true), deliver, "a trial")
	assert.Equal(t, ad.OnSearchedPacket(early, requestSegment(1, 77), true), uncertain, "the trial is not answered")
	ad.OnRejected(early, requestSegment(1, 77))
	assert.Equal(t, ad.OnSearchedPacket(early, requestSegment(1, 77), true), deny, "the backend server rejected the trial")
	assert.Equal(t, ad.OnSearchedPacket(late, requestSegment(2, 77), true), deny, "a flow cannot be as old as the agent")

	ad = restarted()
	ad.SetFlowTTL(5 * time.Minute)
	assert.Equal(t, ad.OnSearchedPacket(late, requestSegment(1, 77), false), uncertain, "flows may be older than the agent")

	ad = restarted()
	ad.SetBackendGone(early, 0)
	assert.Equal(t, ad.OnSearchedPacket(early, requestSegment(1, 77), false), deny, "there is no backend server")
	ad.OnServerPacket(early, responseSegment(1), false)
	assert.Equal(t, ad.OnSearchedPacket(early, requestSegment(1, 77), true), deliver, "the backend server has the flow")

	ad = restarted()
	ad.SetNoPreExisting()
	assert.Equal(t, ad.OnSearchedPacket(early, requestSegment(1, 77), false), deny, "the backend server started with the agent")
	ad.SetBackendState(early, 2, false, 0)
	ad.OnOpeningPacket(early, openingPacket(1, 0))
	assert.Equal(t, ad.OnSearchedPacket(early, requestSegment(1, 77), true), uncertain, "the opening packet is not answered")
	ad.OnServerPacket(early, acceptSegment(1, 76), false)
	assert.Equal(t, ad.OnSearchedPacket(early, requestSegment(1, 77), true), deliver)
	ad.Sweep(early.Add(50*time.Second), time.Second)
	assert.Equal(t, ad.OnSearchedPacket(early.Add(50*time.Second), requestSegment(1, 77), true), deliver, "a flow may be idle for longer than the timeout")
}

// Guards against an agent without a backend server that gets all flows because it reports no load.
func TestAdmitterAbsentBackend(t *testing.T) {
	ad := passthrough.NewAdmitter(start)
	ad.SetServiceLimits(route.ServiceLimits{})
	assert.Equal(t, ad.OnOpeningPacket(start, openingPacket(1, 0)), passthrough.Decision(passthrough.Deliver{}))
	assert.Equal(t, ad.OnOpeningPacket(start, openingPacket(2, 0, address(2))), passthrough.Decision(passthrough.PassOn{Reason: passthrough.ReasonAbsent}))
	assert.Equal(t, ad.OnRejected(start, openingSegment(1, 0)), passthrough.Decision(passthrough.PassOn{Reason: passthrough.ReasonRejected}))
	assert.Assert(t, !ad.Load(start).AcceptsFlows)
	later := start.Add(100 * time.Millisecond)
	assert.Equal(t, ad.OnOpeningPacket(later, openingPacket(3, 0, address(2))), passthrough.Decision(passthrough.PassOn{Reason: passthrough.ReasonAbsent}))
	ad.SetBackendState(later, 2, false, 0)
	assert.Assert(t, ad.Load(later).AcceptsFlows)
	assert.Equal(t, ad.OnOpeningPacket(later, openingPacket(3, 0, address(2))), passthrough.Decision(passthrough.Deliver{}))
}

// Guards against flows that wait at a backend server that has stopped without draining.
func TestAdmitterSilentBackend(t *testing.T) {
	ad := newAdmitter(2)
	assert.Equal(t, ad.OnOpeningPacket(start, openingPacket(1, 0)), passthrough.Decision(passthrough.Deliver{}))
	later := start.Add(150 * time.Millisecond)
	assert.Assert(t, !ad.Load(later).AcceptsFlows)
	assert.Equal(t, ad.OnOpeningPacket(later, openingPacket(2, 0, address(2))), passthrough.Decision(passthrough.PassOn{Reason: passthrough.ReasonAbsent}))
	trial := start.Add(300 * time.Millisecond)
	assert.Equal(t, ad.OnOpeningPacket(trial, openingPacket(3, 0, address(2))), passthrough.Decision(passthrough.Deliver{}))
	ad.OnServerPacket(trial, acceptSegment(3, 1), false)
	assert.Assert(t, ad.Load(trial).AcceptsFlows)
}

// Guards against a caller's packet that goes to the wrong one of two backend servers that answered the same opening
// packet.
func TestAdmitterForwardsByAcknowledgement(t *testing.T) {
	const own, other = 5000, 3_000_000_000
	ad := newAdmitter(2)
	ad.OnOpeningPacket(start, openingPacket(1, 0))
	ad.OnServerPacket(start, acceptSegment(1, own), false)
	assert.Equal(t, ad.OnEstablishedPacket(start, requestSegment(1, other+1), true), passthrough.Decision(passthrough.UnknownFlow{}))
	ad.SetOwner(start, flowOf(1), address(2), other)
	assert.Equal(t, ad.OnEstablishedPacket(start, requestSegment(1, other+1), true), passthrough.Decision(passthrough.Forward{Owner: address(2)}))
	assert.Equal(t, ad.OnEstablishedPacket(start, requestSegment(1, own+1), true), passthrough.Decision(passthrough.Deliver{}))
}

// Guards against a directory agent that loses the first of two backend servers that answered one caller.
func TestAdmitterTwoOwners(t *testing.T) {
	ad := newAdmitter(2)
	ad.SetOwner(start, flowOf(1), address(2), 1000)
	ad.SetOwner(start, flowOf(1), address(3), 2_000_000_000)
	assert.Equal(t, ad.OnEstablishedPacket(start, requestSegment(1, 1001), true), passthrough.Decision(passthrough.Forward{Owner: address(2)}))
	assert.Equal(t, ad.OnEstablishedPacket(start, requestSegment(1, 2_000_000_001), true), passthrough.Decision(passthrough.Forward{Owner: address(3)}))
}

// Guards against an agent that breaks open flows after a restart, or keeps delivering packets of a flow that its
// backend server has rejected.
func TestAdmitterAfterRestart(t *testing.T) {
	ad := passthrough.NewAdmitter(start)
	assert.Equal(t, ad.OnEstablishedPacket(start, requestSegment(1, 77), true), passthrough.Decision(passthrough.Deliver{}))
	assert.Equal(t, ad.OnRejected(start, requestSegment(1, 77)), passthrough.Decision(passthrough.UnknownFlow{}))
	assert.Equal(t, ad.OnEstablishedPacket(start, requestSegment(1, 77), true), passthrough.Decision(passthrough.UnknownFlow{}))

	assert.Equal(t, ad.OnEstablishedPacket(start, requestSegment(2, 77), true), passthrough.Decision(passthrough.Deliver{}))
	ad.OnServerPacket(start, responseSegment(2), false)
	assert.Equal(t, ad.OnEstablishedPacket(start, requestSegment(2, 78), true), passthrough.Decision(passthrough.Deliver{}))
}

// Guards against a reset of a flow that another backend server owns. A flow ends only if its owner rejects it.
func TestAdmitterRejectedData(t *testing.T) {
	ad := newAdmitter(2)
	ad.OnOpeningPacket(start, openingPacket(1, 0))
	ad.OnServerPacket(start, acceptSegment(1, 5000), false)
	assert.Equal(t, ad.OnRejected(start, requestSegment(1, 3_000_000_000)), passthrough.Decision(passthrough.UnknownFlow{}))
	ad = newAdmitter(2)
	ad.OnOpeningPacket(start, openingPacket(1, 0))
	ad.OnServerPacket(start, acceptSegment(1, 5000), false)
	ad.OnServerPacket(start, responseSegment(1), false)
	assert.Equal(t, ad.OnRejected(start, requestSegment(1, 5001)), passthrough.Decision(passthrough.Refuse{Reason: passthrough.ReasonRejected}))
}

// Guards against a reset of a flow that is open at another backend server with similar sequence numbers, as in seed 47
// of the soak test.
func TestAdmitterRejectedDataBeforeEstablished(t *testing.T) {
	ad := newAdmitter(2)
	ad.OnOpeningPacket(start, openingPacket(1, 0))
	ad.OnServerPacket(start, acceptSegment(1, 5000), false)
	assert.Equal(t, ad.OnRejected(start, requestSegment(1, 9000)), passthrough.Decision(passthrough.UnknownFlow{}))
}

// Guards against a reset of an open flow after its backend server, which is full meanwhile, has rejected a copy of the
// opening packet: the agent forgot the flow and denied it, as on a day with a burst.
func TestAdmitterRejectedCopyOfOpening(t *testing.T) {
	ad := newAdmitter(2)
	ad.SetNoPreExisting()
	ad.OnOpeningPacket(start, openingPacket(1, 0, address(2)))
	ad.OnServerPacket(start, acceptSegment(1, 5000), false)
	later := start.Add(200 * time.Millisecond)
	assert.Equal(t, ad.OnOpeningPacket(later, openingPacket(1, 1, address(2))), passthrough.Decision(passthrough.Deliver{}))
	assert.Equal(t, ad.OnRejected(later, openingSegment(1, 1)), passthrough.Decision(passthrough.Drop{}))
	assert.Equal(t, ad.OnSearchedPacket(later, requestSegment(1, 5001), true), passthrough.Decision(passthrough.Deliver{}))
	assert.Equal(t, ad.OnEstablishedPacket(later, requestSegment(1, 5001), true), passthrough.Decision(passthrough.Deliver{}))

	late := start.Add(time.Second) // Another agent held the first copy.
	assert.Equal(t, ad.OnOpeningPacket(late, openingPacket(1, 0, address(2))), passthrough.Decision(passthrough.Deliver{}))
	assert.Equal(t, ad.OnEstablishedPacket(late, requestSegment(1, 5001), true), passthrough.Decision(passthrough.Deliver{}))

	again := start.Add(20 * time.Second) // The caller uses the port again, and the backend server is full.
	ad.OnOpeningPacket(again, openingPacket(1, 0, address(2)))
	assert.Equal(t, ad.OnRejected(again, openingSegment(1, 0)), passthrough.Decision(passthrough.PassOn{Reason: passthrough.ReasonRejected}))
}

// Guards against a queued copy of an opening packet that is passed on after a later copy has opened the flow: the agent
// would forget the flow.
func TestAdmitterQueuedCopyOfOpening(t *testing.T) {
	ad := newAdmitter(1)
	for i := range 4 {
		ad.OnOpeningPacket(start, openingPacket(i, 0))
		ad.OnServerPacket(start, acceptSegment(i, 1), false)
	}
	assert.Equal(t, ad.OnOpeningPacket(start, openingPacket(9, 0)), passthrough.Decision(passthrough.Queued{}))
	later := start.Add(200 * time.Millisecond) // The others have not sent a request.
	assert.Equal(t, ad.OnOpeningPacket(later, openingPacket(9, 1)), passthrough.Decision(passthrough.Deliver{}))
	ad.SetDraining()
	_, passOn := ad.Dequeue(later)
	assert.Equal(t, len(passOn), 0)
}

// Guards against more requests in progress than a backend server queues, and against queueing while another agent is
// free.
func TestAdmitterBusy(t *testing.T) {
	ad := newAdmitter(2)
	n := 0
	for ; ; n++ {
		if _, ok := ad.OnOpeningPacket(start, openingPacket(n, 0, address(2))).(passthrough.Deliver); !ok {
			break
		}
	}
	assert.Equal(t, n, 6)
	assert.Equal(t, ad.OnOpeningPacket(start, openingPacket(100, 0, address(2))), passthrough.Decision(passthrough.PassOn{Reason: passthrough.ReasonBusy}))
	assert.Equal(t, ad.OnOpeningPacket(start, openingPacket(101, 0)), passthrough.Decision(passthrough.Queued{}))
	deliver, passOn := ad.Dequeue(start)
	assert.Equal(t, len(deliver)+len(passOn), 0)
	ad.OnServerPacket(start, acceptSegment(0, 1), false)
	ad.OnServerPacket(start, responseSegment(0), false)
	deliver, _ = ad.Dequeue(start)
	assert.Equal(t, len(deliver), 1)
	assert.Equal(t, deliver[0].Segment.Flow(), flowOf(101))
}

// Guards against queued packets that are lost when their backend server starts to drain.
func TestAdmitterPassesQueuedPacketsOn(t *testing.T) {
	ad := newAdmitter(1)
	for i := range 4 {
		ad.OnOpeningPacket(start, openingPacket(i, 0))
	}
	for i := 10; i < 13; i++ {
		assert.Equal(t, ad.OnOpeningPacket(start, openingPacket(i, 1, address(2))), passthrough.Decision(passthrough.Queued{}))
	}
	ad.SetBackendState(start, 1, true, 0)
	deliver, passOn := ad.Dequeue(start)
	assert.Equal(t, len(deliver), 0)
	assert.Equal(t, len(passOn), 3)
}

// Guards against flows to a backend server that fails requests while its health check succeeds, and against a failed
// backend server that is never tried again.
func TestAdmitterReportsFailures(t *testing.T) {
	for name, end := range map[string]func(ad *passthrough.Admitter, now time.Time, i int){
		"errors": func(ad *passthrough.Admitter, now time.Time, i int) { ad.OnServerPacket(now, responseSegment(i), true) },
		"resets": func(ad *passthrough.Admitter, now time.Time, i int) {
			ad.OnServerPacket(now, passthrough.NewSegment(flowOf(i), passthrough.FlagReset, 1, 1, 0), false)
		},
		"hangs": func(*passthrough.Admitter, time.Time, int) {},
	} {
		t.Run(name, func(t *testing.T) {
			ad := newAdmitter(50)
			for i := range 20 {
				ad.OnOpeningPacket(start, openingPacket(i, 0))
				ad.OnServerPacket(start, acceptSegment(i, 1), false)
				ad.OnEstablishedPacket(start, requestSegment(i, 2), true)
				if i%2 == 0 {
					ad.OnServerPacket(start, responseSegment(i), false)
				} else {
					end(ad, start, i)
				}
			}
			now := start.Add(time.Second)
			failing := ad.Load(now).FailurePercent
			assert.Assert(t, failing >= 30 && failing <= 50, "%d%%", failing)
			assert.Assert(t, ad.Load(now.Add(time.Minute)).FailurePercent == 0)
		})
	}
}

// Guards against new flows at a cold backend server while its request rate limit is not configured.
func TestAdmitterColdWithoutConfiguration(t *testing.T) {
	ad := passthrough.NewAdmitter(start)
	ad.SetBackendState(start, 2, false, time.Second)
	for _, c := range []struct {
		after        time.Duration
		unconfigured bool
		known        bool
		want         passthrough.Decision
	}{
		{0, true, false, passthrough.PassOn{Reason: passthrough.ReasonCold}},
		{0, false, false, passthrough.Queued{}},
		{2 * time.Second, true, false, passthrough.Deliver{}},
		{0, false, true, passthrough.Deliver{}},
	} {
		if c.known {
			ad.SetServiceLimits(route.ServiceLimits{})
			deliver, _ := ad.Dequeue(start)
			assert.Equal(t, len(deliver), 1, "the packet was held until the configuration was known")
		}
		p := passthrough.OpeningPacket{Segment: openingSegment(int(c.after)+1, 0), Unconfigured: c.unconfigured}
		assert.Equal(t, ad.OnOpeningPacket(start.Add(c.after), p), c.want)
	}
}

// Guards against more requests than a cold backend server bears after its agent was started again, as in case 2 of the
// review: before the next heartbeat the agent does not know that the backend server is cold.
func TestAdmitterRestartedBesideColdBackend(t *testing.T) {
	const limit = 8
	ad := passthrough.NewAdmitter(start)
	assert.Equal(t, ad.OnOpeningPacket(start, openingPacket(0, 0)), passthrough.Decision(passthrough.Queued{}), "the limit is not known yet")
	ad.SetServiceLimits(route.ServiceLimits{ColdRequestsPerSecond: limit, ColdPeriod: time.Minute})
	held, _ := ad.Dequeue(start)
	delivered := func(from, until time.Duration) int {
		n := 0
		for at := from; at < until; at += 20 * time.Millisecond {
			now := start.Add(at)
			i := int(at/time.Millisecond) + 1
			if _, ok := ad.OnOpeningPacket(now, openingPacket(i, 0)).(passthrough.Deliver); ok {
				n++
				ad.OnServerPacket(now, acceptSegment(i, 1), false)
			}
		}
		return n
	}
	first := len(held) + delivered(0, time.Second)
	assert.Assert(t, first > 0 && first <= limit/2, "%d requests in the second after the start", first)
	assert.Assert(t, delivered(time.Second, 2*time.Second) <= limit)
	ad.SetBackendState(start.Add(2*time.Second), 200, false, 0)
	assert.Equal(t, delivered(2*time.Second, 3*time.Second), 50, "a heartbeat shows that it is warm")
}
