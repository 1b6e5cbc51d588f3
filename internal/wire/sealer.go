package wire

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// KeySize is the size of a derived key and the minimum size of a shared key in bytes.
const KeySize = 32

// Purpose states what a derived key is used for. Keys for different purposes are independent.
type Purpose string

// Purposes of derived keys.
const (
	PurposeData    Purpose = "bramleymast data v1"
	PurposeControl Purpose = "bramleymast control v1"
	PurposeRPC     Purpose = "bramleymast rpc v1"
	PurposeTicket  Purpose = "bramleymast ticket v1"
)

// DeriveKey derives a 32-byte key for a purpose and a context, such as the incarnation of a sender.
func DeriveKey(shared []byte, purpose Purpose, context []byte) ([]byte, error) {
	if len(shared) < KeySize {
		return nil, errors.Errorf("the shared key has %d bytes, at least %d are needed", len(shared), KeySize)
	}
	key, err := hkdf.Key(sha256.New, shared, context, string(purpose), KeySize)
	return key, errors.Trace(err)
}

// NewAEAD returns AES-256-GCM with a derived key.
func NewAEAD(shared []byte, purpose Purpose, context []byte) (cipher.AEAD, error) {
	key, err := DeriveKey(shared, purpose, context)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	aead, err := cipher.NewGCM(block)
	return aead, errors.Trace(err)
}

// maxSenders is the maximum number of cached sender keys, above the designed maximum of 22,000 agents.
const maxSenders = 32768

// Sealer encodes and authenticates datagrams with keys derived from the shared key and the incarnation of the sender.
// After SetSenderFilter it is safe for concurrent use.
type Sealer struct {
	shared  []byte
	purpose Purpose
	sender  uint64
	ownAEAD cipher.AEAD
	counter atomic.Uint64

	senderAllowed func(sender uint64) bool

	mu          sync.RWMutex
	senderAEADs map[uint64]cipher.AEAD
}

// NewSealer returns a sealer for a process. An incarnation must never be used twice with the same shared key, because
// nonces would repeat.
func NewSealer(shared []byte, purpose Purpose, incarnation uint64) (*Sealer, error) {
	s := &Sealer{shared: shared, purpose: purpose, sender: incarnation, senderAEADs: make(map[uint64]cipher.AEAD)}
	own, err := s.deriveAEAD(incarnation)
	if err != nil {
		return nil, err
	}
	s.ownAEAD = own
	return s, nil
}

// SetSenderFilter sets a function that reports whether a key may be derived for a sender without a cached key, so
// that datagrams with forged senders cost little. It must be called before the first Open.
func (s *Sealer) SetSenderFilter(f func(sender uint64) bool) { s.senderAllowed = f }

func (s *Sealer) deriveAEAD(sender uint64) (cipher.AEAD, error) {
	return NewAEAD(s.shared, s.purpose, binary.BigEndian.AppendUint64(nil, sender))
}

func (s *Sealer) senderAEAD(sender uint64) (cipher.AEAD, error) {
	s.mu.RLock()
	a, ok := s.senderAEADs[sender]
	s.mu.RUnlock()
	if ok {
		return a, nil
	}
	if s.senderAllowed != nil && !s.senderAllowed(sender) {
		return nil, ErrUnknownSender
	}
	a, err := s.deriveAEAD(sender)
	if err != nil {
		return nil, ErrUnauthentic
	}
	return a, nil
}

// cacheAEAD caches the AEAD of a sender. It is called only after a datagram was authenticated with it.
func (s *Sealer) cacheAEAD(sender uint64, a cipher.AEAD) {
	s.mu.RLock()
	_, ok := s.senderAEADs[sender]
	s.mu.RUnlock()
	if ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.senderAEADs) >= maxSenders {
		clear(s.senderAEADs)
	}
	s.senderAEADs[sender] = a
}

// nonce returns the nonce of an encoded datagram: the last 4 bytes of the sender, which are constant for a key, and
// the counter. It is a slice of the datagram, because a separate array would be allocated for each datagram.
func nonce(b []byte) []byte { return b[16:28] }

// Append appends the encoded and authenticated datagram to b.
func (s *Sealer) Append(b []byte, d *Datagram) ([]byte, error) {
	if len(d.Payload) > MaxPayload {
		return b, ErrOversized
	}
	start := len(b)
	c := s.counter.Add(1)
	b = d.appendBody(b, s.sender, c)
	return s.ownAEAD.Seal(b, nonce(b[start:]), nil, b[start:]), nil
}

// Open authenticates and decodes a datagram. The payload of d aliases b.
func (s *Sealer) Open(d *Datagram, b []byte) error {
	if len(b) > MaxDatagram {
		return ErrOversized
	}
	if len(b) < fixedHeaderSize+tagSize || binary.BigEndian.Uint16(b) != magic || b[2] != version {
		return ErrMalformed
	}
	sender := binary.BigEndian.Uint64(b[12:])
	a, err := s.senderAEAD(sender)
	if err != nil {
		return err
	}
	body, tag := b[:len(b)-tagSize], b[len(b)-tagSize:]
	if _, err := a.Open(nil, nonce(b), tag, body); err != nil {
		return ErrUnauthentic
	}
	s.cacheAEAD(sender, a)
	return parseBody(d, body)
}
