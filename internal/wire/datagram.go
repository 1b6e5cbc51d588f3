// Package wire encodes and authenticates the datagrams between balancers and agents.
package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

// Reasons for which a datagram is dropped; the text is the value of the reason label of the metric.
const (
	ErrMalformed     = errors.ConstError("malformed")
	ErrOversized     = errors.ConstError("oversized")
	ErrUnauthentic   = errors.ConstError("unauthentic")
	ErrUnknownSender = errors.ConstError("unknown_sender")
)

// Sizes in bytes.
const (
	// MaxPayload is the largest payload of a datagram.
	MaxPayload = 1472
	tagSize    = 16
	addrSize   = 16 + 2
	// fixedHeader is the header without the tried list: magic, version and kind, service, sender, counter,
	// caller, balancer, zone revision, owner, flags, number of tried agents, service address, least loaded agent.
	fixedHeader = 2 + 1 + 1 + 8 + 8 + 8 + addrSize + addrSize + 8 + 4 + 1 + 1 + addrSize + leastSize
	leastSize   = 4 + 2 + 2 + 2
	leastAt     = fixedHeader - leastSize
	// MaxDatagram is the largest encoded datagram.
	MaxDatagram = fixedHeader + 4*flow.MaxVisited + MaxPayload + tagSize
)

const (
	magic   = 0xb7a5
	version = 1
)

// Kind is the direction of a datagram.
type Kind uint8

// Kinds of datagrams.
const (
	KindForward Kind = iota + 1
	KindReturn
)

const (
	flagOpening     = 1 << 0
	flagEstablished = 1 << 1
	flagSettled     = 1 << 2
	knownFlags      = flagOpening | flagEstablished | flagSettled
)

// Datagram is one packet of a flow on its way between a balancer and agents.
type Datagram struct {
	Kind    Kind
	Service flow.ServiceID
	// Caller is the caller's address as the balancer sees it.
	Caller netip.AddrPort
	// Balancer is the data address of the balancer through which answers may go.
	Balancer netip.AddrPort
	// Address is the address in the contract to which the caller sent. A return datagram repeats it, because
	// the balancer that gets it need not have seen the flow and must answer from the same address.
	Address netip.AddrPort
	// ZoneRevision is the highest store revision of any zone state that the sender knows.
	ZoneRevision uint64
	// Owner is the agent that sent a return datagram.
	Owner flow.ShortID
	// Opening is true when the payload opens a flow.
	Opening bool
	// Established is true in a return datagram of a flow whose handshake is complete.
	Established bool
	// FinalHop is true when every agent has declined an opening packet and the addressed one is the least loaded.
	FinalHop bool
	// LeastLoaded is the least loaded of the agents that have declined an opening packet; 0 means none.
	LeastLoaded flow.ShortID
	// LowestLoad is the load of Least when it declined.
	LowestLoad Load
	// Visited lists the agents that have seen a forward datagram and do not own its flow.
	Visited flow.Visited
	// Payload is the caller's or the agent's packet; it aliases the buffer that was decoded.
	Payload []byte
}

// appendAddr encodes an invalid address as zeros.
func appendAddr(b []byte, a netip.AddrPort) []byte {
	var ip [16]byte
	if a.Addr().IsValid() {
		ip = a.Addr().As16()
	}
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

func parseAddr(b []byte) netip.AddrPort {
	if [addrSize]byte(b) == [addrSize]byte{} {
		return netip.AddrPort{}
	}
	ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:18]))
}

// Load is the load of an agent.
type Load struct {
	InProgress, Flows, Slots uint16
}

func (d *Datagram) flags() byte {
	var f byte
	if d.Opening {
		f |= flagOpening
	}
	if d.Established {
		f |= flagEstablished
	}
	if d.FinalHop {
		f |= flagSettled
	}
	return f
}

// appendBody encodes the datagram without its tag.
func (d *Datagram) appendBody(b []byte, sender, counter uint64) []byte {
	b = binary.BigEndian.AppendUint16(b, magic)
	b = append(b, version, byte(d.Kind))
	b = binary.BigEndian.AppendUint64(b, uint64(d.Service))
	b = binary.BigEndian.AppendUint64(b, sender)
	b = binary.BigEndian.AppendUint64(b, counter)
	b = appendAddr(b, d.Caller)
	b = appendAddr(b, d.Balancer)
	b = binary.BigEndian.AppendUint64(b, d.ZoneRevision)
	b = binary.BigEndian.AppendUint32(b, uint32(d.Owner))
	b = append(b, d.flags(), byte(d.Visited.Len()))
	b = appendAddr(b, d.Address)
	b = binary.BigEndian.AppendUint32(b, uint32(d.LeastLoaded))
	b = binary.BigEndian.AppendUint16(b, d.LowestLoad.InProgress)
	b = binary.BigEndian.AppendUint16(b, d.LowestLoad.Flows)
	b = binary.BigEndian.AppendUint16(b, d.LowestLoad.Slots)
	for _, id := range d.Visited.IDs() {
		b = binary.BigEndian.AppendUint32(b, uint32(id))
	}
	return append(b, d.Payload...)
}

// parseBody decodes a datagram whose tag has been removed and checked.
func parseBody(d *Datagram, b []byte) error {
	if len(b) < fixedHeader {
		return ErrMalformed
	}
	d.Kind = Kind(b[3])
	if d.Kind != KindForward && d.Kind != KindReturn {
		return ErrMalformed
	}
	d.Service = flow.ServiceID(binary.BigEndian.Uint64(b[4:]))
	d.Caller = parseAddr(b[28:])
	d.Balancer = parseAddr(b[46:])
	d.ZoneRevision = binary.BigEndian.Uint64(b[64:])
	d.Owner = flow.ShortID(binary.BigEndian.Uint32(b[72:]))
	flags := b[76]
	n := int(b[77])
	if flags&^knownFlags != 0 || n > flow.MaxVisited || len(b) < fixedHeader+4*n {
		return ErrMalformed
	}
	d.Address = parseAddr(b[78:])
	d.Opening = flags&flagOpening != 0
	d.Established = flags&flagEstablished != 0
	d.FinalHop = flags&flagSettled != 0
	d.LeastLoaded = flow.ShortID(binary.BigEndian.Uint32(b[leastAt:]))
	d.LowestLoad = Load{
		InProgress: binary.BigEndian.Uint16(b[leastAt+4:]),
		Flows:      binary.BigEndian.Uint16(b[leastAt+6:]),
		Slots:      binary.BigEndian.Uint16(b[leastAt+8:]),
	}
	d.Visited = flow.Visited{}
	for i := range n {
		d.Visited.Add(flow.ShortID(binary.BigEndian.Uint32(b[fixedHeader+4*i:])))
	}
	d.Payload = b[fixedHeader+4*n:]
	if len(d.Payload) > MaxPayload {
		return ErrOversized
	}
	return nil
}

// IsInitial reports whether a QUIC packet opens a flow: a long header of type Initial.
// QUIC version 2 numbers the types differently, so the version is read too.
func IsInitial(packet []byte) bool {
	const longHeader, typeMask = 0x80, 0x30
	if len(packet) < 5 || packet[0]&longHeader == 0 {
		return false
	}
	const versionTwo, initialTwo = 0x6b3343cf, 0x10
	if binary.BigEndian.Uint32(packet[1:]) == versionTwo {
		return packet[0]&typeMask == initialTwo
	}
	return packet[0]&typeMask == 0
}
