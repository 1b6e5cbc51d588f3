package balancer

import (
	"net"
	"net/netip"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/net/ipv4"

	"github.com/bramleymast/bramleymast/internal/wire"
)

// batchSize is the maximum number of packets that one system call reads or writes. Each reader holds that many receive
// buffers while it waits, so batchSize limits the memory of a balancer with thousands of service addresses.
const batchSize = 8

// batchConn reads and writes several packets in one system call. It uses ipv4.PacketConn for sockets of both IP
// versions, which works because it sets no IPv4 options.
type batchConn struct{ conn *ipv4.PacketConn }

func newBatchConn(conn *net.UDPConn) *batchConn { return &batchConn{conn: ipv4.NewPacketConn(conn)} }

// batchWorker holds the buffers that one reader reuses for each batch.
type batchWorker struct {
	in       []ipv4.Message
	datagram wire.Datagram
	// out holds the packets queued for the next write; all are sent by dest.
	out    []ipv4.Message
	queued int
	dest   *batchConn
	// buffers holds the encoded datagrams of the batch. It is nil while the reader waits for packets, which saves memory.
	buffers *batchBuffers
	// sent and failed count the packets that were written and that could not be written.
	sent, failed prometheus.Counter
}

type batchBuffers [batchSize][wire.MaxDatagram]byte

var batchBufferPool = sync.Pool{New: func() any { return new(batchBuffers) }}

// newBatchWorker returns a worker for packets of up to maxPacket bytes. Its receive buffers hold one byte more, so that
// longer packets are detected.
func newBatchWorker(maxPacket int, sent, failed prometheus.Counter) *batchWorker {
	w := &batchWorker{in: newMessages(), out: newMessages(), sent: sent, failed: failed}
	for i := range w.in {
		w.in[i].Buffers[0] = make([]byte, maxPacket+1)
	}
	for i := range w.out {
		w.out[i].Addr = &net.UDPAddr{IP: make(net.IP, 0, net.IPv6len)}
	}
	return w
}

func newMessages() []ipv4.Message {
	ms := make([]ipv4.Message, batchSize)
	for i := range ms {
		ms[i].Buffers = make([][]byte, 1)
	}
	return ms
}

// read waits for packets, calls handle for each of them and sends the packets that handle has queued.
func (w *batchWorker) read(c *batchConn, handle func(from netip.AddrPort, packet []byte)) error {
	n, err := c.conn.ReadBatch(w.in, 0)
	if err != nil {
		return err
	}
	w.beginBatch()
	for _, m := range w.in[:n] {
		var from netip.AddrPort
		if a, ok := m.Addr.(*net.UDPAddr); ok {
			from = a.AddrPort()
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m.Buffers[0][:m.N])
	}
	w.endBatch()
	return nil
}

func (w *batchWorker) beginBatch() {
	if s, ok := batchBufferPool.Get().(*batchBuffers); ok {
		w.buffers = s
	}
}

func (w *batchWorker) endBatch() {
	w.flush()
	batchBufferPool.Put(w.buffers)
	w.buffers = nil
}

// nextBuffer returns an empty buffer for the next packet to queue.
func (w *batchWorker) nextBuffer() []byte { return w.buffers[w.queued][:0] }

// queue adds a packet to the next write; the packet must not change until the batch ends.
func (w *batchWorker) queue(c *batchConn, packet []byte, to netip.AddrPort) {
	if w.dest != c {
		w.flush()
		w.dest = c
	}
	m := &w.out[w.queued]
	m.Buffers[0] = packet
	if a, ok := m.Addr.(*net.UDPAddr); ok {
		setAddr(a, to)
	}
	w.queued++
	if w.queued == batchSize {
		w.flush()
	}
}

func setAddr(a *net.UDPAddr, to netip.AddrPort) {
	ip := to.Addr()
	if ip.Is4() {
		b := ip.As4()
		a.IP = append(a.IP[:0], b[:]...)
	} else {
		b := ip.As16()
		a.IP = append(a.IP[:0], b[:]...)
	}
	a.Port = int(to.Port())
	a.Zone = ip.Zone()
}

// flush sends the queued packets. A packet that cannot be sent is counted and does not block the packets after it.
func (w *batchWorker) flush() {
	for done := 0; done < w.queued; {
		n, err := w.dest.conn.WriteBatch(w.out[done:w.queued], 0)
		if err != nil || n < 1 {
			w.failed.Inc()
			done++
			continue
		}
		w.sent.Add(float64(n))
		done += n
	}
	w.queued = 0
}
