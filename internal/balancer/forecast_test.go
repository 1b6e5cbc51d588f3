package balancer

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bramleymast/bramleymast/internal/forecast"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// Guards against a forecast that differs from what the balancer does with the packet, that sends packets, or that hides
// who owns a flow or why agents are excluded.
func TestForecast(t *testing.T) {
	var brd board.Board
	b, _ := startBalancer(t, &brd)
	address := netip.MustParseAddrPort(freeAddress(t))
	_, err := b.Forecast(netip.AddrPort{}, address, "")
	assert.ErrorIs(t, err, forecast.ErrNotReady)

	agents := make(map[string]*fakeAgent)
	for i := range 3 {
		a := newFakeAgent(t, fmt.Sprintf("agent-%d", i))
		a.announce(t, &brd, "orders", "a", 1, board.PhaseReady)
		agents[localAddress(a.conn).String()] = a
	}
	newFakeAgent(t, "leaving").announce(t, &brd, "orders", "b", 1, board.PhaseDraining)
	mergeContract(t, &brd, "orders", 1, address.String())
	serviceAddress(t, b, "orders", address.String())

	caller := listen(t)
	ask := func() forecast.Answer {
		a, err := b.Forecast(localAddress(caller), address, "")
		assert.NilError(t, err)
		return a
	}
	before := ask()
	assert.Equal(t, before.Owner, "")
	assert.Equal(t, len(before.Choice.Alternatives), 2)
	assert.Equal(t, before.Services[0].Agents[3].Excluded, string(board.ExcludedNotRunning))

	send(t, caller, address, initialPacket())
	d := agents[before.Choice.Agent].receive(t) // No other packet was sent.
	assert.Equal(t, d.Caller, localAddress(caller))

	owner := before.Choice.Alternatives[1]
	agents[owner].send(t, d.Balancer, agents[owner].answer(d, "hello"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a := ask(); a.Owner != owner || a.Choice.Agent != owner {
			return poll.Continue("owner %q, goes to %q", a.Owner, a.Choice.Agent)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))

	_, err = b.Forecast(localAddress(caller), netip.MustParseAddrPort("127.0.0.1:1"), "")
	assert.ErrorIs(t, err, forecast.ErrNoRoute)
	_, err = b.Forecast(localAddress(caller), address, "unknown")
	assert.ErrorIs(t, err, forecast.ErrBadQuestion)
	mergeRecord(t, &brd, board.KindZone, "a", board.Version{Seq: 2}, board.Zone{Availability: contract.NewAvailability(true, "", "")})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a := ask(); a.Refusal == "" {
			return poll.Continue("goes to %q", a.Choice.Agent)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
}

// Guards against an answer that does not fit a screen. Size: 300 agents, a third of them excluded.
func TestForecastFitsScreen(t *testing.T) {
	var brd board.Board
	b, _ := startBalancer(t, &brd)
	address := freeAddress(t)
	for i := range 300 {
		phase := board.PhaseReady
		if i%3 == 0 {
			phase = board.PhaseDraining
		}
		mergeRecord(t, &brd, board.KindAgent, fmt.Sprintf("agent-%d", i), board.Version{Epoch: agentIncarnation, Seq: 1},
			board.Agent{Service: "orders", Zone: "a", Phase: phase, DataAddress: netip.AddrPortFrom(netip.IPv4Unspecified(), 1)})
	}
	mergeContract(t, &brd, "orders", 1, address)
	serviceAddress(t, b, "orders", address)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(b.services.Load().services[flow.ServiceIDOf("orders")].view.Members()); n < 300 {
			return poll.Continue("%d agents", n)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
	a, err := b.Forecast(netip.MustParseAddrPort("10.0.0.1:0"), netip.MustParseAddrPort(address), "")
	assert.NilError(t, err)
	var text strings.Builder
	assert.NilError(t, a.Write(&text))
	assert.Assert(t, strings.Count(text.String(), "\n") < 24, "%s", text.String())
	assert.Assert(t, strings.Contains(text.String(), "10 of 200 agents that accept flows"), "%s", text.String())
	assert.Assert(t, strings.Contains(text.String(), "excluded: 100, starting or draining"), "%s", text.String())
}
