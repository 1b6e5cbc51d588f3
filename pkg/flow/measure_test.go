package flow_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

// Guards against a ranking by which more flows move than those of the member that leaves, beyond the target of
// 1.2 times its own share. Prints a row of docs/MEASUREMENTS.md for each number of members.
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
		full := viewNamed(names, nil)
		worst, foreign := 0, 0
		for i := range names {
			rest := viewNamed(slices.Delete(slices.Clone(names), i, i+1), nil)
			moved := 0
			for _, h := range hashes {
				before, after := full.TopRanked(h, true, flow.Visited{}), rest.TopRanked(h, true, flow.Visited{})
				if before.ID() != after.ID() {
					moved++
					if before.ID() != names[i] {
						foreign++
					}
				}
			}
			worst = max(worst, moved)
		}
		share := float64(worst) / flows * float64(n)
		t.Logf("| %d | %d | %.3f | %d |", n, flows, share, foreign)
		assert.Assert(t, share <= 1.2)
		assert.Equal(t, foreign, 0)
	}
}

// viewNamed returns a view of members that take flows and of draining ones that only hold them.
func viewNamed(open, draining []string) *flow.View {
	ms := make([]flow.Member, 0, len(open)+len(draining))
	for _, name := range open {
		ms = append(ms, memberNamed(name, true, true))
	}
	for _, name := range draining {
		ms = append(ms, memberNamed(name, false, true))
	}
	return flow.NewView(service, ms)
}

// generations is the alternative to the ranking: a table of slots in which a change moves as few slots as it can, and
// all earlier tables, in which a balancer looks for the owner of a flow that began before.
type generations struct{ tables [][]string }

const tableSlots = 1021

func (g *generations) current() []string { return g.tables[len(g.tables)-1] }

// change makes the next table for the members that take flows: slots of others, and slots beyond a fair share,
// go to the members with the fewest slots.
func (g *generations) change(open []string) {
	next := make([]string, tableSlots)
	if len(g.tables) > 0 {
		copy(next, g.current())
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
	g.tables = append(g.tables, next)
}

// hops returns how many other members of the view come before the owner, from the newest table to the oldest.
func (g *generations) hops(hash uint64, owner string, view *flow.View) int {
	slot := hash % tableSlots
	var seen []string
	for _, table := range slices.Backward(g.tables) {
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

// rankedHops returns how many members rank above the owner, or MaxTried when it is not reached.
func rankedHops(hash uint64, owner string, view *flow.View) int {
	var tried flow.Visited
	for {
		m := view.TopRanked(hash, false, tried)
		if m == nil || m.ID() == owner || !tried.Add(m.ShortID()) {
			return tried.Len()
		}
	}
}

// fleet is a service whose members join and drain; a drain overlaps with the changes that follow it.
type fleet struct {
	open     []string
	draining []string
	ends     []int // the change at which each drain ends
	joined   int
	slots    generations
}

const drainChanges = 5

func (f *fleet) join() {
	f.open = append(f.open, fmt.Sprintf("backend-%d", f.joined))
	f.joined++
}

func (f *fleet) step(rnd *rand.Rand, size, change int) {
	for len(f.ends) > 0 && f.ends[0] <= change {
		f.draining, f.ends = f.draining[1:], f.ends[1:]
	}
	if len(f.open) < size || len(f.open) == size && rnd.IntN(2) == 0 {
		f.join()
	} else {
		i := rnd.IntN(len(f.open))
		f.draining = append(f.draining, f.open[i])
		f.ends = append(f.ends, change+drainChanges)
		f.open = slices.Delete(f.open, i, i+1)
	}
	f.slots.change(f.open)
}

type openFlow struct {
	hash          uint64
	ends          int
	ranked, table string // the owner by each of the two rules
}

// Guards against an owner that the passing-on rule does not reach within MaxTried agents. Prints rows of
// docs/MEASUREMENTS.md: the extra hops of a continuing packet at a balancer that has no cache, after a number of
// changes, by the ranking and by a table for each generation with the owners of all earlier ones.
func TestMeasureExtraHops(t *testing.T) {
	const seed, longest = 1, 100
	runs := []struct{ changes, flowsPerChange int }{{1, 40_000}, {100, 400}}
	for _, n := range []int{3, 7} {
		for _, run := range runs {
			rnd := rand.New(rand.NewPCG(seed, uint64(n)))
			var f fleet
			for range n {
				f.join()
			}
			f.slots.change(f.open)
			var open []openFlow
			for change := 1; change <= run.changes; change++ {
				view := viewNamed(f.open, f.draining)
				for range run.flowsPerChange {
					h := flow.NewKey(callerAt(rnd.IntN(1<<24)), service).Hash()
					open = append(open, openFlow{
						hash: h, ends: change + 1 + rnd.IntN(longest),
						ranked: view.TopRanked(h, true, flow.Visited{}).ID(), table: f.slots.current()[h%tableSlots],
					})
				}
				f.step(rnd, n, change)
			}
			reportHops(t, n, run.changes, &f, open)
		}
	}
}

func reportHops(t *testing.T, n, changes int, f *fleet, open []openFlow) {
	t.Helper()
	view := viewNamed(f.open, f.draining)
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
			table = append(table, f.slots.hops(o.hash, o.table, view))
		}
	}
	t.Logf("| %d | %d | %d | %.3f | %d | %.3f | %d | %d |", n, changes, len(ranked),
		mean(ranked), slices.Max(ranked), mean(table), slices.Max(table), len(f.slots.tables))
	assert.Assert(t, slices.Max(ranked) < flow.MaxVisited)
}

func mean(v []int) float64 {
	sum := 0
	for _, n := range v {
		sum += n
	}
	return float64(sum) / float64(len(v))
}
