package passthrough_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// callerFlow returns the flow of a caller's try, each from a port of its own.
func callerFlow(caller, try int) passthrough.FlowID {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(caller >> 8), byte(caller)}), uint16(2000+try))
	return passthrough.NewFlowID(a, netip.MustParseAddrPort("198.18.0.1:443"))
}

func attemptOf(caller, try, copies int) passthrough.OpeningPacket {
	seg := passthrough.NewSegment(callerFlow(caller, try), passthrough.FlagOpen, 1, uint32(copies), 0)
	return passthrough.OpeningPacket{Segment: seg, Packet: []byte{1}}
}

// Guards against a caller that comes back and takes the place of one that has just come, and against one that is
// marked although it was answered, has just come or comes later.
func TestAttempts(t *testing.T) {
	const attemptTime = 1400 * time.Millisecond
	for name, c := range map[string]struct {
		answered bool
		copies   int
		after    time.Duration
		want     bool
	}{
		"comes back":              {after: attemptTime + 10*time.Millisecond, want: true},
		"only a copy was seen":    {copies: 2, after: attemptTime - 590*time.Millisecond, want: true},
		"was answered":            {answered: true, after: attemptTime + 10*time.Millisecond},
		"another request":         {after: 300 * time.Millisecond},
		"another request, later":  {after: 3 * time.Second},
		"copy of another request": {copies: 1, after: attemptTime + 10*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var a passthrough.Attempts
			a.Add(start, attemptOf(1, 0, c.copies))
			if c.answered {
				a.Remove(callerFlow(1, 0))
			}
			now := start.Add(c.after)
			assert.Equal(t, a.IsRetry(now, callerFlow(2, 1)), false)
			assert.Equal(t, a.IsRetry(now, callerFlow(1, 1)), c.want)
			assert.Equal(t, a.IsRetry(now, callerFlow(1, 2)), false, "one attempt marks one packet")
			a.Sweep(now.Add(time.Minute))
		})
	}
}

// Guards against a caller that comes back through another balancer than the first time and looks as if it had just come,
// and against telling of callers that still send copies, more than once, or after an answer.
func TestUnansweredAttempts(t *testing.T) {
	g := newGate(2)
	for i := range 7 {
		g.OnOpeningPacket(start, attemptOf(i, 0, 0))
	}
	told := start.Add(1100 * time.Millisecond)
	assert.Equal(t, len(g.UnansweredAttempts(start.Add(900*time.Millisecond))), 0)
	unanswered := g.UnansweredAttempts(told)
	assert.Equal(t, len(unanswered), 1)
	assert.Equal(t, unanswered[0].Flow, callerFlow(6, 0))
	assert.Equal(t, len(g.UnansweredAttempts(told)), 0)

	var other passthrough.Attempts
	arrived := told.Add(10 * time.Millisecond)
	other.AddUnanswered(arrived, unanswered[0])
	assert.Equal(t, other.IsRetry(start.Add(1405*time.Millisecond), callerFlow(5, 1)), false)
	assert.Equal(t, other.IsRetry(start.Add(1405*time.Millisecond), callerFlow(6, 1)), true)
}
