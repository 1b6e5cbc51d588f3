package passthrough_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

var cmpAddrPort = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

func ExampleNewFlowID() {
	f := passthrough.NewFlowID(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))
	fmt.Println(f)
	fmt.Println(f == passthrough.DecodeFlowID(f.Append(nil)))
	// Output:
	// 100.64.0.7:40001>198.18.0.1:443
	// true
}

func ExampleSegment_Retransmissions() {
	f := passthrough.NewFlowID(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))
	fmt.Println(passthrough.NewSegment(f, passthrough.FlagOpen, 1, 2, 0).Retransmissions())
	fmt.Println(passthrough.NewSegment(f, passthrough.FlagAck, 1, 2, 0).Retransmissions())
	// Output:
	// 2
	// 0
}

// Guards against two flows with the same encoded ID.
func TestFlowIDEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) netip.AddrPort {
			ip := rapid.Uint32().Draw(t, name)
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(ip >> 24), byte(ip >> 16), byte(ip >> 8), byte(ip)}), rapid.Uint16().Draw(t, name+" port"))
		}
		caller, service := draw("caller"), draw("service")
		f := passthrough.NewFlowID(caller, service)
		if f.Caller() != caller || f.Address() != service {
			t.Fatalf("the flow from %s to %s has the ID %s", caller, service, f)
		}
		if passthrough.DecodeFlowID(f.Append(nil)) != f {
			t.Fatalf("the encoded ID of %s is decoded as another flow", f)
		}
	})
}

// Guards against a table that grows without limit, and against flows in use that are swept.
func TestTable(t *testing.T) {
	var table passthrough.Table[int]
	for i := range 1000 {
		table.Put(start, flowOf(i), i)
	}
	later := start.Add(10 * time.Second)
	for i := range 100 {
		v, ok := table.Get(later, flowOf(i))
		assert.Assert(t, ok)
		assert.Equal(t, v, i)
	}
	table.Sweep(later, func(_ int, idle time.Duration) bool { return idle >= 10*time.Second })
	assert.Equal(t, table.Len(), 100)
	table.Delete(flowOf(5))
	_, ok := table.Get(later, flowOf(5))
	assert.Assert(t, !ok)
}

// Guards against a path that returns agents out of order or holds more agents than allowed.
func TestPath(t *testing.T) {
	var p passthrough.Path
	for i := range passthrough.MaxPath {
		assert.Assert(t, p.Add(address(i)))
	}
	assert.Assert(t, !p.Add(address(99)))
	for i := range passthrough.MaxPath {
		a, ok := p.Next()
		assert.Assert(t, ok)
		assert.Equal(t, a, address(i))
	}
	_, ok := p.Next()
	assert.Assert(t, !ok)
}

func ExampleSlidingWindowLimiter() {
	var l passthrough.SlidingWindowLimiter
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	fmt.Println(l.Allow(now, 2), l.Allow(now.Add(600*time.Millisecond), 2), l.Allow(now.Add(900*time.Millisecond), 2))
	fmt.Println(l.Allow(now.Add(1100*time.Millisecond), 2))
	// Output:
	// true true false
	// true
}
