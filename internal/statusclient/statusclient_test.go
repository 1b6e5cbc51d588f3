package statusclient

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/internal/control"
	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Guards against reporting an agent as up to date because its balancer is, although the agent has not applied the change.
func TestProgressOfAgents(t *testing.T) {
	reply := control.AppliedReply{
		ID:      "lb",
		Records: []control.RecordStatus{{Kind: "zone", Key: "a", Revision: 7}, {Kind: "contract", Key: "a", Revision: 9}},
		Agents:  []control.AgentApplied{{ID: "in-step", Contract: 9, InStep: true}, {ID: "behind", Contract: 8}},
	}
	for key, want := range map[string][]store.Revision{
		configvalue.ZoneKey("a"): {7, 7, 0}, configvalue.ContractKey("a"): {9, 9, 8}, configvalue.BackendKey("a"): {0, 0, 0},
	} {
		ps, err := progressOf(reply, key)
		assert.NilError(t, err)
		for i, p := range ps {
			assert.Equal(t, p.Applied, want[i], "%s of %s", key, p.ID)
		}
	}
}

// Guards against reporting a suspect or leaving process as in service, or a dead one as a member.
func TestProcessStates(t *testing.T) {
	for _, c := range []struct {
		kind, phase, liveness string
		member, inService     bool
		state                 string
	}{
		{"agent", "ready", "alive", true, true, "ready"},
		{"agent", "cold", "alive", true, true, "cold"},
		{"agent", "draining", "alive", true, false, "draining"},
		{"agent", "ready", "suspect", true, false, "suspect"},
		{"agent", "ready", "dead", false, false, "dead"},
		{"agent", "left", "alive", false, false, "left"},
		{"balancer", "serving", "alive", true, true, "serving"},
		{"balancer", "leaving", "alive", true, false, "leaving"},
	} {
		p := processOf(control.MemberStatus{Kind: c.kind, Phase: c.phase, Verdict: c.liveness})
		got := operator.Process{Kind: operator.Kind(c.kind), State: c.state, Member: c.member, InService: c.inService}
		assert.Equal(t, p, got)
	}
}

// Guards against an error that is reported for the wrong balancer.
func TestProgressKeepsTheOrder(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := closed.Addr().(*net.TCPAddr).AddrPort()
	assert.NilError(t, closed.Close())
	balancers := make([]netip.AddrPort, 2*maxConcurrentCalls)
	for i := range balancers {
		balancers[i] = address
	}
	replies := New(nil, make([]byte, 32)).Progress(context.Background(), balancers, configvalue.ZoneKey("a"))
	assert.Equal(t, len(replies), len(balancers))
	for _, r := range replies {
		assert.ErrorContains(t, r.Err, "cannot reach "+address.String())
	}
}
