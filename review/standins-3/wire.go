//go:build review

// Command standins-3 runs the cases of review 3: a small deployment of the project's own programs on loopback addresses,
// with stand-ins for the platform's store, its routers, the operator, the clients and the servers.
package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// headSize is the size of the head of a packet.
const headSize = 31

// Flags of a packet.
const (
	flagBounced = 1
	flagAck     = 4
	flagSyn     = 8
	flagFin     = 32
	flagRst     = 128
)

// packet is a packet of a client or a server.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
}

func (p packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint16(b[8:], p.src.Port())
	ip := p.src.Addr().As4()
	copy(b[10:], ip[:])
	ip = p.dst.Addr().As4()
	copy(b[14:], ip[:])
	binary.BigEndian.PutUint16(b[18:], p.dst.Port())
	b[24] = p.flags
	binary.BigEndian.PutUint16(b[25:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[20:], keyedSum(b))
	return b
}

// decode returns a packet and whether its sum shows that a client or a server has written it as it is.
func decode(b []byte) (p packet, genuine bool) {
	if len(b) < headSize {
		return packet{}, false
	}
	at := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	p = packet{
		src: at(10, 8), dst: at(14, 18), flags: b[24],
		seq: binary.BigEndian.Uint32(b), ack: binary.BigEndian.Uint32(b[4:]), data: append([]byte(nil), b[headSize:]...),
	}
	return p, binary.BigEndian.Uint32(b[20:]) == keyedSum(b)
}

// keyedSum is a sum over all fields but echo, pad and BOUNCED, with a key that only the stand-ins know.
func keyedSum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("standins-3"))
	_, _ = h.Write(b[:20])
	_, _ = h.Write([]byte{b[24] &^ flagBounced})
	_, _ = h.Write(b[25:27])
	_, _ = h.Write(b[headSize:])
	return max(h.Sum32(), 1)
}
