package passthrough_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// newPriorityAdmitter returns the admitter of an agent that orders requests and whose backend server has a flow for each
// of the given callers.
func newPriorityAdmitter(slots int, flows ...int) *passthrough.Admitter {
	ad := passthrough.NewAdmitter(start.Add(-time.Hour))
	ad.SetPriorities()
	ad.SetBackendState(start, len(flows), false, 0) // room for all openings
	for _, i := range flows {
		ad.OnOpeningPacket(start, openingPacket(i, 0))
		ad.OnServerPacket(start, acceptSegment(i, 1), false)
	}
	ad.SetBackendState(start, slots, false, 0)
	return ad
}

// dataPacket returns the nth packet of a caller's request.
func dataPacket(i, n, prio int) passthrough.FlowPacket {
	seg := passthrough.NewSegment(flowOf(i), passthrough.FlagAck, uint32(2+100*n), 2, 100)
	return passthrough.FlowPacket{Segment: seg, Priority: prio, Objective: 300 * time.Millisecond, Timeout: 3 * time.Second, Packet: []byte{byte(i), byte(n)}}
}

// deliverRequest delivers a request if it is not held.
func deliverRequest(ad *passthrough.Admitter, now time.Time, p passthrough.FlowPacket) passthrough.Held {
	h := ad.Hold(now, p)
	if h == passthrough.NotHeld {
		ad.OnEstablishedPacket(now, p.Segment, true)
	}
	return h
}

func answer(ad *passthrough.Admitter, now time.Time, i int) passthrough.Dequeued {
	ad.OnServerPacket(now, passthrough.NewSegment(flowOf(i), passthrough.FlagAck, 2, 102, 500), false)
	return ad.DequeueByPriority(now)
}

// Guards against a delay while there is room, and against requests on kept flows that take a slot before one of a higher
// priority.
func TestRequestsWaitByPriority(t *testing.T) {
	ad := newPriorityAdmitter(2, 0, 1, 2, 3, 4)
	now := start.Add(time.Second)
	for i := range 3 { // one more than the slots
		assert.Equal(t, deliverRequest(ad, now, dataPacket(i, 0, 2)), passthrough.NotHeld)
	}
	assert.Equal(t, deliverRequest(ad, now, dataPacket(3, 0, 2)), passthrough.HeldRequest)
	assert.Equal(t, deliverRequest(ad, now, dataPacket(4, 0, 1)), passthrough.HeldRequest)
	assert.Equal(t, ad.Load(now).InProgress, uint16(5))
	for i, want := range []int{4, 3} {
		now = now.Add(20 * time.Millisecond)
		d := answer(ad, now, i)
		assert.Equal(t, len(d.Requests), 1)
		assert.Equal(t, d.Requests[0].Packets[0].Segment.Flow(), flowOf(want))
		assert.Equal(t, d.Requests[0].Reason, passthrough.ReleaseCapacity)
	}
}

// Guards against held packets that are reordered, duplicated, held for too long or lost, whatever is retransmitted and
// whenever the backend server answers.
func TestHeldPacketsKeepOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxHold = 1500 * time.Millisecond // half of the timeout
		ad := newPriorityAdmitter(1, 0, 1, 2, 3)
		now := start.Add(time.Second)
		deliverRequest(ad, now, dataPacket(0, 0, 1))
		deliverRequest(ad, now, dataPacket(1, 0, 1))
		sent, delivered := map[int]int{}, map[int]int{}
		take := func(d passthrough.Dequeued) {
			for _, r := range d.Requests {
				assert.Assert(t, r.Waited <= maxHold+100*time.Millisecond, "held for %s", r.Waited)
				for _, p := range r.Packets {
					i := int(p.Packet[0])
					assert.Equal(t, int(p.Packet[1]), delivered[i])
					delivered[i]++
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				i := rapid.IntRange(2, 3).Draw(t, "flow")
				n := sent[i]
				if n > 0 && rapid.Bool().Draw(t, "again") {
					n = rapid.IntRange(0, n-1).Draw(t, "copy")
				} else if n >= 10 {
					return
				}
				h := deliverRequest(ad, now, dataPacket(i, n, i))
				switch {
				case n < sent[i] && n >= delivered[i]:
					assert.Equal(t, h, passthrough.AbsorbedCopy)
				case n < sent[i]:
					assert.Equal(t, h, passthrough.NotHeld)
				case h == passthrough.NotHeld:
					assert.Equal(t, delivered[i], n)
					delivered[i]++
				}
				sent[i] = max(sent[i], n+1)
			},
			"answer": func(t *rapid.T) { take(answer(ad, now, rapid.IntRange(0, 1).Draw(t, "flow"))) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
				take(ad.DequeueByPriority(now))
			},
		})
		for range 80 {
			now = now.Add(20 * time.Millisecond)
			take(ad.DequeueByPriority(now))
		}
		assert.DeepEqual(t, sent, delivered)
	})
}

// Guards against a request that is lost with the agent that held it: the caller's retransmission reaches the backend
// server through the agent that has just started.
func TestHeldPacketsAfterRestart(t *testing.T) {
	ad := newPriorityAdmitter(1, 0, 1, 2)
	now := start.Add(time.Second)
	for i := range 2 {
		deliverRequest(ad, now, dataPacket(i, 0, 2))
	}
	assert.Equal(t, deliverRequest(ad, now, dataPacket(2, 0, 2)), passthrough.HeldRequest)
	restarted := passthrough.NewAdmitter(now)
	restarted.SetPriorities()
	restarted.SetBackendState(now, 1, false, 0)
	p := dataPacket(2, 0, 2)
	assert.Equal(t, restarted.Hold(now.Add(200*time.Millisecond), p), passthrough.NotHeld)
	assert.Equal(t, restarted.OnEstablishedPacket(now.Add(200*time.Millisecond), p.Segment, true), passthrough.Decision(passthrough.Deliver{}))
}

// Guards against a reset of a caller that waits behind its request, and a request that is delivered after the caller has
// given it up.
func TestResetOvertakesHeldPackets(t *testing.T) {
	ad := newPriorityAdmitter(1, 0, 1, 2)
	now := start.Add(time.Second)
	for i := range 3 {
		deliverRequest(ad, now, dataPacket(i, 0, 2))
	}
	reset := dataPacket(2, 1, 2)
	reset.Segment = passthrough.NewSegment(flowOf(2), passthrough.FlagReset|passthrough.FlagAck, 102, 2, 0)
	assert.Equal(t, deliverRequest(ad, now, reset), passthrough.NotHeld)
	assert.Equal(t, len(answer(ad, now, 0).Requests), 0)
}

// Guards against holding at a backend server that takes fewer requests than its kept flows bring: there its own refusals
// let callers go elsewhere.
func TestSaturatedBackendServerIsNotHeldBack(t *testing.T) {
	flows := make([]int, 100)
	for i := range flows {
		flows[i] = i
	}
	ad := newPriorityAdmitter(4, flows...)
	held, passed := 0, 0
	released := make([]passthrough.ReleasedRequest, 0, len(flows))
	now := start.Add(time.Second)
	for i := range flows { // 50 a second, while each answer takes far longer
		now = now.Add(20 * time.Millisecond)
		if deliverRequest(ad, now, dataPacket(i, 0, 2)) == passthrough.HeldRequest {
			held++
		} else {
			passed++
		}
		released = append(released, ad.DequeueByPriority(now).Requests...)
	}
	assert.Assert(t, held > 0 && passed > 10)
	assert.Equal(t, len(released), held)
	assert.Equal(t, released[0].Reason, passthrough.ReleaseSaturated)
}

// Guards against a booking on a new flow that gets its place after feeds on kept flows of the same backend server, and
// against a place for it while bookings on open flows wait.
func TestOpeningsAmongRequests(t *testing.T) {
	ad := newPriorityAdmitter(1, 0, 1, 2, 3, 4)
	now := start.Add(time.Second)
	for i := range 4 { // two feeds wait
		deliverRequest(ad, now, dataPacket(i, 0, 2))
	}
	opening := func(i int) passthrough.OpeningPacket {
		p := openingPacket(i, 0)
		p.Objective, p.Priority = 300*time.Millisecond, 1
		return p
	}
	for i := range 2 {
		assert.Equal(t, ad.OnOpeningPacket(now, opening(10+i)), passthrough.Decision(passthrough.Deliver{}))
	}
	assert.Equal(t, ad.OnOpeningPacket(now, opening(12)), passthrough.Decision(passthrough.Queued{}))
	d := answer(ad, now.Add(10*time.Millisecond), 0)
	assert.Equal(t, len(d.Openings), 1)
	assert.Equal(t, d.Openings[0].Segment.Flow(), flowOf(12))
	assert.Equal(t, len(d.Requests), 1)

	ad = newPriorityAdmitter(1, 0, 1, 2, 3, 4)
	for i := range 4 { // two bookings wait
		deliverRequest(ad, now, dataPacket(i, 0, 1))
	}
	assert.Equal(t, ad.OnOpeningPacket(now, opening(10)), passthrough.Decision(passthrough.Queued{}))
}

// Guards against a place for a caller that sends no more copies of its opening packet, while one waits that does.
func TestOpeningsOfSilentCallersGoLast(t *testing.T) {
	ad := newPriorityAdmitter(1, 0, 1)
	now := start.Add(time.Second)
	for i := range 2 {
		deliverRequest(ad, now, dataPacket(i, 0, 1))
	}
	arrive := func(i, copies int, at time.Duration) {
		p := openingPacket(i, copies)
		p.Objective, p.Priority, p.IsRetry = 300*time.Millisecond, 1, true
		assert.Equal(t, ad.OnOpeningPacket(now.Add(at), p), passthrough.Decision(passthrough.Queued{}))
	}
	const copied, silent = 256, 512 // different callers
	arrive(copied, 0, 0)
	arrive(silent, 0, 20*time.Millisecond)
	arrive(copied, 1, 200*time.Millisecond)
	for n, want := range []int{copied, silent} {
		d := answer(ad, now.Add(time.Duration(300+n)*time.Millisecond), n)
		assert.Equal(t, len(d.Openings), 1)
		p := d.Openings[0]
		assert.Equal(t, p.Segment.Flow(), flowOf(want))
		assert.Equal(t, passthrough.IsCallerSilent(p.Segment, p.Delay), want == silent)
	}
}

// Guards against a place for a caller that has probably given up its attempt and sent its retry, while one waits that has not.
// It gets the next place all the same, since it may wait for longer.
func TestOpeningsOfEndedAttemptsGoLast(t *testing.T) {
	ad := newPriorityAdmitter(1, 0, 1)
	now := start.Add(time.Second)
	for i := range 2 {
		deliverRequest(ad, now, dataPacket(i, 0, 1))
	}
	const ended, waits = 256, 512 // different callers
	for _, a := range []struct {
		caller, copies int
		at             time.Duration
	}{{ended, 0, 0}, {ended, 1, 200 * time.Millisecond}, {waits, 0, 350 * time.Millisecond}, {waits, 1, 550 * time.Millisecond}, {ended, 2, 600 * time.Millisecond}} {
		p := openingPacket(a.caller, a.copies)
		p.Objective, p.Priority, p.IsRetry, p.AttemptTimeout = 300*time.Millisecond, 1, true, 900*time.Millisecond
		assert.Equal(t, ad.OnOpeningPacket(now.Add(a.at), p), passthrough.Decision(passthrough.Queued{}))
	}
	for n, want := range []int{waits, ended} {
		d := answer(ad, now.Add(time.Duration(900+n)*time.Millisecond), n)
		assert.Equal(t, len(d.Openings), 1)
		assert.Equal(t, d.Openings[0].Segment.Flow(), flowOf(want))
	}
}

// Guards against a refusal while an agent may have room: one that admits the priority, that knows no priorities, or whose
// report is old.
func TestRefusedOnlyWithoutRoom(t *testing.T) {
	for name, c := range map[string]struct {
		levels []uint8
		age    time.Duration
		want   bool
	}{
		"all refuse":              {[]uint8{1, 2}, 0, false},
		"one admits":              {[]uint8{1, 3}, 0, true},
		"one knows no priorities": {[]uint8{1, 0}, 0, true},
		"old reports":             {[]uint8{1, 1}, 2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := steerer(len(c.levels))
			for i, level := range c.levels {
				s.SetLoad(start, address(i), serviceID, passthrough.Load{Slots: 2, AcceptsFlows: true, Refused: level})
			}
			assert.Equal(t, s.Admits(start.Add(c.age), service, 2), c.want)
			assert.Assert(t, s.Admits(start, service, 0))
		})
	}
	assert.Assert(t, passthrough.NewSteerer("a").Admits(start, service, 2))
}

// Guards against requests that are held beside free slots: a request without an answer for a while takes one slot.
func TestHungRequestTakesOneSlot(t *testing.T) {
	ad := newPriorityAdmitter(4, 0, 1, 2, 3)
	now := start.Add(time.Second)
	for i := range 2 {
		assert.Equal(t, deliverRequest(ad, now, dataPacket(i, 0, 1)), passthrough.NotHeld)
	}
	now = now.Add(time.Second)
	for i := 2; i < 4; i++ {
		assert.Equal(t, deliverRequest(ad, now, dataPacket(i, 0, 1)), passthrough.NotHeld)
	}
}
