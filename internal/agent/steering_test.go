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

// cluster is the steering of all agents of a service, without sockets.
type cluster struct {
	view   *flow.View
	agents map[flow.ShortID]*steering
	at     map[flow.ShortID]situation
}

func newCluster(n int) *cluster {
	c := &cluster{agents: map[flow.ShortID]*steering{}, at: map[flow.ShortID]situation{}}
	members := make([]flow.Member, 0, n)
	for i := range n {
		id := fmt.Sprintf("agent-%d", i)
		members = append(members, flow.NewMember(id, netip.AddrPort{}, "a", true, true))
		s := &steering{tag: newConnTag(id, 1), self: flow.ShortIDOf(id)}
		c.agents[s.self] = s
	}
	c.view = flow.NewView(1, members)
	for id := range c.agents {
		c.at[id] = situation{view: c.view, opens: true, room: true, load: placement.Load{Slots: 2}}
	}
	return c
}

func (c *cluster) set(id flow.ShortID, change func(*situation)) {
	s := c.at[id]
	change(&s)
	c.at[id] = s
}

// send follows a packet from an agent to the one that takes it; 0 means that it was dropped.
func (c *cluster) send(now time.Time, from flow.ShortID, caller netip.AddrPort, payload []byte) (owner flow.ShortID, hops int) {
	d := wire.Datagram{Service: 1, Caller: caller, Opening: wire.IsInitial(payload), Payload: payload}
	for at := from; ; hops++ {
		switch v := c.agents[at].decide(now, &d, c.at[at]); v.action {
		case actionDeliver:
			return at, hops
		case actionDrop:
			return 0, hops
		case actionPass:
			if !v.hop(at, &d.Visited) {
				return 0, hops
			}
			at = v.next.ShortID()
		}
	}
}

func initial(connID byte) []byte { return []byte{0xc0, 0, 0, 0, 1, 8, connID, 0, 0, 0, 0, 0, 0, 0, 0} }

// short is a packet of an established connection of an agent.
func short(s *steering) []byte { return append(append([]byte{0x40}, s.tag[:]...), make([]byte, 20)...) }

func callerNo(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i))
}

// Guards against opening packets of one flow that reach two agents, and against packets of an established
// flow that do not find its owner, whichever agents receive them and whatever their loads are.
func TestPacketsOfOneFlowMeetAtOneAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 7}).Draw(t, "agents")
		c := newCluster(n)
		members := c.view.Members()
		pick := func(label string) flow.ShortID { return members[rapid.IntRange(0, n-1).Draw(t, label)].ShortID() }
		report := func() {
			for i := range members {
				id := members[i].ShortID()
				load := placement.Load{InProgress: uint32(rapid.IntRange(0, 2).Draw(t, "load")), Slots: 2}
				c.set(id, func(s *situation) { s.load = load })
				for _, other := range c.agents {
					if rapid.Bool().Draw(t, "known") {
						other.placer.SetLoad(testStart, id, load)
					}
				}
			}
		}
		report()
		caller := callerNo(rapid.IntRange(1, 65535).Draw(t, "caller"))
		owner, _ := c.send(testStart, pick("first"), caller, initial(1))
		assert.Assert(t, owner != 0)
		for range 4 {
			report()
			again, _ := c.send(testStart.Add(100*time.Millisecond), pick("again"), caller, initial(1))
			assert.Equal(t, again, owner)
		}
		got, hops := c.send(testStart, pick("later"), caller, short(c.agents[owner]))
		assert.Equal(t, got, owner)
		assert.Assert(t, hops < n)
	})
}

// Guards against new flows at an agent that drains, whose zone is closed or whose connections are all used,
// while its established flows go on.
func TestUnavailableAgentsTakeNoFlows(t *testing.T) {
	c := newCluster(3)
	caller := callerNo(1)
	owner, _ := c.send(testStart, c.view.Members()[0].ShortID(), caller, initial(1))
	for name, change := range map[string]func(*situation){
		"draining": func(s *situation) { s.opens = false },
		"full":     func(s *situation) { s.room = false },
	} {
		c.set(owner, change)
		for i := range 50 {
			got, _ := c.send(testStart, owner, callerNo(1000+i), initial(byte(i)))
			assert.Assert(t, got != owner && got != 0, name)
		}
		got, _ := c.send(testStart, owner, caller, short(c.agents[owner]))
		assert.Equal(t, got, owner, name)
		c.set(owner, func(s *situation) { s.opens, s.room = true, true })
	}
	c.set(owner, func(s *situation) { s.opens = false })
	got, _ := c.send(testStart, owner, caller, initial(1))
	assert.Equal(t, got, owner, "a repeated opening packet of an accepted flow")
	got, _ = c.send(testStart, owner, caller, initial(2))
	assert.Assert(t, got != owner, "a further connection of a known caller")
	c.set(owner, func(s *situation) { s.closed = true })
	got, _ = c.send(testStart, owner, caller, short(c.agents[owner]))
	assert.Equal(t, got, flow.ShortID(0))
	for id := range c.agents {
		c.set(id, func(s *situation) { s.closed, s.room = false, false })
	}
	got, _ = c.send(testStart, owner, callerNo(5000), initial(9))
	assert.Equal(t, got, flow.ShortID(0), "accepted over the connection limit")
}

// Guards against flows of other agents that get no packets because a balancer, which has heard late that a zone is
// out, takes an agent there for one that may hold them.
func TestClosedAgentPassesOnFlowsOfOthers(t *testing.T) {
	c := newCluster(3)
	closed := c.view.Members()[0].ShortID()
	c.set(closed, func(s *situation) { s.opens, s.closed = false, true })
	for i := range 50 {
		owner, _ := c.send(testStart, closed, callerNo(i+1), initial(byte(i)))
		assert.Assert(t, owner != closed && owner != 0, "opening packet %d", i)
		got, _ := c.send(testStart, closed, callerNo(i+1), short(c.agents[owner]))
		assert.Equal(t, got, owner, "continuing packet %d", i)
	}
}

// Guards against a flow that is dropped although the agent that received it has the only room.
func TestFlowComesBackToTheAgentWithRoom(t *testing.T) {
	c := newCluster(3)
	for id := range c.agents {
		for other := range c.agents {
			c.set(other, func(s *situation) { s.room = other == id })
		}
		for i := range 30 {
			got, _ := c.send(testStart, id, callerNo(int(id)%1000*30+i+1), initial(1))
			assert.Equal(t, got, id)
		}
	}
}

// Guards against packets that circulate for ever: at most 8 agents see one.
func TestTriedListIsBounded(t *testing.T) {
	c := newCluster(20)
	stranger := &steering{tag: newConnTag("gone", 1)}
	_, hops := c.send(testStart, c.view.Members()[0].ShortID(), callerNo(1), short(stranger))
	assert.Equal(t, hops, flow.MaxVisited)
}

// Guards against answers that go on through a dead balancer or one that the caller does not hear, and against
// needless changes while the caller answers.
func TestReturnPathRotates(t *testing.T) {
	b := []netip.AddrPort{callerNo(1), callerNo(2), callerNo(3)}
	w := &ways{live: b}
	caller := callerNo(9)
	var table flowTable
	table.accept(testStart, caller, origin{balancer: b[0]}, 1)
	via := func(after time.Duration, w *ways) netip.AddrPort {
		r, ok := table.route(testStart.Add(after), caller, w)
		assert.Assert(t, ok)
		return r.balancer
	}
	assert.Equal(t, via(0, w), b[0])
	assert.Equal(t, via(199*time.Millisecond, w), b[0])
	assert.Equal(t, via(200*time.Millisecond, w), b[1])
	assert.Equal(t, via(399*time.Millisecond, w), b[1])
	assert.Equal(t, via(400*time.Millisecond, w), b[2])
	table.adopt(testStart, caller, origin{balancer: b[0]})
	assert.Equal(t, via(time.Hour, w), b[0], "a pause without packets is no silence")
	w = &ways{live: b[1:], lost: map[netip.AddrPort]struct{}{b[0]: {}}}
	assert.Equal(t, via(time.Hour+49*time.Millisecond, w), b[0], "a packet through a balancer outweighs a verdict")
	assert.Equal(t, via(time.Hour+50*time.Millisecond, w), b[1])
	table.adopt(testStart, caller, origin{balancer: b[0]})
	assert.Equal(t, via(time.Hour+51*time.Millisecond, w), b[0], "a wrong verdict must not stall a flow")
}

// Guards against a burst of flows that piles up at a few agents because reported loads are older than the burst.
func TestBurstOfFlowsSpreadsEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 7}).Draw(t, "agents")
		c := newCluster(n)
		members := c.view.Members()
		for i := range members {
			c.set(members[i].ShortID(), func(s *situation) { s.load.Slots = 7 })
			for _, other := range c.agents {
				other.placer.SetLoad(testStart, members[i].ShortID(), placement.Load{Slots: 7})
			}
		}
		flows := rapid.IntRange(n, 5*n).Draw(t, "flows")
		offset := rapid.IntRange(1, 60000).Draw(t, "first caller")
		counts := make(map[flow.ShortID]int)
		for i := range flows {
			at := members[rapid.IntRange(0, n-1).Draw(t, "at")].ShortID()
			owner, _ := c.send(testStart, at, callerNo(offset+i), initial(byte(i)))
			assert.Assert(t, owner != 0)
			counts[owner]++
			c.set(owner, func(s *situation) { s.load.InProgress++ })
		}
		for i := range members {
			got := counts[members[i].ShortID()]
			assert.Assert(t, got <= flows/n+1 && got >= flows/n-1, "%d of %d flows at one of %d agents", got, flows, n)
		}
	})
}
