// Package passthrough decides how flows are carried that end at the backend server itself.
//
// The system cannot write to such a flow. A balancer chooses an agent for the packet that opens a flow and sends
// later packets to the same agent; the agent decides whether its backend server gets the packet. The package does no
// I/O, starts no goroutines and reads no clock.
package passthrough

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// FlowID names a pass-through flow by its two ends, which are IPv4 addresses with ports.
type FlowID struct {
	caller      uint32
	address     uint32
	callerPort  uint16
	addressPort uint16
}

// NewFlowID returns the id of the flow between a caller and a service address.
func NewFlowID(caller, address netip.AddrPort) FlowID {
	c, a := caller.Addr().As4(), address.Addr().As4()
	return FlowID{
		caller: binary.BigEndian.Uint32(c[:]), callerPort: caller.Port(),
		address: binary.BigEndian.Uint32(a[:]), addressPort: address.Port(),
	}
}

// Caller returns the caller's end.
func (f FlowID) Caller() netip.AddrPort { return addrPort(f.caller, f.callerPort) }

// Address returns the service address to which the caller sends.
func (f FlowID) Address() netip.AddrPort { return addrPort(f.address, f.addressPort) }

// String returns both ends as "caller>address".
func (f FlowID) String() string { return f.Caller().String() + ">" + f.Address().String() }

// Hash returns a 64-bit hash that is the same in every process.
func (f FlowID) Hash() uint64 {
	var b [FlowIDSize]byte
	f.Append(b[:0])
	return xxhash.Sum64(b[:])
}

// FlowIDSize is the size in bytes of an encoded flow id.
const FlowIDSize = 12

// Append appends the encoded id.
func (f FlowID) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, f.caller)
	b = binary.BigEndian.AppendUint16(b, f.callerPort)
	b = binary.BigEndian.AppendUint32(b, f.address)
	return binary.BigEndian.AppendUint16(b, f.addressPort)
}

// DecodeFlowID reads an encoded id, which must be FlowIDSize bytes long.
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

// Flags are the properties of a packet that matter to steering.
type Flags uint8

// Flags of a packet.
const (
	// FlagOpen marks the packets of a handshake.
	FlagOpen Flags = 1 << iota
	// FlagAck marks a packet that acknowledges the other end's bytes.
	FlagAck
	// FlagFinish marks the end of the sender's bytes.
	FlagFinish
	// FlagReset marks a packet that ends the flow at once.
	FlagReset
	// FlagRejected marks a packet that the backend server gave back.
	FlagRejected
)

// Segment is what the system reads of a packet; it never changes what the two ends wrote.
type Segment struct {
	flow  FlowID
	flags Flags
	seq   uint32
	ack   uint32
	size  int
}

// NewSegment returns the segment of a packet with size bytes of data.
func NewSegment(flow FlowID, flags Flags, seq, ack uint32, size int) Segment {
	return Segment{flow: flow, flags: flags, seq: seq, ack: ack, size: size}
}

// Flow returns the flow to which the packet belongs.
func (s Segment) Flow() FlowID { return s.flow }

// Has reports whether all the given flags are set.
func (s Segment) Has(f Flags) bool { return s.flags&f == f }

// IsOpening reports whether a caller asks for a new flow with the packet.
func (s Segment) IsOpening() bool { return s.flags&(FlagOpen|FlagAck) == FlagOpen }

// Seq returns the sender's sequence number.
func (s Segment) Seq() uint32 { return s.seq }

// Ack returns the acknowledged sequence number.
func (s Segment) Ack() uint32 { return s.ack }

// Size returns the length of the data in bytes.
func (s Segment) Size() int { return s.size }

// Retransmissions returns how often the caller has sent an opening packet before.
func (s Segment) Retransmissions() int {
	if !s.IsOpening() {
		return 0
	}
	return int(s.ack)
}

// Codec reads and writes the packets of callers and backend servers.
type Codec interface {
	// Decode reads a packet that a caller has sent or, with fromCaller false, one that a backend server has sent.
	Decode(packet []byte, fromCaller bool) (Segment, error)
	// AppendReset appends a packet that ends a flow at its caller; seq is the caller's last acknowledgement.
	AppendReset(b []byte, flow FlowID, seq uint32) []byte
	// RequestID returns the id of the request whose head is in a packet, or an empty string.
	RequestID(packet []byte) string
	// IsErrorResponse reports whether a backend server's packet begins the answer to a request that has failed there.
	IsErrorResponse(packet []byte) bool
	// ClearRejected removes the mark of a returned packet, so that another backend server may get it.
	ClearRejected(packet []byte)
}
