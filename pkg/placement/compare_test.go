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

// site is a service of the comparison.
type site struct {
	members, slots int
	util           float64
}

// world is a seeded simulation of flows on the backend servers of one service.
type world struct {
	rng    *rand.Rand
	now    time.Time
	view   *flow.View
	slots  uint32
	loads  []Load   // exact
	told   []Load   // as of the last report
	placer []Placer // one for each agent
	busy   []float64
	ends   endHeap
}

type end struct {
	at     time.Time
	member int
	flow   bool // the flow ends; otherwise one of its requests
}

type endHeap []end

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(end)) }
func (h *endHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type policy struct {
	name   string
	choose func(w *world, hash uint64) int
}

func (w *world) index(m *flow.Member) int {
	for i := range w.view.Members() {
		if w.view.Members()[i].ShortID() == m.ShortID() {
			return i
		}
	}
	return -1
}

func plain(w *world, hash uint64) int { return int(hash % uint64(len(w.loads))) }

func rendezvous(w *world, hash uint64) int {
	return w.index(w.view.TopRanked(hash, true, flow.Visited{}))
}

func twoChoices(w *world, hash uint64) int {
	var tried flow.Visited
	a := w.view.TopRanked(hash, true, tried)
	tried.Add(a.ShortID())
	i, j := w.index(a), w.index(w.view.TopRanked(hash, true, tried))
	if w.told[j].Relative() < w.told[i].Relative() {
		return j
	}
	return i
}

// bounded follows a flow over the agents as the packets go: each agent knows its own load exactly.
func bounded(w *world, hash uint64) int {
	var tried flow.Visited
	m := w.view.TopRanked(hash, true, tried)
	for {
		i := w.index(m)
		p := &w.placer[i]
		if p.Accepts(w.now, w.loads[i], w.view, m.ShortID()) {
			return i
		}
		tried.Add(m.ShortID())
		next := p.NextMember(w.now, w.loads[i], w.view, m.ShortID(), hash, tried)
		if next == nil {
			return i
		}
		m = next
	}
}

func newWorld(seed uint64, s site) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), slots: uint32(s.slots),
		loads: make([]Load, s.members), told: make([]Load, s.members),
		placer: make([]Placer, s.members), busy: make([]float64, s.members),
	}
	members := make([]flow.Member, 0, s.members)
	for i := range s.members {
		members = append(members, flow.NewMember(fmt.Sprintf("agent-%d", i), netip.AddrPort{}, "a", true, true))
		w.loads[i].Slots = w.slots
	}
	w.view = flow.NewView(1, members)
	return w
}

// result is what one run has measured.
type result struct {
	imbalance float64 // max/mean of the time-averaged requests in progress
	refused   float64 // share of flows that met a member without a free slot
}

// run opens flows of which one in five is a long download that holds a slot for its whole life (Pareto,
// 5 s to 300 s); the others are sessions whose only counted request is short.
func (w *world) run(s site, choose func(*world, uint64) int) result {
	const length, warm, reportEvery = 5400 * time.Second, 300 * time.Second, 500 * time.Millisecond
	const meanDownload, meanSession, meanRequest = 14.4, 60.0, 0.5
	perFlow := 0.2*meanDownload + 0.8*meanRequest
	rate := s.util * float64(s.members*s.slots) / perFlow
	start, nextReport := w.now, w.now
	nextFlow := w.now
	var flows, refused float64
	for w.now.Sub(start) < length {
		t := nextFlow
		if nextReport.Before(t) {
			t = nextReport
		}
		if len(w.ends) > 0 && w.ends[0].at.Before(t) {
			t = w.ends[0].at
		}
		if w.now.Sub(start) >= warm {
			for i, l := range w.loads {
				w.busy[i] += float64(l.InProgress) * t.Sub(w.now).Seconds()
			}
		}
		w.now = t
		switch {
		case len(w.ends) > 0 && w.ends[0].at.Equal(t):
			e := heap.Pop(&w.ends).(end)
			if e.flow {
				w.loads[e.member].Flows--
			} else {
				w.loads[e.member].InProgress--
			}
		case nextReport.Equal(t):
			w.report()
			nextReport = nextReport.Add(reportEvery)
		default:
			flows++
			i := choose(w, w.rng.Uint64())
			if !w.open(i) {
				refused++
			}
			nextFlow = nextFlow.Add(seconds(w.rng.ExpFloat64() / rate))
		}
	}
	return result{imbalance: maxOverMean(w.busy), refused: refused / flows}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (w *world) report() {
	copy(w.told, w.loads)
	for i := range w.placer {
		for j := range w.loads {
			if i != j {
				w.placer[i].SetLoad(w.now, w.view.Members()[j].ShortID(), w.loads[j])
			}
		}
	}
}

// open starts a flow at a member and reports whether it had a free slot.
func (w *world) open(i int) bool {
	l := &w.loads[i]
	if l.InProgress >= w.slots {
		return false
	}
	l.InProgress++
	l.Flows++
	request, life := w.rng.ExpFloat64()*0.5, w.rng.ExpFloat64()*60
	if w.rng.Float64() < 0.2 {
		request = min(300, 5/math.Pow(1-w.rng.Float64(), 1/1.4))
		life = request
	}
	heap.Push(&w.ends, end{at: w.now.Add(seconds(request)), member: i})
	heap.Push(&w.ends, end{at: w.now.Add(seconds(max(life, request))), member: i, flow: true})
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

// Guards against a placement rule that leaves the backend servers unevenly loaded; the log holds the comparison.
func TestBoundedLoadBalancesBest(t *testing.T) {
	policies := []policy{{"plain hash", plain}, {"rendezvous", rendezvous}, {"two choices", twoChoices}, {"bounded load", bounded}}
	for _, s := range []site{{7, 2, 0.6}, {7, 7, 0.6}, {3, 7, 0.6}} {
		t.Run(fmt.Sprintf("%d members, %d slots", s.members, s.slots), func(t *testing.T) {
			t.Parallel()
			worst := make(map[string]result)
			for _, p := range policies {
				var r result
				for seed := range uint64(2) {
					one := newWorld(seed, s).run(s, p.choose)
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
