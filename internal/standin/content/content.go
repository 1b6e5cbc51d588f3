// Package content generates byte streams from a seed and verifies received bytes against them.
package content

import (
	"bytes"
	"encoding/binary"
	"io"
	"math/rand/v2"

	"github.com/juju/errors"
)

// ErrMismatch is returned by Verifier.Write for bytes that differ from the stream of the seed.
const ErrMismatch = errors.ConstError("bytes differ from the content of the seed")

// NewReader returns the endless stream of bytes that a seed generates.
func NewReader(seed uint64) io.Reader {
	var key [32]byte
	binary.BigEndian.PutUint64(key[:], seed)
	return rand.NewChaCha8(key)
}

// Verifier is a writer that compares the written bytes with the stream of a seed.
type Verifier struct {
	expected io.Reader
	buf      []byte
	matched  int64
}

// NewVerifier returns a verifier for the stream of a seed.
func NewVerifier(seed uint64) *Verifier { return &Verifier{expected: NewReader(seed)} }

// Matched returns the number of bytes in the blocks that were equal.
func (v *Verifier) Matched() int64 { return v.matched }

// Write compares the next block and returns ErrMismatch if it is not equal.
func (v *Verifier) Write(p []byte) (int, error) {
	if cap(v.buf) < len(p) {
		v.buf = make([]byte, len(p))
	}
	want := v.buf[:len(p)]
	if _, err := io.ReadFull(v.expected, want); err != nil {
		return 0, errors.Trace(err)
	}
	if !bytes.Equal(p, want) {
		return 0, errors.Annotatef(ErrMismatch, "after %d equal bytes", v.matched)
	}
	v.matched += int64(len(p))
	return len(p), nil
}
