// Package contract defines the settings that operators store for customer services, zones and backend servers.
package contract

import (
	"net/netip"
	"slices"
	"time"
)

// Contract holds the load limits, zones, timeouts and change rules of one customer service.
type Contract struct {
	service            string
	addresses          []netip.AddrPort
	zones              []string
	slots              int
	connections        int
	coldSlots          int
	ramp               time.Duration
	deadline           time.Duration
	maxWait            time.Duration
	drainTimeout       time.Duration
	minInService       int
	zoneOutGracePeriod time.Duration
	retryBudgetPercent int
	requiresTickets    bool
	outcomeRetention   time.Duration
}

// Service returns the name of the customer service.
func (c Contract) Service() string { return c.service }

// Addresses returns the service addresses to which callers send.
func (c Contract) Addresses() []netip.AddrPort { return slices.Clone(c.addresses) }

// Zones returns the availability zones in which the service runs.
func (c Contract) Zones() []string { return slices.Clone(c.zones) }

// RunsIn reports whether the service runs in a zone.
func (c Contract) RunsIn(zone string) bool { return slices.Contains(c.zones, zone) }

// Slots returns the maximum number of requests in progress at one backend server.
func (c Contract) Slots() int { return c.slots }

// Connections returns the maximum number of open flows at one backend server.
func (c Contract) Connections() int { return c.connections }

// ColdSlots returns the maximum number of requests in progress at a backend server during a cold start.
func (c Contract) ColdSlots() int { return c.coldSlots }

// Ramp returns how long the limit takes to rise from ColdSlots to Slots.
func (c Contract) Ramp() time.Duration { return c.ramp }

// Deadline returns the maximum time until the first byte of an answer.
func (c Contract) Deadline() time.Duration { return c.deadline }

// MaxWait returns the maximum time that a request waits for a slot.
func (c Contract) MaxWait() time.Duration { return c.maxWait }

// DrainTimeout returns the maximum time that work in progress may continue at a backend server that leaves.
func (c Contract) DrainTimeout() time.Duration { return c.drainTimeout }

// MinInService returns the minimum number of backend servers in service during a change.
func (c Contract) MinInService() int { return c.minInService }

// ZoneOutGracePeriod returns how long the flows of a zone may continue after the zone was taken out of service.
func (c Contract) ZoneOutGracePeriod() time.Duration { return c.zoneOutGracePeriod }

// RetryBudgetPercent returns the retry budget as a percentage of the successful requests.
func (c Contract) RetryBudgetPercent() int { return c.retryBudgetPercent }

// RequiresTickets reports whether non-idempotent requests must have a ticket.
func (c Contract) RequiresTickets() bool { return c.requiresTickets }

// OutcomeRetention returns how long a ticket may start requests. Their outcomes are kept for at least as long.
func (c Contract) OutcomeRetention() time.Duration { return c.outcomeRetention }

// Availability is the state that operators have set for a zone or a backend server. The zero value is in service.
type Availability struct {
	out    bool
	author string
	reason string
}

// NewAvailability returns an availability with its author and reason; out means out of service.
func NewAvailability(out bool, author, reason string) Availability {
	return Availability{out: out, author: author, reason: reason}
}

// Out reports whether operators have taken the zone or backend server out of service.
func (a Availability) Out() bool { return a.out }

// Author returns who set the state.
func (a Availability) Author() string { return a.author }

// Reason returns why the state was set, in the author's words.
func (a Availability) Reason() string { return a.reason }
