package passthrough_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// longFlow is one flow at its owner, at a directory agent that knows the owner, and at an agent whose backend server
// answered another copy of the opening packet.
type longFlow struct {
	owner, directory, other *passthrough.Admitter
	isn, next               uint32
	registered              uint32
}

func newLongFlow(isn uint32) *longFlow {
	l := &longFlow{owner: newAdmitter(2), directory: newAdmitter(2), other: newAdmitter(2), isn: isn, next: isn + 1}
	for _, ad := range []*passthrough.Admitter{l.owner, l.other} {
		ad.OnOpeningPacket(start, openingPacket(1, 0))
	}
	l.owner.OnServerPacket(start, acceptSegment(1, isn), false)
	l.other.OnServerPacket(start, acceptSegment(1, isn+1<<31), false)
	l.register()
	return l
}

func (l *longFlow) register() {
	l.registered, _ = l.owner.MinAck(start, flowOf(1))
	l.directory.SetOwner(start, flowOf(1), address(1), l.registered)
}

// send makes the backend server send size bytes, after which the owner renews its record if it is due.
func (l *longFlow) send(size int) {
	l.owner.OnServerPacket(start, passthrough.NewSegment(flowOf(1), passthrough.FlagAck, l.next, 2, size), false)
	l.next += uint32(size)
	if minAck, ok := l.owner.MinAck(start, flowOf(1)); ok && passthrough.NeedsRenewal(l.registered, minAck) {
		l.register()
	}
}

// restartOwner replaces the owner by an agent without records beside the same backend server.
func (l *longFlow) restartOwner() { l.owner = passthrough.NewAdmitter(start) }

// check compares the decisions on a caller's packet that is behind bytes behind the backend server.
func (l *longFlow) check(t assert.TestingT, behind uint32) {
	seg := requestSegment(1, l.next-behind)
	sent := l.next - l.isn
	assert.Equal(t, l.owner.OnEstablishedPacket(start, seg, true), passthrough.Decision(passthrough.Deliver{}), "owner after %d bytes", sent)
	assert.Equal(t, l.owner.OnSearchedPacket(start, seg, true), passthrough.Decision(passthrough.Deliver{}), "owner in a search after %d bytes", sent)
	assert.Equal(t, l.directory.OnEstablishedPacket(start, seg, true), passthrough.Decision(passthrough.Forward{Owner: address(1)}), "directory after %d bytes", sent)
	assert.Equal(t, l.other.OnSearchedPacket(start, seg, true), passthrough.Decision(passthrough.Deny{}), "other agent after %d bytes", sent)
}

// maxUnacknowledged is the data in flight of a caller that is far behind.
const maxUnacknowledged = 19_200

// Guards against a reset of a kept flow by the system, as in case 1 of the review: the flow is long, packets are
// retransmitted, and the agent restarts.
func TestSequenceWindowFollowsFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLongFlow(rapid.Uint32().Draw(t, "isn"))
		size := rapid.IntRange(50_000, 60_000)
		restartAt := rapid.IntRange(0, 1200).Draw(t, "restart at")
		for i := range 600 { // 2^24 bytes are at most 336 packets.
			if i == restartAt {
				l.restartOwner()
			}
			l.send(size.Draw(t, "size"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0: // a retransmission
				l.owner.OnServerPacket(start, passthrough.NewSegment(flowOf(1), passthrough.FlagAck, l.next-maxUnacknowledged, 2, 1200), false)
			case 1: // a copy of the answer to the opening packet
				if l.next-l.isn < 1<<20 {
					l.owner.OnServerPacket(start, acceptSegment(1, l.isn), false)
				}
			}
			l.check(t, uint32(rapid.IntRange(0, maxUnacknowledged).Draw(t, "behind")))
		}
	})
}

// Guards against the same where the sequence numbers pass half of their range or wrap around: packets are lost and
// retransmitted, the caller is behind, and the agent restarts.
func TestSequenceWindowFollowsFlowOfGigabytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLongFlow(rapid.Uint32().Draw(t, "isn"))
		passed := rapid.SampledFrom([]int{1 << 24, 1 << 31, 1 << 32, 1<<32 + 1<<31}).Draw(t, "passed")
		const burst, around = 1 << 20, 4 << 20 // bytes; a segment stands for the packets of a burst
		restartAt := rapid.SampledFrom([]int{0, burst, passed / 2, passed - around/2, passed}).Draw(t, "restart at")
		for sent := 0; sent < passed+around; {
			size := burst
			if sent > passed-around {
				size = rapid.IntRange(1, 400_000).Draw(t, "size")
				behind := uint32(rapid.IntRange(0, maxUnacknowledged-1200).Draw(t, "behind"))
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0: // a retransmission
					l.owner.OnServerPacket(start, passthrough.NewSegment(flowOf(1), passthrough.FlagAck, l.next-behind, 2, min(1200, int(behind))), false)
				case 1: // a packet that follows a lost one
					l.owner.OnServerPacket(start, passthrough.NewSegment(flowOf(1), passthrough.FlagAck, l.next+1200, 2, 1200), false)
				}
				l.check(t, behind)
			}
			if sent <= restartAt && sent+size > restartAt {
				l.restartOwner()
			}
			l.send(size)
			sent += size
		}
	})
}

// Guards against the same after the sequence numbers have wrapped around.
func TestSequenceWindowWraps(t *testing.T) {
	l := newLongFlow(1 << 30)
	l.other = newAdmitter(2)
	const size = 60_000
	for sent := 0; sent < 5<<30; sent += size {
		l.send(size)
		seg := requestSegment(1, l.next-maxUnacknowledged)
		if d := l.owner.OnEstablishedPacket(start, seg, true); d != passthrough.Decision(passthrough.Deliver{}) {
			t.Fatalf("after %d bytes: %T", sent, d)
		}
		if d := l.directory.OnEstablishedPacket(start, seg, true); d != passthrough.Decision(passthrough.Forward{Owner: address(1)}) {
			t.Fatalf("directory after %d bytes: %T", sent, d)
		}
	}
}

// Guards against an agent that takes the packets of another flow for its own more often than one in 256: a caller uses
// its port again, and the flow opens at another backend server.
func TestSequenceWindowRejectsRandomNumbers(t *testing.T) {
	l := newLongFlow(1 << 30)
	for range 1000 {
		l.send(60_000)
	}
	matches := 0
	const step = 1 << 16
	for n := uint32(0); ; n += step {
		if _, ok := l.owner.OnEstablishedPacket(start, requestSegment(1, n), false).(passthrough.Deliver); ok {
			matches++
		}
		if n+step == 0 {
			break
		}
	}
	assert.Assert(t, matches <= 1<<24/step, "%d matches", matches)

	l.owner.OnServerPacket(start.Add(time.Second), acceptSegment(1, 77), false) // The port is used again at this backend server.
	assert.Equal(t, l.owner.OnEstablishedPacket(start.Add(time.Second), requestSegment(1, 78), true), passthrough.Decision(passthrough.Deliver{}))
}

// Guards against a reset of an open flow whose caller uses a port again: the agent of the earlier flow, whose sequence
// numbers are close, takes a packet of the new flow for its own, and its backend server rejects it.
func TestSequenceWindowOfReusedPort(t *testing.T) {
	l := newLongFlow(1 << 30)
	l.send(2000)
	seg := requestSegment(1, l.next+100_000)
	assert.Equal(t, l.owner.OnEstablishedPacket(start, seg, true), passthrough.Decision(passthrough.UnknownFlow{}))
	assert.Equal(t, l.owner.OnRejected(start, seg), passthrough.Decision(passthrough.UnknownFlow{}))
}
