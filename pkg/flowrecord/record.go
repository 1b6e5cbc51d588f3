// Package flowrecord holds what an agent writes to the store about the open flows of its backend server, so that these
// flows can be reset at their callers after a loss of power, of which neither the agent nor the backend server remembers
// anything.
//
// The package does no I/O, starts no goroutines and reads no clock.
package flowrecord

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"net/netip"
	"slices"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// ErrMalformed means that a value is no record or one of another version.
const ErrMalformed = errors.ConstError("malformed flow record")

const (
	// MaxSize is the maximum size of an encoded record in bytes; it holds some 5,400 flows.
	MaxSize = 48 << 10
	// version is the first byte of a record.
	version = 1
	// endpointSize is the size of an encoded address with its port.
	endpointSize = 6
	// seqShift is the number of low bits of a sequence number that are not recorded.
	seqShift = 8
	// flowSize is the size of a flow: the caller's endpoint and the upper 24 bits of the sequence number.
	flowSize = endpointSize + 3
	// checksumSize is the size of the checksum at the end.
	checksumSize = 4
	// maxName is the maximum length of a name in bytes.
	maxName = 255
)

const (
	// ResetTolerance is how far the sequence number of a reset may be from the caller's last acknowledgement.
	ResetTolerance = 76_800
	// maxInFlight is how many bytes a backend server may have sent that its caller has not acknowledged.
	maxInFlight = 16 * 1200
)

// ResetSeq returns the sequence number for the reset of a recorded flow. It is ahead of the recorded one, because the
// flow may have advanced since: callers accept it until they have acknowledged 134,000 bytes after the recorded number.
func ResetSeq(recorded uint32) uint32 { return recorded + ResetTolerance - maxInFlight - 1<<seqShift }

// coveredDistance is how far a caller's acknowledgement may be ahead of a record that still counts for its flow.
const coveredDistance = 1 << 20

// Covers reports whether the packet of a caller that acknowledges ack belongs to the flow for which a sequence number was
// recorded, and not to a later one from the same port.
func Covers(recorded, ack uint32) bool { return ack-(recorded-maxInFlight) < coveredDistance }

// Run identifies a run of a backend server.
type Run struct {
	ID        string
	StartedMS int64 // Unix time by the clock of the backend server
}

// Record holds the open flows of one run of a backend server.
type Record struct {
	Service string
	Backend netip.AddrPort // the address of the backend server
	Run     Run
	Flows   []passthrough.OpenFlow
}

// Append appends the encoded record. Flows that would exceed MaxSize are left out.
func (r Record) Append(b []byte) []byte {
	start := len(b)
	b = append(b, version)
	b = appendName(b, r.Service)
	b = appendName(b, r.Run.ID)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Run.StartedMS)) //nolint:gosec // restored by DecodeRecord
	b = appendEndpoint(b, r.Backend)
	limit := MaxSize - checksumSize - (len(b) - start)
	for _, group := range groupByAddress(r.Flows) {
		n := min(len(group), (limit-endpointSize-binary.MaxVarintLen32)/flowSize)
		if n <= 0 {
			break
		}
		before := len(b)
		b = appendGroup(b, group[:n])
		limit -= len(b) - before
	}
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[start:]))
}

// groupByAddress returns the flows of each service address, in order.
func groupByAddress(flows []passthrough.OpenFlow) [][]passthrough.OpenFlow {
	sorted := slices.Clone(flows)
	slices.SortFunc(sorted, func(a, b passthrough.OpenFlow) int {
		return cmp.Or(a.Flow.Address().Compare(b.Flow.Address()), a.Flow.Caller().Compare(b.Flow.Caller()))
	})
	var groups [][]passthrough.OpenFlow
	for len(sorted) > 0 {
		n := slices.IndexFunc(sorted, func(f passthrough.OpenFlow) bool { return f.Flow.Address() != sorted[0].Flow.Address() })
		if n < 0 {
			n = len(sorted)
		}
		groups = append(groups, sorted[:n])
		sorted = sorted[n:]
	}
	return groups
}

func appendGroup(b []byte, group []passthrough.OpenFlow) []byte {
	b = appendEndpoint(b, group[0].Flow.Address())
	b = binary.AppendUvarint(b, uint64(len(group)))
	for _, f := range group {
		b = appendEndpoint(b, f.Flow.Caller())
		b = append(b, byte(f.Seq>>24), byte(f.Seq>>16), byte(f.Seq>>8))
	}
	return b
}

func appendName(b []byte, s string) []byte {
	s = s[:min(len(s), maxName)]
	return append(append(b, byte(len(s))), s...)
}

func appendEndpoint(b []byte, a netip.AddrPort) []byte {
	var ip [4]byte
	if a.Addr().Is4() {
		ip = a.Addr().As4()
	}
	return binary.BigEndian.AppendUint16(append(b, ip[:]...), a.Port())
}

// DecodeRecord decodes a record, or returns ErrMalformed.
func DecodeRecord(b []byte) (Record, error) {
	if len(b) <= checksumSize || len(b) > MaxSize {
		return Record{}, errors.Annotatef(ErrMalformed, "%d bytes, %d to %d are allowed", len(b), checksumSize+1, MaxSize)
	}
	body, sum := b[:len(b)-checksumSize], binary.BigEndian.Uint32(b[len(b)-checksumSize:])
	if crc32.ChecksumIEEE(body) != sum {
		return Record{}, errors.Annotate(ErrMalformed, "wrong checksum")
	}
	d := decoder{rest: body}
	if v := d.take(1)[0]; v != version {
		return Record{}, errors.Annotatef(ErrMalformed, "version %d, only %d is known", v, version)
	}
	r := Record{Service: d.name(), Run: Run{ID: d.name()}}
	r.Run.StartedMS = int64(binary.BigEndian.Uint64(d.take(8))) //nolint:gosec // see Append
	r.Backend = d.endpoint()
	for len(d.rest) > 0 && !d.short {
		r.Flows = d.group(r.Flows)
	}
	if d.short {
		return Record{}, errors.Annotate(ErrMalformed, "cut off")
	}
	return r, nil
}

// decoder reads the parts of a record; short is set when bytes are missing.
type decoder struct {
	rest  []byte
	short bool
}

// take returns the next n bytes, or zeros if there are fewer.
func (d *decoder) take(n int) []byte {
	if len(d.rest) < n {
		d.rest, d.short = nil, true
		return make([]byte, n)
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) name() string { return string(d.take(int(d.take(1)[0]))) }

func (d *decoder) endpoint() netip.AddrPort {
	b := d.take(endpointSize)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
}

func (d *decoder) group(flows []passthrough.OpenFlow) []passthrough.OpenFlow {
	address := d.endpoint()
	n, size := binary.Uvarint(d.rest)
	if size <= 0 || n > uint64(len(d.rest)/flowSize) {
		d.short = true
		return flows
	}
	d.take(size)
	for range n {
		caller := d.endpoint()
		s := d.take(3)
		flows = append(flows, passthrough.OpenFlow{
			Flow: passthrough.NewFlowID(caller, address),
			Seq:  uint32(s[0])<<24 | uint32(s[1])<<16 | uint32(s[2])<<seqShift,
		})
	}
	return flows
}
