package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

// scenario is a service size and utilisation for which the policies are compared.
type scenario struct {
	members, slots int
	utilisation    float64
}

// simulation simulates the flows on the backend servers of one service, with seeded random numbers.
type simulation struct {
	rng      *rand.Rand
	now      time.Time
	view     *flow.View
	slots    uint32
	loads    []Load    // current
	reported []Load    // as of the last report
	placers  []Placer  // one for each agent
	busyTime []float64 // seconds of requests in progress for each member
	ends     endHeap
}

type endEvent struct {
	at     time.Time
	member int
	isFlow bool // true for the end of a flow, false for the end of its request
}

type endHeap []endEvent

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(endEvent)) }
func (h *endHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type policy struct {
	name   string
	choose func(sim *simulation, hash uint64) int
}

func (sim *simulation) index(m *flow.Member) int {
	for i := range sim.view.Members() {
		if sim.view.Members()[i].ShortID() == m.ShortID() {
			return i
		}
	}
	return -1
}

func plain(sim *simulation, hash uint64) int { return int(hash % uint64(len(sim.loads))) }

func rendezvous(sim *simulation, hash uint64) int {
	return sim.index(sim.view.TopRanked(hash, true, flow.Visited{}))
}

func twoChoices(sim *simulation, hash uint64) int {
	var visited flow.Visited
	a := sim.view.TopRanked(hash, true, visited)
	visited.Add(a.ShortID())
	i, j := sim.index(a), sim.index(sim.view.TopRanked(hash, true, visited))
	if sim.reported[j].Relative() < sim.reported[i].Relative() {
		return j
	}
	return i
}

// bounded passes a flow from agent to agent as the packets do: each agent has its own current load and the reported
// loads of the others.
func bounded(sim *simulation, hash uint64) int {
	var visited flow.Visited
	m := sim.view.TopRanked(hash, true, visited)
	for {
		i := sim.index(m)
		p := &sim.placers[i]
		if p.Accepts(sim.now, sim.loads[i], sim.view, m.ShortID()) {
			return i
		}
		visited.Add(m.ShortID())
		next := p.NextMember(sim.now, sim.loads[i], sim.view, m.ShortID(), hash, visited)
		if next == nil {
			return i
		}
		m = next
	}
}

func newSimulation(seed uint64, s scenario) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), slots: uint32(s.slots),
		loads: make([]Load, s.members), reported: make([]Load, s.members),
		placers: make([]Placer, s.members), busyTime: make([]float64, s.members),
	}
	members := make([]flow.Member, 0, s.members)
	for i := range s.members {
		members = append(members, flow.NewMember(fmt.Sprintf("agent-%d", i), netip.AddrPort{}, "a", true, true))
		sim.loads[i].Slots = sim.slots
	}
	sim.view = flow.NewView(1, members)
	return sim
}

// result holds the measurements of one run.
type result struct {
	imbalance float64 // max/mean of the time-averaged requests in progress
	refused   float64 // share of flows placed on a member without a free slot
}

// run opens flows at random times. One in five is a long download that holds a slot until it ends (Pareto, 5 s to
// 300 s); the others are sessions with one short request.
func (sim *simulation) run(s scenario, choose func(*simulation, uint64) int) result {
	const length, warmUp, reportInterval = 5400 * time.Second, 300 * time.Second, 500 * time.Millisecond
	const meanDownload, meanSession, meanRequest = 14.4, 60.0, 0.5
	perFlow := 0.2*meanDownload + 0.8*meanRequest
	rate := s.utilisation * float64(s.members*s.slots) / perFlow
	start, nextReport := sim.now, sim.now
	nextFlow := sim.now
	var flows, refused float64
	for sim.now.Sub(start) < length {
		t := nextFlow
		if nextReport.Before(t) {
			t = nextReport
		}
		if len(sim.ends) > 0 && sim.ends[0].at.Before(t) {
			t = sim.ends[0].at
		}
		if sim.now.Sub(start) >= warmUp {
			for i, l := range sim.loads {
				sim.busyTime[i] += float64(l.InProgress) * t.Sub(sim.now).Seconds()
			}
		}
		sim.now = t
		switch {
		case len(sim.ends) > 0 && sim.ends[0].at.Equal(t):
			e := heap.Pop(&sim.ends).(endEvent)
			if e.isFlow {
				sim.loads[e.member].Flows--
			} else {
				sim.loads[e.member].InProgress--
			}
		case nextReport.Equal(t):
			sim.report()
			nextReport = nextReport.Add(reportInterval)
		default:
			flows++
			i := choose(sim, sim.rng.Uint64())
			if !sim.open(i) {
				refused++
			}
			nextFlow = nextFlow.Add(seconds(sim.rng.ExpFloat64() / rate))
		}
	}
	return result{imbalance: maxOverMean(sim.busyTime), refused: refused / flows}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (sim *simulation) report() {
	copy(sim.reported, sim.loads)
	for i := range sim.placers {
		for j := range sim.loads {
			if i != j {
				sim.placers[i].SetLoad(sim.now, sim.view.Members()[j].ShortID(), sim.loads[j])
			}
		}
	}
}

// open starts a flow at a member. It returns false if the member has no free slot.
func (sim *simulation) open(i int) bool {
	l := &sim.loads[i]
	if l.InProgress >= sim.slots {
		return false
	}
	l.InProgress++
	l.Flows++
	request, life := sim.rng.ExpFloat64()*0.5, sim.rng.ExpFloat64()*60
	if sim.rng.Float64() < 0.2 {
		request = min(300, 5/math.Pow(1-sim.rng.Float64(), 1/1.4))
		life = request
	}
	heap.Push(&sim.ends, endEvent{at: sim.now.Add(seconds(request)), member: i})
	heap.Push(&sim.ends, endEvent{at: sim.now.Add(seconds(max(life, request))), member: i, isFlow: true})
	return true
}

func maxOverMean(v []float64) float64 {
	var sum, top float64
	for _, x := range v {
		sum += x
		top = max(top, x)
	}
	return top * float64(len(v)) / sum
}

// Guards against a placement rule that loads the backend servers unevenly, or that places more flows on members without a
// free slot than another policy. Logs a comparison of the policies.
func TestBoundedLoadBalancesBest(t *testing.T) {
	policies := []policy{{"plain hash", plain}, {"rendezvous", rendezvous}, {"two choices", twoChoices}, {"bounded load", bounded}}
	for _, s := range []scenario{{7, 2, 0.6}, {7, 7, 0.6}, {3, 7, 0.6}} {
		t.Run(fmt.Sprintf("%d members, %d slots", s.members, s.slots), func(t *testing.T) {
			t.Parallel()
			worst := make(map[string]result)
			for _, p := range policies {
				var r result
				for seed := range uint64(2) {
					one := newSimulation(seed, s).run(s, p.choose)
					r.imbalance = max(r.imbalance, one.imbalance)
					r.refused = max(r.refused, one.refused)
				}
				worst[p.name] = r
				t.Logf("%-12s: max/mean %.3f, flows without a free slot %.4f", p.name, r.imbalance, r.refused)
			}
			best := worst["bounded load"]
			assert.Assert(t, best.imbalance <= 1.10)
			for name, r := range worst {
				assert.Assert(t, best.refused <= r.refused, name)
			}
		})
	}
}
