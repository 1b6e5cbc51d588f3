package board

import (
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

// View returns the members of a service as steering sees them.
//
// A member opens flows when it is alive, cold or ready, and neither its zone nor its backend server is out.
// Members of a silent zone neither open nor hold flows, but stay in the view: a cached owner stays in use.
// Members that have left, and members of zones for which closed returns true, are not in the view.
func (b *Board) View(service string, closed func(zone string) bool) *flow.View {
	c, _, known := b.Contract(service)
	var members []flow.Member
	for _, r := range b.agents(service) {
		if m, ok := b.member(r, known && c.RunsIn(r.agent.Zone), closed); ok {
			members = append(members, m)
		}
	}
	return flow.NewView(flow.ServiceIDOf(service), members)
}

// Views returns the view of each service that has a contract. It reads the agents once, where View for each
// service would read all of them each time.
func (b *Board) Views(closed func(service, zone string) bool) map[string]*flow.View {
	byService := make(map[string][]agentRecord)
	for _, r := range b.agents("") {
		byService[r.agent.Service] = append(byService[r.agent.Service], r)
	}
	views := make(map[string]*flow.View)
	for _, contract := range b.Records(KindContract) {
		service := contract.ID.Key
		c, ok := contract.Value.(Contract)
		if !ok {
			continue
		}
		var members []flow.Member
		for _, r := range byService[service] {
			in := func(zone string) bool { return closed(service, zone) }
			if m, ok := b.member(r, c.RunsIn(r.agent.Zone), in); ok {
				members = append(members, m)
			}
		}
		views[service] = flow.NewView(flow.ServiceIDOf(service), members)
	}
	return views
}

type agentRecord struct {
	id      string
	agent   Agent
	version Version
}

// agents returns the agents of a service in any order; "" means of all services.
func (b *Board) agents(service string) []agentRecord {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var rs []agentRecord
	for id, r := range b.records {
		if id.Kind != KindAgent {
			continue
		}
		if a, ok := r.Value.(Agent); ok && (service == "" || a.Service == service) {
			rs = append(rs, agentRecord{id: id.Key, agent: a, version: r.Version})
		}
	}
	return rs
}

// member returns the member that a view shows for an agent, or false when it is not in the view.
func (b *Board) member(r agentRecord, inContract bool, closed func(zone string) bool) (flow.Member, bool) {
	a := r.agent
	if a.Phase == PhaseLeft || closed(a.Zone) {
		return flow.Member{}, false
	}
	zoneOut, _ := b.ZoneOut(a.Zone)
	takesFlows := a.Phase == PhaseCold || a.Phase == PhaseReady
	opens := inContract && takesFlows && r.version.Liveness == Alive && !zoneOut && !b.BackendOut(r.id)
	silent := b.ZoneUnreachable(a.Zone)
	holds := r.version.Liveness != Dead && !silent
	return flow.NewMember(r.id, a.DataAddress, a.Zone, opens && !silent, holds), true
}

// ZoneOutTimes remembers since when each zone has been out; the zero value is empty and ready to use.
type ZoneOutTimes struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// Update notes the operators' state of a zone as seen at a time.
func (g *ZoneOutTimes) Update(now time.Time, zone string, out bool) {
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

// OutAtLeast reports whether a zone has been out for at least the grace period.
func (g *ZoneOutTimes) OutAtLeast(now time.Time, zone string, grace time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	since, ok := g.since[zone]
	return ok && now.Sub(since) >= grace
}

// OutSince returns when a zone was first seen out, and false when it is in service.
func (g *ZoneOutTimes) OutSince(zone string) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	since, ok := g.since[zone]
	return since, ok
}
