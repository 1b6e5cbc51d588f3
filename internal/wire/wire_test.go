package wire_test

import (
	"bytes"
	"net/netip"
	"reflect"
	"testing"

	_ "github.com/bramleymast/bramleymast/internal/fixedseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

func newSealer(tb testing.TB, fill byte, incarnation uint64) *wire.Sealer {
	tb.Helper()
	s, err := wire.NewSealer(bytes.Repeat([]byte{fill}, wire.KeySize), wire.PurposeData, incarnation)
	assert.NilError(tb, err)
	return s
}

func drawAddr(t *rapid.T, name string) netip.AddrPort {
	port := rapid.Uint16Min(1).Draw(t, name+" port")
	if rapid.Bool().Draw(t, name+" v6") {
		ip := [16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, name))
		return netip.AddrPortFrom(netip.AddrFrom16(ip).Unmap(), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, name))), port)
}

func drawDatagram(t *rapid.T) wire.Datagram {
	d := wire.Datagram{
		Kind:         rapid.SampledFrom([]wire.Kind{wire.KindForward, wire.KindReturn}).Draw(t, "kind"),
		Service:      flow.ServiceID(rapid.Uint64().Draw(t, "service")),
		Caller:       drawAddr(t, "caller"),
		Balancer:     drawAddr(t, "balancer"),
		ZoneRevision: rapid.Uint64().Draw(t, "revision"),
		Owner:        flow.ShortID(rapid.Uint32().Draw(t, "owner")),
		Opening:      rapid.Bool().Draw(t, "opening"),
		Established:  rapid.Bool().Draw(t, "established"),
		FinalHop:     rapid.Bool().Draw(t, "settled"),
		LeastLoaded:  flow.ShortID(rapid.Uint32().Draw(t, "least")),
		LowestLoad: wire.Load{
			InProgress: rapid.Uint16().Draw(t, "in progress"),
			Flows:      rapid.Uint16().Draw(t, "flows"),
			Slots:      rapid.Uint16().Draw(t, "slots"),
		},
		Payload: rapid.SliceOfN(rapid.Byte(), 0, wire.MaxPayload).Draw(t, "payload"),
	}
	if rapid.Bool().Draw(t, "with address") {
		d.Address = drawAddr(t, "address")
	}
	for _, id := range rapid.SliceOfN(rapid.Uint32(), 0, flow.MaxVisited).Draw(t, "tried") {
		d.Visited.Add(flow.ShortID(id))
	}
	return d
}

// Guards against a field that the encoding loses or changes.
func TestRoundTrip(t *testing.T) {
	sender, receiver := newSealer(t, 1, 7), newSealer(t, 1, 8)
	rapid.Check(t, func(t *rapid.T) {
		want := drawDatagram(t)
		b, err := sender.Append(nil, &want)
		assert.NilError(t, err)
		assert.Assert(t, len(b) <= wire.MaxDatagram)
		var got wire.Datagram
		assert.NilError(t, receiver.Open(&got, b))
		assert.Assert(t, bytes.Equal(got.Payload, want.Payload))
		got.Payload, want.Payload = nil, nil
		assert.Assert(t, reflect.DeepEqual(got, want), "got %+v, want %+v", got, want)
	})
}

func sealed(tb testing.TB, s *wire.Sealer) []byte {
	tb.Helper()
	d := wire.Datagram{
		Kind: wire.KindForward, Service: 1, Caller: netip.MustParseAddrPort("192.0.2.1:4433"),
		Balancer: netip.MustParseAddrPort("192.0.2.2:9000"), Address: netip.MustParseAddrPort("192.0.2.3:443"),
		ZoneRevision: 3, Opening: true, Payload: []byte("payload"),
	}
	d.Visited.Add(5)
	b, err := s.Append(nil, &d)
	assert.NilError(tb, err)
	return b
}

// Guards against a byte that the tag does not cover, and against a cut datagram that passes.
func TestChangedAndTruncatedDatagramsAreRejected(t *testing.T) {
	sender, receiver := newSealer(t, 1, 7), newSealer(t, 1, 8)
	good := sealed(t, sender)
	var d wire.Datagram
	assert.NilError(t, receiver.Open(&d, good))
	for i := range good {
		for bit := range 8 {
			bad := bytes.Clone(good)
			bad[i] ^= 1 << bit
			assert.Assert(t, receiver.Open(&d, bad) != nil, "byte %d, bit %d", i, bit)
		}
		assert.Assert(t, receiver.Open(&d, good[:i]) != nil, "cut to %d bytes", i)
	}
	assert.Assert(t, receiver.Open(&d, append(bytes.Clone(good), 0)) != nil)
}

// Guards against datagrams of another shared key, of another purpose, or over the size limit.
func TestRejectionReasons(t *testing.T) {
	receiver := newSealer(t, 1, 8)
	var d wire.Datagram
	assert.Equal(t, receiver.Open(&d, sealed(t, newSealer(t, 2, 7))), wire.ErrUnauthentic)
	control, err := wire.NewSealer(bytes.Repeat([]byte{1}, wire.KeySize), wire.PurposeControl, 7)
	assert.NilError(t, err)
	assert.Equal(t, receiver.Open(&d, sealed(t, control)), wire.ErrUnauthentic)
	assert.Equal(t, receiver.Open(&d, make([]byte, wire.MaxDatagram+1)), wire.ErrOversized)
	assert.Equal(t, receiver.Open(&d, nil), wire.ErrMalformed)
	_, err = receiver.Append(nil, &wire.Datagram{Payload: make([]byte, wire.MaxPayload+1)})
	assert.Equal(t, err, wire.ErrOversized)
	_, err = wire.NewSealer(make([]byte, wire.KeySize-1), wire.PurposeData, 1)
	assert.ErrorContains(t, err, "at least 32 are needed")
}

// Guards against invented senders that make the receiver derive a key for each datagram, and against
// a sender that is asked about again after it was authentic.
func TestAdmissionIsAskedOnceForEachSender(t *testing.T) {
	receiver := newSealer(t, 1, 8)
	asked := 0
	receiver.SetSenderFilter(func(sender uint64) bool {
		asked++
		return sender == 7
	})
	var d wire.Datagram
	for range 3 {
		assert.NilError(t, receiver.Open(&d, sealed(t, newSealer(t, 1, 7))))
	}
	assert.Equal(t, asked, 1)
	assert.Equal(t, receiver.Open(&d, sealed(t, newSealer(t, 1, 9))), wire.ErrUnknownSender)
	assert.Equal(t, asked, 2)
}

// Guards against packets that open a flow and are taken for continuing ones, or the reverse.
func TestOpens(t *testing.T) {
	cases := []struct {
		name   string
		packet []byte
		opens  bool
	}{
		{"version 1 Initial", []byte{0xc3, 0, 0, 0, 1}, true},
		{"version 1 Handshake", []byte{0xe3, 0, 0, 0, 1}, false},
		{"version 2 Initial", []byte{0xd3, 0x6b, 0x33, 0x43, 0xcf}, true},
		{"version 2 Retry", []byte{0xc3, 0x6b, 0x33, 0x43, 0xcf}, false},
		{"short header", []byte{0x43, 0, 0, 0, 1}, false},
		{"cut long header", []byte{0xc3, 0, 0, 0}, false},
		{"empty", nil, false},
	}
	for _, c := range cases {
		assert.Equal(t, wire.IsInitial(c.packet), c.opens, c.name)
	}
}

// FuzzOpen guards against input that makes the decoder panic, or that passes without a valid tag.
func FuzzOpen(f *testing.F) {
	sender := newSealer(f, 1, 7)
	f.Add(sealed(f, sender))
	f.Add(sealed(f, sender)[:60])
	f.Add([]byte{})
	foreign := newSealer(f, 2, 8)
	f.Fuzz(func(t *testing.T, b []byte) {
		var d wire.Datagram
		if err := foreign.Open(&d, b); err == nil {
			t.Fatal("accepted without the key")
		}
		wire.IsInitial(b)
	})
}
