package passthrough

import (
	"net/netip"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Guards against an agent that was silent for a while and is not used again although it announces itself, and against
// an announcement that overrides what the store says.
func TestAnnouncedAgents(t *testing.T) {
	b := blackboard{logger: hclog.NewNullLogger(), changed: func() {}}
	m := &announce{agent: netip.MustParseAddrPort("10.1.0.1:7720"), id: "side-1", service: "orders", zone: "a", addresses: []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443")}}
	assert.Assert(t, b.announced(m))
	assert.Assert(t, !b.announced(m), "not news")
	service, ok := b.observed.Service(m.addresses[0])
	assert.Assert(t, ok)
	assert.Equal(t, service, "orders")

	b.dropUnheard(func(netip.AddrPort) bool { return false })
	assert.Equal(t, len(b.board.Records(board.KindAgent)), 0)
	assert.Assert(t, b.announced(m), "news after it was dropped")

	entry := agentEntry{Service: "orders", Zone: "a", Address: m.agent, Draining: true}
	b.apply(store.Entry{Key: agentsPrefix + m.id, Value: entry.encode(), Revision: 7})
	assert.Assert(t, !b.announced(m))
	r, _ := b.board.Get(board.ID{Kind: board.KindAgent, Key: m.id})
	a, ok := r.Value.(board.Agent)
	assert.Assert(t, ok)
	assert.Equal(t, a.Phase, board.PhaseDraining)
}
