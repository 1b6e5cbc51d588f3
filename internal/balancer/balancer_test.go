package balancer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	gocmp "gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

var testKey = bytes.Repeat([]byte{7}, wire.KeySize)

const (
	agentIncarnation = 100
	testWait         = 10 * time.Second
)

func mergeRecord(tb testing.TB, b *board.Board, kind board.Kind, key string, v board.Version, value board.Value) {
	tb.Helper()
	_, err := b.Merge(board.Record{ID: board.ID{Kind: kind, Key: key}, Version: v, Value: value})
	assert.NilError(tb, err)
}

func mergeContract(tb testing.TB, b *board.Board, service string, revision uint64, addresses ...string) {
	tb.Helper()
	text := fmt.Sprintf(`{"service":%q,"addresses":["%s"],"zones":["a","b"],"backend":{"slots":2},"cold_start":{"slots":1},
		"change":{"min_backends_in_service":1,"zone_out_grace_ms":0}}`, service, joinAddresses(addresses))
	c, findings := contract.Decode("test.json", []byte(text))
	assert.Equal(tb, findings.Len(), 0)
	mergeRecord(tb, b, board.KindContract, service, board.Version{Seq: revision}, board.Contract{Contract: c})
}

func joinAddresses(addresses []string) string {
	var b bytes.Buffer
	for i, a := range addresses {
		if i > 0 {
			b.WriteString(`","`)
		}
		b.WriteString(a)
	}
	return b.String()
}

// fakeAgent is the data socket of an agent.
type fakeAgent struct {
	id     string
	conn   *net.UDPConn
	sealer *wire.Sealer
}

func newFakeAgent(tb testing.TB, id string) *fakeAgent {
	tb.Helper()
	sealer, err := wire.NewSealer(testKey, wire.PurposeData, agentIncarnation)
	assert.NilError(tb, err)
	return &fakeAgent{id: id, conn: listen(tb), sealer: sealer}
}

func (a *fakeAgent) join(tb testing.TB, b *board.Board, service, zone string, seq uint64, phase board.Phase) {
	tb.Helper()
	mergeRecord(tb, b, board.KindAgent, a.id, board.Version{Epoch: agentIncarnation, Seq: seq},
		board.Agent{Service: service, Zone: zone, Phase: phase, Data: localAddress(a.conn)})
}

func (a *fakeAgent) receive(tb testing.TB) wire.Datagram {
	tb.Helper()
	buf, _ := receive(tb, a.conn)
	var d wire.Datagram
	assert.NilError(tb, a.sealer.Open(&d, buf))
	return d
}

// answer returns the datagram that answers a forwarded one.
func (a *fakeAgent) answer(d wire.Datagram, payload string) wire.Datagram {
	d.Kind = wire.KindReturn
	d.Owner = flow.ShortIDOf(a.id)
	d.Established = true
	d.Opening = false
	d.Payload = []byte(payload)
	return d
}

func (a *fakeAgent) send(tb testing.TB, to netip.AddrPort, d wire.Datagram) {
	tb.Helper()
	b, err := a.sealer.Append(nil, &d)
	assert.NilError(tb, err)
	_, err = a.conn.WriteToUDPAddrPort(b, to)
	assert.NilError(tb, err)
}

func listen(tb testing.TB) *net.UDPConn {
	tb.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(tb, err)
	tb.Cleanup(func() { conn.Close() })
	return conn
}

func receive(tb testing.TB, conn *net.UDPConn) ([]byte, netip.AddrPort) {
	tb.Helper()
	buf := make([]byte, 4096)
	assert.NilError(tb, conn.SetReadDeadline(time.Now().Add(testWait)))
	n, from, err := conn.ReadFromUDPAddrPort(buf)
	assert.NilError(tb, err)
	return buf[:n], from
}

func send(tb testing.TB, conn *net.UDPConn, to netip.AddrPort, packet []byte) {
	tb.Helper()
	_, err := conn.WriteToUDPAddrPort(packet, to)
	assert.NilError(tb, err)
}

// initial returns the start of a QUIC version 1 Initial packet, padded as RFC 9000 demands.
func initial() []byte {
	p := make([]byte, 1200)
	copy(p, []byte{0xc0, 0, 0, 0, 1})
	return p
}

func startBalancer(tb testing.TB, brd *board.Board) (*Balancer, *prometheus.Registry) {
	tb.Helper()
	registry := prometheus.NewRegistry()
	b, err := New(Config{
		ID: "b1", Zone: "a", DataAddress: netip.MustParseAddrPort("127.0.0.1:0"), SharedKey: testKey,
		Incarnation: 1, Board: brd, Registerer: registry,
	})
	assert.NilError(tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		assert.NilError(tb, <-done)
	})
	return b, registry
}

// serviceAddress waits until the balancer has a socket for a contract's address and returns where it is.
func serviceAddress(tb testing.TB, b *Balancer, service, listed string) netip.AddrPort {
	tb.Helper()
	var bound netip.AddrPort
	poll.WaitOn(tb, func(poll.LogT) poll.Result {
		s, ok := b.services.Load().services[flow.ServiceIDOf(service)]
		if !ok {
			return poll.Continue("no service")
		}
		k := s.find(netip.MustParseAddrPort(listed))
		if k == nil {
			return poll.Continue("no socket")
		}
		bound = localAddress(k.conn)
		return poll.Success()
	}, poll.WithTimeout(testWait))
	return bound
}

// Guards against answers that leave from another address than the caller used, and against services that mix.
func TestForwardAndReturn(t *testing.T) {
	var brd board.Board
	first, second := newFakeAgent(t, "first"), newFakeAgent(t, "second")
	first.join(t, &brd, "orders", "a", 1, board.PhaseReady)
	second.join(t, &brd, "catalogue", "a", 1, board.PhaseReady)
	mergeContract(t, &brd, "orders", 1, "127.0.1.1:0", "127.0.1.2:0")
	mergeContract(t, &brd, "catalogue", 2, "127.0.1.3:0")
	b, _ := startBalancer(t, &brd)
	cases := []struct {
		service, listed string
		agent           *fakeAgent
	}{
		{"orders", "127.0.1.1:0", first},
		{"orders", "127.0.1.2:0", first},
		{"catalogue", "127.0.1.3:0", second},
	}
	for _, c := range cases {
		at := serviceAddress(t, b, c.service, c.listed)
		caller := listen(t)
		send(t, caller, at, initial())
		d := c.agent.receive(t)
		assert.Equal(t, d.Service, flow.ServiceIDOf(c.service))
		assert.Equal(t, d.Caller, localAddress(caller))
		assert.Equal(t, d.Balancer, b.DataAddress())
		assert.Assert(t, d.Opening)
		assert.DeepEqual(t, d.Payload, initial())
		c.agent.send(t, d.Balancer, c.agent.answer(d, "hello"))
		answer, from := receive(t, caller)
		assert.Equal(t, string(answer), "hello")
		assert.Equal(t, from, at)
	}
}

// Guards against sockets that stay open, or are missing, after a contract has changed.
func TestSocketsFollowContracts(t *testing.T) {
	var brd board.Board
	b, _ := startBalancer(t, &brd)
	mergeContract(t, &brd, "orders", 1, "127.0.1.1:0")
	serviceAddress(t, b, "orders", "127.0.1.1:0")
	mergeContract(t, &brd, "orders", 2, "127.0.1.2:0")
	serviceAddress(t, b, "orders", "127.0.1.2:0")
	s := b.services.Load().services[flow.ServiceIDOf("orders")]
	assert.Equal(t, len(s.sockets), 1)
}

// dropped returns the drop counters that are not zero, as "direction reason" and count.
func dropped(tb testing.TB, r *prometheus.Registry) map[string]int {
	tb.Helper()
	families, err := r.Gather()
	assert.NilError(tb, err)
	counts := make(map[string]int)
	for _, f := range families {
		if f.GetName() != "bramleymast_balancer_dropped_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			if n := int(m.GetCounter().GetValue()); n > 0 {
				counts[m.GetLabel()[0].GetValue()+" "+m.GetLabel()[1].GetValue()] = n
			}
		}
	}
	return counts
}

// Guards against dropped packets that are not counted, or counted by another reason.
func TestDropsAreCountedByReason(t *testing.T) {
	var brd board.Board
	a := newFakeAgent(t, "first")
	mergeContract(t, &brd, "orders", 1, "127.0.1.1:0", "127.0.1.2:0")
	b, registry := startBalancer(t, &brd)
	at := serviceAddress(t, b, "orders", "127.0.1.1:0")
	caller := listen(t)
	send(t, caller, at, initial())
	send(t, caller, at, nil)
	send(t, caller, at, make([]byte, wire.MaxPayload+1))

	good := wire.Datagram{
		Kind: wire.KindReturn, Service: flow.ServiceIDOf("orders"), Caller: localAddress(caller),
		Address: netip.MustParseAddrPort("127.0.1.1:0"), Payload: []byte("x"),
	}
	unknownService, unknownAddress, forward := good, good, good
	unknownService.Service = flow.ServiceIDOf("catalogue")
	unknownAddress.Address = netip.MustParseAddrPort("127.0.1.9:0")
	forward.Kind = wire.KindForward
	a.send(t, b.DataAddress(), unknownService)
	a.send(t, b.DataAddress(), unknownAddress)
	a.send(t, b.DataAddress(), forward)
	forged, err := a.sealer.Append(nil, &good)
	assert.NilError(t, err)
	forged[len(forged)-1] ^= 1
	send(t, a.conn, b.DataAddress(), forged)
	send(t, a.conn, b.DataAddress(), make([]byte, wire.MaxDatagram+1))

	want := map[string]int{
		"forward no_member": 1, "forward malformed": 1, "forward oversized": 1,
		"return unknown_service": 1, "return unknown_address": 1, "return malformed": 1,
		"return unauthentic": 1, "return oversized": 1,
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return poll.Compare(gocmp.DeepEqual(dropped(t, registry), want))
	}, poll.WithTimeout(testWait))
}
