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

// testLayout has keys like those of a deployment.
func testLayout() Layout {
	return Layout{OperatorPrefix: "op/", ConfigKey: "op/config", ZonesOutPrefix: "op/out/", DecodeConfig: func(value []byte, revision store.Revision) (*route.Table, error) {
		return route.NewTable(uint64(revision), uint64(value[0]), 0, nil, nil), nil
	}}
}

// newOperatorState returns a state, a follower of the operator's entries in a store and a fetcher.
func newOperatorState(s store.Store) (*localState, *follower, *stateFetcher) {
	state := &localState{layout: testLayout(), logger: hclog.NewNullLogger(), changed: func() {}}
	f := &follower{store: s, contact: &storeContact{}, logger: hclog.NewNullLogger(), apply: state.applyOperator, held: state.zoneKeysOut, applied: state.operatorAt.add, changed: func() {}, loaded: func() {}}
	return state, f, newStateFetcher(state, true, hclog.NewNullLogger())
}

// fetchFrom applies the state of another process as if it had been fetched, if its version makes that due.
func fetchFrom(t *testing.T, f *stateFetcher, from *localState) {
	t.Helper()
	f.onVersion(netip.AddrPort{}, from.operatorVersion())
	select {
	case <-f.due:
		var reply StateReply
		assert.NilError(t, (&peerService{from}).State(f.args(), &reply))
		f.applyReply(reply, netip.AddrPort{})
	default:
	}
}

// Guards against a zone that stays out of service for good, as in case 6 of the review: it is taken back while no balancer
// runs, its key is gone when they start, and the agents still hold that it is out. A configuration may be written before,
// between or after, so that either side has the higher revision or both have the same.
func TestEndOfEvacuationIsLearnedFromLists(t *testing.T) {
	const zone = "zone-a"
	write := func(state *localState, s *fakeStore, e store.Entry) {
		s.put(e)
		e.Revision = s.revision
		if state != nil {
			state.applyOperator(e)
		}
	}
	for configured := range 4 {
		for _, fetchFirst := range []bool{false, true} {
			s := newFakeStore()
			agent, _, agentFetcher := newOperatorState(s)
			config := func(at int) {
				if configured == at {
					state := agent
					if at == 3 {
						state = nil // No balancer has told the agent.
					}
					write(state, s, store.Entry{Key: "op/config", Value: []byte{1}})
				}
			}
			config(0)
			write(agent, s, store.Entry{Key: "op/out/" + zone, Value: []byte("{}")})
			config(1)
			write(nil, s, store.Entry{Key: "op/out/" + zone, Deleted: true})
			config(3)

			balancer, f, balancerFetcher := newOperatorState(s)
			if fetchFirst {
				fetchFrom(t, balancerFetcher, agent)
			}
			_, err := f.list(t.Context())
			assert.NilError(t, err)
			for range 3 { // Messages go both ways.
				fetchFrom(t, balancerFetcher, agent)
				fetchFrom(t, agentFetcher, balancer)
			}
			for name, state := range map[string]*localState{"agent": agent, "balancer": balancer} {
				out, _ := state.board.ZoneOut(zone)
				assert.Assert(t, !out, "%s, configuration written at %d, fetch first %t", name, configured, fetchFirst)
			}
			assert.Equal(t, agent.operatorVersion(), balancer.operatorVersion(), "configuration written at %d", configured)
		}
	}
}

// Guards against a zone that is in use although it was taken out of service after the list of the process that passes on
// its state, or after the last change that this process has applied.
func TestNewerEvacuationStays(t *testing.T) {
	s := newFakeStore()
	lagging, f, laggingFetcher := newOperatorState(s)
	_, err := f.list(t.Context())
	assert.NilError(t, err)
	s.put(store.Entry{Key: "op/out/zone-a", Value: []byte("{}")})
	current, f, currentFetcher := newOperatorState(s)
	_, err = f.list(t.Context())
	assert.NilError(t, err)
	fetchFrom(t, currentFetcher, lagging)
	fetchFrom(t, laggingFetcher, current)
	for name, state := range map[string]*localState{"current": current, "lagging": lagging} {
		out, _ := state.board.ZoneOut("zone-a")
		assert.Assert(t, out, name)
	}
}

// Guards against a zone that stays out of service at an agent behind a detour, from which no balancer can fetch: the
// agent itself must see that the complete state of a balancer lacks the zone.
func TestCompleteStateLacksAZone(t *testing.T) {
	agent, _, fetcher := newOperatorState(newFakeStore())
	agent.applyOperator(store.Entry{Key: "op/out/zone-a", Value: []byte("{}"), Revision: 7})
	fetcher.applyReply(StateReply{OperatorAt: 6}, netip.AddrPort{})
	out, _ := agent.board.ZoneOut("zone-a")
	assert.Assert(t, out, "the balancer lacks the evacuation")
	fetcher.applyReply(StateReply{OperatorAt: 9}, netip.AddrPort{})
	out, _ = agent.board.ZoneOut("zone-a")
	assert.Assert(t, !out)
}

// Guards against an agent that has left and stays in use as listed at a balancer that takes it over from another one,
// before or after its own list, since the other one has not yet applied the deletion.
func TestEndOfAgentIsLearnedFromLists(t *testing.T) {
	entry := agentEntry{Service: "orders", Zone: "a", Address: netip.MustParseAddrPort("10.1.0.1:7720")}
	for _, fetchFirst := range []bool{false, true} {
		s := newFakeStore()
		other, _, _ := newOperatorState(s)
		s.put(store.Entry{Key: agentsPrefix + "agent-1", Value: entry.encode()})
		other.applyAgent(store.Entry{Key: agentsPrefix + "agent-1", Value: entry.encode(), Revision: s.revision})
		s.put(store.Entry{Key: agentsPrefix + "agent-1", Deleted: true})

		started, _, fetcher := newOperatorState(s)
		f := &follower{store: s, contact: &storeContact{}, logger: hclog.NewNullLogger(), apply: started.applyAgent, held: started.listedAgentKeys, applied: started.agentsAt.add, changed: func() {}, loaded: func() {}}
		fetch := func() { fetcher.applyReply(StateReply{Entries: other.entries(true)}, netip.AddrPort{}) }
		if fetchFirst {
			fetch()
		}
		_, err := f.list(t.Context())
		assert.NilError(t, err)
		if !fetchFirst {
			fetch()
		}
		r, ok := started.board.Get(board.ID{Kind: board.KindAgent, Key: "agent-1"})
		assert.Assert(t, ok)
		assert.Equal(t, r.Version.Liveness, board.Suspect, "fetch first %t", fetchFirst)
	}
}
