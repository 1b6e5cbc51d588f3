package passthrough

import (
	"net/netip"
	"slices"
	"sync"
)

// maxObserved bounds how many service addresses are remembered without a configuration.
const maxObserved = 1024

// ObservedRoute is a service address with the customer service of a backend server that serves it.
type ObservedRoute struct {
	Address netip.AddrPort
	Service string
}

// ObservedRoutes is what processes know of the routes before they have a configuration; the zero value knows none. It is safe
// for concurrent use.
//
// It answers a restart of all processes while the store is away. Backend servers live on and repeat the packets of
// their open flows; a backend server that holds a flow to a service address has been given it by a configuration.
type ObservedRoutes struct {
	mu       sync.Mutex
	services map[netip.AddrPort]string // an empty name means that backend servers of two services serve the address
}

// Add remembers a route, and reports whether it says something new. An address of two services has no route.
func (o *ObservedRoutes) Add(r ObservedRoute) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	old, known := o.services[r.Address]
	switch {
	case known && (old == r.Service || old == ""):
		return false
	case known:
		o.services[r.Address] = ""
		return true
	case len(o.services) >= maxObserved || r.Service == "":
		return false
	}
	if o.services == nil {
		o.services = make(map[netip.AddrPort]string)
	}
	o.services[r.Address] = r.Service
	return true
}

// Service returns the service of an address.
func (o *ObservedRoutes) Service(address netip.AddrPort) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[address]
	return s, s != ""
}

// Routes returns the known routes ordered by address.
func (o *ObservedRoutes) Routes() []ObservedRoute {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []ObservedRoute
	for a, s := range o.services {
		if s != "" {
			all = append(all, ObservedRoute{Address: a, Service: s})
		}
	}
	slices.SortFunc(all, func(a, b ObservedRoute) int { return a.Address.Compare(b.Address) })
	return all
}
