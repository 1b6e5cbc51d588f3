package flowrecord_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/flowrecord"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

var endpoints = rapid.Custom(func(t *rapid.T) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], rapid.Uint32().Draw(t, "ip"))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16().Draw(t, "port"))
})

var records = rapid.Custom(func(t *rapid.T) flowrecord.Record {
	services := rapid.SliceOfN(endpoints, 1, 3).Draw(t, "addresses")
	r := flowrecord.Record{
		Service: rapid.StringN(0, 20, 200).Draw(t, "service"), Backend: endpoints.Draw(t, "backend"),
		Run: flowrecord.Run{ID: rapid.StringN(0, 20, 200).Draw(t, "id"), StartedMS: rapid.Int64().Draw(t, "started")},
	}
	for range rapid.IntRange(0, 50).Draw(t, "flows") {
		f := passthrough.NewFlowID(endpoints.Draw(t, "caller"), rapid.SampledFrom(services).Draw(t, "address"))
		r.Flows = append(r.Flows, passthrough.OpenFlow{Flow: f, Seq: rapid.Uint32().Draw(t, "seq")})
	}
	return r
})

// Guards against records that are read with other flows, runs or addresses than were written.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := records.Draw(t, "record")
		got, err := flowrecord.DecodeRecord(want.Append(nil))
		assert.NilError(t, err)
		assert.Equal(t, got.Service, want.Service)
		assert.Equal(t, got.Backend, want.Backend)
		assert.Equal(t, got.Run, want.Run)
		assert.Equal(t, len(got.Flows), len(want.Flows))
		for _, f := range want.Flows {
			assert.Assert(t, slices.Contains(got.Flows, passthrough.OpenFlow{Flow: f.Flow, Seq: f.Seq &^ 0xff}), "%v is missing", f)
		}
	})
}

// Guards against a reset that callers ignore, and against one for a later flow from the same port: a caller may have
// acknowledged somewhat less than the recorded number, or more since.
func TestResetIsInReach(t *testing.T) {
	const inFlight, advanced = 16 * 1200, flowrecord.ResetTolerance
	rapid.Check(t, func(t *rapid.T) {
		next := rapid.Uint32().Draw(t, "next")
		recorded := next &^ 0xff
		ack := next + uint32(rapid.IntRange(-inFlight, advanced).Draw(t, "distance"))
		distance := int32(flowrecord.ResetSeq(recorded) - ack)
		assert.Assert(t, distance >= -flowrecord.ResetTolerance && distance <= flowrecord.ResetTolerance, "distance %d", distance)
		assert.Assert(t, flowrecord.Covers(recorded, ack))
		assert.Assert(t, !flowrecord.Covers(recorded, ack+1<<21))
	})
}

// Guards against panics and wrong flows from values that were cut off or changed, which another program may have written.
func TestMalformedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := records.Draw(t, "record").Append(nil)
		cut := rapid.IntRange(0, len(b)-1).Draw(t, "cut")
		_, err := flowrecord.DecodeRecord(b[:cut])
		assert.Assert(t, errors.Is(err, flowrecord.ErrMalformed))
		b[cut] ^= byte(rapid.IntRange(1, 255).Draw(t, "change"))
		_, err = flowrecord.DecodeRecord(b)
		assert.Assert(t, errors.Is(err, flowrecord.ErrMalformed))
	})
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add(flowrecord.Record{Service: "orders", Flows: flows(0, 3)}.Append(nil))
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = flowrecord.DecodeRecord(b) })
}

// Guards against values that the store rejects, or that cost too much memory, at a backend server with very many flows.
func TestRecordIsBounded(t *testing.T) {
	b := flowrecord.Record{Service: "orders", Backend: netip.MustParseAddrPort("10.0.0.1:80"), Flows: flows(0, 20_000)}.Append(nil)
	assert.Assert(t, len(b) <= flowrecord.MaxSize, "%d bytes", len(b))
	r, err := flowrecord.DecodeRecord(b)
	assert.NilError(t, err)
	assert.Assert(t, len(r.Flows) > 5000, "%d flows", len(r.Flows))
}

// flows returns the flows of the callers from..to-1.
func flows(from, to int) []passthrough.OpenFlow {
	fs := make([]passthrough.OpenFlow, 0, to-from)
	for i := from; i < to; i++ {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 16), byte(i >> 8)}), uint16(1024+i&0xff))
		fs = append(fs, passthrough.OpenFlow{Flow: passthrough.NewFlowID(caller, netip.MustParseAddrPort("198.18.0.1:443")), Seq: 1 << 16})
	}
	return fs
}

// Guards against the reset of open flows at a backend server that sends one of its first heartbeats after one of another
// writer without a start.
func TestRunWithoutStartIsNoEvidence(t *testing.T) {
	r := flowrecord.Record{Service: "orders", Run: flowrecord.Run{ID: "other"}}
	assert.Equal(t, r.Compare("orders", flowrecord.Run{ID: "orders-1", StartedMS: 9000}, 2), flowrecord.Uncertain)
}

func ExampleRecord_Compare() {
	r := flowrecord.Record{Service: "orders", Run: flowrecord.Run{ID: "orders-1", StartedMS: 1000}}
	fmt.Println(r.Compare("orders", flowrecord.Run{ID: "orders-1", StartedMS: 1000}, 40))
	fmt.Println(r.Compare("orders", flowrecord.Run{ID: "orders-2", StartedMS: 9000}, 1))
	fmt.Println(r.Compare("orders", flowrecord.Run{ID: "orders-0", StartedMS: 500}, 1))
	fmt.Println(r.Compare("billing", flowrecord.Run{ID: "billing-1", StartedMS: 9000}, 1))
	// Output:
	// same_run
	// lost
	// uncertain
	// other_backend
}
