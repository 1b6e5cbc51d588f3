package control_test

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	standin "github.com/bramleymast/bramleymast/internal/standin/store"
	"github.com/bramleymast/bramleymast/internal/storeclient"
	"github.com/bramleymast/bramleymast/pkg/board"
)

// Guards against a relay that is stuck after a lost reply or an outage of the store, and against membership that
// depends on the store, with real sockets and an HTTP store.
func TestLostReplyAndOutageOverHTTP(t *testing.T) {
	s := &standin.Server{}
	h := httptest.NewServer(s)
	client := storeclient.New(h.URL)
	t.Cleanup(func() {
		client.Close()
		h.CloseClientConnections()
		h.Close()
	})
	s.SetFault(standin.Fault{LoseAnswers: 1, LoseOnly: standin.CallSwap}) // The key of the lease is written, but the reply to the relay is lost.
	b1 := start(t, "b1", "", client)
	b1.SetMember(board.Balancer{})
	waitFor(t, "relay after a lost reply", b1.Synchronised)
	b2 := start(t, "b2", "", client, b1.Address())
	b2.SetMember(board.Balancer{})
	waitFor(t, "b2 synchronised", b2.Synchronised)

	s.SetFault(standin.Fault{Down: true})
	a := start(t, "a1", "portal", nil, b1.Address(), b2.Address())
	a.SetMember(board.Agent{Phase: board.PhaseReady})
	for _, p := range []process{b1, b2} {
		waitFor(t, "agent that joined during the outage", func() bool { return len(p.board.Records(board.KindAgent)) == 1 })
	}

	s.SetFault(standin.Fault{})
	v, err := configvalue.EncodeState(configvalue.State{OperationID: "op", Author: "ann", Reason: "test", Out: true})
	assert.NilError(t, err)
	_, err = client.CompareAndSwap(t.Context(), configvalue.ZoneKey("a"), v, 0, 0)
	assert.NilError(t, err)
	for _, p := range []process{b1, b2, a} {
		waitFor(t, "zone state after the outage", func() bool { out, _ := p.board.ZoneOut("a"); return out })
	}
	assert.Assert(t, s.Calls()[standin.CallRevoke] >= 1, "the lease whose swap had an unknown outcome was not revoked: %v", s.Calls())
	assert.Assert(t, s.Calls()[standin.CallSwap] >= 2, "the relay did not try again: %v", s.Calls())
}
