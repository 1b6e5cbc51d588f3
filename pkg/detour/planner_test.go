package detour

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// network connects the planner of a balancer in zone a with agents, and drops datagrams by direction. Datagrams arrive at
// once.
type network struct {
	now      time.Time
	planner  *Planner
	table    Table
	zones    map[netip.AddrPort]string
	arrivals map[netip.AddrPort]*Arrivals
	down     map[netip.AddrPort]bool
	random   *rand.Rand
	// drops reports whether a datagram is lost between two hosts, given by address and zone.
	drops    func(from, to host) bool
	balancer host
	// onlyDown asks only hosts that have failed, as a balancer does whose probes are used up by these.
	onlyDown bool
	// asks is the number of random agents that are asked every 50 ms; 0 asks each agent every 200 ms.
	asks    int
	checks  int
	checked map[netip.AddrPort]int
	chosen  int
	links   []Action
	shares  []Share
}

type host struct {
	address netip.AddrPort
	zone    string
}

// perZone is the number of agents in each zone.
const perZone = 8

func newNetwork() *network { return newNetworkOf(perZone, "10.0.0.1:7000") }

// newNetworkOf returns a network of three zones with a number of agents in each, and a balancer.
func newNetworkOf(perZone int, balancer string) *network {
	n := &network{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 1)), checked: make(map[netip.AddrPort]int), zones: make(map[netip.AddrPort]string), arrivals: make(map[netip.AddrPort]*Arrivals), down: make(map[netip.AddrPort]bool)}
	n.balancer = host{netip.MustParseAddrPort(balancer), "a"}
	n.drops = func(_, _ host) bool { return false }
	for i, zone := range []string{"a", "b", "c"} {
		for j := range perZone {
			a := netip.MustParseAddrPort(fmt.Sprintf("10.%d.%d.%d:7000", i, 1+j/250, j%250+1))
			n.zones[a], n.arrivals[a] = zone, NewArrivals(n.now)
		}
	}
	n.planner = NewPlanner(n.balancer.address, "a", &n.table)
	n.planner.SetPeers(n.zones)
	return n
}

func (n *network) host(a netip.AddrPort) host { return host{a, n.zones[a]} }

// passes reports whether a datagram arrives by way of all hosts.
func (n *network) passes(way ...host) bool {
	for i := range way[1:] {
		if n.down[way[i+1].address] || n.drops(way[i], way[i+1]) {
			return false
		}
	}
	return true
}

// ask sends a datagram that requires an answer directly.
func (n *network) ask(a netip.AddrPort) {
	if !n.passes(n.balancer, n.host(a)) {
		return
	}
	n.arrivals[a].Add(n.now, n.balancer.address)
	if n.passes(n.host(a), n.balancer) {
		n.planner.Received(n.now, a, true)
	}
}

func (n *network) check(c Check) {
	n.checks++
	n.checked[c.To]++
	to, relay := n.host(c.To), n.host(c.Relay)
	if !n.passes(n.balancer, relay, to) {
		return
	}
	age := n.arrivals[c.To].Age(n.now, n.balancer.address)
	if n.passes(to, n.balancer) {
		n.planner.Received(n.now, c.To, false)
	}
	if n.passes(to, relay, n.balancer) {
		n.planner.Checked(n.now, c.To, c.Relay, age)
	}
}

// run asks each agent every 200 ms for a period.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(50 * time.Millisecond) {
		i := 0
		for range n.asks {
			q := n.planner.order[n.random.IntN(len(n.planner.order))]
			n.planner.Asked(n.now, q.address)
			n.ask(q.address)
		}
		for _, q := range n.planner.order {
			if i++; n.asks == 0 && (n.now.UnixMilli()/50+int64(i))%4 == 0 && (!n.onlyDown || n.down[q.address]) {
				n.planner.Asked(n.now, q.address)
				n.ask(q.address)
			}
		}
		for _, action := range n.planner.Tick(n.now) {
			switch action := action.(type) {
			case Check:
				n.check(action)
			case Trial:
				n.ask(action.To)
			case Share:
				n.shares = append(n.shares, action)
			case Chosen:
				n.chosen++
			case LinkDown, LinkUp:
				n.links = append(n.links, action)
			case Ended, ZoneUnheard:
			}
		}
	}
}

// reaches reports whether datagrams arrive at all agents that run, over the relays of the table.
func (n *network) reaches() (all bool, relayed int) {
	all = true
	for a := range n.zones {
		relay, ok := n.table.Relay(n.now, a)
		if ok {
			relayed++
		}
		switch {
		case n.down[a]:
		case ok:
			all = all && n.passes(n.balancer, n.host(relay), n.host(a))
		default:
			all = all && n.passes(n.balancer, n.host(a))
		}
	}
	return all, relayed
}

// cut drops what goes from one zone to another.
func cut(from, to string) func(f, t host) bool {
	return func(f, t host) bool { return f.zone == from && t.zone == to }
}

// Guards against detours that end a minute after the cut, and against all balancers of a zone checking the same few agents:
// the checks of a balancer are limited, so a sample of the agents stands for the others. The load is that of one entry
// host of 2,900, which reaches 8,250 agents and has a datagram for 400 of them a second.
func TestOneWayOfManyAgents(t *testing.T) {
	const agents, seconds = 2750, 8
	checked := make(map[netip.AddrPort]int)
	for i := range 2 {
		n := newNetworkOf(agents, fmt.Sprintf("10.0.0.%d:7000", i+1))
		n.asks = 20
		n.run(time.Second)
		n.drops = cut("a", "c")
		n.run(2 * time.Second)
		assert.DeepEqual(t, n.links, []Action{LinkDown{From: "a", To: "c"}})
		n.run((seconds - 2) * time.Second)
		_, relayed := n.reaches()
		assert.Assert(t, relayed > agents/4, "%d detours", relayed)
		assert.Assert(t, n.checks <= (seconds+1)*checksPerSecond, "%d checks", n.checks)
		for a, count := range n.checked {
			if count > seconds { // A sample is checked twice a second.
				checked[a]++
			}
		}
		n.drops = cut("", "")
		n.run(5 * time.Second)
		_, relayed = n.reaches()
		assert.Equal(t, relayed, 0)
		assert.DeepEqual(t, n.links[1:], []Action{LinkUp{From: "a", To: "c"}})
	}
	assert.Assert(t, len(checked) > 3*sampleSize/2, "two balancers have %d agents in their samples", len(checked))
}

// Guards against a link that counts as up for a moment whenever agents join or leave, also those of the sample.
func TestPeersChangeWhileLinkIsDown(t *testing.T) {
	for _, size := range []int{perZone, 100} {
		n := newNetworkOf(size, "10.0.0.1:7000")
		n.run(time.Second)
		n.drops = cut("a", "c")
		n.run(4 * time.Second)
		for i := range 3 {
			joins := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 77, byte(i)}), 7000)
			n.zones[joins], n.arrivals[joins] = "b", NewArrivals(n.now)
			leaves := n.planner.zones["c"].sampled[0].address
			delete(n.zones, leaves)
			n.planner.SetPeers(n.zones)
			n.run(500 * time.Millisecond)
			assert.Equal(t, len(n.planner.zones["c"].sampled), min(sampleSize, len(n.planner.zones["c"].peers)))
		}
		assert.DeepEqual(t, n.links, []Action{LinkDown{From: "a", To: "c"}})
		n.drops = cut("", "")
		n.run(1200 * time.Millisecond)
		joins := netip.MustParseAddrPort("10.2.78.1:7000")
		n.zones[joins], n.arrivals[joins] = "b", NewArrivals(n.now)
		n.planner.SetPeers(n.zones) // While the others are released.
		n.run(3 * time.Second)
		_, relayed := n.reaches()
		assert.Equal(t, relayed, 0)
	}
}

// Guards against agents out of reach because most of the sample passes while a part of their zone is still cut off.
func TestSampleIsNotTheZone(t *testing.T) {
	const agents = 400
	for _, part := range []byte{2, 4} {
		isCut := func(a netip.AddrPort) bool { return a.Addr().As4()[3]%part == 0 }
		n := newNetworkOf(agents, "10.0.0.1:7000")
		n.asks = 100
		n.run(time.Second)
		n.drops = cut("a", "c")
		n.run(5 * time.Second)
		n.drops = func(f, t host) bool { return cut("a", "c")(f, t) && isCut(t.address) }
		for range 40 {
			n.run(500 * time.Millisecond)
			out := 0
			for a, zone := range n.zones {
				if _, relayed := n.table.Relay(n.now, a); zone == "c" && isCut(a) && !relayed {
					out++
				}
			}
			assert.Assert(t, out <= sampleSize/2, "one of %d is cut off: %d out of reach", part, out)
		}
		all, _ := n.reaches()
		assert.Assert(t, all)
		assert.Assert(t, n.checks <= 26*checksPerSecond, "%d checks", n.checks)
	}
}

// The load is that of one entry host whose kept flows belong to agents in a zone that its packets no longer reach.
func TestOneWay(t *testing.T) {
	n := newNetwork()
	n.run(2 * time.Second)
	assert.Equal(t, n.checks, 0)
	n.drops = cut("a", "c")
	n.run(800 * time.Millisecond)
	all, relayed := n.reaches()
	assert.Assert(t, all)
	assert.Equal(t, relayed, perZone)
	assert.DeepEqual(t, n.links, []Action{LinkDown{From: "a", To: "c"}})
	assert.Equal(t, len(n.shares[0].To), perZone)
	n.run(5 * time.Second)
	all, _ = n.reaches()
	assert.Assert(t, all)
	assert.Equal(t, n.chosen, perZone) // No relay is changed without need.
	n.drops = cut("", "")
	n.run(2 * time.Second)
	_, relayed = n.reaches()
	assert.Equal(t, relayed, 0)
	assert.DeepEqual(t, n.links[1:], []Action{LinkUp{From: "a", To: "c"}})
}

// Guards against relays for packets that arrive although no answer does: the agents have to answer through relays, and
// what is sent to them goes directly.
func TestOneWayBack(t *testing.T) {
	n := newNetwork()
	n.run(time.Second)
	n.drops = cut("c", "a")
	n.run(1500 * time.Millisecond)
	_, relayed := n.reaches()
	assert.Equal(t, relayed, 0)
	assert.Equal(t, n.chosen, perZone)
	assert.DeepEqual(t, n.links, []Action{LinkDown{From: "c", To: "a"}})
	n.drops = cut("", "")
	n.run(2 * time.Second)
	assert.DeepEqual(t, n.links[1:], []Action{LinkUp{From: "c", To: "a"}})
}

// Guards against callers whose kept flows belong to agents in other zones, when nothing that their own zone sends reaches
// these: a balancer there serves them. If the other zones have failed instead, no agent is checked from there.
func TestUnheardZone(t *testing.T) {
	for _, failed := range []bool{false, true} {
		n := newNetwork()
		n.run(time.Second)
		n.drops = func(f, t host) bool { return f.zone == "a" && t.zone != "a" }
		if failed {
			for a, zone := range n.zones {
				n.down[a] = zone != "a"
			}
		} else {
			n.planner.CheckedFromOutside(n.now.Add(300*time.Millisecond), n.planner.order[0].address)
		}
		n.run(time.Second)
		n.planner.Received(n.now, n.planner.order[perZone].address, false) // An announcement is no answer.
		n.run(50 * time.Millisecond)
		assert.Equal(t, n.planner.Unheard(), !failed)
		clear(n.down)
		n.drops = cut("", "")
		n.run(300 * time.Millisecond)
		assert.Assert(t, !n.planner.Unheard())
	}
}

// Guards against callers that are sent away from the only zone that still works, because one of its agents was checked
// from another zone shortly before these were cut off in both directions.
func TestCheckBeforeCutShowsNothing(t *testing.T) {
	n := newNetwork()
	n.run(time.Second)
	n.planner.CheckedFromOutside(n.now, n.planner.order[0].address)
	n.run(200 * time.Millisecond)
	n.drops = func(f, t host) bool { return (f.zone == "a") != (t.zone == "a") }
	for range 40 {
		n.run(100 * time.Millisecond)
		assert.Assert(t, !n.planner.Unheard())
	}
}

// Guards against callers that are sent away because probes go to failed hosts only: a trial finds the others.
func TestZoneIsHeardBesideFailedHosts(t *testing.T) {
	n := newNetwork()
	n.run(time.Second)
	for i, q := range n.planner.order {
		n.down[q.address] = q.zone != "a" && i%perZone > 0
	}
	n.onlyDown = true
	for range 20 {
		n.planner.CheckedFromOutside(n.now, n.planner.order[0].address)
		n.run(100 * time.Millisecond)
		assert.Assert(t, !n.planner.Unheard())
	}
}

func TestBridgeCut(t *testing.T) {
	n := newNetwork()
	n.run(time.Second)
	n.drops = func(f, t host) bool { return cut("a", "c")(f, t) || cut("c", "a")(f, t) }
	n.run(1500 * time.Millisecond)
	all, relayed := n.reaches()
	assert.Assert(t, all)
	assert.Equal(t, relayed, perZone)
	assert.DeepEqual(t, n.links, []Action{LinkDown{From: "a", To: "c"}, LinkDown{From: "c", To: "a"}})
}

// Guards against a zone that gets detours because some of its hosts are cut off: the others answer.
func TestNodeCut(t *testing.T) {
	const count = lostPeers + 1
	n := newNetwork()
	n.run(time.Second)
	n.drops = func(f, t host) bool {
		return f == n.balancer && t.zone == "c" && t.address.Addr().As4()[3] <= count
	}
	n.run(2 * time.Second)
	all, relayed := n.reaches()
	assert.Assert(t, all)
	assert.Equal(t, relayed, count)
	assert.Equal(t, len(n.links), 0)
}

// Guards against detours around a host that has failed or is paused, and around all hosts when the own one is cut off.
func TestNoDetourAroundFailedHosts(t *testing.T) {
	n := newNetwork()
	n.run(time.Second)
	for a, zone := range n.zones {
		n.down[a] = zone == "c"
	}
	n.run(5 * time.Second)
	assert.Equal(t, n.chosen, 0)
	assert.Assert(t, n.checks < 5*perZone*maxChecks, "%d checks", n.checks)
	clear(n.down)
	n.run(time.Second)
	assert.Equal(t, n.chosen, 0)
	n.drops = func(f, t host) bool { return f == n.balancer || t == n.balancer }
	n.run(5 * time.Second)
	assert.Equal(t, n.chosen, 0)
}

// Guards against detours on links that lose some packets: with 5% lost in each direction, a minute needs none.
func TestLossy(t *testing.T) {
	for seed := range uint64(5) {
		n := newNetwork()
		r := rand.New(rand.NewPCG(seed, 1))
		n.drops = func(f, t host) bool { return f.zone != t.zone && r.Float64() < 0.05 }
		n.run(time.Minute)
		assert.Assert(t, n.chosen <= 1, "seed %d: %d detours", seed, n.chosen)
		assert.Equal(t, len(n.links), 0)
	}
}

// Guards against a detour that ends and starts with each trial, on a link that passes half of the packets.
func TestHalfLost(t *testing.T) {
	n := newNetwork()
	r := rand.New(rand.NewPCG(1, 1))
	n.drops = func(f, t host) bool { return f.zone == "a" && t.zone == "c" && r.Float64() < 0.5 }
	n.run(30 * time.Second)
	assert.Assert(t, n.chosen < 6*perZone, "%d changes", n.chosen)
}

// Guards against a detour that stays with a relay that has failed.
func TestRelayFails(t *testing.T) {
	n := newNetwork()
	n.run(time.Second)
	n.drops = cut("a", "c")
	n.run(time.Second)
	for a := range n.zones {
		if relay, ok := n.table.Relay(n.now, a); ok {
			n.down[relay] = true
			break
		}
	}
	n.run(600 * time.Millisecond)
	all, _ := n.reaches()
	assert.Assert(t, all)
}

func TestRelaysShareTheLoad(t *testing.T) {
	n := newNetwork()
	n.run(time.Second)
	n.drops = cut("a", "c")
	n.run(time.Second)
	load := make(map[netip.AddrPort]int)
	for a := range n.zones {
		if relay, ok := n.table.Relay(n.now, a); ok {
			assert.Equal(t, n.zones[relay], "b")
			load[relay]++
		}
	}
	assert.Assert(t, len(load) >= perZone/2, "%d relays for %d agents", len(load), perZone)
}

func TestLimiter(t *testing.T) {
	l := Limiter{Rate: 10}
	now, allowed := time.Unix(1000, 0), 0
	for range 200 {
		if l.Allow(now) {
			allowed++
		}
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, allowed >= 20 && allowed <= 30, "%d", allowed)
}

func TestTableExpires(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	to, relay := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	table.Set(to, relay, now.Add(time.Second))
	got, ok := table.Relay(now, to)
	assert.Assert(t, ok)
	assert.Equal(t, got, relay)
	_, ok = table.Relay(now.Add(2*time.Second), to)
	assert.Assert(t, !ok)
	table.Sweep(now.Add(2 * time.Second))
	assert.Equal(t, table.Len(), 0)
}
