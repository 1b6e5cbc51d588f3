package balancer

import (
	"encoding/binary"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// relay is the baseline for forwarding. It uses the balancer's sockets, workers and system calls, but prefixes packets
// with the caller's IPv4 address and port instead of an authenticated frame, and has one agent instead of steering.
type relay struct {
	front, back           *net.UDPConn
	frontBatch, backBatch *batchConn
	agent                 netip.AddrPort
	forwarded, returned   prometheus.Counter
}

const relayHeader = 6

func putCaller(b []byte, caller netip.AddrPort) {
	ip := caller.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], caller.Port())
}

func getCaller(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}

func (r *relay) serveCallers(batched bool) {
	w := newBatchWorker(wire.MaxDatagram, r.forwarded, r.forwarded)
	for batched {
		err := w.read(r.frontBatch, func(caller netip.AddrPort, packet []byte) {
			b := w.nextBuffer()[:relayHeader+len(packet)]
			putCaller(b, caller)
			copy(b[relayHeader:], packet)
			w.queue(r.backBatch, b, r.agent)
		})
		if err != nil {
			return
		}
	}
	buf := make([]byte, wire.MaxDatagram)
	for {
		n, caller, err := r.front.ReadFromUDPAddrPort(buf[relayHeader:])
		if err != nil {
			return
		}
		putCaller(buf, caller)
		_, _ = r.back.WriteToUDPAddrPort(buf[:relayHeader+n], r.agent)
		r.forwarded.Inc()
	}
}

func (r *relay) serveReturns(batched bool) {
	w := newBatchWorker(wire.MaxDatagram, r.returned, r.returned)
	for batched {
		err := w.read(r.backBatch, func(_ netip.AddrPort, packet []byte) {
			w.queue(r.frontBatch, packet[relayHeader:], getCaller(packet))
		})
		if err != nil {
			return
		}
	}
	buf := make([]byte, wire.MaxDatagram)
	for {
		n, _, err := r.back.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		_, _ = r.front.WriteToUDPAddrPort(buf[relayHeader:n], getCaller(buf))
		r.returned.Inc()
	}
}

func newRelay(tb testing.TB, agent netip.AddrPort, batched bool) *relay {
	tb.Helper()
	counter := func() prometheus.Counter { return prometheus.NewCounter(prometheus.CounterOpts{Name: "relay"}) }
	r := &relay{front: listen(tb), back: listen(tb), agent: agent, forwarded: counter(), returned: counter()}
	r.frontBatch, r.backBatch = newBatchConn(r.front), newBatchConn(r.back)
	for _, c := range []*net.UDPConn{r.front, r.back} {
		assert.NilError(tb, c.SetReadBuffer(socketBuffer))
	}
	go r.serveCallers(batched)
	go r.serveReturns(batched)
	return r
}

// measure sends packets faster than they are forwarded and reports the rate of forwarded packets.
func measure(b *testing.B, to netip.AddrPort, packet []byte, forwarded func() int64) {
	b.Helper()
	var stop atomic.Bool
	defer stop.Store(true)
	for range senders {
		conn := listen(b)
		go func() {
			for !stop.Load() {
				_, _ = conn.WriteToUDPAddrPort(packet, to)
			}
		}()
	}
	for forwarded() == 0 {
		runtime.Gosched()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := forwarded()
	b.ResetTimer()
	for forwarded() < start+int64(b.N) {
		time.Sleep(5 * time.Millisecond)
	}
	b.StopTimer()
	n := forwarded() - start
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "packets/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(n), "allocs/packet")
}

// senders is the number of sending goroutines; it must exceed the one reader.
const senders = 2

// BenchmarkForward compares the packet rate in each direction with that of a bare relay that makes the same system calls
// and that of a relay that reads and writes single packets, for packets of 1,200 bytes.
func BenchmarkForward(b *testing.B) {
	var brd board.Board
	a := newFakeAgent(b, "first")
	a.announce(b, &brd, "orders", "a", 1, board.PhaseReady)
	contractAddr := freeAddress(b)
	mergeContract(b, &brd, "orders", 1, contractAddr)
	bal, _ := startBalancer(b, &brd)
	at := serviceAddress(b, bal, "orders", contractAddr)
	batched, single := newRelay(b, localAddress(a.conn), true), newRelay(b, localAddress(a.conn), false)
	packet := append(continuingPacket(), make([]byte, 1200)...)[:1200]
	caller := localAddress(listen(b))
	bench := func(name string, to netip.AddrPort, packet []byte, c prometheus.Counter) {
		b.Run(name, func(b *testing.B) {
			measure(b, to, packet, func() int64 { return int64(testutil.ToFloat64(c)) })
		})
	}
	bench("callers/relay-single", localAddress(single.front), packet, single.forwarded)
	bench("callers/relay", localAddress(batched.front), packet, batched.forwarded)
	bench("callers/balancer", at, packet, bal.metrics.forwarded)

	raw := append(make([]byte, relayHeader), packet...)
	putCaller(raw, caller)
	sealed, err := a.sealer.Append(nil, &wire.Datagram{
		Kind: wire.KindReturn, Service: flow.ServiceIDOf("orders"), Caller: caller, Address: at,
		Owner: flow.ShortIDOf("first"), Established: true, Payload: packet,
	})
	assert.NilError(b, err)
	bench("agents/relay-single", localAddress(single.back), raw, single.returned)
	bench("agents/relay", localAddress(batched.back), raw, batched.returned)
	bench("agents/balancer", bal.DataAddress(), sealed, bal.metrics.returned)
}

// BenchmarkReordering sends bursts of one flow in each direction and reports the share of packets that arrive after one
// sent at least 3 packets later, which QUIC treats as lost.
func BenchmarkReordering(b *testing.B) {
	var brd board.Board
	a := newFakeAgent(b, "first")
	a.announce(b, &brd, "orders", "a", 1, board.PhaseReady)
	contractAddr := freeAddress(b)
	mergeContract(b, &brd, "orders", 1, contractAddr)
	bal, _ := startBalancer(b, &brd)
	at := serviceAddress(b, bal, "orders", contractAddr)
	caller := listen(b)
	packet := append(continuingPacket(), make([]byte, 1200)...)[:1200]
	last := len(packet) - 1
	b.Run("callers", func(b *testing.B) {
		measureLate(b, func(i byte) {
			packet[last] = i
			send(b, caller, at, packet)
		}, func() byte { return a.receive(b).Payload[last] })
	})
	d := wire.Datagram{
		Kind: wire.KindReturn, Service: flow.ServiceIDOf("orders"), Caller: localAddress(caller), Address: at,
		Owner: flow.ShortIDOf("first"), Established: true, Payload: packet,
	}
	b.Run("agents", func(b *testing.B) {
		measureLate(b, func(i byte) {
			packet[last] = i
			a.send(b, bal.DataAddress(), d)
		}, func() byte {
			p, _ := receive(b, caller)
			return p[last]
		})
	})
}

func measureLate(b *testing.B, send func(i byte), receive func() byte) {
	b.Helper()
	const burst, threshold = 32, 3
	late, received := 0, 0
	for b.Loop() {
		for i := range burst {
			send(byte(i))
		}
		highest := 0
		for range burst {
			i := int(receive())
			received++
			if i+threshold <= highest {
				late++
			}
			highest = max(highest, i)
		}
	}
	b.ReportMetric(100*float64(late)/float64(received), "%late")
}
