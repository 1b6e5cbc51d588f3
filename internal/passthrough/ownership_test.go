package passthrough

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// Guards against packets of an open flow that are lost until their caller gives up, because agents that have passed on
// copies of its opening packet name each other.
func TestForwardedTooOften(t *testing.T) {
	l, sent := newTestLink(t, Features{})
	balancer, owner := netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:7000")
	a := &Agent{link: l, admitter: passthrough.NewAdmitter(time.Now()), metrics: l.metrics}
	a.cfg.Logger = hclog.NewNullLogger()
	f := passthrough.NewFlowID(netip.MustParseAddrPort("100.64.0.1:2000"), netip.MustParseAddrPort("198.18.0.1:443"))
	seg := passthrough.NewSegment(f, passthrough.FlagAck, 2, 77, 100)
	for hops, want := range map[uint8]netip.AddrPort{maxHops - 1: owner, maxHops: balancer} {
		*sent = nil
		a.execute(time.Now(), seg, &forward{origin: balancer, hops: hops}, passthrough.Forward{Owner: owner})
		assert.Assert(t, len(*sent) == 1 && (*sent)[0] == want, "after %d hops: %v", hops, *sent)
	}
}
