package control_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/internal/control"
	standin "github.com/bramleymast/bramleymast/internal/standin/store"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/store"
)

var key = []byte("0123456789abcdef0123456789abcdef")

const portalContract = `{"service":"portal","addresses":["10.0.0.1:443"],"zones":["a"],"backend":{"slots":2},"cold_start":{"slots":1}}`

type process struct {
	*control.Process
	board *board.Board
}

func start(t *testing.T, id, service string, s store.Store, seeds ...netip.AddrPort) process {
	t.Helper()
	p := process{board: &board.Board{}}
	var err error
	p.Process, err = control.New(control.Config{
		ID: id, Zone: "a", Service: service, Address: netip.MustParseAddrPort("127.0.0.1:0"), Seeds: seeds, SharedKey: key,
		Incarnation: uint64(time.Now().UnixNano()), Board: p.board, Store: s, Heartbeat: 50 * time.Millisecond, Budget: 1 << 20,
		Registerer: prometheus.NewRegistry(),
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return p
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Guards against a contract or a member record that does not reach every board over real sockets.
func TestRecordsReachAllBoards(t *testing.T) {
	var s standin.Memory
	b1 := start(t, "b1", "", &s)
	b1.SetMember(board.Balancer{})
	waitFor(t, "b1 synchronised", b1.Synchronised)
	b2 := start(t, "b2", "", &s, b1.Address())
	b2.SetMember(board.Balancer{})
	a1 := start(t, "a1", "portal", nil, b1.Address(), b2.Address())
	a1.SetMember(board.Agent{Phase: board.PhaseCold})
	a2 := start(t, "a2", "portal", nil, b1.Address())
	a2.SetMember(board.Agent{Phase: board.PhaseReady})
	c, list := contract.Decode("", []byte(portalContract))
	assert.NilError(t, list.Err())
	v, err := configvalue.EncodeContract(configvalue.Contract{OperationID: "op", Author: "ann", Contract: c})
	assert.NilError(t, err)
	_, err = s.CompareAndSwap(t.Context(), configvalue.ContractKey("portal"), v, 0, 0)
	assert.NilError(t, err)
	for _, p := range []process{b1, b2, a1, a2} {
		waitFor(t, "contract", func() bool { _, _, ok := p.board.Contract("portal"); return ok })
		waitFor(t, "members", func() bool { return len(p.board.Records(board.KindAgent)) == 2 })
		waitFor(t, "balancers", func() bool { return len(p.board.Records(board.KindBalancer)) == 2 })
	}
	var status control.StatusReply
	assert.NilError(t, a1.Call(t.Context(), b1.Address(), "Control.Status", control.StatusArgs{}, &status))
	assert.Equal(t, len(status.Members), 4)
	var one control.AppliedReply
	args := control.AppliedArgs{Kind: "contract", Key: "portal"}
	assert.NilError(t, a1.Call(t.Context(), b1.Address(), "Control.Applied", args, &one))
	assert.Equal(t, len(one.Records), 1, "records other than the requested one")
	waitFor(t, "agents in sync", func() bool {
		var applied control.AppliedReply
		assert.NilError(t, a1.Call(t.Context(), b1.Address(), "Control.Applied", control.AppliedArgs{}, &applied))
		return len(applied.Agents) == 2 && applied.Agents[0].InStep && applied.Agents[1].InStep
	})
}
