// Package placement decides which agent of a service accepts a new flow.
package placement

import (
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

const (
	// bound is how far above the mean of the known loads an agent still accepts flows. Lower bounds pass more
	// flows on and miss free slots because reports are old; higher ones balance less (docs/MEASUREMENTS.md).
	bound = 1.05
	// flowWeight is the load of an open flow without a request, in requests in progress. It separates agents
	// that are equally busy; from 1/64 on, idle flows hide the requests in progress (docs/MEASUREMENTS.md).
	flowWeight = 1.0 / 256
	// loadLifetime is how long a reported load is used: four reports of 500 ms.
	loadLifetime = 2 * time.Second
)

// Load is what an agent carries; the zero value is an idle agent without slots.
type Load struct {
	// InProgress is the number of requests that hold a slot or wait for one.
	InProgress uint32
	// Flows is the number of open flows.
	Flows uint32
	// Slots is how many requests in progress the backend server bears now.
	Slots uint32
}

// Relative returns the load as a share of the slots, where 1 is a full agent.
func (l Load) Relative() float64 {
	return (float64(l.InProgress) + flowWeight*float64(l.Flows)) / float64(max(l.Slots, 1))
}

// report is the last load that a co-member has told.
type report struct {
	load Load
	at   time.Time
}

// Placer holds the loads of the co-members; the zero value knows none and is ready to use.
type Placer struct {
	mu      sync.Mutex
	reports map[flow.ShortID]report
}

// SetLoad notes the load that a co-member has told.
func (p *Placer) SetLoad(now time.Time, member flow.ShortID, l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reports == nil {
		p.reports = make(map[flow.ShortID]report)
	}
	p.reports[member] = report{load: l, at: now}
}

// fresh returns the load of a member that is known well enough.
func (p *Placer) fresh(now time.Time, member flow.ShortID) (Load, bool) {
	r, ok := p.reports[member]
	if !ok || now.Sub(r.at) > loadLifetime {
		return Load{}, false
	}
	return r.load, true
}

// limit returns the highest relative load at which a member accepts a flow: the bound times the mean
// of the own load and the known loads of the members that may take new flows.
func (p *Placer) limit(now time.Time, own Load, v *flow.View, self flow.ShortID) float64 {
	sum, n := own.Relative(), 1
	members := v.Members()
	for i := range members {
		m := &members[i]
		if m.ShortID() == self || !m.AcceptsFlows() {
			continue
		}
		if l, ok := p.fresh(now, m.ShortID()); ok {
			sum += l.Relative()
			n++
		}
	}
	return bound * sum / float64(n)
}

// Accepts reports whether an agent with this load accepts a new flow by bounded load.
func (p *Placer) Accepts(now time.Time, own Load, v *flow.View, self flow.ShortID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return own.Relative() <= p.limit(now, own, v, self)
}

// HasCapacity reports whether a member's load is unknown or within the bound.
func (p *Placer) HasCapacity(now time.Time, own Load, v *flow.View, self, member flow.ShortID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.fresh(now, member)
	return !ok || l.Relative() <= p.limit(now, own, v, self)
}

// NextMember returns the member to which an agent passes a new flow that it does not accept: the first of the
// ranking whose load is unknown or within the bound, or else the least loaded one; nil means that there is none.
// Tried must hold the agent itself.
func (p *Placer) NextMember(now time.Time, own Load, v *flow.View, self flow.ShortID, hash uint64, tried flow.Visited) *flow.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.limit(now, own, v, self)
	var least *flow.Member
	var leastLoad float64
	for {
		m := v.TopRanked(hash, true, tried)
		if m == nil {
			return least
		}
		l, ok := p.fresh(now, m.ShortID())
		if !ok || l.Relative() <= limit {
			return m
		}
		if r := l.Relative(); least == nil || r < leastLoad {
			least, leastLoad = m, r
		}
		if !tried.Add(m.ShortID()) {
			return least
		}
	}
}
