// Package wire encodes and authenticates the datagrams between balancers and agents.
package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

// Reasons for dropping a datagram; the text is the value of the reason label of a metric.
const (
	ErrMalformed     = errors.ConstError("malformed")
	ErrOversized     = errors.ConstError("oversized")
	ErrUnauthentic   = errors.ConstError("unauthentic")
	ErrUnknownSender = errors.ConstError("unknown_sender")
)

// Sizes in bytes.
const (
	// MaxPayload is the maximum payload of a datagram.
	MaxPayload = 1472
	tagSize    = 16
	addrSize   = 16 + 2
	// fixedHeaderSize is the size of the header without the list of visited agents: magic, version, kind, service,
	// sender, counter, caller, balancer, zone revision, owner, flags, number of visited agents, service address, and
	// the least loaded agent with its load.
	fixedHeaderSize   = 2 + 1 + 1 + 8 + 8 + 8 + addrSize + addrSize + 8 + 4 + 1 + 1 + addrSize + leastLoadedSize
	leastLoadedSize   = 4 + 2 + 2 + 2
	leastLoadedOffset = fixedHeaderSize - leastLoadedSize
	// MaxDatagram is the maximum size of an encoded datagram.
	MaxDatagram = fixedHeaderSize + 4*flow.MaxVisited + MaxPayload + tagSize
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
	flagFinalHop    = 1 << 2
	knownFlags      = flagOpening | flagEstablished | flagFinalHop
)

// Datagram is one packet of a flow that is sent between balancers and agents.
type Datagram struct {
	Kind    Kind
	Service flow.ServiceID
	// Caller is the source address of the caller's packet.
	Caller netip.AddrPort
	// Balancer is the data address of the balancer to which answers may be sent.
	Balancer netip.AddrPort
	// Address is the service address to which the caller sent. A return datagram repeats it, because the balancer
	// that receives it may not have received packets of the flow before and must answer from the same address.
	Address netip.AddrPort
	// ZoneRevision is the highest store revision of a zone state that the sender has received.
	ZoneRevision uint64
	// Owner is the agent that sent a return datagram.
	Owner flow.ShortID
	// Opening is true if the payload opens a flow.
	Opening bool
	// Established is true in a return datagram of a flow whose handshake is complete.
	Established bool
	// FinalHop is true if all agents have declined an opening packet and the receiver is the least loaded of them, so it
	// must not decline the packet again.
	FinalHop bool
	// LeastLoaded is the least loaded agent that has declined an opening packet; 0 means none.
	LeastLoaded flow.ShortID
	// LowestLoad is the load of LeastLoaded when it declined.
	LowestLoad Load
	// Visited lists the agents that have received a forward datagram and do not own its flow.
	Visited flow.Visited
	// Payload is the packet of the caller or the agent; after decoding it aliases the buffer.
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
		f |= flagFinalHop
	}
	return f
}

// appendBody appends the encoded datagram without its tag.
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

// parseBody decodes a datagram after its tag was verified and removed.
func parseBody(d *Datagram, b []byte) error {
	if len(b) < fixedHeaderSize {
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
	if flags&^knownFlags != 0 || n > flow.MaxVisited || len(b) < fixedHeaderSize+4*n {
		return ErrMalformed
	}
	d.Address = parseAddr(b[78:])
	d.Opening = flags&flagOpening != 0
	d.Established = flags&flagEstablished != 0
	d.FinalHop = flags&flagFinalHop != 0
	d.LeastLoaded = flow.ShortID(binary.BigEndian.Uint32(b[leastLoadedOffset:]))
	d.LowestLoad = Load{
		InProgress: binary.BigEndian.Uint16(b[leastLoadedOffset+4:]),
		Flows:      binary.BigEndian.Uint16(b[leastLoadedOffset+6:]),
		Slots:      binary.BigEndian.Uint16(b[leastLoadedOffset+8:]),
	}
	d.Visited = flow.Visited{}
	for i := range n {
		d.Visited.Add(flow.ShortID(binary.BigEndian.Uint32(b[fixedHeaderSize+4*i:])))
	}
	d.Payload = b[fixedHeaderSize+4*n:]
	if len(d.Payload) > MaxPayload {
		return ErrOversized
	}
	return nil
}

// IsInitial reports whether a QUIC packet opens a flow: it has a long header with the type Initial.
// QUIC version 2 numbers the packet types differently, so the result depends on the version field.
func IsInitial(packet []byte) bool {
	const longHeader, typeMask = 0x80, 0x30
	if len(packet) < 5 || packet[0]&longHeader == 0 {
		return false
	}
	const quicVersion2, initialTypeV2 = 0x6b3343cf, 0x10
	if binary.BigEndian.Uint32(packet[1:]) == quicVersion2 {
		return packet[0]&typeMask == initialTypeV2
	}
	return packet[0]&typeMask == 0
}
