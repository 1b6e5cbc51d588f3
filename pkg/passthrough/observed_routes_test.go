package passthrough_test

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

func ExampleObservedRoutes() {
	var o passthrough.ObservedRoutes
	address := netip.MustParseAddrPort("198.18.0.1:443")
	fmt.Println(o.Add(passthrough.ObservedRoute{Address: address, Service: "orders"}))
	fmt.Println(o.Service(address))
	// Output:
	// true
	// orders true
}

// Guards against flows that reach one of two services at random, and against memory that grows with forged packets.
func TestObservedRoutes(t *testing.T) {
	var o passthrough.ObservedRoutes
	address := netip.MustParseAddrPort("198.18.0.1:443")
	assert.Assert(t, o.Add(passthrough.ObservedRoute{Address: address, Service: "orders"}))
	assert.Assert(t, !o.Add(passthrough.ObservedRoute{Address: address, Service: "orders"}))
	assert.Equal(t, len(o.Routes()), 1)
	assert.Assert(t, o.Add(passthrough.ObservedRoute{Address: address, Service: "catalogue"}))
	for _, again := range []string{"orders", "catalogue"} {
		assert.Assert(t, !o.Add(passthrough.ObservedRoute{Address: address, Service: again}))
		_, ok := o.Service(address)
		assert.Assert(t, !ok)
	}
	assert.Equal(t, len(o.Routes()), 0)
	for port := range 5000 {
		o.Add(passthrough.ObservedRoute{Address: netip.AddrPortFrom(address.Addr(), uint16(port+1)), Service: "orders"})
	}
	assert.Assert(t, len(o.Routes()) <= 1024)
}
