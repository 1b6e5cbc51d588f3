package passthrough

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/route"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Guards against an agent that is not used again when it announces itself after it was unresponsive, and against an
// announcement that overrides a store entry.
func TestAnnouncedAgents(t *testing.T) {
	s := localState{logger: hclog.NewNullLogger(), changed: func() {}}
	m := &announce{agent: netip.MustParseAddrPort("10.1.0.1:7720"), id: "agent-1", service: "orders", zone: "a", addresses: []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443")}}
	assert.Assert(t, s.applyAnnouncement(m))
	assert.Assert(t, !s.applyAnnouncement(m), "an unchanged announcement")
	service, ok := s.observed.Service(m.addresses[0])
	assert.Assert(t, ok)
	assert.Equal(t, service, "orders")

	s.dropUnresponsive(time.Now(), func(netip.AddrPort) bool { return false })
	assert.Equal(t, len(s.board.Records(board.KindAgent)), 0)
	assert.Assert(t, s.applyAnnouncement(m), "an announcement after the agent was dropped")

	entry := agentEntry{Service: "orders", Zone: "a", Address: m.agent, Draining: true}
	s.apply(store.Entry{Key: agentsPrefix + m.id, Value: entry.encode(), Revision: 7})
	assert.Assert(t, !s.applyAnnouncement(m))
	r, _ := s.board.Get(board.ID{Kind: board.KindAgent, Key: m.id})
	a, ok := r.Value.(board.Agent)
	assert.Assert(t, ok)
	assert.Equal(t, a.Phase, board.PhaseDraining)
}

// Guards against an agent that has left and is in use again at a balancer that starts later: another balancer, which
// keeps it while it waits for an answer, passed it on like an agent that the store lists.
func TestAgentThatLeftIsNotUsedAgain(t *testing.T) {
	const id = "agent-1"
	entry := agentEntry{Service: "orders", Zone: "a", Address: netip.MustParseAddrPort("10.1.0.1:7720"), Draining: true}
	running := localState{logger: hclog.NewNullLogger(), changed: func() {}}
	running.apply(store.Entry{Key: agentsPrefix + id, Value: entry.encode(), Revision: 7})
	running.apply(store.Entry{Key: agentsPrefix + id, Revision: 8, Deleted: true})

	started := localState{logger: hclog.NewNullLogger(), changed: func() {}}
	fetcher := stateFetcher{state: &started, agents: true, logger: hclog.NewNullLogger()}
	fetcher.applyReply(StateReply{Entries: running.entries(true)}, netip.AddrPort{})
	r, ok := started.board.Get(board.ID{Kind: board.KindAgent, Key: id})
	assert.Assert(t, ok)
	assert.Equal(t, r.Version.Liveness, board.Suspect)
	started.dropUnresponsive(time.Now(), func(netip.AddrPort) bool { return false })
	r, _ = started.board.Get(board.ID{Kind: board.KindAgent, Key: id})
	a, ok := r.Value.(board.Agent)
	assert.Assert(t, ok)
	assert.Equal(t, a.Phase, board.PhaseLeft)
}

// Guards against a balancer that starts without the store, serves with the first agents that it receives, and refuses
// the flows of a service whose agents have not announced themselves yet.
func TestCompletenessCountsServices(t *testing.T) {
	s := localState{logger: hclog.NewNullLogger(), changed: func() {}}
	s.layout = Layout{ConfigKey: "config", DecodeConfig: func([]byte, store.Revision) (*route.Table, error) {
		return route.NewTable(7, 1, 0, map[netip.AddrPort]route.Route{
			netip.MustParseAddrPort("198.18.0.1:80"):  {Service: "pages"},
			netip.MustParseAddrPort("198.18.0.1:443"): {Service: "orders"},
		}, nil), nil
	}}
	announceAgent := func(service, address string) {
		s.applyAnnouncement(&announce{agent: netip.MustParseAddrPort(address), id: "agent-" + address, service: service})
	}
	announceAgent("orders", "10.1.0.1:7720")
	assert.Equal(t, s.completeness(), insufficient)
	s.apply(store.Entry{Key: "config", Revision: 7})
	assert.Equal(t, s.completeness(), partial)
	announceAgent("pages", "10.1.0.2:7720")
	assert.Equal(t, s.completeness(), complete)
}

// Guards against a flow that is reset, and its running request given up, because the agent of its backend server was
// silent for so long that it was dropped. An agent that has announced its departure holds no flow any more.
func TestLostAgent(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct{ draining, want bool }{"silent": {false, true}, "left": {true, false}} {
		t.Run(name, func(t *testing.T) {
			s := localState{logger: hclog.NewNullLogger(), changed: func() {}}
			entry := agentEntry{Service: "orders", Zone: "a", Address: netip.MustParseAddrPort("10.1.0.1:7720"), Draining: c.draining}
			s.apply(store.Entry{Key: agentsPrefix + "agent-1", Value: entry.encode(), Revision: 7})
			s.apply(store.Entry{Key: agentsPrefix + "agent-1", Revision: 8, Deleted: true})
			s.dropUnresponsive(now, func(netip.AddrPort) bool { return false })
			assert.Equal(t, s.lostAgent(now.Add(time.Second), time.Minute), c.want)
			assert.Assert(t, !s.lostAgent(now.Add(2*time.Minute), time.Minute))
		})
	}
}
