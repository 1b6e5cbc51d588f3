package passthrough

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/route"
)

// wherePath is the path that explains where a new flow would go. Its query parameters are address, and optionally from
// (an address, or one with a port) and zone.
const wherePath = "/where"

type whereJSON struct {
	Balancer string `json:"balancer"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Route    struct {
		Address     string      `json:"address"`
		Split       []shareJSON `json:"split"`
		Priority    int         `json:"priority"`
		ObjectiveMS int64       `json:"objective_ms"`
	} `json:"route"`
	Flow string `json:"flow"`
	// Owner is the agent that owns the flow already, if the balancer knows one.
	Owner    string             `json:"owner,omitempty"`
	Choice   *choiceJSON        `json:"choice"`
	Refusal  string             `json:"refusal,omitempty"`
	Services []whereServiceJSON `json:"services"`
}

type shareJSON struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

type choiceJSON struct {
	Agent        string   `json:"agent"`
	Service      string   `json:"service"`
	Reason       string   `json:"reason"`
	Alternatives []string `json:"alternatives"`
}

type whereServiceJSON struct {
	Service string           `json:"service"`
	Room    string           `json:"room"`
	Agents  []whereAgentJSON `json:"agents"`
}

type whereAgentJSON struct {
	ID             string   `json:"id"`
	Agent          string   `json:"agent"`
	Zone           string   `json:"zone"`
	Excluded       string   `json:"excluded,omitempty"`
	InProgress     int      `json:"in_progress"`
	Flows          int      `json:"flows"`
	Placed         int      `json:"placed_since_report"`
	Slots          int      `json:"slots"`
	Limit          int      `json:"learned_limit"`
	ServiceMS      float64  `json:"learned_service_ms"`
	FailurePercent int      `json:"failure_percent"`
	ReportAgeMS    *int64   `json:"report_age_ms"` // null if the agent has not reported
	UnansweredMS   int64    `json:"unanswered_ms"`
	ExpectedMS     *float64 `json:"expected_ms"` // null if placement is not by expected time
	QueueMS        float64  `json:"queue_ms"`
	WayMS          float64  `json:"way_ms"`
	Cost           float64  `json:"cost"`
}

type whereErrorJSON struct {
	Error string `json:"error"`
}

// serveWhere answers where a new flow would go now. It sends no packet and changes no state.
func (b *Balancer) serveWhere(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fail := func(status int, format string, args ...any) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(whereErrorJSON{fmt.Sprintf(format, args...)})
	}
	q := r.URL.Query()
	address, err := netip.ParseAddrPort(q.Get("address"))
	if err != nil || !address.Addr().Is4() {
		fail(http.StatusBadRequest, "address: %q is not an IPv4 address with a port", q.Get("address"))
		return
	}
	from, err := parseCaller(q.Get("from"))
	if err != nil {
		fail(http.StatusBadRequest, "from: %q is not an IPv4 address, with or without a port", q.Get("from"))
		return
	}
	zone := q.Get("zone")
	if zone != "" && !b.knowsZone(zone) {
		fail(http.StatusBadRequest, "zone: no agent is known in %q", zone)
		return
	}
	if b.state.Table() == nil && len(b.state.observed.Routes()) == 0 {
		fail(http.StatusServiceUnavailable, "the balancer has no configuration yet")
		return
	}
	rt, ok := b.route(address)
	if !ok {
		fail(http.StatusNotFound, "no route for %s in the configuration at revision %d", address, b.state.Table().Revision())
		return
	}
	f := passthrough.NewFlowID(from, address)
	_ = json.NewEncoder(w).Encode(b.where(time.Now(), f, rt, zone)) // A client that has gone needs no answer.
}

// parseCaller parses the address of a caller, with or without a port; an empty text is any caller.
func parseCaller(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPortFrom(netip.IPv4Unspecified(), 0), nil
	}
	if a, err := netip.ParseAddr(text); err == nil && a.Is4() {
		return netip.AddrPortFrom(a, 0), nil
	}
	a, err := netip.ParseAddrPort(text)
	if err == nil && !a.Addr().Is4() {
		err = errNotIPv4
	}
	return a, err
}

func (b *Balancer) knowsZone(zone string) bool {
	return zone == b.cfg.Zone || b.state.hasAgentIn(zone)
}

func (b *Balancer) where(now time.Time, f passthrough.FlowID, r route.Route, zone string) whereJSON {
	if zone == "" {
		zone = b.cfg.Zone
	}
	e := b.steerer.Explain(now, zone, f, b.destination(f, r))
	j := whereJSON{Balancer: b.cfg.ID, Zone: zone, Revision: b.state.operatorRevision(), Flow: f.String()}
	j.Route.Address, j.Route.Priority, j.Route.ObjectiveMS = f.Address().String(), r.Priority, r.TargetLatency.Milliseconds()
	j.Route.Split = []shareJSON{}
	for _, s := range r.Split {
		j.Route.Split = append(j.Route.Split, shareJSON{s.Service, s.Weight})
	}
	if e.Owner.IsValid() {
		j.Owner = e.Owner.String()
	}
	if e.Placed {
		j.Choice = &choiceJSON{Agent: e.Placement.Target.String(), Service: e.Placement.Service, Reason: choiceReason(e), Alternatives: []string{}}
		for _, a := range e.Placement.Alternatives.All() {
			j.Choice.Alternatives = append(j.Choice.Alternatives, a.String())
		}
	} else {
		j.Refusal = "no agent of the route's services accepts flows; the caller gets a reset"
	}
	for _, s := range e.Services {
		j.Services = append(j.Services, newWhereServiceJSON(s))
	}
	return j
}

// choiceReason says why the target was chosen.
func choiceReason(e passthrough.Explanation) string {
	switch {
	case e.Placement.Retransmitted:
		return "keeps the agent of an earlier copy of the opening packet"
	case e.Placement.Kind == passthrough.PlacedInZone:
		return "shortest expected time in the zone, drawn by free capacity"
	case e.Placement.Kind == passthrough.PlacedElsewhere:
		return "another zone answers sooner, or the zone has no agent"
	case e.Placement.Kind == passthrough.PlacedToExplore:
		return "backend server without work, explored"
	}
	return "fewest requests for each slot"
}

func newWhereServiceJSON(s passthrough.ServiceExplanation) whereServiceJSON {
	j := whereServiceJSON{Service: s.Service, Room: string(s.Room), Agents: []whereAgentJSON{}}
	for _, a := range s.Agents {
		l := a.Load
		w := whereAgentJSON{
			ID: a.ID, Agent: a.Address.String(), Zone: a.Zone, Excluded: string(a.Excluded), InProgress: int(l.InProgress), Flows: int(l.Flows),
			Placed: a.Placed, Slots: int(l.Slots), Limit: int(l.Limit), ServiceMS: inMilliseconds(l.ServiceTime), FailurePercent: int(l.FailurePercent),
			UnansweredMS: a.Unanswered.Milliseconds(), Cost: a.Cost,
		}
		if a.Reported {
			age := a.ReportAge.Milliseconds()
			w.ReportAgeMS = &age
		}
		if a.Kind != "" {
			expected := inMilliseconds(a.Estimate.Time())
			w.ExpectedMS, w.QueueMS, w.WayMS = &expected, inMilliseconds(a.Estimate.Queue), inMilliseconds(a.Estimate.Way)
		}
		j.Agents = append(j.Agents, w)
	}
	return j
}

func inMilliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
