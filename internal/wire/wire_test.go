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
		FinalHop:     rapid.Bool().Draw(t, "final hop"),
		LeastLoaded:  flow.ShortID(rapid.Uint32().Draw(t, "least loaded")),
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
	for _, id := range rapid.SliceOfN(rapid.Uint32(), 0, flow.MaxVisited).Draw(t, "visited") {
		d.Visited.Add(flow.ShortID(id))
	}
	return d
}

// Guards against a field that is lost or changed by encoding and decoding.
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

func sealDatagram(tb testing.TB, s *wire.Sealer) []byte {
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

// Guards against a byte that the tag does not cover, and against accepting a truncated datagram.
func TestChangedAndTruncatedDatagramsAreRejected(t *testing.T) {
	sender, receiver := newSealer(t, 1, 7), newSealer(t, 1, 8)
	good := sealDatagram(t, sender)
	var d wire.Datagram
	assert.NilError(t, receiver.Open(&d, good))
	for i := range good {
		for bit := range 8 {
			bad := bytes.Clone(good)
			bad[i] ^= 1 << bit
			assert.Assert(t, receiver.Open(&d, bad) != nil, "byte %d, bit %d", i, bit)
		}
		assert.Assert(t, receiver.Open(&d, good[:i]) != nil, "truncated to %d bytes", i)
	}
	assert.Assert(t, receiver.Open(&d, append(bytes.Clone(good), 0)) != nil)
}

// Guards against accepting datagrams with another shared key, with another purpose, or over the size limit.
func TestRejectionReasons(t *testing.T) {
	receiver := newSealer(t, 1, 8)
	var d wire.Datagram
	assert.Equal(t, receiver.Open(&d, sealDatagram(t, newSealer(t, 2, 7))), wire.ErrUnauthentic)
	control, err := wire.NewSealer(bytes.Repeat([]byte{1}, wire.KeySize), wire.PurposeControl, 7)
	assert.NilError(t, err)
	assert.Equal(t, receiver.Open(&d, sealDatagram(t, control)), wire.ErrUnauthentic)
	assert.Equal(t, receiver.Open(&d, make([]byte, wire.MaxDatagram+1)), wire.ErrOversized)
	assert.Equal(t, receiver.Open(&d, nil), wire.ErrMalformed)
	_, err = receiver.Append(nil, &wire.Datagram{Payload: make([]byte, wire.MaxPayload+1)})
	assert.Equal(t, err, wire.ErrOversized)
	_, err = wire.NewSealer(make([]byte, wire.KeySize-1), wire.PurposeData, 1)
	assert.ErrorContains(t, err, "at least 32 are needed")
}

// Guards against deriving a key for each datagram with a forged sender, and against filtering a sender again after one
// of its datagrams was authenticated.
func TestSenderFilterIsCalledOncePerSender(t *testing.T) {
	receiver := newSealer(t, 1, 8)
	calls := 0
	receiver.SetSenderFilter(func(sender uint64) bool {
		calls++
		return sender == 7
	})
	var d wire.Datagram
	for range 3 {
		assert.NilError(t, receiver.Open(&d, sealDatagram(t, newSealer(t, 1, 7))))
	}
	assert.Equal(t, calls, 1)
	assert.Equal(t, receiver.Open(&d, sealDatagram(t, newSealer(t, 1, 9))), wire.ErrUnknownSender)
	assert.Equal(t, calls, 2)
}

// Guards against opening packets that are treated as continuing ones, and the reverse.
func TestIsInitial(t *testing.T) {
	cases := []struct {
		name   string
		packet []byte
		want   bool
	}{
		{"version 1 Initial", []byte{0xc3, 0, 0, 0, 1}, true},
		{"version 1 Handshake", []byte{0xe3, 0, 0, 0, 1}, false},
		{"version 2 Initial", []byte{0xd3, 0x6b, 0x33, 0x43, 0xcf}, true},
		{"version 2 Retry", []byte{0xc3, 0x6b, 0x33, 0x43, 0xcf}, false},
		{"short header", []byte{0x43, 0, 0, 0, 1}, false},
		{"truncated long header", []byte{0xc3, 0, 0, 0}, false},
		{"empty", nil, false},
	}
	for _, c := range cases {
		assert.Equal(t, wire.IsInitial(c.packet), c.want, c.name)
	}
}

// FuzzOpen guards against input that makes the decoder panic, or that is accepted without a valid tag.
func FuzzOpen(f *testing.F) {
	sender := newSealer(f, 1, 7)
	f.Add(sealDatagram(f, sender))
	f.Add(sealDatagram(f, sender)[:60])
	f.Add([]byte{})
	otherKey := newSealer(f, 2, 8)
	f.Fuzz(func(t *testing.T, b []byte) {
		var d wire.Datagram
		if err := otherKey.Open(&d, b); err == nil {
			t.Fatal("accepted a datagram with another key")
		}
		wire.IsInitial(b)
	})
}
