package board

import (
	"net/netip"
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

// View returns the members of a service among which flows are placed.
//
// A member accepts flows when it is alive, in the cold or ready phase, in a zone of the contract, and neither its zone
// nor its backend server is out of service. It owns flows unless it is dead. Members of an unreachable zone neither
// accept nor own flows, but stay in the view, so that a cached owner is still used. Members that have left, and members
// of zones for which closed returns true, are not in the view.
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

// Views returns the view of each service that has a contract. It reads the agents once, where calling View for each
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
			closedZone := func(zone string) bool { return closed(service, zone) }
			if m, ok := b.member(r, c.RunsIn(r.agent.Zone), closedZone); ok {
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

// agents returns the agents of a service in any order; an empty service means all services.
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

// Exclusion is why an agent gets no new flows; it is empty for one that gets them.
type Exclusion string

// Reasons for exclusions.
const (
	ExcludedLeft          Exclusion = "has left"
	ExcludedZoneOut       Exclusion = "zone out of service"
	ExcludedBackendOut    Exclusion = "backend server out of service"
	ExcludedNotInContract Exclusion = "zone not in the contract"
	ExcludedNotRunning    Exclusion = "starting or draining"
	ExcludedSilent        Exclusion = "does not answer"
	ExcludedUnreachable   Exclusion = "zone unreachable"
)

// AgentState is whether an agent of a service gets new flows.
type AgentState struct {
	ID          string
	Zone        string
	DataAddress netip.AddrPort
	Excluded    Exclusion
}

// AgentStates returns the agents of a service in any order, with what View decides about new flows.
func (b *Board) AgentStates(service string) []AgentState {
	c, _, known := b.Contract(service)
	records := b.agents(service)
	states := make([]AgentState, 0, len(records))
	for _, r := range records {
		states = append(states, AgentState{
			ID: r.id, Zone: r.agent.Zone, DataAddress: r.agent.DataAddress, Excluded: b.exclusion(r, known && c.RunsIn(r.agent.Zone)),
		})
	}
	return states
}

// exclusion returns why an agent gets no new flows.
func (b *Board) exclusion(r agentRecord, inContract bool) Exclusion {
	zoneOut, _ := b.ZoneOut(r.agent.Zone)
	switch {
	case r.agent.Phase == PhaseLeft:
		return ExcludedLeft
	case zoneOut:
		return ExcludedZoneOut
	case b.BackendOut(r.id):
		return ExcludedBackendOut
	case !inContract:
		return ExcludedNotInContract
	case r.agent.Phase != PhaseCold && r.agent.Phase != PhaseReady:
		return ExcludedNotRunning
	case r.version.Liveness != Alive:
		return ExcludedSilent
	case b.ZoneUnreachable(r.agent.Zone):
		return ExcludedUnreachable
	}
	return ""
}

// member returns the view member of an agent, or false if it is not in the view.
func (b *Board) member(r agentRecord, inContract bool, closed func(zone string) bool) (flow.Member, bool) {
	a := r.agent
	if a.Phase == PhaseLeft || closed(a.Zone) {
		return flow.Member{}, false
	}
	ownsFlows := r.version.Liveness != Dead && !b.ZoneUnreachable(a.Zone)
	return flow.NewMember(r.id, a.DataAddress, a.Zone, b.exclusion(r, inContract) == "", ownsFlows), true
}

// ZoneOutTimes holds since when each zone has been out of service; the zero value is empty and ready to use.
type ZoneOutTimes struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// Update sets whether operators have taken a zone out of service, as seen at now.
func (z *ZoneOutTimes) Update(now time.Time, zone string, out bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !out {
		delete(z.since, zone)
		return
	}
	if z.since == nil {
		z.since = make(map[string]time.Time)
	}
	if _, ok := z.since[zone]; !ok {
		z.since[zone] = now
	}
}

// OutAtLeast reports whether a zone has been out of service for at least the grace period.
func (z *ZoneOutTimes) OutAtLeast(now time.Time, zone string, grace time.Duration) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	since, ok := z.since[zone]
	return ok && now.Sub(since) >= grace
}

// OutSince returns when a zone was first seen out of service, and false if it is in service.
func (z *ZoneOutTimes) OutSince(zone string) (time.Time, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	since, ok := z.since[zone]
	return since, ok
}
