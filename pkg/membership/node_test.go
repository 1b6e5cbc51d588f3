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

// populate adds balancers and agents to the zones a, b, and so on.
func populate(w *controltest.Cluster, zones, balancers, agents int) {
	for i := range balancers {
		w.AddBalancer(fmt.Sprintf("b%d", i+1), zoneName(i%zones), seeds...)
	}
	w.Run(time.Second)
	for i := range agents {
		w.AddAgent(fmt.Sprintf("a%d", i+1), zoneName(i%zones), "portal", seeds...)
	}
}

func zoneName(i int) string { return string(rune('a' + i)) }

func zoneAt(w *controltest.Cluster, zone string, revision uint64) func() bool {
	id := board.ID{Kind: board.KindZone, Key: zone}
	return func() bool {
		return w.All(func(p *controltest.Process) bool { return uint64(p.Revision(id)) >= revision })
	}
}

func verdictOf(p *controltest.Process, k board.Kind, id string) string {
	r, ok := p.Board.Get(board.ID{Kind: k, Key: id})
	if !ok {
		return "unknown"
	}
	return r.Version.Liveness.String()
}

func allSay(w *controltest.Cluster, k board.Kind, id, verdict string) func() bool {
	return func() bool {
		return w.All(func(p *controltest.Process) bool { return p.ID == id || verdictOf(p, k, id) == verdict })
	}
}

func must(t *testing.T, w *controltest.Cluster, d time.Duration, f func() bool) time.Duration {
	t.Helper()
	took, ok := w.RunUntil(d, f)
	assert.Assert(t, ok, "not within %s of simulated time", d)
	return took
}

// Guards against the basic failure: a change or a member that does not arrive everywhere.
func TestSpread(t *testing.T) {
	w := controltest.New(controltest.Config{Seed: 1})
	populate(w, 3, 6, 9)
	w.Run(15 * time.Second)
	rev := w.Store.PutZone("b", true)
	must(t, w, time.Second, zoneAt(w, "b", uint64(rev)))
	for i := range 9 {
		must(t, w, time.Second, allSay(w, board.KindAgent, fmt.Sprintf("a%d", i+1), "alive"))
	}
}
