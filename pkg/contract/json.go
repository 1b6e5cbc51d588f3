package contract

import (
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/internal/strictjson"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// Defaults of optional fields.
const (
	defaultDeadline           = 5 * time.Second
	defaultMaxWait            = 200 * time.Millisecond
	defaultDrainTimeout       = 10 * time.Minute
	defaultRamp               = 10 * time.Second
	defaultZoneOutGracePeriod = 2 * time.Second
	defaultRetryBudgetPercent = 10
	defaultOutcomeRetention   = 10 * time.Minute
	defaultConnections        = 2000
	defaultMinInService       = 1
)

const (
	nonIdempotentTicket = "ticket"
	nonIdempotentPlain  = "plain"
)

type contractJSON struct {
	Service            nameText            `json:"service" check:"required"`
	Addresses          []netip.AddrPort    `json:"addresses" check:"required" max:"64"`
	Zones              []nameText          `json:"zones" check:"required" max:"64"`
	Backend            backendJSON         `json:"backend" check:"required"`
	ColdStart          coldStartJSON       `json:"cold_start" check:"required"`
	DeadlineMS         *int64              `json:"deadline_ms" min:"1" max:"3600000"`
	WaitMS             *int64              `json:"wait_ms" min:"0" max:"3600000"`
	DrainMS            *int64              `json:"drain_ms" min:"0" max:"86400000"`
	Change             changeJSON          `json:"change"`
	Retry              retryJSON           `json:"retry"`
	NonIdempotent      nonIdempotentPolicy `json:"non_idempotent"`
	OutcomeRetentionMS *int64              `json:"outcome_retention_ms" min:"1000" max:"86400000"`
}

type backendJSON struct {
	Slots       int  `json:"slots" check:"required" min:"1" max:"100000"`
	Connections *int `json:"connections" min:"1" max:"1000000"`
}

type coldStartJSON struct {
	Slots  int    `json:"slots" check:"required" min:"1" max:"100000"`
	RampMS *int64 `json:"ramp_ms" min:"0" max:"3600000"`
}

type changeJSON struct {
	MinBackendsInService *int `json:"min_backends_in_service" min:"0" max:"100000"`
	// A zone must receive no packets 5 s after it was taken out; the maximum of 3 s leaves 2 s to distribute the change.
	ZoneOutGraceMS *int64 `json:"zone_out_grace_ms" min:"0" max:"3000"`
}

type retryJSON struct {
	BudgetPercent *int `json:"budget_percent" min:"0" max:"100"`
}

var errNotAllowed = errors.New("not allowed")

type nameText string

// UnmarshalText returns an error unless text is a valid name.
func (n *nameText) UnmarshalText(text []byte) error {
	if !ValidName(string(text)) {
		return errNotAllowed
	}
	*n = nameText(text)
	return nil
}

// Allowed describes the allowed values.
func (n *nameText) Allowed() string { return AllowedName }

type nonIdempotentPolicy string

// UnmarshalText returns an error unless text is "ticket" or "plain".
func (p *nonIdempotentPolicy) UnmarshalText(text []byte) error {
	if string(text) != nonIdempotentTicket && string(text) != nonIdempotentPlain {
		return errNotAllowed
	}
	*p = nonIdempotentPolicy(text)
	return nil
}

// Allowed describes the allowed values.
func (p *nonIdempotentPolicy) Allowed() string { return `"ticket" or "plain"` }

// Decode decodes a contract from JSON and validates it. The contract is valid only if the list of findings is empty.
func Decode(file string, data []byte) (Contract, finding.List) {
	raw, source := strictjson.Decode[contractJSON](file, data)
	c := raw.contract()
	c.validate(source)
	return c, source.Findings()
}

func (r contractJSON) contract() Contract {
	c := Contract{
		service:            string(r.Service),
		addresses:          r.Addresses,
		slots:              r.Backend.Slots,
		connections:        valueOr(r.Backend.Connections, defaultConnections),
		coldSlots:          r.ColdStart.Slots,
		ramp:               milliseconds(r.ColdStart.RampMS, defaultRamp),
		deadline:           milliseconds(r.DeadlineMS, defaultDeadline),
		drainTimeout:       milliseconds(r.DrainMS, defaultDrainTimeout),
		minInService:       valueOr(r.Change.MinBackendsInService, defaultMinInService),
		zoneOutGracePeriod: milliseconds(r.Change.ZoneOutGraceMS, defaultZoneOutGracePeriod),
		retryBudgetPercent: valueOr(r.Retry.BudgetPercent, defaultRetryBudgetPercent),
		requiresTickets:    r.NonIdempotent == nonIdempotentTicket,
	}
	for _, z := range r.Zones {
		c.zones = append(c.zones, string(z))
	}
	c.maxWait = milliseconds(r.WaitMS, min(defaultMaxWait, c.deadline))
	c.outcomeRetention = milliseconds(r.OutcomeRetentionMS, max(defaultOutcomeRetention, c.deadline))
	return c
}

func valueOr(v *int, d int) int {
	if v == nil {
		return d
	}
	return *v
}

func milliseconds(ms *int64, d time.Duration) time.Duration {
	if ms == nil {
		return d
	}
	return time.Duration(*ms) * time.Millisecond
}

// validate adds findings for invalid or repeated list items and for fields that contradict others.
func (c Contract) validate(s *strictjson.Source) {
	checkAddresses(s, c.addresses)
	checkDistinct(s, "zones", c.zones)
	if s.Valid("cold_start.slots") && s.Valid("backend.slots") && c.coldSlots > c.slots {
		s.Addf("cold_start.slots", "1 to backend.slots", "is %d, but backend.slots is %d", c.coldSlots, c.slots)
	}
	if s.Valid("wait_ms") && s.Valid("deadline_ms") && c.maxWait > c.deadline {
		s.Addf("wait_ms", "0 to deadline_ms", "is %d, but deadline_ms is %d", c.maxWait.Milliseconds(), c.deadline.Milliseconds())
	}
	// If a ticket expired before a request that it allowed, the caller could not get the outcome.
	if s.Valid("outcome_retention_ms") && s.Valid("deadline_ms") && c.outcomeRetention < c.deadline {
		s.Addf("outcome_retention_ms", "deadline_ms or more", "is %d, but deadline_ms is %d",
			c.outcomeRetention.Milliseconds(), c.deadline.Milliseconds())
	}
}

func checkAddresses(s *strictjson.Source, addresses []netip.AddrPort) {
	for i, a := range addresses {
		path := strictjson.ItemPath("addresses", i)
		if !s.Valid(path) {
			continue
		}
		if a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Port() == 0 {
			s.Addf(path, "an address and port that callers can use", "is %s", a)
		}
	}
	checkDistinct(s, "addresses", addresses)
}

func checkDistinct[T comparable](s *strictjson.Source, path string, items []T) {
	first := make(map[T]int)
	for i, item := range items {
		at := strictjson.ItemPath(path, i)
		if !s.Valid(at) {
			continue
		}
		if j, ok := first[item]; ok {
			s.Addf(at, "each item once", "is the same as %s", strictjson.ItemPath(path, j))
			continue
		}
		first[item] = i
	}
}

// Encode returns the contract as JSON with all fields.
func (c Contract) Encode() ([]byte, error) {
	r := contractJSON{
		Service:            nameText(c.service),
		Addresses:          c.addresses,
		Backend:            backendJSON{Slots: c.slots, Connections: &c.connections},
		ColdStart:          coldStartJSON{Slots: c.coldSlots, RampMS: msPointer(c.ramp)},
		DeadlineMS:         msPointer(c.deadline),
		WaitMS:             msPointer(c.maxWait),
		DrainMS:            msPointer(c.drainTimeout),
		Change:             changeJSON{MinBackendsInService: &c.minInService, ZoneOutGraceMS: msPointer(c.zoneOutGracePeriod)},
		Retry:              retryJSON{BudgetPercent: &c.retryBudgetPercent},
		NonIdempotent:      nonIdempotentPlain,
		OutcomeRetentionMS: msPointer(c.outcomeRetention),
	}
	for _, z := range c.zones {
		r.Zones = append(r.Zones, nameText(z))
	}
	if c.requiresTickets {
		r.NonIdempotent = nonIdempotentTicket
	}
	return json.MarshalIndent(r, "", "  ")
}

func msPointer(d time.Duration) *int64 {
	ms := d.Milliseconds()
	return &ms
}
