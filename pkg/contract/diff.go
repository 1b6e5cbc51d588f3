package contract

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Change is one field that differs between two contracts.
type Change struct {
	path   string
	before string
	after  string
}

// Path returns the field path, such as "backend.slots".
func (c Change) Path() string { return c.path }

// Before returns the value in the older contract, or an empty string if it has none.
func (c Change) Before() string { return c.before }

// After returns the value in the newer contract, or an empty string if it has none.
func (c Change) After() string { return c.after }

// String formats the change as "path: before -> after".
func (c Change) String() string {
	return c.path + ": " + orNone(c.before) + " -> " + orNone(c.after)
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// Diff returns the fields that differ, in the order of the reference documentation. All values of the zero contract are
// empty.
func Diff(before, after Contract) []Change {
	old, current := before.values(), after.values()
	var changes []Change
	for i, v := range current {
		if old[i].text != v.text {
			changes = append(changes, Change{path: v.path, before: old[i].text, after: v.text})
		}
	}
	return changes
}

// fieldValue is the path of a field and its value as text.
type fieldValue struct {
	path string
	text string
}

func (c Contract) values() []fieldValue {
	policy := nonIdempotentPlain
	if c.requiresTickets {
		policy = nonIdempotentTicket
	}
	vs := []fieldValue{
		{"service", c.service},
		{"addresses", addressList(c.addresses)},
		{"zones", strings.Join(c.zones, ", ")},
		{"backend.slots", strconv.Itoa(c.slots)},
		{"backend.connections", strconv.Itoa(c.connections)},
		{"cold_start.slots", strconv.Itoa(c.coldSlots)},
		{"cold_start.ramp_ms", msText(c.ramp)},
		{"deadline_ms", msText(c.deadline)},
		{"wait_ms", msText(c.maxWait)},
		{"drain_ms", msText(c.drainTimeout)},
		{"change.min_backends_in_service", strconv.Itoa(c.minInService)},
		{"change.zone_out_grace_ms", msText(c.zoneOutGracePeriod)},
		{"retry.budget_percent", strconv.Itoa(c.retryBudgetPercent)},
		{"non_idempotent", policy},
		{"outcome_retention_ms", msText(c.outcomeRetention)},
	}
	if c.service == "" {
		for i := range vs {
			vs[i].text = ""
		}
	}
	return vs
}

func msText(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func addressList(addresses []netip.AddrPort) string {
	texts := make([]string, 0, len(addresses))
	for _, a := range addresses {
		texts = append(texts, a.String())
	}
	return strings.Join(texts, ", ")
}
