package flow_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	_ "github.com/bramleymast/bramleymast/internal/fixedseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

var (
	service = flow.ServiceIDOf("orders")
	start   = time.Unix(1_000_000, 0)
)

func callerAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 4433)
}

func newMember(name string, acceptsFlows, ownsFlows bool) flow.Member {
	return flow.NewMember(name, netip.MustParseAddrPort("10.1.0.1:9000"), "a", acceptsFlows, ownsFlows)
}

func ExampleSteerer() {
	view := flow.NewView(flow.ServiceIDOf("orders"), []flow.Member{
		flow.NewMember("backend-1", netip.MustParseAddrPort("10.1.0.1:9000"), "a", true, true),
		flow.NewMember("backend-2", netip.MustParseAddrPort("10.1.0.2:9000"), "b", true, true),
	})
	steerer := flow.NewSteerer(flow.NewCache(1024))
	caller := netip.MustParseAddrPort("203.0.113.7:50000")
	now := time.Unix(1_000_000, 0)

	opening, _ := steerer.Steer(now, view, caller, true)
	fmt.Println(opening.Member.ID(), opening.Cached)

	// A return datagram with the established flag contains the agent that accepted the flow.
	steerer.SetOwner(now, flow.NewKey(caller, view.Service()), flow.ShortIDOf("backend-2"))
	next, _ := steerer.Steer(now, view, caller, false)
	fmt.Println(next.Member.ID(), next.Cached)
	// Output:
	// backend-1 false
	// backend-2 true
}

func ExampleCache() {
	cache := flow.NewCache(1000)
	key := flow.NewKey(netip.MustParseAddrPort("203.0.113.7:50000"), flow.ServiceIDOf("orders"))
	now := time.Unix(1_000_000, 0)

	cache.Put(now, key.Hash(), flow.ShortIDOf("backend-1"))
	owner, ok := cache.Get(now, key.Hash())
	fmt.Println(owner == flow.ShortIDOf("backend-1"), ok, cache.Capacity())
	// Output: true true 3072
}

// Guards against flows that move to another member while their owner is in service, draining or marked as dead, and
// against new flows that go to an owner that accepts none.
func TestSteerRules(t *testing.T) {
	other := newMember("other", true, true)
	cases := []struct {
		name    string
		owner   []flow.Member
		opening bool
		want    string
	}{
		{"owner in service, opening", []flow.Member{newMember("owner", true, true)}, true, "owner"},
		{"owner in service, continuing", []flow.Member{newMember("owner", true, true)}, false, "owner"},
		{"draining owner, opening", []flow.Member{newMember("owner", false, true)}, true, "other"},
		{"draining owner, continuing", []flow.Member{newMember("owner", false, true)}, false, "owner"},
		{"owner marked as dead, opening", []flow.Member{newMember("owner", false, false)}, true, "other"},
		{"owner marked as dead, continuing", []flow.Member{newMember("owner", false, false)}, false, "owner"},
		{"owner has left, continuing", nil, false, "other"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			view := flow.NewView(service, append(c.owner, other))
			s := flow.NewSteerer(flow.NewCache(1024))
			for i := range 100 {
				s.SetOwner(start, flow.NewKey(callerAt(i), service), flow.ShortIDOf("owner"))
				d, ok := s.Steer(start, view, callerAt(i), c.opening)
				assert.Assert(t, ok)
				assert.Equal(t, d.Member.ID(), c.want)
				assert.Equal(t, d.Cached, c.want == "owner")
				if c.opening {
					e, ok := s.Explain(view, callerAt(i))
					assert.Assert(t, ok)
					assert.Equal(t, e.Decision, d)
					assert.Equal(t, e.Owner.ID(), "owner")
				}
			}
		})
	}
}

// Guards against packets that go to a member that is not eligible, and against a nil member returned with ok.
func TestSteerWithoutCacheFollowsRanking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make([]flow.Member, rapid.IntRange(0, 8).Draw(t, "members"))
		for i := range members {
			ownsFlows := rapid.Bool().Draw(t, "owns flows")
			acceptsFlows := ownsFlows && rapid.Bool().Draw(t, "accepts flows")
			members[i] = newMember(fmt.Sprintf("m%d", i), acceptsFlows, ownsFlows)
		}
		view := flow.NewView(service, members)
		opening := rapid.Bool().Draw(t, "opening")
		caller := callerAt(rapid.IntRange(0, 1<<20).Draw(t, "caller"))
		d, ok := flow.NewSteerer(flow.NewCache(64)).Steer(start, view, caller, opening)
		want := view.TopRanked(flow.NewKey(caller, service).Hash(), opening, flow.Visited{})
		assert.Equal(t, d.Member, want)
		assert.Equal(t, ok, want != nil)
		e, placed := flow.NewSteerer(flow.NewCache(64)).Explain(view, caller)
		first := view.TopRanked(flow.NewKey(caller, service).Hash(), true, flow.Visited{})
		assert.Equal(t, e.Member, first)
		assert.Equal(t, placed, first != nil)
		var visited flow.Visited
		for _, m := range e.Ranked {
			assert.Equal(t, m, view.TopRanked(flow.NewKey(caller, service).Hash(), true, visited))
			visited.Add(m.ShortID())
		}
		if ok {
			assert.Assert(t, opening && d.Member.AcceptsFlows() || !opening && d.Member.OwnsFlows())
		}
	})
}

// Guards against a flow that gets the cached owner of the same caller's flow to another service.
func TestCacheKeepsServicesApart(t *testing.T) {
	s := flow.NewSteerer(flow.NewCache(1024))
	view := flow.NewView(flow.ServiceIDOf("catalogue"), []flow.Member{newMember("c1", true, true)})
	s.SetOwner(start, flow.NewKey(callerAt(1), service), flow.ShortIDOf("o1"))
	d, ok := s.Steer(start, view, callerAt(1), false)
	assert.Assert(t, ok)
	assert.Equal(t, d.Member.ID(), "c1")
	assert.Assert(t, !d.Cached)
}

// Guards against a full cache that grows, or that overwrites flows in use before idle flows.
func TestCacheOverwritesLeastRecentlyUsed(t *testing.T) {
	cache := flow.NewCache(1024)
	busy := flow.NewKey(callerAt(0), service).Hash()
	cache.Put(start, busy, 1)
	for i := 1; i <= 100*cache.Capacity(); i++ {
		now := start.Add(time.Duration(i) * 8 * time.Second)
		cache.Put(now, flow.NewKey(callerAt(i), service).Hash(), 2)
		owner, ok := cache.Get(now, busy)
		assert.Assert(t, ok && owner == 1, "the busy flow was overwritten after %d other flows", i)
	}
	cached := 0
	for i := range 100 * cache.Capacity() {
		if _, ok := cache.Get(start, flow.NewKey(callerAt(i), service).Hash()); ok {
			cached++
		}
	}
	assert.Assert(t, cached <= cache.Capacity(), "%d flows in %d entries", cached, cache.Capacity())
}

// Guards against questions of operators that keep an idle flow in the cache.
func TestExplainIsNoUse(t *testing.T) {
	cache := flow.NewCache(1)
	s, view := flow.NewSteerer(cache), flow.NewView(service, []flow.Member{newMember("owner", true, true)})
	for i := range 10 * cache.Capacity() {
		s.SetOwner(start.Add(time.Duration(i)*8*time.Second), flow.NewKey(callerAt(i), service), flow.ShortIDOf("owner"))
		s.Explain(view, callerAt(0))
	}
	e, _ := s.Explain(view, callerAt(0))
	assert.Assert(t, e.Owner == nil)
}

// Guards against heap allocations per packet.
func TestSteerDoesNotAllocate(t *testing.T) {
	view := flow.NewView(service, []flow.Member{newMember("a", true, true), newMember("b", true, true)})
	s := flow.NewSteerer(flow.NewCache(1024))
	caller := callerAt(1)
	for _, cached := range []bool{false, true} {
		if cached {
			s.SetOwner(start, flow.NewKey(caller, service), flow.ShortIDOf("a"))
		}
		assert.Equal(t, testing.AllocsPerRun(100, func() { s.Steer(start, view, caller, !cached) }), 0.0)
	}
}
