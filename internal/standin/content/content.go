// Package content derives checkable bytes of any length from a seed.
package content

import (
	"bytes"
	"encoding/binary"
	"io"
	"math/rand/v2"

	"github.com/juju/errors"
)

// ErrMismatch means that received bytes are not the ones that the seed yields.
const ErrMismatch = errors.ConstError("the bytes differ from the expected content")

// NewReader returns the endless stream of bytes of a seed.
func NewReader(seed uint64) io.Reader {
	var key [32]byte
	binary.BigEndian.PutUint64(key[:], seed)
	return rand.NewChaCha8(key)
}

// Verifier is a writer that compares what is written with the stream of a seed.
type Verifier struct {
	expected io.Reader
	buf      []byte
	matched  int64
}

// NewVerifier returns a verifier for the stream of a seed.
func NewVerifier(seed uint64) *Verifier { return &Verifier{expected: NewReader(seed)} }

// Matched returns the number of bytes that were compared and found equal.
func (v *Verifier) Matched() int64 { return v.matched }

// Write compares the next bytes and returns ErrDiffers at the first block that is not equal.
func (v *Verifier) Write(p []byte) (int, error) {
	if cap(v.buf) < len(p) {
		v.buf = make([]byte, len(p))
	}
	want := v.buf[:len(p)]
	if _, err := io.ReadFull(v.expected, want); err != nil {
		return 0, errors.Trace(err)
	}
	if !bytes.Equal(p, want) {
		return 0, errors.Annotatef(ErrMismatch, "after %d bytes", v.matched)
	}
	v.matched += int64(len(p))
	return len(p), nil
}
