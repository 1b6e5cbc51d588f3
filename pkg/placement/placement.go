// Package placement selects the agent of a service that accepts a new flow, by consistent hashing with bounded loads.
package placement

import (
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

const (
	// maxLoadFactor is the maximum load at which an agent accepts flows, as a multiple of the mean load. Lower values
	// pass more flows on and miss free slots because reports are outdated; higher values balance less
	// (docs/MEASUREMENTS.md).
	maxLoadFactor = 1.05
	// flowWeight is the load of an open flow without a request, in requests in progress. It breaks ties between
	// equally busy agents; from 1/64 on, idle flows mask the requests in progress (docs/MEASUREMENTS.md).
	flowWeight = 1.0 / 256
	// loadTTL is how long a reported load is used: four report intervals of 500 ms.
	loadTTL = 2 * time.Second
)

// Load is the load of an agent; the zero value is an idle agent without slots.
type Load struct {
	// InProgress is the number of requests that hold a slot or wait for one.
	InProgress uint32
	// Flows is the number of open flows.
	Flows uint32
	// Slots is the current maximum number of requests in progress at the backend server.
	Slots uint32
}

// Relative returns the load as a fraction of the slots; 1 means that all slots are in use.
func (l Load) Relative() float64 {
	return (float64(l.InProgress) + flowWeight*float64(l.Flows)) / float64(max(l.Slots, 1))
}

// report is the last reported load of another member.
type report struct {
	load Load
	at   time.Time
}

// Placer holds the last reported loads of the other members of a service. The zero value is ready to use. It is safe
// for concurrent use.
type Placer struct {
	mu      sync.Mutex
	reports map[flow.ShortID]report
}

// SetLoad stores the load that another member has reported.
func (p *Placer) SetLoad(now time.Time, member flow.ShortID, l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reports == nil {
		p.reports = make(map[flow.ShortID]report)
	}
	p.reports[member] = report{load: l, at: now}
}

// freshLoad returns the reported load of a member, or false if there is none or it is older than loadTTL.
func (p *Placer) freshLoad(now time.Time, member flow.ShortID) (Load, bool) {
	r, ok := p.reports[member]
	if !ok || now.Sub(r.at) > loadTTL {
		return Load{}, false
	}
	return r.load, true
}

// maxLoad returns the highest relative load at which a member accepts a flow: maxLoadFactor times the mean of the
// own load and the fresh loads of the other members that accept flows.
func (p *Placer) maxLoad(now time.Time, own Load, v *flow.View, self flow.ShortID) float64 {
	sum, n := own.Relative(), 1
	members := v.Members()
	for i := range members {
		m := &members[i]
		if m.ShortID() == self || !m.AcceptsFlows() {
			continue
		}
		if l, ok := p.freshLoad(now, m.ShortID()); ok {
			sum += l.Relative()
			n++
		}
	}
	return maxLoadFactor * sum / float64(n)
}

// Accepts reports whether the agent self, with the load own, accepts a new flow.
func (p *Placer) Accepts(now time.Time, own Load, v *flow.View, self flow.ShortID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return own.Relative() <= p.maxLoad(now, own, v, self)
}

// HasCapacity reports whether a member has no fresh load or one within the limit.
func (p *Placer) HasCapacity(now time.Time, own Load, v *flow.View, self, member flow.ShortID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.freshLoad(now, member)
	return !ok || l.Relative() <= p.maxLoad(now, own, v, self)
}

// NextMember returns the member to which an agent passes on a new flow that it does not accept: the highest-ranked
// member that has no fresh load or one within the limit, or else the least loaded member. It returns nil if there is
// none. visited must contain the agent itself.
func (p *Placer) NextMember(now time.Time, own Load, v *flow.View, self flow.ShortID, hash uint64, visited flow.Visited) *flow.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.maxLoad(now, own, v, self)
	var least *flow.Member
	var leastLoad float64
	for {
		m := v.TopRanked(hash, true, visited)
		if m == nil {
			return least
		}
		l, ok := p.freshLoad(now, m.ShortID())
		if !ok || l.Relative() <= limit {
			return m
		}
		if r := l.Relative(); least == nil || r < leastLoad {
			least, leastLoad = m, r
		}
		if !visited.Add(m.ShortID()) {
			return least
		}
	}
}
