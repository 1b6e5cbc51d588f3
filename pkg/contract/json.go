package contract

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/pkg/finding"
)

// Defaults for fields that a contract leaves out.
const (
	defaultDeadline         = 5 * time.Second
	defaultWait             = 200 * time.Millisecond
	defaultDrain            = 10 * time.Minute
	defaultRamp             = 10 * time.Second
	defaultZoneOutGrace     = 2 * time.Second
	defaultRetryPercent     = 10
	defaultOutcomeRetention = 10 * time.Minute
	defaultConnections      = 2000

	// maxZoneOutGrace leaves the spread of the change within the five seconds after which a zone receives no packets.
	maxZoneOutGrace = 3 * time.Second
)

const (
	nonIdempotentTicket = "ticket"
	nonIdempotentPlain  = "plain"
)

type contractJSON struct {
	Service   string   `json:"service"`
	Addresses []string `json:"addresses"`
	Zones     []string `json:"zones"`
	Backend   struct {
		Slots       int `json:"slots"`
		Connections int `json:"connections,omitempty"`
	} `json:"backend"`
	ColdStart struct {
		Slots  int    `json:"slots"`
		RampMS *int64 `json:"ramp_ms,omitempty"`
	} `json:"cold_start"`
	DeadlineMS *int64 `json:"deadline_ms,omitempty"`
	WaitMS     *int64 `json:"wait_ms,omitempty"`
	DrainMS    *int64 `json:"drain_ms,omitempty"`
	Change     struct {
		MinBackendsInService int    `json:"min_backends_in_service"`
		ZoneOutGraceMS       *int64 `json:"zone_out_grace_ms,omitempty"`
	} `json:"change"`
	Retry struct {
		BudgetPercent *int `json:"budget_percent,omitempty"`
	} `json:"retry"`
	NonIdempotent      string `json:"non_idempotent,omitempty"`
	OutcomeRetentionMS *int64 `json:"outcome_retention_ms,omitempty"`
}

// Decode reads a contract in JSON and checks it as a whole; the contract is valid only when the list is empty.
func Decode(file string, data []byte) (Contract, finding.List) {
	var raw contractJSON
	var list finding.List
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&raw); err != nil {
		list.Add(finding.New("", err.Error(), "").At(file, 0))
		return Contract{}, list
	}
	return raw.contract(&list), list
}

func (r contractJSON) contract(list *finding.List) Contract {
	c := Contract{
		service:          r.Service,
		zones:            r.Zones,
		slots:            r.Backend.Slots,
		connections:      r.Backend.Connections,
		coldSlots:        r.ColdStart.Slots,
		ramp:             milliseconds(r.ColdStart.RampMS, defaultRamp),
		deadline:         milliseconds(r.DeadlineMS, defaultDeadline),
		wait:             milliseconds(r.WaitMS, defaultWait),
		drain:            milliseconds(r.DrainMS, defaultDrain),
		minInService:     r.Change.MinBackendsInService,
		zoneOutGrace:     milliseconds(r.Change.ZoneOutGraceMS, defaultZoneOutGrace),
		retryPercent:     defaultRetryPercent,
		ticketed:         r.NonIdempotent == nonIdempotentTicket,
		outcomeRetention: milliseconds(r.OutcomeRetentionMS, defaultOutcomeRetention),
	}
	if c.connections == 0 {
		c.connections = defaultConnections
	}
	if r.Retry.BudgetPercent != nil {
		c.retryPercent = *r.Retry.BudgetPercent
	}
	for _, s := range r.Addresses {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			list.Addf("addresses", "IP address and port, such as 10.0.0.1:443", "%q is not an address", s)
			continue
		}
		c.addresses = append(c.addresses, a)
	}
	if r.NonIdempotent != "" && r.NonIdempotent != nonIdempotentTicket && r.NonIdempotent != nonIdempotentPlain {
		list.Addf("non_idempotent", `"ticket" or "plain"`, "%q is not a policy", r.NonIdempotent)
	}
	c.check(list)
	return c
}

func milliseconds(ms *int64, d time.Duration) time.Duration {
	if ms == nil {
		return d
	}
	return time.Duration(*ms) * time.Millisecond
}

func (c Contract) check(list *finding.List) {
	if c.service == "" {
		list.Addf("service", "a name", "is missing")
	}
	if len(c.addresses) == 0 {
		list.Addf("addresses", "at least one address", "is empty")
	}
	if len(c.zones) == 0 {
		list.Addf("zones", "at least one zone", "is empty")
	}
	if c.slots < 1 {
		list.Addf("backend.slots", "1 or more", "is %d", c.slots)
	}
	if c.connections < 1 {
		list.Addf("backend.connections", "1 or more", "is %d", c.connections)
	}
	if c.coldSlots < 1 || c.coldSlots > c.slots {
		list.Addf("cold_start.slots", "1 to backend.slots", "is %d", c.coldSlots)
	}
	if c.zoneOutGrace < 0 || c.zoneOutGrace > maxZoneOutGrace {
		list.Addf("change.zone_out_grace_ms", "0 to 3000", "is %d", c.zoneOutGrace.Milliseconds())
	}
}

// Encode returns the contract in JSON with every field present.
func (c Contract) Encode() ([]byte, error) {
	var r contractJSON
	r.Service = c.service
	for _, a := range c.addresses {
		r.Addresses = append(r.Addresses, a.String())
	}
	r.Zones = c.zones
	r.Backend.Slots = c.slots
	r.Backend.Connections = c.connections
	r.ColdStart.Slots = c.coldSlots
	r.ColdStart.RampMS = msPointer(c.ramp)
	r.DeadlineMS = msPointer(c.deadline)
	r.WaitMS = msPointer(c.wait)
	r.DrainMS = msPointer(c.drain)
	r.Change.MinBackendsInService = c.minInService
	r.Change.ZoneOutGraceMS = msPointer(c.zoneOutGrace)
	r.Retry.BudgetPercent = &c.retryPercent
	r.NonIdempotent = nonIdempotentPlain
	if c.ticketed {
		r.NonIdempotent = nonIdempotentTicket
	}
	r.OutcomeRetentionMS = msPointer(c.outcomeRetention)
	return json.MarshalIndent(r, "", "  ")
}

func msPointer(d time.Duration) *int64 {
	ms := d.Milliseconds()
	return &ms
}
