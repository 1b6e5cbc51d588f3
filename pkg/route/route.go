// Package route maps service addresses to customer services.
package route

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Kind says whether a request with an unknown outcome may be repeated.
type Kind uint8

// Kinds of requests.
const (
	// Idempotent requests may be repeated.
	Idempotent Kind = iota
	// NonIdempotent requests must not run more than once.
	NonIdempotent
)

// Route maps a service address to a customer service.
type Route struct {
	// Service is the customer service that new flows go to. If there is a split, it is the first service of the split.
	Service string
	// Split divides new flows between several services; it is empty for a route with one service.
	Split []Share
	Kind  Kind
	// Priority orders requests while capacity is short; 0 is the highest.
	Priority int
	// Timeout is how long a caller waits for an answer; 0 if it is not known.
	Timeout time.Duration
	// TargetLatency is the latency objective of the requests; 0 if there is none.
	TargetLatency time.Duration
}

// callerAttempts is in how many attempts callers divide the timeout of a request that may be repeated.
const callerAttempts = 3

// AttemptTimeout returns how long a caller waits for the answer to an attempt before it tries again; 0 if the route does
// not tell, since a request must not be repeated or the timeout is not known.
func (r Route) AttemptTimeout() time.Duration {
	if r.Kind == NonIdempotent {
		return 0
	}
	return r.Timeout / callerAttempts
}

// Share is the part of a route's new flows that goes to a service.
type Share struct {
	Service string
	// Weight is relative to the other weights of the route; a service with the weight 0 gets no new flows.
	Weight float64
}

// ServiceLimits are the configured limits of each backend server of a customer service.
type ServiceLimits struct {
	// MaxConnections is the maximum number of flows of a backend server; 0 if it is not configured.
	MaxConnections int
	// ColdRequestsPerSecond is the maximum request rate of a cold backend server; 0 if it is not configured.
	ColdRequestsPerSecond float64
	// ColdPeriod is how long a backend server stays cold after its start.
	ColdPeriod time.Duration
}

// Table is an immutable version of the configuration.
type Table struct {
	revision    uint64
	version     uint64
	idleTimeout time.Duration
	routes      map[netip.AddrPort]Route
	services    map[string]ServiceLimits
}

// NewTable returns the table of a configuration version that the store holds at the given revision.
func NewTable(revision, version uint64, idle time.Duration, routes map[netip.AddrPort]Route, services map[string]ServiceLimits) *Table {
	return &Table{revision: revision, version: version, idleTimeout: idle, routes: routes, services: services}
}

// Revision returns the store revision, which orders the versions; it is 0 for a nil table.
func (t *Table) Revision() uint64 {
	if t == nil {
		return 0
	}
	return t.revision
}

// Version returns the version number that the operator has given the configuration.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.version
}

// WithRevision returns the table at another store revision.
func (t *Table) WithRevision(revision uint64) *Table {
	at := *t
	at.revision = revision
	return &at
}

// IdleTimeout returns the time without packets after which a flow may be removed.
func (t *Table) IdleTimeout() time.Duration { return t.idleTimeout }

// Route returns the route of a service address.
func (t *Table) Route(address netip.AddrPort) (Route, bool) {
	if t == nil {
		return Route{}, false
	}
	r, ok := t.routes[address]
	return r, ok
}

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// RoutedServices returns the customer services that have a route, in order.
func (t *Table) RoutedServices() []string {
	services := make(map[string]bool)
	for _, r := range t.routes {
		services[r.Service] = true
	}
	return slices.Sorted(maps.Keys(services))
}

// ServiceLimits returns the limits of a customer service.
func (t *Table) ServiceLimits(name string) (ServiceLimits, bool) {
	if t == nil {
		return ServiceLimits{}, false
	}
	s, ok := t.services[name]
	return s, ok
}
