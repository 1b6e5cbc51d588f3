package balancer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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
	testTimeout      = 10 * time.Second
)

func mergeRecord(tb testing.TB, b *board.Board, kind board.Kind, key string, v board.Version, value board.Value) {
	tb.Helper()
	_, err := b.Merge(board.Record{ID: board.ID{Kind: kind, Key: key}, Version: v, Value: value})
	assert.NilError(tb, err)
}

func mergeContract(tb testing.TB, b *board.Board, service string, revision uint64, addresses ...string) {
	tb.Helper()
	text := fmt.Sprintf(`{"service":%q,"addresses":["%s"],"zones":["a","b"],"backend":{"slots":2},"cold_start":{"slots":1},
		"change":{"min_backends_in_service":1,"zone_out_grace_ms":500}}`, service, strings.Join(addresses, `","`))
	c, findings := contract.Decode("test.json", []byte(text))
	assert.Equal(tb, findings.Len(), 0)
	mergeRecord(tb, b, board.KindContract, service, board.Version{Seq: revision}, board.Contract{Contract: c})
}

// fakeAgent has the data socket of an agent and no backend server.
type fakeAgent struct {
	id     string
	conn   *net.UDPConn
	sealer *wire.Sealer
	served atomic.Int64
}

func newFakeAgent(tb testing.TB, id string) *fakeAgent {
	tb.Helper()
	sealer, err := wire.NewSealer(testKey, wire.PurposeData, agentIncarnation)
	assert.NilError(tb, err)
	return &fakeAgent{id: id, conn: listen(tb), sealer: sealer}
}

func (a *fakeAgent) announce(tb testing.TB, b *board.Board, service, zone string, seq uint64, phase board.Phase) {
	tb.Helper()
	mergeRecord(tb, b, board.KindAgent, a.id, board.Version{Epoch: agentIncarnation, Seq: seq},
		board.Agent{Service: service, Zone: zone, Phase: phase, DataAddress: localAddress(a.conn)})
}

func (a *fakeAgent) receive(tb testing.TB) wire.Datagram {
	tb.Helper()
	buf, _ := receive(tb, a.conn)
	var d wire.Datagram
	assert.NilError(tb, a.sealer.Open(&d, buf))
	return d
}

// serve calls handle for each datagram until the socket is closed.
func (a *fakeAgent) serve(handle func(wire.Datagram)) {
	buf := make([]byte, 4096)
	for {
		n, _, err := a.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var d wire.Datagram
		if a.sealer.Open(&d, buf[:n]) == nil {
			a.served.Add(1)
			handle(d)
		}
	}
}

// answer returns the return datagram for a forwarded one.
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
	assert.NilError(tb, a.trySend(to, d))
}

// trySend sends a datagram; goroutines that outlive the test ignore its error.
func (a *fakeAgent) trySend(to netip.AddrPort, d wire.Datagram) error {
	b, err := a.sealer.Append(nil, &d)
	if err == nil {
		_, err = a.conn.WriteToUDPAddrPort(b, to)
	}
	return err
}

// freeAddress returns an unused service address; contracts do not allow port 0.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 1, 1)})
	assert.NilError(tb, err)
	assert.NilError(tb, conn.Close())
	return conn.LocalAddr().String()
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
	assert.NilError(tb, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	n, from, err := conn.ReadFromUDPAddrPort(buf)
	assert.NilError(tb, err)
	return buf[:n], from
}

func send(tb testing.TB, conn *net.UDPConn, to netip.AddrPort, packet []byte) {
	tb.Helper()
	_, err := conn.WriteToUDPAddrPort(packet, to)
	assert.NilError(tb, err)
}

// initialPacket returns the start of a QUIC version 1 Initial packet, padded as RFC 9000 requires.
func initialPacket() []byte {
	p := make([]byte, 1200)
	copy(p, []byte{0xc0, 0, 0, 0, 1})
	return p
}

func newBalancer(tb testing.TB, brd *board.Board) (*Balancer, *prometheus.Registry) {
	tb.Helper()
	registry := prometheus.NewRegistry()
	b, err := New(Config{
		ID: "b1", Zone: "a", DataAddress: netip.MustParseAddrPort("127.0.0.1:0"), SharedKey: testKey,
		Incarnation: 1, Board: brd, Registerer: registry,
	})
	assert.NilError(tb, err)
	return b, registry
}

// run runs a balancer and returns a function that stops it and waits until Run returns.
func run(tb testing.TB, b *Balancer) (stop func()) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		assert.NilError(tb, <-done)
	})
	tb.Cleanup(stop)
	return stop
}

func startBalancer(tb testing.TB, brd *board.Board) (*Balancer, *prometheus.Registry) {
	tb.Helper()
	b, registry := newBalancer(tb, brd)
	run(tb, b)
	return b, registry
}

// serviceAddress waits until the balancer has a socket for a contract's address and returns the bound address.
func serviceAddress(tb testing.TB, b *Balancer, service, contractAddress string) netip.AddrPort {
	tb.Helper()
	var bound netip.AddrPort
	poll.WaitOn(tb, func(poll.LogT) poll.Result {
		s, ok := b.services.Load().services[flow.ServiceIDOf(service)]
		if !ok {
			return poll.Continue("no service")
		}
		sock := s.socketFor(netip.MustParseAddrPort(contractAddress))
		if sock == nil {
			return poll.Continue("no socket")
		}
		bound = localAddress(sock.conn)
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
	return bound
}

// Guards against answers with another source address than the one the caller used, and against packets that reach agents
// of another service.
func TestForwardAndReturn(t *testing.T) {
	var brd board.Board
	first, second := newFakeAgent(t, "first"), newFakeAgent(t, "second")
	first.announce(t, &brd, "orders", "a", 1, board.PhaseReady)
	second.announce(t, &brd, "catalogue", "a", 1, board.PhaseReady)
	addresses := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	mergeContract(t, &brd, "orders", 1, addresses[:2]...)
	mergeContract(t, &brd, "catalogue", 2, addresses[2])
	b, _ := startBalancer(t, &brd)
	cases := []struct {
		service, contractAddr string
		agent                 *fakeAgent
	}{
		{"orders", addresses[0], first},
		{"orders", addresses[1], first},
		{"catalogue", addresses[2], second},
	}
	for _, c := range cases {
		at := serviceAddress(t, b, c.service, c.contractAddr)
		caller := listen(t)
		send(t, caller, at, initialPacket())
		d := c.agent.receive(t)
		assert.Equal(t, d.Service, flow.ServiceIDOf(c.service))
		assert.Equal(t, d.Caller, localAddress(caller))
		assert.Equal(t, d.Balancer, b.DataAddress())
		assert.Assert(t, d.Opening)
		assert.DeepEqual(t, d.Payload, initialPacket())
		c.agent.send(t, d.Balancer, c.agent.answer(d, "hello"))
		answer, from := receive(t, caller)
		assert.Equal(t, string(answer), "hello")
		assert.Equal(t, from, at)
	}
}

// Guards against sockets that remain open or are missing after a contract change.
func TestSocketsFollowContracts(t *testing.T) {
	var brd board.Board
	b, _ := startBalancer(t, &brd)
	before, after := freeAddress(t), freeAddress(t)
	mergeContract(t, &brd, "orders", 1, before)
	serviceAddress(t, b, "orders", before)
	mergeContract(t, &brd, "orders", 2, after)
	serviceAddress(t, b, "orders", after)
	s := b.services.Load().services[flow.ServiceIDOf("orders")]
	assert.Equal(t, len(s.sockets), 1)
}

// counters returns the nonzero counters of a metric by their label values, joined with spaces.
func counters(tb testing.TB, r *prometheus.Registry, metric string) map[string]int {
	tb.Helper()
	families, err := r.Gather()
	assert.NilError(tb, err)
	counts := make(map[string]int)
	for _, f := range families {
		if f.GetName() != "bramleymast_balancer_"+metric {
			continue
		}
		for _, m := range f.GetMetric() {
			labels := make([]string, 0, len(m.GetLabel()))
			for _, l := range m.GetLabel() {
				labels = append(labels, l.GetValue())
			}
			if n := int(m.GetCounter().GetValue()); n > 0 {
				counts[strings.Join(labels, " ")] = n
			}
		}
	}
	return counts
}

// Guards against dropped packets that are not counted or are counted under a wrong reason.
func TestDropsAreCountedByReason(t *testing.T) {
	var brd board.Board
	a := newFakeAgent(t, "first")
	contractAddr := freeAddress(t)
	mergeContract(t, &brd, "orders", 1, contractAddr, freeAddress(t))
	b, registry := startBalancer(t, &brd)
	at := serviceAddress(t, b, "orders", contractAddr)
	caller := listen(t)
	send(t, caller, at, initialPacket())
	send(t, caller, at, initialPacket()[:minOpeningSize-1])
	send(t, caller, at, nil)
	send(t, caller, at, make([]byte, wire.MaxPayload+1))

	good := wire.Datagram{
		Kind: wire.KindReturn, Service: flow.ServiceIDOf("orders"), Caller: localAddress(caller),
		Address: at, Payload: []byte("x"),
	}
	unknownService, unknownAddress, forward := good, good, good
	unknownService.Service = flow.ServiceIDOf("catalogue")
	unknownAddress.Address = netip.MustParseAddrPort("127.0.1.9:9")
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
		"forward no_member": 1, "forward short_opening": 1, "forward malformed": 1, "forward oversized": 1,
		"return unknown_service": 1, "return unknown_address": 1, "return malformed": 1,
		"return unauthentic": 1, "return oversized": 1,
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return poll.Compare(gocmp.DeepEqual(counters(t, registry, "dropped_total"), want))
	}, poll.WithTimeout(testTimeout))
}

// Guards against a shutdown that loses packets the balancer has already read.
func TestStopDropsNothingThatWasRead(t *testing.T) {
	var brd board.Board
	a := newFakeAgent(t, "first")
	a.announce(t, &brd, "orders", "a", 1, board.PhaseReady)
	contractAddr := freeAddress(t)
	mergeContract(t, &brd, "orders", 1, contractAddr)
	b, registry := newBalancer(t, &brd)
	stop := run(t, b)
	at := serviceAddress(t, b, "orders", contractAddr)
	go a.serve(func(d wire.Datagram) { a.trySend(d.Balancer, a.answer(d, "x")) })
	answered := make(chan struct{}, 1)
	for range 8 {
		caller := listen(t)
		go func() {
			buf := make([]byte, 100)
			for {
				if _, err := caller.WriteToUDPAddrPort(initialPacket(), at); err != nil {
					return
				}
				if _, _, err := caller.ReadFromUDPAddrPort(buf); err != nil {
					return
				}
				select {
				case answered <- struct{}{}:
				default:
				}
			}
		}()
	}
	for range 500 {
		<-answered
	}
	stop()
	received, sent := counters(t, registry, "received_total"), counters(t, registry, "packets_total")
	assert.DeepEqual(t, sent, received)
	assert.Assert(t, sent["forward"] >= 500)
	assert.Equal(t, len(counters(t, registry, "dropped_total")), 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return poll.Compare(gocmp.Equal(int(a.served.Load()), sent["forward"]))
	}, poll.WithTimeout(testTimeout))
}

// Guards against packets to a zone after the contract's grace period, also from a process that was paused when the
// period ended and has not rebuilt its table.
func TestZoneIsClosedAfterGracePeriod(t *testing.T) {
	var brd board.Board
	near, far := newFakeAgent(t, "near"), newFakeAgent(t, "far")
	near.announce(t, &brd, "orders", "a", 1, board.PhaseReady)
	far.announce(t, &brd, "orders", "b", 1, board.PhaseReady)
	mergeContract(t, &brd, "orders", 1, freeAddress(t))
	c, _, _ := brd.Contract("orders")
	b, _ := newBalancer(t, &brd)
	defer b.closeSockets()
	now := time.Unix(1_000_000, 0)
	mergeRecord(t, &brd, board.KindZone, "b", board.Version{Seq: 2}, board.Zone{Availability: contract.NewAvailability(true, "", "")})
	b.services.Store(b.buildTable(now, rebuildScope{allViews: true}))
	member := func(now time.Time) (*flow.Member, bool) {
		return b.currentTable(now).services[flow.ServiceIDOf("orders")].view.Member(flow.ShortIDOf("far"))
	}
	m, ok := member(now.Add(c.ZoneOutGracePeriod() - 1))
	assert.Assert(t, ok && m.OwnsFlows() && !m.AcceptsFlows())
	_, ok = member(now.Add(c.ZoneOutGracePeriod()))
	assert.Assert(t, !ok)
	mergeRecord(t, &brd, board.KindZone, "b", board.Version{Seq: 3}, board.Zone{})
	b.services.Store(b.buildTable(now.Add(time.Minute), b.rebuilds.take()))
	m, ok = member(now.Add(time.Minute))
	assert.Assert(t, ok && m.AcceptsFlows())
}

// Guards against a key derivation for each spoofed sender, and against rejecting agents on the board along with them.
func TestSpoofedSendersAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMembers()
		m.add("first", "orders", agentIncarnation)
		admitted := 0
		for i := range 10 * unknownSenderBurst {
			if m.admit(uint64(1000 + i)) {
				admitted++
			}
		}
		assert.Equal(t, admitted, unknownSenderBurst)
		assert.Assert(t, m.admit(agentIncarnation))
		time.Sleep(time.Second)
		assert.Assert(t, m.admit(1))
	})
}

// Guards against a contract that takes over an address of another contract.
func TestAddressStaysWithItsService(t *testing.T) {
	var brd board.Board
	b, _ := startBalancer(t, &brd)
	shared, own := freeAddress(t), freeAddress(t)
	mergeContract(t, &brd, "orders", 1, shared)
	at := serviceAddress(t, b, "orders", shared)
	mergeContract(t, &brd, "catalogue", 2, shared, own)
	serviceAddress(t, b, "catalogue", own)
	services := b.services.Load().services
	assert.Assert(t, services[flow.ServiceIDOf("orders")].socketFor(at) != nil)
	assert.Assert(t, services[flow.ServiceIDOf("catalogue")].socketFor(at) == nil)
}

// Guards against heap allocations per packet between read and write, in both directions.
func TestForwardingAllocatesNothing(t *testing.T) {
	var brd board.Board
	a := newFakeAgent(t, "first")
	a.announce(t, &brd, "orders", "a", 1, board.PhaseReady)
	contractAddr := freeAddress(t)
	mergeContract(t, &brd, "orders", 1, contractAddr)
	b, _ := startBalancer(t, &brd)
	at := serviceAddress(t, b, "orders", contractAddr)
	sock := b.services.Load().services[flow.ServiceIDOf("orders")].sockets[0]
	caller := localAddress(listen(t))
	answer, err := a.sealer.Append(nil, &wire.Datagram{
		Kind: wire.KindReturn, Service: sock.serviceID, Caller: caller, Address: at, Established: true, Payload: []byte("x"),
	})
	assert.NilError(t, err)
	sent, failed := b.metrics.forwarded, b.metrics.forwardDrops.sendFailed
	w, packet := newBatchWorker(wire.MaxPayload, sent, failed), initialPacket()
	w.beginBatch()
	defer w.endBatch()
	assert.Equal(t, testing.AllocsPerRun(100, func() { err = b.forward(w, sock, caller, packet) }), 0.0)
	assert.NilError(t, err)
	assert.Equal(t, testing.AllocsPerRun(100, func() { err = b.returnToCaller(w, localAddress(a.conn), answer) }), 0.0)
	assert.NilError(t, err)
}

// Guards against batches that only support IPv4: the service address is IPv6, the data addresses are IPv4.
func TestForwardIPv6(t *testing.T) {
	caller, err := net.ListenUDP("udp6", &net.UDPAddr{IP: net.IPv6loopback})
	assert.NilError(t, err)
	defer caller.Close()
	free, err := net.ListenUDP("udp6", &net.UDPAddr{IP: net.IPv6loopback})
	assert.NilError(t, err)
	contractAddr := free.LocalAddr().String()
	assert.NilError(t, free.Close())
	var brd board.Board
	a := newFakeAgent(t, "first")
	a.announce(t, &brd, "orders", "a", 1, board.PhaseReady)
	mergeContract(t, &brd, "orders", 1, contractAddr)
	b, _ := startBalancer(t, &brd)
	at := serviceAddress(t, b, "orders", contractAddr)
	send(t, caller, at, initialPacket())
	d := a.receive(t)
	assert.Equal(t, d.Caller, localAddress(caller))
	a.send(t, d.Balancer, a.answer(d, "hello"))
	answer, from := receive(t, caller)
	assert.Equal(t, string(answer), "hello")
	assert.Equal(t, from, at)
}
