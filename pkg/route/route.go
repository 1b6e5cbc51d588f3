// Package route holds which customer service each service address leads to.
package route

import (
	"net/netip"
	"time"
)

// Kind says what may be done with a request whose outcome is unknown.
type Kind uint8

// Kinds of requests.
const (
	// Idempotent requests may be repeated.
	Idempotent Kind = iota
	// NonIdempotent requests may run once at most.
	NonIdempotent
)

// Route leads a service address to a customer service.
type Route struct {
	// Service is the customer service that gets new flows.
	Service string
	Kind    Kind
	// Timeout is how long a caller may wait for an answer; 0 means that it is not known.
	Timeout time.Duration
	// TargetLatency is the latency objective of the requests; 0 means that there is none.
	TargetLatency time.Duration
}

// ServiceLimits states what each backend server of a customer service may bear.
type ServiceLimits struct {
	// MaxConnections is how many flows a backend server bears; 0 means that it is not stated.
	MaxConnections int
	// ColdRequestsPerSecond is how many requests a second a cold backend server bears; 0 means that it is not stated.
	ColdRequestsPerSecond float64
	// ColdPeriod is how long a backend server stays cold after its start.
	ColdPeriod time.Duration
}

// Table is one version of the configuration; it is never changed after it is made.
type Table struct {
	revision    uint64
	version     uint64
	idleTimeout time.Duration
	routes      map[netip.AddrPort]Route
	services    map[string]ServiceLimits
}

// NewTable returns the table of a configuration version, which the store holds at a revision.
func NewTable(revision, version uint64, idle time.Duration, routes map[netip.AddrPort]Route, services map[string]ServiceLimits) *Table {
	return &Table{revision: revision, version: version, idleTimeout: idle, routes: routes, services: services}
}

// Revision returns the store revision, which orders the versions.
func (t *Table) Revision() uint64 {
	if t == nil {
		return 0
	}
	return t.revision
}

// Version returns the operator's number of the version.
func (t *Table) Version() uint64 { return t.version }

// IdleTimeout returns after which time without packets a flow may be forgotten.
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

// ServiceLimits returns what is stated of a customer service.
func (t *Table) ServiceLimits(name string) (ServiceLimits, bool) {
	if t == nil {
		return ServiceLimits{}, false
	}
	s, ok := t.services[name]
	return s, ok
}
