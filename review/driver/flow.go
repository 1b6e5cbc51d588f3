//go:build review

package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"sync"
	"time"
)

const (
	headSize   = 31
	maxData    = 1200
	window     = 16
	minRTO     = 200 * time.Millisecond
	maxRTO     = 1600 * time.Millisecond
	maxRetries = 8
)

const (
	bounced = 1
	ack     = 4
	syn     = 8
	fin     = 32
	rst     = 128
)

// pkt is a packet of the platform.
type pkt struct {
	seq, ack uint32
	src, dst netip.AddrPort
	flags    byte
	sum      uint32
	data     []byte
}

func (p pkt) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint32(b, p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint16(b[8:], p.src.Port())
	s, d := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[10:], s[:])
	copy(b[14:], d[:])
	binary.BigEndian.PutUint16(b[18:], p.dst.Port())
	b[24] = p.flags
	binary.BigEndian.PutUint16(b[25:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[20:], checksum(b))
	return b
}

// checksum is a keyed sum over all fields except echo, pad and the bounced flag; it is never 0.
func checksum(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte("key of the ends"))
	h.Write(b[:20])
	h.Write([]byte{b[24] &^ bounced, b[25], b[26]})
	h.Write(b[headSize:])
	return h.Sum32() | 1
}

func decode(b []byte) (pkt, bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b[25:])) != len(b)-headSize {
		return pkt{}, false
	}
	return pkt{
		seq: binary.BigEndian.Uint32(b), ack: binary.BigEndian.Uint32(b[4:]), flags: b[24], sum: binary.BigEndian.Uint32(b[20:]),
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[10:14])), binary.BigEndian.Uint16(b[8:])),
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[14:18])), binary.BigEndian.Uint16(b[18:])),
		data: append([]byte{}, b[headSize:]...),
	}, true
}

// intact reports whether the packet is as its sender wrote it.
func intact(b []byte) bool { return binary.BigEndian.Uint32(b[20:]) == checksum(b) }

// conn is one end of an open flow: it sends and receives bytes in order.
type conn struct {
	mu            sync.Mutex
	local, remote netip.AddrPort
	out           func(b []byte)
	receive       func(data []byte) // called in order, without the lock

	next    uint32 // the next sequence number to send
	flight  []*sent
	pending []byte
	closing bool // a FIN follows the pending data
	finSent bool

	expected uint32 // the next sequence number of the other end
	early    map[uint32]pkt
	unacked  int
	peerDone bool
	failed   bool // gave up after retransmissions
}

type sent struct {
	p     pkt
	size  uint32
	at    time.Time
	rto   time.Duration
	tries int
}

func newConn(local, remote netip.AddrPort, next, expected uint32, out func([]byte), receive func([]byte)) *conn {
	return &conn{local: local, remote: remote, next: next, expected: expected, out: out, receive: receive, early: make(map[uint32]pkt)}
}

func (c *conn) send(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, data...)
	c.flush()
}

func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.flush()
}

func (c *conn) lastAck() uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expected
}

func (c *conn) hasFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

func (c *conn) done() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finSent && c.peerDone && len(c.flight) == 0
}

func (c *conn) flush() {
	for len(c.flight) < window && len(c.pending) > 0 {
		n := min(len(c.pending), maxData)
		c.transmit(pkt{flags: ack, data: append([]byte{}, c.pending[:n]...)}, uint32(n))
		c.pending = c.pending[n:]
	}
	if c.closing && !c.finSent && len(c.pending) == 0 && len(c.flight) < window {
		c.finSent = true
		c.transmit(pkt{flags: ack | fin}, 1)
	}
}

func (c *conn) transmit(p pkt, size uint32) {
	p.seq, p.src, p.dst = c.next, c.local, c.remote
	c.next += size
	s := &sent{p: p, size: size, at: time.Now(), rto: minRTO}
	c.flight = append(c.flight, s)
	c.emit(p)
}

func (c *conn) emit(p pkt) {
	p.ack = c.expected
	c.unacked = 0
	c.out(p.encode())
}

func (c *conn) sendAck() {
	c.emit(pkt{seq: c.next, src: c.local, dst: c.remote, flags: ack})
}

// tick retransmits packets and acknowledges a single packet.
func (c *conn) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.flight {
		if now.Sub(s.at) < s.rto {
			continue
		}
		if s.tries++; s.tries > maxRetries {
			c.failed, c.flight = true, nil
			return
		}
		s.at, s.rto = now, min(2*s.rto, maxRTO)
		c.emit(s.p)
	}
	if c.unacked > 0 {
		c.sendAck()
	}
}

func (c *conn) handle(p pkt) {
	c.mu.Lock()
	if p.flags&ack != 0 {
		kept := c.flight[:0]
		for _, s := range c.flight {
			if int32(p.ack-(s.p.seq+s.size)) < 0 {
				kept = append(kept, s)
			}
		}
		c.flight = kept
	}
	var got []byte
	if len(p.data) > 0 || p.flags&fin != 0 {
		if int32(p.seq-c.expected) >= 0 {
			c.early[p.seq] = p
		}
		for e, ok := c.early[c.expected]; ok; e, ok = c.early[c.expected] {
			delete(c.early, c.expected)
			got = append(got, e.data...)
			c.expected += uint32(len(e.data))
			if e.flags&fin != 0 {
				c.expected++
				c.peerDone = true
			}
		}
		if c.unacked++; c.unacked >= 2 || c.peerDone || p.seq != c.expected-uint32(len(p.data)) {
			c.sendAck()
		}
	}
	c.flush()
	c.mu.Unlock()
	if len(got) > 0 {
		c.receive(got)
	}
}
