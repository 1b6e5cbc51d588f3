package passthrough

import (
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/internal/forecast"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/route"
)

// Forecast returns where a new flow would go now. It sends no packet and changes no state.
func (b *Balancer) Forecast(caller, address netip.AddrPort, zone string) (forecast.Answer, error) {
	if zone != "" && !b.knowsZone(zone) {
		return forecast.Answer{}, forecast.BadQuestionf("zone: no agent is known in %q", zone)
	}
	if b.state.Table() == nil && len(b.state.observed.Routes()) == 0 {
		return forecast.Answer{}, forecast.ErrNotReady
	}
	rt, ok := b.route(address)
	if !ok {
		return forecast.Answer{}, forecast.NoRoutef("no route for %s in the configuration at revision %d", address, b.state.Table().Revision())
	}
	return b.forecast(time.Now(), passthrough.NewFlowID(caller, address), rt, zone), nil
}

func (b *Balancer) knowsZone(zone string) bool {
	return zone == b.cfg.Zone || b.state.hasAgentIn(zone)
}

func (b *Balancer) forecast(now time.Time, f passthrough.FlowID, r route.Route, zone string) forecast.Answer {
	if zone == "" {
		zone = b.cfg.Zone
	}
	e := b.steerer.Explain(now, zone, f, b.destination(f, r))
	j := forecast.Answer{Balancer: b.cfg.ID, Zone: zone, Revision: b.state.operatorRevision(), Flow: f.String()}
	j.Route.Address, j.Route.Priority, j.Route.ObjectiveMS = f.Address().String(), r.Priority, r.TargetLatency.Milliseconds()
	j.Route.Split = []forecast.Share{}
	for _, s := range r.Split {
		j.Route.Split = append(j.Route.Split, forecast.Share{Service: s.Service, Weight: s.Weight})
	}
	if e.Owner.IsValid() {
		j.Owner = e.Owner.String()
	}
	if e.Placed {
		j.Choice = &forecast.Choice{Agent: e.Placement.Target.String(), Service: e.Placement.Service, Reason: choiceReason(e), Alternatives: []string{}}
		for _, a := range e.Placement.Alternatives.All() {
			j.Choice.Alternatives = append(j.Choice.Alternatives, a.String())
		}
	} else {
		j.Refusal = "no agent of the route's services accepts flows; the caller gets a reset"
	}
	for _, s := range e.Services {
		j.Services = append(j.Services, newForecastService(s))
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

func newForecastService(s passthrough.ServiceExplanation) forecast.Service {
	j := forecast.Service{Name: s.Service, Room: string(s.Room), Agents: []forecast.Agent{}}
	for _, a := range s.Agents {
		l := a.Load
		w := forecast.Agent{
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
