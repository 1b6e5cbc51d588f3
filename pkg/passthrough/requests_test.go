package passthrough

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	requestsStart   = time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	trackedAddress  = netip.MustParseAddrPort("198.18.0.1:443")
	trackedCallerIP = netip.MustParseAddr("100.64.0.7")
)

func trackedFlowID(i int) FlowID {
	return NewFlowID(netip.AddrPortFrom(trackedCallerIP, uint16(40000+i)), trackedAddress) //nolint:gosec // few flows
}

// endpoints builds the packets of one flow; callerSeq and serverSeq are the numbers after the data so far.
type endpoints struct {
	flow                 FlowID
	callerSeq, serverSeq uint32
}

func newEndpoints(i int) *endpoints {
	return &endpoints{flow: trackedFlowID(i), callerSeq: 1<<32 - 100, serverSeq: 7000}
}

func (e *endpoints) opening() Segment {
	return NewSegment(e.flow, FlagOpen, e.callerSeq-1, 0, 0)
}

func (e *endpoints) request(size int) Segment {
	seg := NewSegment(e.flow, FlagAck, e.callerSeq, e.serverSeq, size)
	e.callerSeq += uint32(size) //nolint:gosec // test sizes are small
	return seg
}

func (e *endpoints) answer(size int) Segment {
	seg := NewSegment(e.flow, FlagAck, e.serverSeq, e.callerSeq, size)
	e.serverSeq += uint32(size) //nolint:gosec // test sizes are small
	return seg
}

func at(ms int) time.Time { return requestsStart.Add(time.Duration(ms) * time.Millisecond) }

// Guards against load reports that see only the first request of a flow: callers keep flows open for many requests.
func TestRequestsOfKeptFlow(t *testing.T) {
	tr, e := newRequestTracker(), newEndpoints(0)
	tr.onOpening(at(0), e.opening())
	assert.Equal(t, tr.inProgress(), 1)
	for i := range 3 {
		now := 10 + 100*i
		assert.Assert(t, tr.onCallerPacket(at(now), e.request(200)))
		assert.Equal(t, tr.inProgress(), 1)
		assert.Equal(t, tr.inProgressAt(trackedAddress), 1)
		o := tr.onServerPacket(at(now+40), e.answer(1200), false)
		assert.Equal(t, o, requestOutcome{ended: true, exact: true, took: 40 * time.Millisecond, processing: 1})
		assert.Equal(t, tr.onServerPacket(at(now+41), e.answer(500), false), requestOutcome{})
		assert.Equal(t, tr.inProgress(), 0)
		assert.Equal(t, tr.inProgressAt(trackedAddress), 0)
	}
}

// Guards against a request in several packets counting several times, and against a pipelined one that shortens the
// observed answer time of the next.
func TestRequestInSeveralPackets(t *testing.T) {
	tr, e := newRequestTracker(), newEndpoints(0)
	tr.onOpening(at(0), e.opening())
	assert.Assert(t, tr.onCallerPacket(at(1), e.request(1200)))
	assert.Assert(t, !tr.onCallerPacket(at(2), e.request(300)))
	assert.Equal(t, tr.inProgress(), 1)
	first := e.answer(1200)
	assert.Assert(t, tr.onServerPacket(at(30), first, false).exact)
	pipelined := NewSegment(e.flow, FlagAck, e.callerSeq, first.Seq(), 200) // sent before the answer arrived
	e.callerSeq += 200
	assert.Assert(t, tr.onCallerPacket(at(31), pipelined))
	o := tr.onServerPacket(at(32), e.answer(1200), false)
	assert.Assert(t, o.ended && !o.exact)
}

// Guards against retransmissions and duplicates that start or answer requests.
func TestRequestRetransmissions(t *testing.T) {
	tr, e := newRequestTracker(), newEndpoints(0)
	tr.onOpening(at(0), e.opening())
	first := e.request(200)
	assert.Assert(t, tr.onCallerPacket(at(1), first))
	assert.Assert(t, !tr.onCallerPacket(at(201), first))
	oldAnswer := e.answer(600)
	assert.Equal(t, tr.onServerPacket(at(250), oldAnswer, false).took, 249*time.Millisecond)
	assert.Assert(t, !tr.onCallerPacket(at(260), first))
	assert.Equal(t, tr.inProgress(), 0)
	assert.Assert(t, tr.onCallerPacket(at(300), e.request(200)))
	for _, ack := range []uint32{oldAnswer.Ack(), e.callerSeq} {
		repeated := NewSegment(e.flow, FlagAck, oldAnswer.Seq(), ack, oldAnswer.Size())
		assert.Assert(t, !tr.onServerPacket(at(450), repeated, false).ended)
	}
	tr.onOpening(at(460), NewSegment(e.flow, FlagOpen, first.Seq()-1, 0, 0))
	assert.Equal(t, tr.inProgress(), 1)
	assert.Assert(t, tr.onServerPacket(at(500), e.answer(600), true).failed)
}

// Guards against wrong answer times after a restart of the agent, which finds flows in the middle of a request.
func TestRequestsOfFoundFlow(t *testing.T) {
	tr, e := newRequestTracker(), newEndpoints(0)
	request := e.request(200)
	assert.Assert(t, tr.onCallerPacket(at(0), request))
	o := tr.onServerPacket(at(10), e.answer(1200), false)
	assert.Assert(t, o.ended && !o.exact)

	other := newEndpoints(1)
	request = other.request(200)
	assert.Assert(t, !tr.onServerPacket(at(0), other.answer(1200), false).ended)
	assert.Assert(t, !tr.onCallerPacket(at(1), request), "a retransmission of an answered request")
	assert.Assert(t, tr.onCallerPacket(at(2), other.request(200)))
	assert.Assert(t, tr.onServerPacket(at(22), other.answer(600), false).exact)
}

// Guards against requests that stay in progress after their flow has ended.
func TestRequestsOfEndedFlow(t *testing.T) {
	ends := map[string]struct {
		end  func(tr *requestTracker, e *endpoints) requestOutcome
		want requestOutcome
	}{
		"reset by the caller": {func(tr *requestTracker, e *endpoints) requestOutcome {
			tr.onCallerPacket(at(20), NewSegment(e.flow, FlagReset, e.callerSeq, 0, 0))
			return requestOutcome{}
		}, requestOutcome{}},
		"reset by the backend server": {func(tr *requestTracker, e *endpoints) requestOutcome {
			return tr.onServerPacket(at(21), NewSegment(e.flow, FlagReset, e.serverSeq, 0, 0), false)
		}, requestOutcome{ended: true, failed: true, exact: true, took: 20 * time.Millisecond, processing: 1}},
		"finish with the answer": {func(tr *requestTracker, e *endpoints) requestOutcome {
			return tr.onServerPacket(at(21), NewSegment(e.flow, FlagFinish|FlagAck, e.serverSeq, e.callerSeq, 100), false)
		}, requestOutcome{ended: true, exact: true, took: 20 * time.Millisecond, processing: 1}},
		"rejected": {func(tr *requestTracker, e *endpoints) requestOutcome {
			tr.onEnd(e.flow)
			return requestOutcome{}
		}, requestOutcome{}},
	}
	for name, c := range ends {
		t.Run(name, func(t *testing.T) {
			tr, e := newRequestTracker(), newEndpoints(0)
			tr.onOpening(at(0), e.opening())
			request := e.request(200)
			tr.onCallerPacket(at(1), request)
			assert.Equal(t, c.end(&tr, e), c.want)
			assert.Equal(t, tr.inProgress(), 0)
			if name != "rejected" {
				assert.Assert(t, !tr.onCallerPacket(at(210), request))
				assert.Assert(t, !tr.onCallerPacket(at(220), e.request(10)))
			}
			e.callerSeq += 1 << 24
			tr.onOpening(at(300), e.opening()) // The caller uses its port again.
			assert.Assert(t, tr.onCallerPacket(at(301), e.request(200)))
		})
	}
}

// Guards against answered requests that count as failed because the end of the flow arrives before the answer, and
// against a failed one that counts as answered.
func TestRequestWhoseFinishOvertakesTheAnswer(t *testing.T) {
	for _, failed := range []bool{false, true} {
		tr, e := newRequestTracker(), newEndpoints(0)
		tr.onOpening(at(0), e.opening())
		tr.onServerPacket(at(1), NewSegment(e.flow, FlagOpen|FlagAck, e.serverSeq-1, e.callerSeq, 0), false)
		tr.onCallerPacket(at(2), e.request(900))
		answer := e.answer(800)
		finish := NewSegment(e.flow, FlagFinish|FlagAck, e.serverSeq, e.callerSeq, 0)
		assert.Equal(t, tr.onServerPacket(at(42), finish, false), requestOutcome{})
		assert.Equal(t, tr.onServerPacket(at(43), answer, failed), requestOutcome{ended: true, failed: failed, exact: true, took: 41 * time.Millisecond, processing: 1})
		assert.Equal(t, tr.inProgress(), 0)
		assert.Equal(t, tr.onServerPacket(at(243), finish, false), requestOutcome{})
	}
}

// Guards against requests without an answer, or callers without a request, that occupy the backend server for good.
func TestRequestsExpire(t *testing.T) {
	tr, hanging, silent := newRequestTracker(), newEndpoints(0), newEndpoints(1)
	tr.onOpening(at(0), hanging.opening())
	tr.onOpening(at(0), silent.opening())
	tr.onCallerPacket(at(1), hanging.request(200))
	assert.Equal(t, tr.inProgress(), 2)
	assert.Equal(t, tr.expire(at(100)), 0)
	assert.Equal(t, tr.inProgress(), 1)
	assert.Equal(t, tr.expire(at(800)), 1)
	assert.Equal(t, tr.expire(at(900)), 0)
	assert.Equal(t, tr.hung(), 1)
	assert.Equal(t, tr.oldest(at(801)), 800*time.Millisecond)
	age, ok := tr.age(at(801), hanging.flow)
	assert.Assert(t, ok && age == 800*time.Millisecond)
	next := newEndpoints(2)
	for now := 500; now < 900; now += 100 {
		assert.Equal(t, tr.processing(), 1)
		tr.onCallerPacket(at(now), next.request(200))
		tr.onServerPacket(at(now+20), next.answer(200), false)
	}
	assert.Equal(t, tr.processing(), 0, "one that does not keep others waiting")
	assert.Equal(t, tr.inProgress(), 1)
	assert.Equal(t, tr.expire(at(2100)), 0)
	assert.Equal(t, tr.inProgress(), 0)
}

// Guards against memory that grows with the number of flows, and against requests that are forgotten before idle flows.
func TestRequestTrackerIsBounded(t *testing.T) {
	tr, busy := newRequestTracker(), newEndpoints(0)
	tr.onCallerPacket(at(0), busy.request(200))
	for i := range maxTrackedFlows + 100 {
		id := NewFlowID(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1), trackedAddress) //nolint:gosec // bytes of a number
		tr.onServerPacket(at(1), NewSegment(id, FlagAck, 1, 1, 100), false)
	}
	assert.Equal(t, len(tr.flows), maxTrackedFlows)
	assert.Equal(t, tr.inProgress(), 1)
	tr.sweep(at(60_000), 10*time.Second)
	assert.Equal(t, len(tr.flows), 1)
}

// trackedPacket is a packet on its way, with what it is a part of.
type trackedPacket struct {
	seg        Segment
	fromServer bool
	message    int // number of the request on the flow
}

// modelFlow is a caller and a backend server that exchange requests and answers over a lossy network.
type modelFlow struct {
	*endpoints
	sent      []trackedPacket // for retransmissions
	inFlight  []trackedPacket // packets of the caller, which arrive in any order
	message   int             // number of the current request
	delivered map[uint32]bool // packets of the current request that have arrived
	packets   int             // packets of the current request
	started   bool            // a packet of the current request has been delivered
	answered  bool            // the answer to the current request has begun
}

func (m *modelFlow) sendRequest(t *rapid.T) {
	m.message++
	m.delivered, m.started, m.answered = make(map[uint32]bool), false, false
	m.packets = rapid.IntRange(1, 5).Draw(t, "packets")
	for range m.packets {
		p := trackedPacket{seg: m.request(rapid.IntRange(1, 1200).Draw(t, "size")), message: m.message}
		m.sent = append(m.sent, p)
		m.inFlight = append(m.inFlight, p)
	}
}

// deliver passes a packet of the caller on to the tracker and the model.
func (m *modelFlow) deliver(tr *requestTracker, p trackedPacket) {
	tr.onCallerPacket(at(0), p.seg)
	if p.message == m.message && !m.answered {
		m.started = true
		m.delivered[p.seg.Seq()] = true
	}
}

// Guards against a count that differs from the truth when packets are split, lost, repeated and reordered: for each flow
// with a request in progress exactly one is counted.
func TestRequestsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newRequestTracker()
		flows := make([]*modelFlow, rapid.IntRange(1, 4).Draw(t, "flows"))
		for i := range flows {
			flows[i] = &modelFlow{endpoints: newEndpoints(i), answered: true}
			if rapid.Bool().Draw(t, "opened") {
				tr.onOpening(at(0), flows[i].opening())
			}
		}
		tr.expire(at(100)) // No flow is expected after its handshake.
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m := flows[rapid.IntRange(0, len(flows)-1).Draw(t, "flow")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1: // the next packet arrives, in any order
				if len(m.inFlight) > 0 {
					i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "arrives")
					m.deliver(&tr, m.inFlight[i])
					m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
				}
			case 2: // a packet of the caller is lost and repeated later
				if len(m.inFlight) > 0 {
					m.inFlight = append(m.inFlight[1:], m.inFlight[0])
				}
			case 3: // a retransmission of any earlier packet arrives
				if len(m.sent) > 0 {
					p := m.sent[rapid.IntRange(0, len(m.sent)-1).Draw(t, "repeated")]
					if p.fromServer {
						tr.onServerPacket(at(0), p.seg, false)
					} else {
						m.deliver(&tr, p)
					}
				}
			case 4: // the backend server answers a complete request
				if !m.answered && len(m.delivered) == m.packets {
					for i := range rapid.IntRange(1, 4).Draw(t, "answer packets") {
						p := trackedPacket{seg: m.answer(rapid.IntRange(1, 1200).Draw(t, "size")), fromServer: true}
						m.sent = append(m.sent, p)
						if o := tr.onServerPacket(at(0), p.seg, false); o.ended != (i == 0) {
							t.Fatalf("answer packet %d ended a request: %v", i, o.ended)
						}
					}
					m.answered, m.started = true, false
				}
			case 5: // the caller has the whole answer and sends the next request
				if m.answered {
					m.sendRequest(t)
				}
			}
			want := 0
			for _, m := range flows {
				if m.started {
					want++
				}
			}
			if got := tr.inProgress(); got != want {
				t.Fatalf("%d requests in progress, want %d", got, want)
			}
			if got := tr.inProgressAt(trackedAddress); got != want {
				t.Fatalf("%d requests in progress at the address, want %d", got, want)
			}
		}
	})
}

// Guards against allocations for each packet of a kept flow.
func TestRequestTrackerAllocations(t *testing.T) {
	tr, e := newRequestTracker(), newEndpoints(0)
	tr.onOpening(at(0), e.opening())
	n := testing.AllocsPerRun(1000, func() {
		tr.onCallerPacket(at(1), e.request(200))
		tr.onServerPacket(at(2), e.answer(1200), false)
		tr.expire(at(3))
	})
	assert.Equal(t, n, 0.0)
}
