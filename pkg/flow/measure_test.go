package flow_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

// Guards against a ranking by which flows of other members move when a member leaves, and against a member with more
// than 1.2 times the mean share of the flows. Logs a row of docs/MEASUREMENTS.md for each number of members.
func TestMeasureMovedFlows(t *testing.T) {
	const flows, seed = 100_000, 1
	for _, n := range []int{3, 7} {
		rnd := rand.New(rand.NewPCG(seed, uint64(n)))
		hashes := make([]uint64, flows)
		for i := range hashes {
			hashes[i] = flow.NewKey(callerAt(rnd.IntN(1<<24)), service).Hash()
		}
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("backend-%d", i)
		}
		full := newView(names, nil)
		maxMoved, unrelated := 0, 0
		for i := range names {
			rest := newView(slices.Delete(slices.Clone(names), i, i+1), nil)
			moved := 0
			for _, h := range hashes {
				before, after := full.TopRanked(h, true, flow.Visited{}), rest.TopRanked(h, true, flow.Visited{})
				if before.ID() != after.ID() {
					moved++
					if before.ID() != names[i] {
						unrelated++
					}
				}
			}
			maxMoved = max(maxMoved, moved)
		}
		share := float64(maxMoved) / flows * float64(n)
		t.Logf("| %d | %d | %.3f | %d |", n, flows, share, unrelated)
		assert.Assert(t, share <= 1.2)
		assert.Equal(t, unrelated, 0)
	}
}

// newView returns a view of open members, which accept flows, and draining members, which only own flows.
func newView(open, draining []string) *flow.View {
	ms := make([]flow.Member, 0, len(open)+len(draining))
	for _, name := range open {
		ms = append(ms, newMember(name, true, true))
	}
	for _, name := range draining {
		ms = append(ms, newMember(name, false, true))
	}
	return flow.NewView(service, ms)
}

// tableHistory is the alternative to the ranking: a lookup table in which a change moves as few slots as possible, and
// all earlier tables, in which a balancer looks up the owners of older flows.
type tableHistory struct{ tables [][]string }

const tableSlots = 1021

func (h *tableHistory) current() []string { return h.tables[len(h.tables)-1] }

// change appends the next table for the members that accept flows: slots of other members, and slots beyond the fair
// share, go to the member with the fewest slots.
func (h *tableHistory) change(open []string) {
	next := make([]string, tableSlots)
	if len(h.tables) > 0 {
		copy(next, h.current())
	}
	owned := make(map[string]int)
	share := (tableSlots + len(open) - 1) / len(open)
	var free []int
	for i, name := range next {
		if !slices.Contains(open, name) || owned[name] == share {
			free = append(free, i)
			continue
		}
		owned[name]++
	}
	for _, i := range free {
		least := slices.MinFunc(open, func(a, b string) int { return owned[a] - owned[b] })
		next[i] = least
		owned[least]++
	}
	h.tables = append(h.tables, next)
}

// hops returns the number of other members in the view that precede the owner, from the newest table to the oldest.
func (h *tableHistory) hops(hash uint64, owner string, view *flow.View) int {
	slot := hash % tableSlots
	var seen []string
	for _, table := range slices.Backward(h.tables) {
		name := table[slot]
		if name == owner {
			return len(seen)
		}
		_, present := view.Member(flow.ShortIDOf(name))
		if present && !slices.Contains(seen, name) {
			seen = append(seen, name)
		}
	}
	return len(seen)
}

// rankedHops returns the number of members that rank above the owner, or MaxVisited if the owner is not reached.
func rankedHops(hash uint64, owner string, view *flow.View) int {
	var visited flow.Visited
	for {
		m := view.TopRanked(hash, false, visited)
		if m == nil || m.ID() == owner || !visited.Add(m.ShortID()) {
			return visited.Len()
		}
	}
}

// simulation is a service whose members join and drain; a drain lasts for several changes.
type simulation struct {
	open      []string
	draining  []string
	drainEnds []int // the change at which each drain ends
	joined    int
	tables    tableHistory
}

// drainChanges is the length of a drain in changes.
const drainChanges = 5

func (s *simulation) join() {
	s.open = append(s.open, fmt.Sprintf("backend-%d", s.joined))
	s.joined++
}

func (s *simulation) step(rnd *rand.Rand, size, change int) {
	for len(s.drainEnds) > 0 && s.drainEnds[0] <= change {
		s.draining, s.drainEnds = s.draining[1:], s.drainEnds[1:]
	}
	if len(s.open) < size || len(s.open) == size && rnd.IntN(2) == 0 {
		s.join()
	} else {
		i := rnd.IntN(len(s.open))
		s.draining = append(s.draining, s.open[i])
		s.drainEnds = append(s.drainEnds, change+drainChanges)
		s.open = slices.Delete(s.open, i, i+1)
	}
	s.tables.change(s.open)
}

type openFlow struct {
	hash          uint64
	ends          int    // the change at which the flow ends
	ranked, table string // the owner by ranking and by lookup table
}

// Guards against a continuing packet that does not reach the owner of its flow within MaxVisited agents. Logs rows of
// docs/MEASUREMENTS.md: the extra hops of such a packet from a balancer without a cache, after a number of changes, by
// the ranking and by lookup tables.
func TestMeasureExtraHops(t *testing.T) {
	const seed, maxLifetime = 1, 100 // the lifetime of a flow is counted in changes
	runs := []struct{ changes, flowsPerChange int }{{1, 40_000}, {100, 400}}
	for _, n := range []int{3, 7} {
		for _, run := range runs {
			rnd := rand.New(rand.NewPCG(seed, uint64(n)))
			var s simulation
			for range n {
				s.join()
			}
			s.tables.change(s.open)
			var open []openFlow
			for change := 1; change <= run.changes; change++ {
				view := newView(s.open, s.draining)
				for range run.flowsPerChange {
					h := flow.NewKey(callerAt(rnd.IntN(1<<24)), service).Hash()
					open = append(open, openFlow{
						hash: h, ends: change + 1 + rnd.IntN(maxLifetime),
						ranked: view.TopRanked(h, true, flow.Visited{}).ID(), table: s.tables.current()[h%tableSlots],
					})
				}
				s.step(rnd, n, change)
			}
			reportHops(t, n, run.changes, &s, open)
		}
	}
}

func reportHops(t *testing.T, n, changes int, s *simulation, open []openFlow) {
	t.Helper()
	view := newView(s.open, s.draining)
	has := func(name string) bool {
		_, ok := view.Member(flow.ShortIDOf(name))
		return ok
	}
	var ranked, table []int
	for _, o := range open {
		if o.ends > changes && has(o.ranked) {
			ranked = append(ranked, rankedHops(o.hash, o.ranked, view))
		}
		if o.ends > changes && has(o.table) {
			table = append(table, s.tables.hops(o.hash, o.table, view))
		}
	}
	t.Logf("| %d | %d | %d | %.3f | %d | %.3f | %d | %d |", n, changes, len(ranked),
		mean(ranked), slices.Max(ranked), mean(table), slices.Max(table), len(s.tables.tables))
	assert.Assert(t, slices.Max(ranked) < flow.MaxVisited)
}

func mean(v []int) float64 {
	sum := 0
	for _, n := range v {
		sum += n
	}
	return float64(sum) / float64(len(v))
}
