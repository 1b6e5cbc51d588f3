package agent

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
)

// Sizes of connection IDs in bytes.
const (
	// tagBytes is the size of a tag: the probability that two of 22,000 agents share one is about 1e-6.
	tagBytes = 6
	// connIDBytes includes 8 random bytes so that the IDs of one agent do not collide.
	connIDBytes = tagBytes + 8
)

// connTag is the prefix of every connection ID that one agent incarnation issues.
type connTag [tagBytes]byte

// newConnTag returns the tag of an incarnation of an agent.
func newConnTag(id string, incarnation uint64) connTag {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(id)
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, incarnation))
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], h.Sum64())
	return connTag(sum[:tagBytes])
}

// GenerateConnectionID returns a random connection ID with the tag as its prefix.
func (t connTag) GenerateConnectionID() (quic.ConnectionID, error) {
	var b [connIDBytes]byte
	copy(b[:], t[:])
	if _, err := rand.Read(b[tagBytes:]); err != nil {
		return quic.ConnectionID{}, errors.Annotate(err, "cannot read random bytes for a connection ID")
	}
	return quic.ConnectionIDFromBytes(b[:]), nil
}

// ConnectionIDLen returns the size of a connection ID in bytes.
func (t connTag) ConnectionIDLen() int { return connIDBytes }

// matches reports whether the destination connection ID of a QUIC packet has the tag as its prefix.
func (t connTag) matches(packet []byte) bool {
	id, ok := destinationConnID(packet)
	return ok && len(id) == connIDBytes && connTag(id[:tagBytes]) == t
}

// destinationConnID returns the destination connection ID of a QUIC packet (RFC 8999).
// A short header does not contain the length of the ID, so every agent uses IDs of the same length.
func destinationConnID(packet []byte) ([]byte, bool) {
	const longHeader, lengthAt = 0x80, 5
	if len(packet) == 0 {
		return nil, false
	}
	if packet[0]&longHeader == 0 {
		if len(packet) < 1+connIDBytes {
			return nil, false
		}
		return packet[1 : 1+connIDBytes], true
	}
	if len(packet) <= lengthAt {
		return nil, false
	}
	end := lengthAt + 1 + int(packet[lengthAt])
	if len(packet) < end {
		return nil, false
	}
	return packet[lengthAt+1 : end], true
}
