package board

import (
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

// View returns the members of a service as steering sees them.
//
// A member opens flows when it is alive, cold or ready, and neither its zone nor its backend server is out.
// Members that have left, and members of zones for which closed returns true, are not in the view.
func (b *Board) View(service string, closed func(zone string) bool) *flow.View {
	c, _, known := b.Contract(service)
	var members []flow.Member
	for _, r := range b.Records(KindAgent) {
		a, ok := r.Value.(Agent)
		if !ok || a.Service != service || a.Phase == PhaseLeft || closed(a.Zone) {
			continue
		}
		zoneOut, _ := b.ZoneOut(a.Zone)
		takesFlows := a.Phase == PhaseCold || a.Phase == PhaseReady
		opens := known && c.RunsIn(a.Zone) && takesFlows && r.Version.Verdict == Alive && !zoneOut && !b.BackendOut(r.ID.Key)
		holds := r.Version.Verdict != Dead
		members = append(members, flow.NewMember(r.ID.Key, a.Data, a.Zone, opens, holds))
	}
	return flow.NewView(flow.ServiceIDOf(service), members)
}

// ZoneGate remembers since when each zone has been out; the zero value is empty and ready to use.
type ZoneGate struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// Update notes the operators' state of a zone as seen at a time.
func (g *ZoneGate) Update(now time.Time, zone string, out bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !out {
		delete(g.since, zone)
		return
	}
	if g.since == nil {
		g.since = make(map[string]time.Time)
	}
	if _, ok := g.since[zone]; !ok {
		g.since[zone] = now
	}
}

// Closed reports whether a zone has been out for at least the grace period.
func (g *ZoneGate) Closed(now time.Time, zone string, grace time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	since, ok := g.since[zone]
	return ok && now.Sub(since) >= grace
}

// Since returns when a zone was first seen out, and false when it is in service.
func (g *ZoneGate) Since(zone string) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	since, ok := g.since[zone]
	return since, ok
}
