package control

import (
	"crypto/cipher"
	"encoding/binary"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/wire"
)

// Reasons for which a control datagram is refused; the text is the value of the reason label of the metric.
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
	// frameHeader is magic, version, kind, sender incarnation and counter.
	frameHeader = 2 + 1 + 1 + 8 + 8
	frameTag    = 16
	maxFrame    = 1472
	nonceSize   = 12
)

const (
	// windowSize is how many counters below the highest one may still arrive.
	windowSize = 1024
	// maxWindows bounds the senders whose counters are kept; idle ones are dropped first.
	maxWindows = 8192
	// windowIdle is how long a sender may be silent before its counters may be dropped.
	windowIdle = 10 * time.Minute
)

// window remembers which counters of a sender were seen.
type window struct {
	aead    cipher.AEAD
	highest uint64
	seen    [windowSize / 64]uint64
	used    time.Time
}

// accept reports whether a counter is new, and remembers it.
func (w *window) accept(counter uint64) bool {
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

// framer authenticates control datagrams and refuses those that were seen before.
type framer struct {
	shared  []byte
	sender  uint64
	own     cipher.AEAD
	mu      sync.Mutex
	counter uint64
	windows map[uint64]*window
}

func newFramer(shared []byte, incarnation uint64) (*framer, error) {
	f := &framer{shared: shared, sender: incarnation, windows: make(map[uint64]*window)}
	own, err := f.derive(incarnation)
	f.own = own
	return f, err
}

func (f *framer) derive(sender uint64) (cipher.AEAD, error) {
	return wire.NewAEAD(f.shared, wire.PurposeControl, binary.BigEndian.AppendUint64(nil, sender))
}

func frameNonce(counter uint64) []byte {
	n := make([]byte, nonceSize)
	binary.BigEndian.PutUint64(n[nonceSize-8:], counter)
	return n
}

// seal returns the datagram of a payload.
func (f *framer) seal(payload []byte) ([]byte, error) {
	if frameHeader+len(payload)+frameTag > maxFrame {
		return nil, errOversized
	}
	f.mu.Lock()
	f.counter++
	counter := f.counter
	f.mu.Unlock()
	b := make([]byte, 0, frameHeader+len(payload)+frameTag)
	b = binary.BigEndian.AppendUint16(b, frameMagic)
	b = append(b, frameVersion, frameKind)
	b = binary.BigEndian.AppendUint64(b, f.sender)
	b = binary.BigEndian.AppendUint64(b, counter)
	b = append(b, payload...)
	return f.own.Seal(b, frameNonce(counter), nil, b), nil
}

// open returns the payload of an authentic datagram that was not seen before.
func (f *framer) open(now time.Time, b []byte) ([]byte, error) {
	if len(b) > maxFrame {
		return nil, errOversized
	}
	if len(b) < frameHeader+frameTag || binary.BigEndian.Uint16(b) != frameMagic || b[2] != frameVersion || b[3] != frameKind {
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
		w = &window{aead: a}
	}
	body, tag := b[:len(b)-frameTag], b[len(b)-frameTag:]
	if _, err := w.aead.Open(nil, frameNonce(counter), tag, body); err != nil {
		return nil, errUnauthentic
	}
	if !ok {
		f.makeRoom(now)
		f.windows[sender] = w
	}
	w.used = now
	if !w.accept(counter) {
		return nil, errReplayed
	}
	return body[frameHeader:], nil
}

func (f *framer) makeRoom(now time.Time) {
	if len(f.windows) < maxWindows {
		return
	}
	for s, w := range f.windows {
		if now.Sub(w.used) > windowIdle {
			delete(f.windows, s)
		}
	}
}
