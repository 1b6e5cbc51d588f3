package passthrough

import (
	"slices"
	"time"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/route"
	"github.com/bramleymast/bramleymast/pkg/split"
)

// destination returns where a route sends a new flow.
func (b *Balancer) destination(f passthrough.FlowID, r route.Route) passthrough.Destination {
	d := passthrough.Destination{Services: []string{r.Service}, Objective: r.TargetLatency}
	if b.splits(r) {
		d.Services = split.Order(f.Hash(), r.Split)
	}
	return d
}

// splits reports whether new flows of a route are divided between services.
func (b *Balancer) splits(r route.Route) bool {
	return len(r.Split) > 0 && b.cfg.Features.Has(RouteSplit)
}

// ownerServices returns the services whose backend servers may hold an open flow: those that the route sends new flows to,
// in the order for the flow, then its other services, and those of the route before the last change of the
// configuration. Packets register the flow in the directory of one of the first openings services.
func (b *Balancer) ownerServices(f passthrough.FlowID, r route.Route) (services []string, openings int) {
	services = b.destination(f, r).Services
	openings = len(services)
	add := func(service string) {
		if !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	old, changed := b.state.previousTable().Route(f.Address())
	if changed {
		add(old.Service)
	}
	if !b.cfg.Features.Has(RouteSplit) {
		return services, openings
	}
	for _, s := range slices.Concat(r.Split, old.Split) {
		add(s.Service)
	}
	return services, openings
}

// ownerPath returns the agents that may have a record of the owner of a flow, and the directory of the flow. The path
// includes agents of all services whose backend servers may hold the flow.
func (b *Balancer) ownerPath(now time.Time, f passthrough.FlowID, r route.Route) (path, directory passthrough.Path) {
	services, openings := b.ownerServices(f, r)
	candidates := make([]passthrough.Path, len(services))
	for i, service := range services {
		var d passthrough.Path
		candidates[i], d = b.steerer.OwnerCandidates(now, f, service)
		if directory.Len() == 0 && i < openings {
			directory = d
		}
	}
	for more := true; more; {
		more = false
		for i := range candidates {
			if a, ok := candidates[i].Next(); ok {
				more = path.Add(a) || more
			}
		}
	}
	return path, directory
}

// recordPlacement counts and logs where a new flow was sent.
func (b *Balancer) recordPlacement(p passthrough.OpeningPacket, d passthrough.Destination, o passthrough.Placement) {
	b.metrics.count(eventPlaced, string(o.Kind))
	seg := p.Segment
	args := []any{"flow", seg.Flow().String(), "agent", o.Target, "copies", seg.Retransmissions(), "returning", p.IsRetry, "revision", loggedRevision(b.state.Table().Revision())}
	if o.Kind != "" {
		args = append(args, "chosen", string(o.Kind), "expected_ms", o.Expected.Milliseconds())
	}
	if len(d.Services) > 1 {
		spilled := o.Service != d.Services[0]
		args = append(args, "service", o.Service, "spilled", spilled)
		if !o.Retransmitted {
			b.metrics.countShare(o.Service, spilled)
		}
	}
	b.cfg.Logger.Info("flow placed", args...)
}
