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

// Guards against an agent that counts as up to date because its balancer is, although it has not applied the change.
func TestProgressOfAgents(t *testing.T) {
	reply := control.AppliedReply{
		ID:      "lb",
		Records: []control.RecordStatus{{Kind: "zone", Key: "a", Revision: 7}, {Kind: "contract", Key: "a", Revision: 9}},
		Agents:  []control.AgentApplied{{ID: "in-step", Contract: 9, InStep: true}, {ID: "behind", Contract: 8}},
	}
	for key, want := range map[string][]store.Revision{
		configvalue.ZoneKey("a"): {7, 7, 0}, configvalue.ContractKey("a"): {9, 9, 8}, configvalue.BackendKey("a"): {0, 0, 0},
	} {
		ps, err := progress(reply, key)
		assert.NilError(t, err)
		for i, p := range ps {
			assert.Equal(t, p.Applied, want[i], "%s of %s", key, p.ID)
		}
	}
}

// Guards against a suspect or leaving process that counts as in service, or a dead one that counts as a member.
func TestProcessStates(t *testing.T) {
	for _, c := range []struct {
		kind, phase, verdict string
		member, inService    bool
		state                string
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
		p := process(control.MemberStatus{Kind: c.kind, Phase: c.phase, Verdict: c.verdict})
		got := operator.Process{Kind: operator.Kind(c.kind), State: c.state, Member: c.member, InService: c.inService}
		assert.Equal(t, p, got)
	}
}

// Guards against an answer that is given for another balancer than the one that failed.
func TestProgressKeepsTheOrder(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := closed.Addr().(*net.TCPAddr).AddrPort()
	assert.NilError(t, closed.Close())
	balancers := make([]netip.AddrPort, 2*concurrentCalls)
	for i := range balancers {
		balancers[i] = address
	}
	answers := New(nil, make([]byte, 32)).Progress(context.Background(), balancers, configvalue.ZoneKey("a"))
	assert.Equal(t, len(answers), len(balancers))
	for _, a := range answers {
		assert.ErrorContains(t, a.Err, "cannot reach "+address.String())
	}
}
