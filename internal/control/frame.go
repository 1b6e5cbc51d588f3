package control

import (
	"crypto/cipher"
	"encoding/binary"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/wire"
)

// Reasons for which a control datagram is refused; the text is the value of the metric's reason label.
const (
	errMalformed   = errors.ConstError("malformed")
	errUnauthentic = errors.ConstError("unauthentic")
	errReplayed    = errors.ConstError("replayed")
	errOversized   = errors.ConstError("oversized")
)

// Sizes in bytes.
const (
	frameMagic   = 0xb7a6
	frameVersion = 1
	frameKind    = 1
	// frameHeaderSize is the size of magic, version, kind, sender incarnation and counter.
	frameHeaderSize = 2 + 1 + 1 + 8 + 8
	frameTagSize    = 16
	maxFrameSize    = 1472
	nonceSize       = 12
)

const (
	// windowSize is the number of counters, up to the highest one received, that are still accepted.
	windowSize = 1024
	// maxWindows is the number of senders from which on the windows of idle ones are evicted.
	maxWindows = 8192
	// windowIdleTimeout is how long a sender must be idle before its window may be evicted.
	windowIdleTimeout = 10 * time.Minute
)

// replayWindow records which counters of a sender were received.
type replayWindow struct {
	aead    cipher.AEAD
	highest uint64
	seen    [windowSize / 64]uint64
	usedAt  time.Time
}

// accept records a counter and reports whether it is new.
func (w *replayWindow) accept(counter uint64) bool {
	if counter+windowSize <= w.highest {
		return false
	}
	for w.highest < counter {
		if counter-w.highest > windowSize {
			w.seen = [windowSize / 64]uint64{}
			w.highest = counter
			break
		}
		w.highest++
		w.seen[w.highest/64%(windowSize/64)] &^= 1 << (w.highest % 64)
	}
	word, bit := &w.seen[counter/64%(windowSize/64)], uint64(1)<<(counter%64)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// framer seals and opens control datagrams, and refuses replayed ones.
type framer struct {
	sharedKey []byte
	sender    uint64
	sealer    cipher.AEAD
	mu        sync.Mutex
	counter   uint64
	windows   map[uint64]*replayWindow
}

func newFramer(sharedKey []byte, incarnation uint64) (*framer, error) {
	f := &framer{sharedKey: sharedKey, sender: incarnation, windows: make(map[uint64]*replayWindow)}
	sealer, err := f.derive(incarnation)
	f.sealer = sealer
	return f, err
}

func (f *framer) derive(sender uint64) (cipher.AEAD, error) {
	return wire.NewAEAD(f.sharedKey, wire.PurposeControl, binary.BigEndian.AppendUint64(nil, sender))
}

func frameNonce(counter uint64) []byte {
	n := make([]byte, nonceSize)
	binary.BigEndian.PutUint64(n[nonceSize-8:], counter)
	return n
}

// seal returns the datagram that carries a payload.
func (f *framer) seal(payload []byte) ([]byte, error) {
	if frameHeaderSize+len(payload)+frameTagSize > maxFrameSize {
		return nil, errOversized
	}
	f.mu.Lock()
	f.counter++
	counter := f.counter
	f.mu.Unlock()
	b := make([]byte, 0, frameHeaderSize+len(payload)+frameTagSize)
	b = binary.BigEndian.AppendUint16(b, frameMagic)
	b = append(b, frameVersion, frameKind)
	b = binary.BigEndian.AppendUint64(b, f.sender)
	b = binary.BigEndian.AppendUint64(b, counter)
	b = append(b, payload...)
	return f.sealer.Seal(b, frameNonce(counter), nil, b), nil
}

// open authenticates a datagram and returns its payload.
func (f *framer) open(now time.Time, b []byte) ([]byte, error) {
	if len(b) > maxFrameSize {
		return nil, errOversized
	}
	if len(b) < frameHeaderSize+frameTagSize || binary.BigEndian.Uint16(b) != frameMagic || b[2] != frameVersion || b[3] != frameKind {
		return nil, errMalformed
	}
	sender, counter := binary.BigEndian.Uint64(b[4:]), binary.BigEndian.Uint64(b[12:])
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.windows[sender]
	if !ok {
		a, err := f.derive(sender)
		if err != nil {
			return nil, errUnauthentic
		}
		w = &replayWindow{aead: a}
	}
	body, tag := b[:len(b)-frameTagSize], b[len(b)-frameTagSize:]
	if _, err := w.aead.Open(nil, frameNonce(counter), tag, body); err != nil {
		return nil, errUnauthentic
	}
	if !ok {
		f.evictIdleWindows(now)
		f.windows[sender] = w
	}
	w.usedAt = now
	if !w.accept(counter) {
		return nil, errReplayed
	}
	return body[frameHeaderSize:], nil
}

func (f *framer) evictIdleWindows(now time.Time) {
	if len(f.windows) < maxWindows {
		return
	}
	for s, w := range f.windows {
		if now.Sub(w.usedAt) > windowIdleTimeout {
			delete(f.windows, s)
		}
	}
}
