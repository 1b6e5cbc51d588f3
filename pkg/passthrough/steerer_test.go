package passthrough_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

const service = "orders"

var serviceID = flow.ServiceIDOf(service)

// views returns the view of a service with agents alternating between two zones; the closed ones accept no flows.
func views(n int, closed ...int) map[string]*flow.View {
	ms := make([]flow.Member, 0, n)
	for i := range n {
		acceptsFlows := true
		for _, c := range closed {
			acceptsFlows = acceptsFlows && c != i
		}
		ms = append(ms, flow.NewMember(fmt.Sprintf("agent-%d", i), address(i), fmt.Sprintf("zone-%d", i%2), acceptsFlows, true))
	}
	return map[string]*flow.View{service: flow.NewView(flow.ServiceIDOf(service), ms)}
}

func steerer(n int, closed ...int) *passthrough.Steerer {
	s := passthrough.NewSteerer("zone-0")
	s.SetViews(views(n, closed...))
	for i := range n {
		s.SetLoad(start, address(i), serviceID, passthrough.Load{Slots: 2, AcceptsFlows: true})
	}
	return s
}

// Guards against flows to agents that are draining, whose zone is out of service or that report that they accept none.
func TestSteererPlacesAtAcceptingAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		closed := rapid.SliceOfDistinct(rapid.IntRange(0, 5), rapid.ID).Draw(t, "closed")
		refusing := rapid.SliceOfDistinct(rapid.IntRange(0, 5), rapid.ID).Draw(t, "refusing")
		s := steerer(6, closed...)
		bad := make(map[netip.AddrPort]bool)
		for _, i := range closed {
			bad[address(i)] = true
		}
		for _, i := range refusing {
			s.SetLoad(start, address(i), serviceID, passthrough.Load{Slots: 2})
			bad[address(i)] = true
		}
		for i := range 30 {
			o, ok := s.Place(start, openingSegment(i, 0), service)
			if ok != (len(bad) < 6) {
				t.Fatalf("Place returned %v with %d of 6 agents closed", ok, len(bad))
			}
			if !ok {
				return
			}
			for _, a := range append(o.Alternatives.All(), o.Target) {
				if bad[a] {
					t.Fatalf("flow %d to closed agent %s", i, a)
				}
			}
		}
	})
}

// Guards against unequal load while reports are older than the flows sent since.
func TestSteererSpreadsBetweenReports(t *testing.T) {
	s := steerer(4)
	count := make(map[netip.AddrPort]int)
	for i := range 40 {
		o, ok := s.Place(start, openingSegment(i, 0), service)
		assert.Assert(t, ok)
		count[o.Target]++
	}
	for a, n := range count {
		assert.Assert(t, n >= 9 && n <= 11, "%d flows to %s", n, a)
	}
}

// Guards against a busy agent that gets flows while another one, even in another zone, is idle.
func TestSteererPrefersShorterWait(t *testing.T) {
	s := steerer(3)
	s.SetLoad(start, address(0), serviceID, passthrough.Load{InProgress: 4, Slots: 2, AcceptsFlows: true})
	s.SetLoad(start, address(2), serviceID, passthrough.Load{InProgress: 3, Slots: 2, AcceptsFlows: true})
	o, _ := s.Place(start, openingSegment(1, 0), service)
	assert.Equal(t, o.Target, address(1))
	assert.DeepEqual(t, o.Alternatives.All(), []netip.AddrPort{address(2), address(0)}, cmpAddrPort)
}

// Guards against flows, and retransmitted opening packets, that go to an agent that has stopped answering.
func TestSteererAvoidsSilentAgent(t *testing.T) {
	s := steerer(2)
	first, _ := s.Place(start, openingSegment(1, 0), service)
	now := start.Add(200 * time.Millisecond)
	other := address(0)
	if first.Target == other {
		other = address(1)
	}
	s.SetLoad(now, other, serviceID, passthrough.Load{Slots: 2, AcceptsFlows: true})
	again, _ := s.Place(now, openingSegment(1, 1), service)
	assert.Equal(t, again.Target, other)
	s.SetLoad(now, first.Target, serviceID, passthrough.Load{Slots: 2, AcceptsFlows: true})
	back, _ := s.Place(now, openingSegment(3, 0), service)
	assert.Equal(t, back.Target, first.Target)
}

// Guards against a retransmitted opening packet that opens a second flow while the first agent still answers.
func TestSteererKeepsRetransmissionsTogether(t *testing.T) {
	s := steerer(6)
	first, _ := s.Place(start, openingSegment(1, 0), service)
	s.SetLoad(start, first.Target, serviceID, passthrough.Load{InProgress: 9, Slots: 2, AcceptsFlows: true})
	again, _ := s.Place(start.Add(200*time.Millisecond), openingSegment(1, 1), service)
	assert.Equal(t, again.Target, first.Target)
}

// Guards against a balancer that looks for the owner of another balancer's flow at other agents before the directory
// agents.
func TestSteererQueriesDirectoryFirst(t *testing.T) {
	o, _ := steerer(12).Place(start, openingSegment(1, 0), service)
	p, directory := steerer(12).OwnerCandidates(start, flowOf(1), service)
	assert.DeepEqual(t, p.All()[:2], o.Directory.All(), cmpAddrPort)
	assert.DeepEqual(t, directory.All(), o.Directory.All(), cmpAddrPort)
}

// Guards against a packet that ends at a directory agent that has stopped, although the next agents know the owner.
func TestSteererSkipsSilentCandidates(t *testing.T) {
	s := steerer(12)
	before, _ := s.OwnerCandidates(start, flowOf(1), service)
	silent := before.All()[0]
	s.DueProbes(start.Add(time.Second))
	now := start.Add(2 * time.Second)
	for i := range 12 {
		if address(i) != silent {
			s.SetLoad(now, address(i), serviceID, passthrough.Load{Slots: 2, AcceptsFlows: true})
		}
	}
	after, directory := s.OwnerCandidates(now, flowOf(1), service)
	assert.DeepEqual(t, after.All()[:3], before.All()[1:], cmpAddrPort)
	assert.DeepEqual(t, directory.All(), before.All()[1:3], cmpAddrPort)
	none, _ := s.OwnerCandidates(now.Add(time.Hour), flowOf(1), service)
	assert.Equal(t, none.Len(), 4)
}

// Guards against an owner that is not found because the search leaves out agents, and against searches whose datagrams
// are too large or that all depend on the same agents.
func TestSteererSearchesAllAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "agents")
		s := steerer(n)
		delegates := make([]netip.AddrPort, 0, 2)
		for i := range cap(delegates) {
			visited := make(map[netip.AddrPort]int)
			groups := s.Search(start.Add(time.Duration(i)*time.Second), flowOf(1), service)
			for _, g := range groups {
				if len(g) == 0 || len(g) > passthrough.MaxSearchGroup {
					t.Fatalf("group of %d agents", len(g))
				}
				for _, a := range g {
					visited[a]++
				}
			}
			if len(visited) != n {
				t.Fatalf("%d of %d agents searched", len(visited), n)
			}
			delegates = append(delegates, groups[0][0])
		}
		if n > 1 && delegates[0] == delegates[1] {
			t.Fatalf("both searches start at %s", delegates[0])
		}
	})
}

// Guards against a flow that counts as lost although an agent has not denied it, or as lost in an outage of all hosts
// although an agent was running: the balancer may not know all agents then.
func TestSteererDeny(t *testing.T) {
	for want, restarted := range map[passthrough.Denial][]bool{
		passthrough.AllRestarted: {true, true, true},
		passthrough.AllDeny:      {true, false, true},
		passthrough.SomeDeny:     {true, true},
	} {
		s := steerer(3)
		assert.Equal(t, s.Deny(start, flowOf(1), address(0), true), passthrough.SomeDeny, "before a search")
		s.Search(start, flowOf(1), service)
		var got passthrough.Denial
		for i, r := range restarted {
			got = s.Deny(start, flowOf(1), address(i), r)
		}
		assert.Equal(t, got, want)
		s.Search(start.Add(time.Second), flowOf(1), service)
		s.SetOwner(start, flowOf(1), address(2))
		assert.Equal(t, s.Deny(start, flowOf(1), address(2), true), passthrough.SomeDeny, "the owner was found")
	}
}

// Guards against a search for each packet of a caller that sends many, and against unlimited searches in total after a
// loss of all records.
func TestSteererLimitsSearches(t *testing.T) {
	s := steerer(100)
	assert.Equal(t, len(s.Search(start, flowOf(1), service)) > 0, true)
	assert.Equal(t, len(s.Search(start.Add(100*time.Millisecond), flowOf(1), service)), 0)
	assert.Equal(t, len(s.Search(start.Add(200*time.Millisecond), flowOf(1), service)) > 0, true)
	visits := 0
	for i := range 1000 {
		for _, g := range s.Search(start.Add(200*time.Millisecond), flowOf(i+2), service) {
			visits += len(g)
		}
	}
	assert.Assert(t, visits > 0 && visits <= 20_000, "%d visits at one time", visits)
}

// Guards against a recorded owner that is lost when agents join or leave.
func TestSteererSetOwner(t *testing.T) {
	s := steerer(4)
	s.SetOwner(start, flowOf(1), address(3))
	s.SetViews(views(5))
	a, ok := s.Owner(start, flowOf(1))
	assert.Assert(t, ok)
	assert.Equal(t, a, address(3))
	s.Sweep(start.Add(time.Minute), 30*time.Second)
	_, ok = s.Owner(start, flowOf(1))
	assert.Assert(t, !ok)
}

// Guards against agents that are never probed, and against probes of agents that have just reported.
func TestSteererDueProbes(t *testing.T) {
	s := steerer(2)
	assert.Equal(t, len(s.DueProbes(start.Add(100*time.Millisecond))), 0)
	now := start.Add(600 * time.Millisecond)
	assert.Equal(t, len(s.DueProbes(now)), 2)
	assert.Equal(t, len(s.DueProbes(now.Add(50*time.Millisecond))), 0)
	s.SetLoad(now.Add(60*time.Millisecond), address(0), serviceID, passthrough.Load{Slots: 2, AcceptsFlows: true})
	assert.DeepEqual(t, s.DueProbes(now.Add(150*time.Millisecond)), []netip.AddrPort{address(1)}, cmpAddrPort)
}

// Guards against an allocation for each packet of an open flow.
func TestSteererOwnerAllocatesNothing(t *testing.T) {
	s := steerer(4)
	_, _ = s.Place(start, openingSegment(1, 0), service)
	f := flowOf(1)
	assert.Equal(t, testing.AllocsPerRun(100, func() { s.Owner(start, f) }), 0.0)
}

// Guards against callers that get errors while other backend servers could answer, and against a false alarm at half of
// the agents that overloads the rest.
func TestSteererAvoidsFailingBackends(t *testing.T) {
	s := steerer(4)
	s.SetLoad(start, address(0), serviceID, passthrough.Load{Slots: 2, FailurePercent: 40, AcceptsFlows: true})
	s.SetLoad(start, address(1), serviceID, passthrough.Load{Slots: 2, FailurePercent: 40, AcceptsFlows: true})
	count := make(map[netip.AddrPort]int)
	for i := range 16 {
		o, _ := s.Place(start, openingSegment(i, 0), service)
		count[o.Target]++
	}
	assert.Equal(t, count[address(0)]+count[address(1)], 0)
	for i := range 40 {
		o, _ := s.Place(start, openingSegment(100+i, 0), service)
		count[o.Target]++
	}
	assert.Assert(t, count[address(0)] >= 5 && count[address(1)] >= 5, "%v", count)
}

// Guards against an agent of another service that reuses an address and counts as idle.
func TestSteererRejectsLoadOfOtherService(t *testing.T) {
	s := steerer(2)
	s.SetLoad(start, address(0), serviceID, passthrough.Load{InProgress: 9, Slots: 2, AcceptsFlows: true})
	assert.Assert(t, !s.SetLoad(start, address(0), flow.ServiceIDOf("pages"), passthrough.Load{Slots: 2, AcceptsFlows: true}))
	o, _ := s.Place(start, openingSegment(1, 0), service)
	assert.Equal(t, o.Target, address(1))
}

// Guards against an agent that is dropped for good, and left out of searches, because a message of the earlier agent at its
// address is read after its entry.
func TestSteererLateLoadOfOtherService(t *testing.T) {
	other, load := flow.ServiceIDOf("pages"), passthrough.Load{Slots: 2, AcceptsFlows: true}
	s := passthrough.NewSteerer("zone-0")
	s.SetViews(views(2))
	late := start.Add(100 * time.Millisecond)
	assert.Assert(t, s.SetLoad(start, address(0), other, load) && s.SetLoad(late, address(0), other, load))
	assert.Assert(t, s.SetLoad(late, address(0), serviceID, load))
	assert.Assert(t, !s.SetLoad(late, address(0), other, load), "the address is used again")

	assert.Assert(t, s.SetLoad(start, address(1), other, load))
	assert.Assert(t, !s.SetLoad(start.Add(600*time.Millisecond), address(1), other, load), "the entry is out of date")
}

// Guards against a balancer that reaches no agent and still accepts callers' packets.
func TestSteererIsolated(t *testing.T) {
	s := steerer(2)
	assert.Assert(t, !s.Isolated(start.Add(time.Minute)))
	s.DueProbes(start.Add(time.Minute))
	now := start.Add(time.Minute + 500*time.Millisecond)
	assert.Assert(t, s.Isolated(now))
	s.SetLoad(now, address(1), serviceID, passthrough.Load{Slots: 2, AcceptsFlows: true})
	assert.Assert(t, !s.Isolated(now))
	assert.Assert(t, !passthrough.NewSteerer("zone-0").Isolated(now))
}

// Guards against a probe rate that grows with the number of agents, and against agents that the limit leaves unprobed.
func TestSteererProbeBudget(t *testing.T) {
	const agents, perSecond = 1000, 100
	s := steerer(agents)
	probed := make(map[netip.AddrPort]bool)
	n := 0
	now := start.Add(time.Minute)
	for range 20 * 15 {
		now = now.Add(50 * time.Millisecond)
		for _, a := range s.DueProbes(now) {
			n++
			probed[a] = true
			s.SetLoad(now, a, serviceID, passthrough.Load{Slots: 2, AcceptsFlows: true})
		}
	}
	assert.Assert(t, n <= 16*perSecond, "%d probes in 15 s", n)
	assert.Equal(t, len(probed), agents)
}
