package wire_test

import (
	"bytes"
	"net/netip"
	"reflect"
	"testing"

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
		Payload:      rapid.SliceOfN(rapid.Byte(), 0, wire.MaxPayload).Draw(t, "payload"),
	}
	if rapid.Bool().Draw(t, "with address") {
		d.Address = drawAddr(t, "address")
	}
	for _, id := range rapid.SliceOfN(rapid.Uint32(), 0, flow.MaxTried).Draw(t, "tried") {
		d.Tried.Add(flow.ShortID(id))
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
