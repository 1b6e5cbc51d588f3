// Package ticket ensures that each non-idempotent request runs at most once, without consensus between agents.
//
// A ticket identifies the only agent incarnation that may run the requests of a session. That incarnation records
// every (ticket, key) before it runs the request, and all other agents query it. The package does no I/O and
// reads no clock.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// ErrInvalid means that a ticket was not encoded with the same key, or was changed.
const ErrInvalid = errors.ConstError("the ticket is not valid")

// macSize is the size in bytes of the truncated HMAC-SHA-256 of a ticket.
const macSize = 16

// Ticket identifies the agent incarnation that may run the requests sent with it.
type Ticket struct {
	agent       string
	incarnation uint64
	seq         uint64
	issued      time.Duration // since the start of the ledger that issued the ticket
}

// Agent returns the id of the agent that issued the ticket.
func (t Ticket) Agent() string { return t.agent }

// Incarnation returns the incarnation of the agent that issued the ticket.
func (t Ticket) Incarnation() uint64 { return t.incarnation }

// ticketCBOR is the encoding of a ticket; the fields are encoded by position.
type ticketCBOR struct {
	_           struct{} `cbor:",toarray"`
	Agent       string
	Incarnation uint64
	Seq         uint64
	IssuedNS    int64
}

// Codec encodes tickets as text for an HTTP header and decodes them.
type Codec struct{ key []byte }

// NewCodec returns a codec that authenticates tickets with a secret key, which all agents of a service share.
func NewCodec(key []byte) Codec { return Codec{key: key} }

func (c Codec) mac(b []byte) []byte {
	h := hmac.New(sha256.New, c.key)
	_, _ = h.Write(b)
	return h.Sum(nil)[:macSize]
}

// Encode returns the ticket as text.
func (c Codec) Encode(t Ticket) (string, error) {
	b, err := cbor.Marshal(ticketCBOR{Agent: t.agent, Incarnation: t.incarnation, Seq: t.seq, IssuedNS: int64(t.issued)})
	if err != nil {
		return "", errors.Annotate(err, "cannot encode a ticket")
	}
	return base64.RawURLEncoding.EncodeToString(append(b, c.mac(b)...)), nil
}

// Decode decodes a ticket. It returns ErrInvalid if the text is malformed or its MAC does not match.
func (c Codec) Decode(text string) (Ticket, error) {
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) < macSize {
		return Ticket{}, ErrInvalid
	}
	b, mac := b[:len(b)-macSize], b[len(b)-macSize:]
	if !hmac.Equal(mac, c.mac(b)) {
		return Ticket{}, ErrInvalid
	}
	var w ticketCBOR
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Ticket{}, ErrInvalid
	}
	return Ticket{agent: w.Agent, incarnation: w.Incarnation, seq: w.Seq, issued: time.Duration(w.IssuedNS)}, nil
}
