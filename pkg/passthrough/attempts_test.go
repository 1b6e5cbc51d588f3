package passthrough_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// attemptFlow returns the flow of a caller's attempt; each attempt has its own port.
func attemptFlow(caller, attempt int) passthrough.FlowID {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(caller >> 8), byte(caller)}), uint16(2000+attempt))
	return passthrough.NewFlowID(a, netip.MustParseAddrPort("198.18.0.1:443"))
}

func attemptPacket(caller, attempt, retransmissions int) passthrough.OpeningPacket {
	seg := passthrough.NewSegment(attemptFlow(caller, attempt), passthrough.FlagOpen, 1, uint32(retransmissions), 0)
	return passthrough.OpeningPacket{Segment: seg, Packet: []byte{1}}
}

// Guards against a retry that is taken for a new request, and against a new request that is taken for a retry because
// an earlier request of the caller was answered, is recent or is too old.
func TestAttempts(t *testing.T) {
	const attemptTimeout = 1400 * time.Millisecond
	for name, c := range map[string]struct {
		answered        bool
		retransmissions int
		after           time.Duration
		want            bool
	}{
		"retry":                             {after: attemptTimeout + 10*time.Millisecond, want: true},
		"only retransmission seen":          {retransmissions: 2, after: attemptTimeout - 590*time.Millisecond, want: true},
		"was answered":                      {answered: true, after: attemptTimeout + 10*time.Millisecond},
		"another request":                   {after: 300 * time.Millisecond},
		"another request, later":            {after: 3 * time.Second},
		"retransmission of another request": {retransmissions: 1, after: attemptTimeout + 10*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var a passthrough.Attempts
			a.Add(start, attemptPacket(1, 0, c.retransmissions))
			if c.answered {
				a.Remove(attemptFlow(1, 0))
			}
			now := start.Add(c.after)
			assert.Equal(t, a.IsRetry(now, attemptFlow(2, 1)), false)
			assert.Equal(t, a.IsRetry(now, attemptFlow(1, 1)), c.want)
			assert.Equal(t, a.IsRetry(now, attemptFlow(1, 2)), false, "one attempt marks one packet")
			a.Sweep(now.Add(time.Minute))
		})
	}
}

// Guards against a retry through another balancer that is taken for a new request, and against attempts that are
// reported too early, more than once or although their packet was delivered.
func TestUnansweredAttempts(t *testing.T) {
	ad := newAdmitter(2)
	for i := range 7 {
		ad.OnOpeningPacket(start, attemptPacket(i, 0, 0))
	}
	reportedAt := start.Add(1100 * time.Millisecond)
	assert.Equal(t, len(ad.UnansweredAttempts(start.Add(900*time.Millisecond))), 0)
	unanswered := ad.UnansweredAttempts(reportedAt)
	assert.Equal(t, len(unanswered), 1)
	assert.Equal(t, unanswered[0].Flow, attemptFlow(6, 0))
	assert.Equal(t, len(ad.UnansweredAttempts(reportedAt)), 0)

	var other passthrough.Attempts
	arrived := reportedAt.Add(10 * time.Millisecond)
	other.AddUnanswered(arrived, unanswered[0], 0)
	assert.Equal(t, other.IsRetry(start.Add(1405*time.Millisecond), attemptFlow(5, 1)), false)
	assert.Equal(t, other.IsRetry(start.Add(1405*time.Millisecond), attemptFlow(6, 1)), true)
}
