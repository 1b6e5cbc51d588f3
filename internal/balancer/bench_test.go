package balancer

import (
	"encoding/binary"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// relay is the baseline of forwarding: the balancer's sockets, threads and system calls, with the caller's IPv4
// address and port in front of the packet instead of a checked frame, and one agent instead of steering.
type relay struct {
	front, back         *net.UDPConn
	agent               netip.AddrPort
	forwarded, returned atomic.Int64
}

const relayHeader = 6

func (r *relay) serveCallers() {
	buf := make([]byte, wire.MaxDatagram)
	for {
		n, caller, err := r.front.ReadFromUDPAddrPort(buf[relayHeader:])
		if err != nil {
			return
		}
		ip := caller.Addr().As4()
		copy(buf, ip[:])
		binary.BigEndian.PutUint16(buf[4:], caller.Port())
		_, _ = r.back.WriteToUDPAddrPort(buf[:relayHeader+n], r.agent)
		r.forwarded.Add(1)
	}
}

func (r *relay) serveReturns() {
	buf := make([]byte, wire.MaxDatagram)
	for {
		n, _, err := r.back.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte(buf[:4])), binary.BigEndian.Uint16(buf[4:]))
		_, _ = r.front.WriteToUDPAddrPort(buf[relayHeader:n], caller)
		r.returned.Add(1)
	}
}

func newRelay(tb testing.TB, agent netip.AddrPort) *relay {
	tb.Helper()
	r := &relay{front: listen(tb), back: listen(tb), agent: agent}
	for _, c := range []*net.UDPConn{r.front, r.back} {
		assert.NilError(tb, c.SetReadBuffer(socketBuffer))
	}
	for range callerReaders {
		go r.serveCallers()
	}
	for range min(maxDataReaders, runtime.GOMAXPROCS(0)) {
		go r.serveReturns()
	}
	return r
}

// measure sends packets faster than they are forwarded, and reports how many are forwarded in a second.
func measure(b *testing.B, senders int, to netip.AddrPort, packet []byte, forwarded func() int64) {
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

const (
	// forwardSenders and returnSenders keep more threads sending than reading.
	forwardSenders = callerReaders + 1
	returnSenders  = maxDataReaders + 1
)

// BenchmarkForward compares the packet rate in each direction with that of a bare relay, at packets of 1,200 bytes.
func BenchmarkForward(b *testing.B) {
	var brd board.Board
	a := newFakeAgent(b, "first")
	a.join(b, &brd, "orders", "a", 1, board.PhaseReady)
	listed := freeAddress(b)
	mergeContract(b, &brd, "orders", 1, listed)
	bal, _ := startBalancer(b, &brd)
	at := serviceAddress(b, bal, "orders", listed)
	r := newRelay(b, localAddress(a.conn))
	packet := append(continuing(), make([]byte, 1200)...)[:1200]
	caller := localAddress(listen(b))

	b.Run("callers/relay", func(b *testing.B) {
		measure(b, forwardSenders, localAddress(r.front), packet, r.forwarded.Load)
	})
	b.Run("callers/balancer", func(b *testing.B) {
		measure(b, forwardSenders, at, packet, func() int64 { return int64(testutil.ToFloat64(bal.metrics.forwarded)) })
	})
	raw := append([]byte{127, 0, 0, 1, byte(caller.Port() >> 8), byte(caller.Port())}, packet...)
	b.Run("agents/relay", func(b *testing.B) {
		measure(b, returnSenders, localAddress(r.back), raw, r.returned.Load)
	})
	sealed, err := a.sealer.Append(nil, &wire.Datagram{
		Kind: wire.KindReturn, Service: flow.ServiceIDOf("orders"), Caller: caller, Address: at,
		Owner: flow.ShortIDOf("first"), Established: true, Payload: packet,
	})
	assert.NilError(b, err)
	b.Run("agents/balancer", func(b *testing.B) {
		measure(b, returnSenders, bal.DataAddress(), sealed, func() int64 { return int64(testutil.ToFloat64(bal.metrics.returned)) })
	})
}
