// Package passthrough decides where to send the packets of flows that terminate at the backend server itself.
//
// The system cannot write data into such a flow. A balancer chooses an agent for the packet that opens a flow and sends
// later packets to the same agent; the agent decides whether the packet is delivered to its backend server. The package
// does no I/O, starts no goroutines and reads no clock.
package passthrough

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// FlowID identifies a pass-through flow by its two endpoints, which are IPv4 addresses with ports.
type FlowID struct {
	caller      uint32
	address     uint32
	callerPort  uint16
	addressPort uint16
}

// NewFlowID returns the ID of the flow between a caller and a service address.
func NewFlowID(caller, address netip.AddrPort) FlowID {
	c, a := caller.Addr().As4(), address.Addr().As4()
	return FlowID{
		caller: binary.BigEndian.Uint32(c[:]), callerPort: caller.Port(),
		address: binary.BigEndian.Uint32(a[:]), addressPort: address.Port(),
	}
}

// Caller returns the caller's endpoint.
func (f FlowID) Caller() netip.AddrPort { return addrPort(f.caller, f.callerPort) }

// Address returns the service address of the flow.
func (f FlowID) Address() netip.AddrPort { return addrPort(f.address, f.addressPort) }

// String returns both endpoints as "caller>address".
func (f FlowID) String() string { return f.Caller().String() + ">" + f.Address().String() }

// Hash returns a 64-bit hash that is the same in every process.
func (f FlowID) Hash() uint64 {
	var b [FlowIDSize]byte
	f.Append(b[:0])
	return xxhash.Sum64(b[:])
}

// FlowIDSize is the size in bytes of an encoded flow ID.
const FlowIDSize = 12

// Append appends the encoded ID.
func (f FlowID) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, f.caller)
	b = binary.BigEndian.AppendUint16(b, f.callerPort)
	b = binary.BigEndian.AppendUint32(b, f.address)
	return binary.BigEndian.AppendUint16(b, f.addressPort)
}

// DecodeFlowID decodes an ID, which must be FlowIDSize bytes long.
func DecodeFlowID(b []byte) FlowID {
	return FlowID{
		caller: binary.BigEndian.Uint32(b), callerPort: binary.BigEndian.Uint16(b[4:]),
		address: binary.BigEndian.Uint32(b[6:]), addressPort: binary.BigEndian.Uint16(b[10:]),
	}
}

func addrPort(ip uint32, port uint16) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}

// Flags are the properties of a packet that steering uses.
type Flags uint8

// Flags of a packet.
const (
	// FlagOpen marks the packets of a handshake (SYN).
	FlagOpen Flags = 1 << iota
	// FlagAck marks a packet that acknowledges data of the other endpoint.
	FlagAck
	// FlagFinish marks the end of the sender's data (FIN).
	FlagFinish
	// FlagReset marks a packet that aborts the flow (RST).
	FlagReset
	// FlagRejected marks a packet that the backend server sent back to the agent.
	FlagRejected
)

// Segment holds the header fields of a packet that the system reads. The system never modifies the data of the
// endpoints.
type Segment struct {
	flow  FlowID
	flags Flags
	seq   uint32
	ack   uint32
	size  int
}

// NewSegment returns the segment of a packet with size bytes of payload.
func NewSegment(flow FlowID, flags Flags, seq, ack uint32, size int) Segment {
	return Segment{flow: flow, flags: flags, seq: seq, ack: ack, size: size}
}

// Flow returns the flow to which the packet belongs.
func (s Segment) Flow() FlowID { return s.flow }

// Has reports whether all the given flags are set.
func (s Segment) Has(f Flags) bool { return s.flags&f == f }

// IsOpening reports whether the packet is a caller's request for a new flow.
func (s Segment) IsOpening() bool { return s.flags&(FlagOpen|FlagAck) == FlagOpen }

// Seq returns the sender's sequence number.
func (s Segment) Seq() uint32 { return s.seq }

// Ack returns the acknowledged sequence number.
func (s Segment) Ack() uint32 { return s.ack }

// Size returns the payload length in bytes.
func (s Segment) Size() int { return s.size }

// Retransmissions returns how many times the caller has sent the opening packet before; it is 0 for other packets.
func (s Segment) Retransmissions() int {
	if !s.IsOpening() {
		return 0
	}
	return int(s.ack)
}

// Codec decodes and encodes the packets of callers and backend servers.
type Codec interface {
	// Decode decodes a packet that a caller sent or, if fromCaller is false, one that a backend server sent.
	Decode(packet []byte, fromCaller bool) (Segment, error)
	// AppendReset appends a packet that resets a flow at its caller; seq is the caller's last acknowledgement.
	AppendReset(b []byte, flow FlowID, seq uint32) []byte
	// RequestID returns the ID of the request whose header is in the packet, or an empty string.
	RequestID(packet []byte) string
	// IsErrorResponse reports whether a backend server's packet starts the response to a request that failed there.
	IsErrorResponse(packet []byte) bool
	// ClearRejected clears the mark of a rejected packet, so that it can be delivered to another backend server.
	ClearRejected(packet []byte)
}
