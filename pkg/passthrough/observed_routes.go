package passthrough

import (
	"net/netip"
	"slices"
	"sync"
)

// maxObservedRoutes limits the number of service addresses that are kept without a configuration.
const maxObservedRoutes = 1024

// ObservedRoute maps a service address to the customer service of a backend server that serves it.
type ObservedRoute struct {
	Address netip.AddrPort
	Service string
}

// ObservedRoutes holds the routes that processes have observed before they have a configuration; the zero value is
// empty. It is safe for concurrent use.
//
// It is needed when all processes restart while the store is unavailable. Backend servers keep running and retransmit
// packets of their open flows; a backend server that has a flow to a service address got it by a configured route.
type ObservedRoutes struct {
	mu       sync.Mutex
	services map[netip.AddrPort]string // an empty name means that backend servers of two services serve the address
}

// Add records a route and reports whether it changed the known routes. An address that two services serve has no route.
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
	case len(o.services) >= maxObservedRoutes || r.Service == "":
		return false
	}
	if o.services == nil {
		o.services = make(map[netip.AddrPort]string)
	}
	o.services[r.Address] = r.Service
	return true
}

// Service returns the service of an address, or false if it has no route.
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
