// Package contract holds what operators state about a customer service and about zones and backend servers.
package contract

import (
	"net/netip"
	"slices"
	"time"
)

// Contract states what one customer service may bear, where it runs and how it may change.
type Contract struct {
	service          string
	addresses        []netip.AddrPort
	zones            []string
	slots            int
	connections      int
	coldSlots        int
	ramp             time.Duration
	deadline         time.Duration
	wait             time.Duration
	drain            time.Duration
	minInService     int
	zoneOutGrace     time.Duration
	retryPercent     int
	ticketed         bool
	outcomeRetention time.Duration
}

// Service returns the name of the customer service.
func (c Contract) Service() string { return c.service }

// Addresses returns the service addresses that callers use.
func (c Contract) Addresses() []netip.AddrPort { return slices.Clone(c.addresses) }

// Zones returns the availability zones in which the service runs.
func (c Contract) Zones() []string { return slices.Clone(c.zones) }

// RunsIn reports whether the service runs in a zone.
func (c Contract) RunsIn(zone string) bool { return slices.Contains(c.zones, zone) }

// Slots returns how many requests in progress one backend server bears.
func (c Contract) Slots() int { return c.slots }

// Connections returns how many flows one backend server bears.
func (c Contract) Connections() int { return c.connections }

// ColdSlots returns how many requests in progress a backend server bears in cold start.
func (c Contract) ColdSlots() int { return c.coldSlots }

// Ramp returns how long the limit takes to rise from the cold limit to the full one.
func (c Contract) Ramp() time.Duration { return c.ramp }

// Deadline returns the longest time until the first byte of an answer.
func (c Contract) Deadline() time.Duration { return c.deadline }

// MaxWait returns how long a request may wait for a slot.
func (c Contract) MaxWait() time.Duration { return c.wait }

// DrainTimeout returns how long work in progress may go on at a backend server that leaves.
func (c Contract) DrainTimeout() time.Duration { return c.drain }

// MinInService returns the least number of backend servers that stay in service during a change.
func (c Contract) MinInService() int { return c.minInService }

// ZoneOutGracePeriod returns how long flows of a zone may go on after the zone was taken out.
func (c Contract) ZoneOutGracePeriod() time.Duration { return c.zoneOutGrace }

// RetryBudgetPercent returns the retry budget in percent of the successful requests.
func (c Contract) RetryBudgetPercent() int { return c.retryPercent }

// RequiresTickets reports whether non-idempotent requests need a ticket.
func (c Contract) RequiresTickets() bool { return c.ticketed }

// OutcomeRetention returns how long a ticket is valid and its outcomes are kept.
func (c Contract) OutcomeRetention() time.Duration { return c.outcomeRetention }

// Availability states whether operators have a zone or a backend server in service; the zero value is in service.
type Availability struct {
	out    bool
	author string
	reason string
}

// NewAvailability returns the state that an operator has set.
func NewAvailability(out bool, author, reason string) Availability {
	return Availability{out: out, author: author, reason: reason}
}

// Out reports whether operators have taken the zone or backend server out of service.
func (a Availability) Out() bool { return a.out }

// Author returns who set the state.
func (a Availability) Author() string { return a.author }

// Reason returns why the state was set, in the author's words.
func (a Availability) Reason() string { return a.reason }
