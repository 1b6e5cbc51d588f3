package balancer

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	gocmp "gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// continuingPacket returns a packet that does not open a flow.
func continuingPacket() []byte { return []byte{0x43, 1, 2, 3, 4, 5, 6, 7, 8} }

// forwardOthers answers packets of flows that the agent owns and passes others on to the highest-ranked member that they
// have not visited.
func (a *fakeAgent) forwardOthers(view *flow.View, owns func(netip.AddrPort) bool) {
	a.serve(func(d wire.Datagram) {
		if owns(d.Caller) {
			_ = a.trySend(d.Balancer, a.answer(d, fmt.Sprintf("%s after %d", a.id, d.Visited.Len())))
			return
		}
		d.Visited.Add(flow.ShortIDOf(a.id))
		if next := view.TopRanked(flow.NewKey(d.Caller, d.Service).Hash(), false, d.Visited); next != nil {
			_ = a.trySend(next.DataAddress(), d)
		}
	})
}

// Guards against a packet that does not reach the owner of its flow because the views of balancers differ: one lacks some
// agents, one has another liveness for some, and in one some are draining. The second packet must reach the owner
// without extra hops, because the balancer has cached the owner.
func TestPacketsReachTheOwnerFromAnyBalancer(t *testing.T) {
	const agents, flows = 5, 40
	var boards [3]board.Board
	var full board.Board
	all := make([]*fakeAgent, agents)
	for i := range all {
		a := newFakeAgent(t, fmt.Sprintf("agent%d", i))
		all[i] = a
		a.announce(t, &full, "orders", "a", 1, board.PhaseReady)
		if i >= 2 {
			a.announce(t, &boards[0], "orders", "a", 1, board.PhaseReady)
		}
		liveness := board.Liveness(i % 3)
		a.announce(t, &boards[1], "orders", "a", 1, board.PhaseReady)
		r, _ := boards[1].Get(board.ID{Kind: board.KindAgent, Key: a.id})
		mergeRecord(t, &boards[1], board.KindAgent, a.id, board.Version{Epoch: agentIncarnation, Seq: 1, Liveness: liveness}, r.Value)
		a.announce(t, &boards[2], "orders", "a", 1, board.PhaseReady)
		if i%2 == 0 {
			a.announce(t, &boards[2], "orders", "a", 2, board.PhaseDraining)
		}
	}
	owner := func(caller netip.AddrPort) *fakeAgent { return all[int(caller.Port())%agents] }
	view := full.View("orders", func(string) bool { return false })
	for _, a := range all {
		go a.forwardOthers(view, func(caller netip.AddrPort) bool { return owner(caller) == a })
	}
	for i := range boards {
		contractAddr := freeAddress(t)
		mergeContract(t, &boards[i], "orders", 1, contractAddr)
		b, _ := startBalancer(t, &boards[i])
		at := serviceAddress(t, b, "orders", contractAddr)
		for range flows {
			caller := listen(t)
			want := owner(localAddress(caller)).id
			send(t, caller, at, continuingPacket())
			answer, from := receive(t, caller)
			assert.Assert(t, bytes.HasPrefix(answer, []byte(want+" after ")), "balancer %d: %s, want %s", i, answer, want)
			assert.Equal(t, from, at)
			if _, ok := b.services.Load().services[flow.ServiceIDOf("orders")].view.Member(flow.ShortIDOf(want)); !ok {
				continue
			}
			send(t, caller, at, continuingPacket())
			answer, _ = receive(t, caller)
			assert.Equal(t, string(answer), want+" after 0", "balancer %d", i)
		}
	}
}

// Guards against answers that are lost or sent to another caller when datagrams are duplicated and reordered, and
// against a delayed answer of a former owner that replaces the cached owner permanently.
func TestDuplicatedAndReorderedDatagrams(t *testing.T) {
	const flows = 10
	var brd board.Board
	first, second := newFakeAgent(t, "first"), newFakeAgent(t, "second")
	first.announce(t, &brd, "orders", "a", 1, board.PhaseReady)
	contractAddr := freeAddress(t)
	mergeContract(t, &brd, "orders", 1, contractAddr)
	b, registry := startBalancer(t, &brd)
	at := serviceAddress(t, b, "orders", contractAddr)
	forwarded := make([]wire.Datagram, 0, flows)
	for range flows {
		caller := listen(t)
		send(t, caller, at, initialPacket())
		send(t, caller, at, initialPacket())
		d := first.receive(t)
		assert.Equal(t, first.receive(t).Caller, d.Caller)
		forwarded = append(forwarded, d)
		defer func() {
			for range 2 {
				answer, _ := receive(t, caller)
				assert.Equal(t, string(answer), localAddress(caller).String())
			}
		}()
	}
	for i := range forwarded {
		d := forwarded[len(forwarded)-1-i]
		first.send(t, d.Balancer, first.answer(d, d.Caller.String()))
		first.send(t, d.Balancer, first.answer(d, d.Caller.String()))
	}

	second.announce(t, &brd, "orders", "a", 1, board.PhaseReady)
	caller := listen(t)
	d := forwarded[0]
	d.Caller = localAddress(caller)
	becomesOwner := func(a *fakeAgent) {
		a.send(t, b.DataAddress(), a.answer(d, "x"))
		receive(t, caller)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			view := b.services.Load().services[flow.ServiceIDOf("orders")].view
			choice, ok := b.steerer.Steer(time.Now(), view, d.Caller, false)
			return poll.Compare(gocmp.Equal(ok && choice.Cached && choice.Member.ID() == a.id, true))
		}, poll.WithTimeout(testTimeout))
	}
	becomesOwner(first)
	becomesOwner(second)
	becomesOwner(first)
	assert.Equal(t, len(counters(t, registry, "dropped_total")), 0)
}

// Guards against a forged datagram that reaches a caller or changes the owner cache.
func TestForgedDatagramChangesNothing(t *testing.T) {
	var brd board.Board
	owner, other := newFakeAgent(t, "owner"), newFakeAgent(t, "other")
	owner.announce(t, &brd, "orders", "a", 1, board.PhaseReady)
	other.announce(t, &brd, "orders", "a", 1, board.PhaseReady)
	contractAddr := freeAddress(t)
	mergeContract(t, &brd, "orders", 1, contractAddr)
	b, registry := startBalancer(t, &brd)
	serviceAddress(t, b, "orders", contractAddr)
	caller := listen(t)
	d := wire.Datagram{
		Kind: wire.KindReturn, Service: flow.ServiceIDOf("orders"), Caller: localAddress(caller),
		Owner: flow.ShortIDOf("other"), Established: true, Payload: []byte("forged"),
	}
	foreign, err := wire.NewSealer(bytes.Repeat([]byte{8}, wire.KeySize), wire.PurposeData, agentIncarnation)
	assert.NilError(t, err)
	forged, err := foreign.Append(nil, &d)
	assert.NilError(t, err)
	send(t, other.conn, b.DataAddress(), forged)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return poll.Compare(gocmp.Equal(counters(t, registry, "dropped_total")["return unauthentic"], 1))
	}, poll.WithTimeout(testTimeout))
	view := b.services.Load().services[flow.ServiceIDOf("orders")].view
	choice, ok := b.steerer.Steer(time.Now(), view, d.Caller, false)
	assert.Assert(t, ok && !choice.Cached)
	// The first packet that the caller receives is the genuine one.
	owner.send(t, b.DataAddress(), owner.answer(d, "genuine"))
	answer, _ := receive(t, caller)
	assert.Equal(t, string(answer), "genuine")
}

// Guards against a balancer that missed a zone change and does not detect it by the agents' datagrams, and against one
// that does not detect that an agent missed it.
func TestMissedZoneChange(t *testing.T) {
	var brd board.Board
	near, far := newFakeAgent(t, "near"), newFakeAgent(t, "far")
	near.announce(t, &brd, "orders", "a", 1, board.PhaseReady)
	far.announce(t, &brd, "orders", "b", 1, board.PhaseReady)
	contractAddr := freeAddress(t)
	mergeContract(t, &brd, "orders", 1, contractAddr)
	b, _ := newBalancer(t, &brd)
	found := make(chan RevisionGap, 10)
	b.OnRevisionGap(func(g RevisionGap) { found <- g })
	run(t, b)
	at := serviceAddress(t, b, "orders", contractAddr)
	caller := listen(t)
	d := wire.Datagram{
		Kind: wire.KindReturn, Service: flow.ServiceIDOf("orders"), Caller: localAddress(caller), ZoneRevision: 9,
	}
	far.send(t, b.DataAddress(), far.answer(d, "x"))
	g := <-found
	assert.Equal(t, g, RevisionGap{
		Agent: "far", Service: flow.ServiceIDOf("orders"), Source: localAddress(far.conn), AgentRevision: 9, BalancerRevision: 0,
	})
	assert.Assert(t, !g.AgentOutdated())

	// An agent would send the newer zone state to the balancer; the test merges it directly. After the grace period no
	// packet may go to the zone, although the owner cache has an agent there.
	mergeRecord(t, &brd, board.KindZone, "b", board.Version{Seq: 9}, board.Zone{Availability: contract.NewAvailability(true, "", "")})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, ok := b.services.Load().services[flow.ServiceIDOf("orders")].view.Member(flow.ShortIDOf("far"))
		return poll.Compare(gocmp.Equal(ok, false))
	}, poll.WithTimeout(testTimeout))
	for range 20 {
		send(t, caller, at, continuingPacket())
		assert.Equal(t, near.receive(t).ZoneRevision, uint64(9))
	}
	d.ZoneRevision = 8
	near.send(t, b.DataAddress(), near.answer(d, "x"))
	g = <-found
	assert.Equal(t, g.Agent, "near")
	assert.Assert(t, g.AgentOutdated())
}

// Guards against readers that reorder the packets of a flow, which QUIC treats as loss.
func TestOrderIsKept(t *testing.T) {
	const packets = 32
	var brd board.Board
	a := newFakeAgent(t, "first")
	a.announce(t, &brd, "orders", "a", 1, board.PhaseReady)
	contractAddr := freeAddress(t)
	mergeContract(t, &brd, "orders", 1, contractAddr)
	b, _ := startBalancer(t, &brd)
	at := serviceAddress(t, b, "orders", contractAddr)
	caller := listen(t)
	for round := range 20 {
		for i := range packets {
			send(t, caller, at, []byte{0x43, byte(i)})
		}
		var d wire.Datagram
		for i := range packets {
			d = a.receive(t)
			assert.Equal(t, int(d.Payload[1]), i, "round %d, from the caller", round)
		}
		for i := range packets {
			a.send(t, b.DataAddress(), a.answer(d, string(rune('A'+i))))
		}
		for i := range packets {
			answer, _ := receive(t, caller)
			assert.Equal(t, string(answer), string(rune('A'+i)), "round %d, from the agent", round)
		}
	}
}

// Guards against views that reflect an unreachable zone only after the next full rebuild.
func TestUnreachableZoneUpdatesViewsAtOnce(t *testing.T) {
	var brd board.Board
	b, _ := newBalancer(t, &brd)
	newFakeAgent(t, "agent1").announce(t, &brd, "orders", "a", 1, board.PhaseReady)
	mergeContract(t, &brd, "orders", 1, freeAddress(t))
	memberFlags := func() (acceptsFlows, ownsFlows bool) {
		b.services.Store(b.buildTable(time.Now(), b.rebuilds.take()))
		m, ok := b.services.Load().services[flow.ServiceIDOf("orders")].view.Member(flow.ShortIDOf("agent1"))
		assert.Assert(t, ok)
		return m.AcceptsFlows(), m.OwnsFlows()
	}
	for seq := range uint64(4) {
		r := board.NewZoneReachability("a", seq)
		mergeRecord(t, &brd, board.KindZoneReachability, "a", r.Version, r.Value)
		acceptsFlows, ownsFlows := memberFlags()
		assert.Equal(t, acceptsFlows, seq%2 == 0)
		assert.Equal(t, ownsFlows, seq%2 == 0)
	}
}
