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

// views returns a service with agents in two zones by turns, of which the listed ones take no flows.
func views(n int, closed ...int) map[string]*flow.View {
	ms := make([]flow.Member, 0, n)
	for i := range n {
		opens := true
		for _, c := range closed {
			opens = opens && c != i
		}
		ms = append(ms, flow.NewMember(fmt.Sprintf("agent-%d", i), address(i), fmt.Sprintf("zone-%d", i%2), opens, true))
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

// Guards against flows to agents that leave, whose zone is out or that say that they take none.
func TestSteererOpensAtOpenAgents(t *testing.T) {
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
			o, ok := s.Place(start, opening(i, 0), service)
			if ok != (len(bad) < 6) {
				t.Fatalf("opened %v with %d agents closed", ok, len(bad))
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
		o, ok := s.Place(start, opening(i, 0), service)
		assert.Assert(t, ok)
		count[o.Target]++
	}
	for a, n := range count {
		assert.Assert(t, n >= 9 && n <= 11, "%d flows to %s", n, a)
	}
}

// Guards against a busy agent that gets flows while another is idle, also in another zone.
func TestSteererPrefersShorterWait(t *testing.T) {
	s := steerer(3)
	s.SetLoad(start, address(0), serviceID, passthrough.Load{InProgress: 4, Slots: 2, AcceptsFlows: true})
	s.SetLoad(start, address(2), serviceID, passthrough.Load{InProgress: 3, Slots: 2, AcceptsFlows: true})
	o, _ := s.Place(start, opening(1, 0), service)
	assert.Equal(t, o.Target, address(1))
	assert.DeepEqual(t, o.Alternatives.All(), []netip.AddrPort{address(2), address(0)}, cmpAddrPort)
}

// Guards against flows to an agent that has stopped answering, and against copies that follow the first packet there.
func TestSteererAvoidsSilentAgent(t *testing.T) {
	s := steerer(2)
	first, _ := s.Place(start, opening(1, 0), service)
	now := start.Add(200 * time.Millisecond)
	other := address(0)
	if first.Target == other {
		other = address(1)
	}
	s.SetLoad(now, other, serviceID, passthrough.Load{Slots: 2, AcceptsFlows: true})
	again, _ := s.Place(now, opening(1, 1), service)
	assert.Equal(t, again.Target, other)
	s.SetLoad(now, first.Target, serviceID, passthrough.Load{Slots: 2, AcceptsFlows: true})
	back, _ := s.Place(now, opening(3, 0), service)
	assert.Equal(t, back.Target, first.Target)
}

// Guards against a copy of an opening packet that opens a second flow while the first agent answers.
func TestSteererKeepsCopiesTogether(t *testing.T) {
	s := steerer(6)
	first, _ := s.Place(start, opening(1, 0), service)
	s.SetLoad(start, first.Target, serviceID, passthrough.Load{InProgress: 9, Slots: 2, AcceptsFlows: true})
	again, _ := s.Place(start.Add(200*time.Millisecond), opening(1, 1), service)
	assert.Equal(t, again.Target, first.Target)
}

// Guards against a flow that two balancers look for at agents that do not know it.
func TestSteererFindsDirectoryFirst(t *testing.T) {
	o, _ := steerer(12).Place(start, opening(1, 0), service)
	p := steerer(12).OwnerCandidates(flowOf(1), service)
	assert.DeepEqual(t, p.All()[:2], o.Directory.All(), cmpAddrPort)
	assert.Equal(t, p.Len(), passthrough.MaxPath)
}

// Guards against a learned owner that is forgotten when agents come and go.
func TestSteererLearnsOwner(t *testing.T) {
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

// Guards against agents that are never asked for their load, and against probes of agents with news.
func TestSteererProbes(t *testing.T) {
	s := steerer(2)
	assert.Equal(t, len(s.DueProbes(start.Add(100*time.Millisecond))), 0)
	now := start.Add(600 * time.Millisecond)
	assert.Equal(t, len(s.DueProbes(now)), 2)
	assert.Equal(t, len(s.DueProbes(now.Add(50*time.Millisecond))), 0)
	s.SetLoad(now.Add(60*time.Millisecond), address(0), serviceID, passthrough.Load{Slots: 2, AcceptsFlows: true})
	assert.DeepEqual(t, s.DueProbes(now.Add(150*time.Millisecond)), []netip.AddrPort{address(1)}, cmpAddrPort)
}

// Guards against memory that each packet of an open flow costs.
func TestSteererContinueAllocatesNothing(t *testing.T) {
	s := steerer(4)
	_, _ = s.Place(start, opening(1, 0), service)
	f := flowOf(1)
	assert.Equal(t, testing.AllocsPerRun(100, func() { s.Owner(start, f) }), 0.0)
}

// Guards against callers that get errors while other backend servers could answer, and against a false alarm at half
// of the agents that overloads the others.
func TestSteererAvoidsFailingBackends(t *testing.T) {
	s := steerer(4)
	s.SetLoad(start, address(0), serviceID, passthrough.Load{Slots: 2, FailurePercent: 40, AcceptsFlows: true})
	s.SetLoad(start, address(1), serviceID, passthrough.Load{Slots: 2, FailurePercent: 40, AcceptsFlows: true})
	count := make(map[netip.AddrPort]int)
	for i := range 16 {
		o, _ := s.Place(start, opening(i, 0), service)
		count[o.Target]++
	}
	assert.Equal(t, count[address(0)]+count[address(1)], 0)
	for i := range 40 {
		o, _ := s.Place(start, opening(100+i, 0), service)
		count[o.Target]++
	}
	assert.Assert(t, count[address(0)] >= 5 && count[address(1)] >= 5, "%v", count)
}

// Guards against an agent of another service, at an address that is used again, that counts as idle.
func TestSteererHearsOtherService(t *testing.T) {
	s := steerer(2)
	s.SetLoad(start, address(0), serviceID, passthrough.Load{InProgress: 9, Slots: 2, AcceptsFlows: true})
	assert.Assert(t, !s.SetLoad(start, address(0), flow.ServiceIDOf("pages"), passthrough.Load{Slots: 2, AcceptsFlows: true}))
	o, _ := s.Place(start, opening(1, 0), service)
	assert.Equal(t, o.Target, address(1))
}

// Guards against a balancer that is cut off from all agents and still takes callers' packets.
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

// Guards against probes that grow with the number of agents, and against agents that are never probed because of it.
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
