package balancer

import (
	"net"
	"net/netip"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/net/ipv4"

	"github.com/bramleymast/bramleymast/internal/wire"
)

// batchSize is the number of packets that one system call reads or writes at most. Each reader holds that many
// buffers while it waits, which bounds the memory of a balancer with thousands of service addresses.
const batchSize = 8

// batchConn reads and writes several packets in one system call. The type of package ipv4 serves sockets of
// both IP versions, since it uses no option of IPv4 here.
type batchConn struct{ conn *ipv4.PacketConn }

func newBatchConn(conn *net.UDPConn) *batchConn { return &batchConn{conn: ipv4.NewPacketConn(conn)} }

// thread holds what one reader uses again for each batch.
type thread struct {
	in       []ipv4.Message
	datagram wire.Datagram
	// out holds the packets that wait for the next write, all to the same socket.
	out     []ipv4.Message
	waiting int
	to      *batchConn
	// space is where datagrams of the batch are encoded; readers that wait for packets hold none.
	space *batchSpace
	// sent and failed count the packets written.
	sent, failed prometheus.Counter
}

type batchSpace [batchSize][wire.MaxDatagram]byte

var batchSpaces = sync.Pool{New: func() any { return new(batchSpace) }}

// newThread returns a thread whose buffers hold one byte more than the largest packet, so that a longer one is noticed.
func newThread(largest int, sent, failed prometheus.Counter) *thread {
	t := &thread{in: newMessages(), out: newMessages(), sent: sent, failed: failed}
	for i := range t.in {
		t.in[i].Buffers[0] = make([]byte, largest+1)
	}
	for i := range t.out {
		t.out[i].Addr = &net.UDPAddr{IP: make(net.IP, 0, net.IPv6len)}
	}
	return t
}

func newMessages() []ipv4.Message {
	ms := make([]ipv4.Message, batchSize)
	for i := range ms {
		ms[i].Buffers = make([][]byte, 1)
	}
	return ms
}

// read waits for packets and calls handle for each of them, then sends what was queued.
func (t *thread) read(c *batchConn, handle func(from netip.AddrPort, packet []byte)) error {
	n, err := c.conn.ReadBatch(t.in, 0)
	if err != nil {
		return err
	}
	t.begin()
	for _, m := range t.in[:n] {
		var from netip.AddrPort
		if a, ok := m.Addr.(*net.UDPAddr); ok {
			from = a.AddrPort()
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m.Buffers[0][:m.N])
	}
	t.end()
	return nil
}

func (t *thread) begin() {
	if s, ok := batchSpaces.Get().(*batchSpace); ok {
		t.space = s
	}
}

func (t *thread) end() {
	t.flush()
	batchSpaces.Put(t.space)
	t.space = nil
}

// buffer returns an empty buffer for the next packet of the batch.
func (t *thread) buffer() []byte { return t.space[t.waiting][:0] }

// queue adds a packet to the next write; the packet must stay unchanged until the batch ends.
func (t *thread) queue(c *batchConn, packet []byte, to netip.AddrPort) {
	if t.to != c {
		t.flush()
		t.to = c
	}
	m := &t.out[t.waiting]
	m.Buffers[0] = packet
	if a, ok := m.Addr.(*net.UDPAddr); ok {
		setAddr(a, to)
	}
	t.waiting++
	if t.waiting == batchSize {
		t.flush()
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

// flush sends what is queued. A packet that cannot be sent is counted and does not keep back those behind it.
func (t *thread) flush() {
	for done := 0; done < t.waiting; {
		n, err := t.to.conn.WriteBatch(t.out[done:t.waiting], 0)
		if err != nil || n < 1 {
			t.failed.Inc()
			done++
			continue
		}
		t.sent.Add(float64(n))
		done += n
	}
	t.waiting = 0
}
