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

// KeySize is the least size of a shared key in bytes.
const KeySize = 32

// Purpose separates the keys that are derived from the shared key.
type Purpose string

// Purposes of keys.
const (
	PurposeData    Purpose = "bramleymast data v1"
	PurposeControl Purpose = "bramleymast control v1"
	PurposeRPC     Purpose = "bramleymast rpc v1"
	PurposeTicket  Purpose = "bramleymast ticket v1"
)

// DeriveKey returns a 32-byte key for a purpose and a context, such as the incarnation of a sender.
func DeriveKey(shared []byte, purpose Purpose, context []byte) ([]byte, error) {
	if len(shared) < KeySize {
		return nil, errors.Errorf("the shared key has %d bytes, at least %d are needed", len(shared), KeySize)
	}
	key, err := hkdf.Key(sha256.New, shared, context, string(purpose), KeySize)
	return key, errors.Trace(err)
}

// NewAEAD returns AES-256-GCM under a derived key.
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

// maxSenders bounds the cache of sender keys; it is above the design size of 22,000 agents.
const maxSenders = 32768

// Sealer authenticates datagrams with a key derived from the shared key and the sender's incarnation.
type Sealer struct {
	shared  []byte
	purpose Purpose
	sender  uint64
	own     cipher.AEAD
	counter atomic.Uint64

	admit func(sender uint64) bool

	mu      sync.RWMutex
	senders map[uint64]cipher.AEAD
}

// NewSealer returns a sealer for a process whose incarnation must never be used again with the same key.
func NewSealer(shared []byte, purpose Purpose, incarnation uint64) (*Sealer, error) {
	s := &Sealer{shared: shared, purpose: purpose, sender: incarnation, senders: make(map[uint64]cipher.AEAD)}
	own, err := s.derive(incarnation)
	if err != nil {
		return nil, err
	}
	s.own = own
	return s, nil
}

// SetSenderFilter sets a function that is asked before a key is derived for a sender that has not been heard yet,
// so that datagrams with invented senders cost little. It must be called before the first Open.
func (s *Sealer) SetSenderFilter(f func(sender uint64) bool) { s.admit = f }

func (s *Sealer) derive(sender uint64) (cipher.AEAD, error) {
	return NewAEAD(s.shared, s.purpose, binary.BigEndian.AppendUint64(nil, sender))
}

func (s *Sealer) aead(sender uint64) (cipher.AEAD, error) {
	s.mu.RLock()
	a, ok := s.senders[sender]
	s.mu.RUnlock()
	if ok {
		return a, nil
	}
	if s.admit != nil && !s.admit(sender) {
		return nil, ErrUnknownSender
	}
	a, err := s.derive(sender)
	if err != nil {
		return nil, ErrUnauthentic
	}
	return a, nil
}

// remember caches the key of a sender after one of its datagrams was authentic.
func (s *Sealer) remember(sender uint64, a cipher.AEAD) {
	s.mu.RLock()
	_, ok := s.senders[sender]
	s.mu.RUnlock()
	if ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.senders) >= maxSenders {
		clear(s.senders)
	}
	s.senders[sender] = a
}

// nonce returns the nonce of an encoded datagram: the last 4 bytes of the sender, which are the same for all uses of
// a key, and the counter. It is a part of the datagram, because an array of its own would be allocated each time.
func nonce(b []byte) []byte { return b[16:28] }

// Append encodes and authenticates a datagram behind b.
func (s *Sealer) Append(b []byte, d *Datagram) ([]byte, error) {
	if len(d.Payload) > MaxPayload {
		return b, ErrOversized
	}
	start := len(b)
	c := s.counter.Add(1)
	b = d.appendBody(b, s.sender, c)
	return s.own.Seal(b, nonce(b[start:]), nil, b[start:]), nil
}

// Open checks and decodes a datagram; the payload of d aliases b.
func (s *Sealer) Open(d *Datagram, b []byte) error {
	if len(b) > MaxDatagram {
		return ErrOversized
	}
	if len(b) < fixedHeader+tagSize || binary.BigEndian.Uint16(b) != magic || b[2] != version {
		return ErrMalformed
	}
	sender := binary.BigEndian.Uint64(b[12:])
	a, err := s.aead(sender)
	if err != nil {
		return err
	}
	body, tag := b[:len(b)-tagSize], b[len(b)-tagSize:]
	if _, err := a.Open(nil, nonce(b), tag, body); err != nil {
		return ErrUnauthentic
	}
	s.remember(sender, a)
	return parseBody(d, body)
}
