package membership_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/controltest"
	"github.com/bramleymast/bramleymast/pkg/board"
)

var seeds = []netip.AddrPort{controltest.AddressOf(1), controltest.AddressOf(2)}

// populate adds balancers and agents, spread over the zones a, b, and so on.
func populate(c *controltest.Cluster, zones, balancers, agents int) {
	for i := range balancers {
		c.AddBalancer(fmt.Sprintf("b%d", i+1), zoneName(i%zones), seeds...)
	}
	c.Run(time.Second)
	for i := range agents {
		c.AddAgent(fmt.Sprintf("a%d", i+1), zoneName(i%zones), "portal", seeds...)
	}
}

func zoneName(i int) string { return string(rune('a' + i)) }

// zoneReached returns a condition that holds when every running process has at least the given revision of a zone state.
func zoneReached(c *controltest.Cluster, zone string, revision uint64) func() bool {
	id := board.ID{Kind: board.KindZone, Key: zone}
	return func() bool {
		return c.All(func(p *controltest.Process) bool { return uint64(p.Revision(id)) >= revision })
	}
}

func livenessAt(p *controltest.Process, k board.Kind, id string) string {
	r, ok := p.Board.Get(board.ID{Kind: k, Key: id})
	if !ok {
		return "unknown"
	}
	return r.Version.Liveness.String()
}

// livenessEverywhere returns a condition that holds when every running process except the member itself has the wanted
// liveness of a member.
func livenessEverywhere(c *controltest.Cluster, k board.Kind, id, want string) func() bool {
	return func() bool {
		return c.All(func(p *controltest.Process) bool { return p.ID == id || livenessAt(p, k, id) == want })
	}
}

func runUntil(t *testing.T, c *controltest.Cluster, d time.Duration, f func() bool) time.Duration {
	t.Helper()
	took, ok := c.RunUntil(d, f)
	assert.Assert(t, ok, "not within %s of simulated time", d)
	return took
}

// Guards against a change or a member that does not reach every process.
func TestChangeAndMembersReachAllProcesses(t *testing.T) {
	c := controltest.New(controltest.Config{Seed: 1})
	populate(c, 3, 6, 9)
	c.Run(15 * time.Second)
	rev := c.Store.PutZone("b", true)
	runUntil(t, c, time.Second, zoneReached(c, "b", uint64(rev)))
	for i := range 9 {
		runUntil(t, c, time.Second, livenessEverywhere(c, board.KindAgent, fmt.Sprintf("a%d", i+1), "alive"))
	}
}
