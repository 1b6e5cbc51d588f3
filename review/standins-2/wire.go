//go:build review

package main

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"time"
)

// Flags of a packet, and the size of its head.
const (
	bounced  = 1
	ack      = 4
	syn      = 8
	fin      = 32
	rst      = 128
	headSize = 31
)

// resetReach is how far the number of a reset may be from the last acknowledgement of an open flow.
const resetReach = 76_800

// retransmission is when an end first sends an unacknowledged packet again; the interval doubles up to the maximum.
const (
	retransmission    = 200 * time.Millisecond
	maxRetransmission = 1600 * time.Millisecond
)

// packet is a decoded packet.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
}

// key returns the text of both ends as "caller>address"; reversed is set for a packet to the caller.
func (p packet) key(reversed bool) string {
	if reversed {
		return p.dst.String() + ">" + p.src.String()
	}
	return p.src.String() + ">" + p.dst.String()
}

// sum stands for the keyed sum: the system knows neither the key nor the function.
func sum(b []byte) uint32 {
	h := uint32(2166136261)
	add := func(b []byte) {
		for _, c := range b {
			h = (h ^ uint32(c)) * 16777619
		}
	}
	add(b[:20])
	add([]byte{b[24] &^ bounced})
	add(b[25:27])
	add(b[headSize:])
	return h | 1
}

func (p packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint32(b, p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint16(b[8:], p.src.Port())
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[10:], src[:])
	copy(b[14:], dst[:])
	binary.BigEndian.PutUint16(b[18:], p.dst.Port())
	b[24] = p.flags
	binary.BigEndian.PutUint16(b[25:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[20:], sum(b))
	return b
}

// decode returns a packet, and whether its sum is that of its sender. The sum of a reset of the system is 0.
func decode(b []byte) (p packet, intact bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b[25:])) != len(b)-headSize {
		return packet{}, false
	}
	p = packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[10:14])), binary.BigEndian.Uint16(b[8:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[14:18])), binary.BigEndian.Uint16(b[18:])),
		flags: b[24], seq: binary.BigEndian.Uint32(b), ack: binary.BigEndian.Uint32(b[4:]), data: bytes.Clone(b[headSize:]),
	}
	return p, binary.BigEndian.Uint32(b[20:]) == sum(b)
}

// header returns the value of a header in the head of a message.
func header(message []byte, name string) string {
	_, rest, ok := bytes.Cut(message, []byte("\r\n"+name+": "))
	if !ok {
		return ""
	}
	value, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(value)
}
