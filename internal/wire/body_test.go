package wire

import (
	"bytes"
	"testing"
)

// FuzzParseBody guards against a body that makes the decoder panic although its tag is valid, and against a decoded
// datagram whose encoding changes when it is decoded and encoded again.
func FuzzParseBody(f *testing.F) {
	d := Datagram{Kind: KindReturn, Owner: 1, Established: true, Payload: []byte("payload")}
	d.Visited.Add(3)
	f.Add(d.appendBody(nil, 7, 9))
	f.Add((&Datagram{Kind: KindForward}).appendBody(nil, 7, 9))
	f.Add(make([]byte, fixedHeaderSize))
	f.Fuzz(func(t *testing.T, b []byte) {
		var d Datagram
		if err := parseBody(&d, b); err != nil {
			return
		}
		again := d.appendBody(nil, 0, 0)
		var d2 Datagram
		if err := parseBody(&d2, again); err != nil {
			t.Fatalf("cannot decode an encoded datagram: %v", err)
		}
		third := d2.appendBody(nil, 0, 0)
		if !bytes.Equal(again, third) || !bytes.Equal(d.Payload, d2.Payload) {
			t.Fatalf("encoding is not stable: %x, %x", again, third)
		}
	})
}
