package agent

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	_ "github.com/bramleymast/bramleymast/internal/fixedseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/placement"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// cluster holds the steering and state of all agents of a service, without sockets.
type cluster struct {
	view   *flow.View
	agents map[flow.ShortID]*steering
	states map[flow.ShortID]agentState
}

func newCluster(n int) *cluster {
	c := &cluster{agents: map[flow.ShortID]*steering{}, states: map[flow.ShortID]agentState{}}
	members := make([]flow.Member, 0, n)
	for i := range n {
		id := fmt.Sprintf("agent-%d", i)
		members = append(members, flow.NewMember(id, netip.AddrPort{}, "a", true, true))
		s := &steering{tag: newConnTag(id, 1), self: flow.ShortIDOf(id)}
		c.agents[s.self] = s
	}
	c.view = flow.NewView(1, members)
	for id := range c.agents {
		c.states[id] = agentState{view: c.view, acceptsFlows: true, belowLimit: true, load: placement.Load{Slots: 2}}
	}
	return c
}

func (c *cluster) set(id flow.ShortID, change func(*agentState)) {
	s := c.states[id]
	change(&s)
	c.states[id] = s
}

// send passes a packet from agent to agent until one delivers it, and returns that agent, or 0 if it was dropped.
func (c *cluster) send(now time.Time, from flow.ShortID, caller netip.AddrPort, payload []byte) (owner flow.ShortID, hops int) {
	d := wire.Datagram{Service: 1, Caller: caller, Opening: wire.IsInitial(payload), Payload: payload}
	for current := from; ; hops++ {
		switch dec := c.agents[current].decide(now, &d, c.states[current]); dec.action {
		case actionDeliver:
			return current, hops
		case actionDrop:
			return 0, hops
		case actionPass:
			if !dec.markVisited(current, &d.Visited) {
				return 0, hops
			}
			current = dec.next.ShortID()
		}
	}
}

func initialPacket(connID byte) []byte {
	return []byte{0xc0, 0, 0, 0, 1, 8, connID, 0, 0, 0, 0, 0, 0, 0, 0}
}

// shortHeaderPacket returns a packet of an established connection of an agent.
func shortHeaderPacket(s *steering) []byte {
	return append(append([]byte{0x40}, s.tag[:]...), make([]byte, 20)...)
}

func callerAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i))
}

// Guards against two agents that accept opening packets of one flow, and against packets of an established flow that do
// not reach its owner, for any receiving agents and loads.
func TestPacketsOfOneFlowReachOneAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 7}).Draw(t, "agents")
		c := newCluster(n)
		members := c.view.Members()
		pick := func(label string) flow.ShortID { return members[rapid.IntRange(0, n-1).Draw(t, label)].ShortID() }
		report := func() {
			for i := range members {
				id := members[i].ShortID()
				load := placement.Load{InProgress: uint32(rapid.IntRange(0, 2).Draw(t, "load")), Slots: 2}
				c.set(id, func(s *agentState) { s.load = load })
				for _, other := range c.agents {
					if rapid.Bool().Draw(t, "known") {
						other.placer.SetLoad(testStart, id, load)
					}
				}
			}
		}
		report()
		caller := callerAddr(rapid.IntRange(1, 65535).Draw(t, "caller"))
		owner, _ := c.send(testStart, pick("first"), caller, initialPacket(1))
		assert.Assert(t, owner != 0)
		for range 4 {
			report()
			again, _ := c.send(testStart.Add(100*time.Millisecond), pick("again"), caller, initialPacket(1))
			assert.Equal(t, again, owner)
		}
		got, hops := c.send(testStart, pick("later"), caller, shortHeaderPacket(c.agents[owner]))
		assert.Equal(t, got, owner)
		assert.Assert(t, hops < n)
	})
}

// Guards against new flows at an agent that is draining, at its connection limit or in a closed zone, and against
// established flows that a drain or the limit breaks.
func TestUnavailableAgentsAcceptNoFlows(t *testing.T) {
	c := newCluster(3)
	caller := callerAddr(1)
	owner, _ := c.send(testStart, c.view.Members()[0].ShortID(), caller, initialPacket(1))
	for name, change := range map[string]func(*agentState){
		"draining": func(s *agentState) { s.acceptsFlows = false },
		"full":     func(s *agentState) { s.belowLimit = false },
	} {
		c.set(owner, change)
		for i := range 50 {
			got, _ := c.send(testStart, owner, callerAddr(1000+i), initialPacket(byte(i)))
			assert.Assert(t, got != owner && got != 0, name)
		}
		got, _ := c.send(testStart, owner, caller, shortHeaderPacket(c.agents[owner]))
		assert.Equal(t, got, owner, name)
		c.set(owner, func(s *agentState) { s.acceptsFlows, s.belowLimit = true, true })
	}
	c.set(owner, func(s *agentState) { s.acceptsFlows = false })
	got, _ := c.send(testStart, owner, caller, initialPacket(1))
	assert.Equal(t, got, owner, "a retransmitted opening packet of an accepted flow")
	got, _ = c.send(testStart, owner, caller, initialPacket(2))
	assert.Assert(t, got != owner, "another connection of a known caller")
	c.set(owner, func(s *agentState) { s.zoneClosed = true })
	got, _ = c.send(testStart, owner, caller, shortHeaderPacket(c.agents[owner]))
	assert.Equal(t, got, flow.ShortID(0))
	for id := range c.agents {
		c.set(id, func(s *agentState) { s.zoneClosed, s.belowLimit = false, false })
	}
	got, _ = c.send(testStart, owner, callerAddr(5000), initialPacket(9))
	assert.Equal(t, got, flow.ShortID(0), "accepted above the connection limit")
}

// Guards against lost packets of other agents' flows: a balancer with an outdated zone state still sends them to an
// agent in the closed zone.
func TestAgentInClosedZonePassesOnFlowsOfOthers(t *testing.T) {
	c := newCluster(3)
	closed := c.view.Members()[0].ShortID()
	c.set(closed, func(s *agentState) { s.acceptsFlows, s.zoneClosed = false, true })
	for i := range 50 {
		owner, _ := c.send(testStart, closed, callerAddr(i+1), initialPacket(byte(i)))
		assert.Assert(t, owner != closed && owner != 0, "opening packet %d", i)
		got, _ := c.send(testStart, closed, callerAddr(i+1), shortHeaderPacket(c.agents[owner]))
		assert.Equal(t, got, owner, "continuing packet %d", i)
	}
}

// Guards against a dropped flow when only the agent that received it first is below its connection limit.
func TestFlowReturnsToTheAgentWithCapacity(t *testing.T) {
	c := newCluster(3)
	for id := range c.agents {
		for other := range c.agents {
			c.set(other, func(s *agentState) { s.belowLimit = other == id })
		}
		for i := range 30 {
			got, _ := c.send(testStart, id, callerAddr(int(id)%1000*30+i+1), initialPacket(1))
			assert.Equal(t, got, id)
		}
	}
}

// Guards against packets that circulate forever: each visits at most 8 agents.
func TestVisitedListIsBounded(t *testing.T) {
	c := newCluster(20)
	unknownAgent := &steering{tag: newConnTag("gone", 1)}
	_, hops := c.send(testStart, c.view.Members()[0].ShortID(), callerAddr(1), shortHeaderPacket(unknownAgent))
	assert.Equal(t, hops, flow.MaxVisited)
}

// Guards against answers that are sent on through a dead balancer or one that does not reach the caller, and against
// rotation while the caller responds.
func TestReturnPathRotates(t *testing.T) {
	balancers := []netip.AddrPort{callerAddr(1), callerAddr(2), callerAddr(3)}
	rb := &returnBalancers{usable: balancers}
	caller := callerAddr(9)
	var table flowTable
	table.insert(testStart, caller, flowOrigin{balancer: balancers[0]}, 1)
	via := func(after time.Duration, rb *returnBalancers) netip.AddrPort {
		r, ok := table.returnPath(testStart.Add(after), caller, rb)
		assert.Assert(t, ok)
		return r.balancer
	}
	assert.Equal(t, via(0, rb), balancers[0])
	assert.Equal(t, via(199*time.Millisecond, rb), balancers[0])
	assert.Equal(t, via(200*time.Millisecond, rb), balancers[1])
	assert.Equal(t, via(399*time.Millisecond, rb), balancers[1])
	assert.Equal(t, via(400*time.Millisecond, rb), balancers[2])
	table.recordOwned(testStart, caller, flowOrigin{balancer: balancers[0]})
	assert.Equal(t, via(time.Hour, rb), balancers[0], "an idle caller must not cause a rotation")
	rb = &returnBalancers{usable: balancers[1:], unusable: map[netip.AddrPort]struct{}{balancers[0]: {}}}
	assert.Equal(t, via(time.Hour+49*time.Millisecond, rb), balancers[0], "a packet through a balancer takes precedence over the board")
	assert.Equal(t, via(time.Hour+50*time.Millisecond, rb), balancers[1])
	table.recordOwned(testStart, caller, flowOrigin{balancer: balancers[0]})
	assert.Equal(t, via(time.Hour+51*time.Millisecond, rb), balancers[0], "a wrong liveness on the board must not stall a flow")
}

// Guards against a burst of flows that goes to a few agents because the reported loads are older than the burst.
func TestBurstOfFlowsSpreadsEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 7}).Draw(t, "agents")
		c := newCluster(n)
		members := c.view.Members()
		for i := range members {
			c.set(members[i].ShortID(), func(s *agentState) { s.load.Slots = 7 })
			for _, other := range c.agents {
				other.placer.SetLoad(testStart, members[i].ShortID(), placement.Load{Slots: 7})
			}
		}
		flows := rapid.IntRange(n, 5*n).Draw(t, "flows")
		offset := rapid.IntRange(1, 60000).Draw(t, "first caller")
		counts := make(map[flow.ShortID]int)
		for i := range flows {
			at := members[rapid.IntRange(0, n-1).Draw(t, "at")].ShortID()
			owner, _ := c.send(testStart, at, callerAddr(offset+i), initialPacket(byte(i)))
			assert.Assert(t, owner != 0)
			counts[owner]++
			c.set(owner, func(s *agentState) { s.load.InProgress++ })
		}
		for i := range members {
			got := counts[members[i].ShortID()]
			assert.Assert(t, got <= flows/n+1 && got >= flows/n-1, "%d of %d flows at one of %d agents", got, flows, n)
		}
	})
}
