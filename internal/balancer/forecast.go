package balancer

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleymast/bramleymast/internal/forecast"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

var _ forecast.Source = (*Balancer)(nil)

// shownAlternatives is how many further agents an answer names: those that a packet may visit beside the chosen one.
const shownAlternatives = flow.MaxVisited - 1

// Forecast returns the agent that an opening packet of a caller would be forwarded to. It sends nothing and changes no state.
//
// The zone has no influence on the choice: all balancers rank the agents of a service in the same order.
func (b *Balancer) Forecast(caller, address netip.AddrPort, zone string) (forecast.Answer, error) {
	if zone == "" {
		zone = b.cfg.Zone
	}
	if zone != b.cfg.Zone && !b.hasAgentIn(zone) {
		return forecast.Answer{}, forecast.BadQuestionf("zone: no agent is known in %q", zone)
	}
	if len(b.cfg.Board.Records(board.KindContract)) == 0 {
		return forecast.Answer{}, forecast.ErrNotReady
	}
	sock, ok := b.socketOf(address)
	if !ok {
		return forecast.Answer{}, forecast.NoRoutef("no route for %s in the contracts of the balancer", address)
	}
	s, ok := b.currentTable(time.Now()).services[sock.serviceID]
	if !ok {
		return forecast.Answer{}, forecast.NoRoutef("no route for %s: service %s has no contract", address, sock.service)
	}
	e, placed := b.steerer.Explain(s.view, caller)
	a := forecast.Answer{Balancer: b.cfg.ID, Zone: zone, Flow: fmt.Sprintf("%s>%s", caller, sock.contractAddress)}
	a.Route.Address, a.Route.Split = sock.contractAddress.String(), []forecast.Share{{Service: s.name, Weight: 1}}
	_, version, _ := b.cfg.Board.Contract(s.name)
	a.Revision = version.Seq
	if e.Owner != nil {
		a.Owner = e.Owner.DataAddress().String()
	}
	if placed {
		a.Choice = choice(s.name, e)
	} else {
		a.Refusal = "no agent of the service accepts flows; the packet is dropped"
	}
	a.Services = []forecast.Service{{Name: s.name, Room: "room known to its agents", ByRank: true, Agents: b.agents(s, e)}}
	return a, nil
}

// socketOf returns the socket that serves an address, which may be that of a contract or the one it is bound to.
func (b *Balancer) socketOf(address netip.AddrPort) (*socket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sock, ok := b.sockets[address]; ok {
		return sock, true
	}
	sock, ok := b.sockets[b.bindAddress(address)]
	return sock, ok && sock.contractAddress == address
}

func (b *Balancer) hasAgentIn(zone string) bool {
	return slices.ContainsFunc(b.cfg.Board.Records(board.KindAgent), func(r board.Record) bool {
		a, ok := r.Value.(board.Agent)
		return ok && a.Zone == zone
	})
}

func choice(service string, e flow.Explanation) *forecast.Choice {
	c := &forecast.Choice{
		Agent: e.Member.DataAddress().String(), Service: service, Alternatives: []string{},
		Reason: "highest rank for the flow; it passes the flow on if it has more load than the mean",
	}
	if e.Cached {
		c.Reason = "owns the flow"
	}
	for _, m := range e.Ranked {
		if m != e.Member && len(c.Alternatives) < shownAlternatives {
			c.Alternatives = append(c.Alternatives, m.DataAddress().String())
		}
	}
	return c
}

// agents returns the agents that accept flows by rank, and then the excluded ones.
func (b *Balancer) agents(s *service, e flow.Explanation) []forecast.Agent {
	all := []forecast.Agent{}
	for _, m := range e.Ranked {
		all = append(all, forecast.Agent{ID: m.ID(), Agent: m.DataAddress().String(), Zone: m.Zone()})
	}
	for _, st := range b.cfg.Board.AgentStates(s.name) {
		if st.Excluded != "" && !slices.ContainsFunc(e.Ranked, func(m *flow.Member) bool { return m.ID() == st.ID }) {
			all = append(all, forecast.Agent{ID: st.ID, Agent: st.DataAddress.String(), Zone: st.Zone, Excluded: string(st.Excluded)})
		}
	}
	return all
}
