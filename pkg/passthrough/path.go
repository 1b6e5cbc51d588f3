package passthrough

import "net/netip"

// MaxPath limits how many agents a packet may visit after the first.
const MaxPath = 8

// Path lists the agents that a packet may still visit, in order; the zero value is empty.
type Path struct {
	agents [MaxPath]netip.AddrPort
	n      uint8
}

// Add appends an agent and reports whether there was space.
func (p *Path) Add(a netip.AddrPort) bool {
	if int(p.n) == MaxPath {
		return false
	}
	p.agents[p.n] = a
	p.n++
	return true
}

// Len returns the number of agents.
func (p *Path) Len() int { return int(p.n) }

// All returns the agents in order. Callers must not modify the slice.
func (p *Path) All() []netip.AddrPort { return p.agents[:p.n] }

// Next removes the first agent and returns it, or false when the path is empty.
func (p *Path) Next() (netip.AddrPort, bool) {
	if p.n == 0 {
		return netip.AddrPort{}, false
	}
	first := p.agents[0]
	copy(p.agents[:], p.agents[1:p.n])
	p.n--
	return first, true
}
