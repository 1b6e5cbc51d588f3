package passthrough_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/route"
)

// copiedFlow is a flow at its owner that receives copies of the opening packet: from the caller, and late ones that other
// agents had held or passed on.
type copiedFlow struct {
	ad         *passthrough.Admitter
	now        time.Time
	priorities bool
	delivered  []passthrough.Segment // copies that the backend server has not handled yet
	next       uint32                // the next sequence number of the backend server; 0 until it accepts the flow
}

func newCopiedFlow(priorities bool) *copiedFlow {
	c := &copiedFlow{ad: passthrough.NewAdmitter(start), now: start, priorities: priorities}
	if priorities {
		c.ad.SetPriorities()
	}
	c.ad.SetNoPreExisting()
	c.ad.SetBackendState(start, 1, false, 0)
	return c
}

// arrive handles a copy that may still go to another agent if path is not empty.
func (c *copiedFlow) arrive(p passthrough.OpeningPacket) {
	c.execute(p.Segment, c.ad.OnOpeningPacket(c.now, p))
}

// execute does what an agent does with a decision.
func (c *copiedFlow) execute(seg passthrough.Segment, d passthrough.Decision) {
	switch d.(type) {
	case passthrough.Deliver:
		c.delivered = append(c.delivered, seg)
	case passthrough.PassOn:
		c.ad.SetNextAgent(c.now, seg.Flow(), address(2))
	}
}

func (c *copiedFlow) dequeue() {
	var d passthrough.Dequeued
	if c.priorities {
		d = c.ad.DequeueByPriority(c.now)
	} else {
		d.Openings, d.PassOn = c.ad.Dequeue(c.now)
	}
	for _, p := range d.Openings {
		if p.Segment.Flow() == flowOf(1) {
			c.delivered = append(c.delivered, p.Segment)
		}
	}
	for _, p := range d.PassOn {
		c.ad.SetNextAgent(c.now, p.Segment.Flow(), address(2))
	}
}

// handle makes the backend server handle the oldest delivered copy. A backend server that is full rejects it.
func (c *copiedFlow) handle(full bool) {
	if len(c.delivered) == 0 {
		return
	}
	seg := c.delivered[0]
	c.delivered = c.delivered[1:]
	if full {
		c.execute(seg, c.ad.OnRejected(c.now, seg))
		return
	}
	c.ad.OnServerPacket(c.now, acceptSegment(1, 5000), false)
	c.next = max(c.next, 5001)
}

// respond makes the backend server send a part of a response on the flow.
func (c *copiedFlow) respond() {
	if c.next != 0 {
		c.ad.OnServerPacket(c.now, passthrough.NewSegment(flowOf(1), passthrough.FlagAck, c.next, 102, 500), false)
		c.next += 500
	}
}

// others fills the backend server with requests on other flows, or answers them.
func (c *copiedFlow) others(answer bool) {
	for i := 10; i < 14; i++ {
		if answer {
			c.ad.OnServerPacket(c.now, passthrough.NewSegment(flowOf(i), passthrough.FlagAck|passthrough.FlagReset, 100, 102, 0), false)
			continue
		}
		if c.ad.OnOpeningPacket(c.now, openingPacket(i, 0)) == passthrough.Decision(passthrough.Deliver{}) {
			c.ad.OnServerPacket(c.now, acceptSegment(i, 1), false)
			c.ad.OnEstablishedPacket(c.now, requestSegment(i, 2), true)
		}
	}
}

// check compares the decisions on a caller's packet that acknowledges all that the backend server has sent.
func (c *copiedFlow) check(t assert.TestingT, after string) {
	if c.next == 0 {
		return
	}
	seg := requestSegment(1, c.next)
	assert.Equal(t, c.ad.OnSearchedPacket(c.now, seg, true), passthrough.Decision(passthrough.Deliver{}), "in a search after %s", after)
	assert.Equal(t, c.ad.OnEstablishedPacket(c.now, seg, true), passthrough.Decision(passthrough.Deliver{}), after)
}

// Guards against a reset of an open flow whose owner has forgotten it, or what its backend server has sent, because of a
// late copy of the opening packet.
func TestLateCopiesOfOpening(t *testing.T) {
	first, second := openingPacket(1, 0), openingPacket(1, 1)
	opened := func(c *copiedFlow) { c.arrive(second); c.handle(false); c.respond() }
	queuedBeforeAnswer := func(c *copiedFlow) {
		c.arrive(second)
		c.others(false)
		c.arrive(first)
		c.handle(false)
		c.respond()
	}
	for name, play := range map[string]func(c *copiedFlow){
		"queued before the answer, delivered after it": func(c *copiedFlow) {
			queuedBeforeAnswer(c)
			c.others(true)
			c.dequeue()
			c.handle(false)
		},
		"queued before the answer, rejected after it": func(c *copiedFlow) {
			queuedBeforeAnswer(c)
			c.others(true)
			c.dequeue()
			c.handle(true)
		},
		"queued before the answer, passed on after it": func(c *copiedFlow) {
			queuedBeforeAnswer(c)
			c.ad.SetDraining()
			c.dequeue()
		},
		"passed on while the answer arrives": func(c *copiedFlow) {
			c.arrive(second)
			c.ad.SetDraining()
			d := c.ad.OnOpeningPacket(c.now, openingPacket(1, 0, address(2)))
			c.handle(false)
			c.execute(first.Segment, d)
		},
		"delivered after a pause":           func(c *copiedFlow) { opened(c); c.now = c.now.Add(3 * time.Second); c.arrive(first); c.handle(false) },
		"second one rejected after a pause": func(c *copiedFlow) { opened(c); c.now = c.now.Add(3 * time.Second); c.arrive(second); c.handle(true) },
		"passed on after a pause": func(c *copiedFlow) {
			opened(c)
			c.now = c.now.Add(3 * time.Second)
			c.ad.SetDraining()
			c.arrive(openingPacket(1, 0, address(2)))
		},
		"delivered after a restart of the agent": func(c *copiedFlow) {
			opened(c)
			c.ad = passthrough.NewAdmitter(c.now)
			c.ad.SetServiceLimits(route.ServiceLimits{})
			c.ad.SetBackendState(c.now, 1, false, 0)
			c.arrive(first)
			c.handle(false)
		},
		"rejected before the second one opens the flow": func(c *copiedFlow) { c.arrive(first); c.arrive(second); c.handle(true); c.handle(false) },
	} {
		t.Run(name, func(t *testing.T) {
			for _, priorities := range []bool{false, true} {
				c := newCopiedFlow(priorities)
				play(c)
				assert.Assert(t, c.next != 0, "the flow is not open")
				c.check(t, name)
			}
		})
	}
}

// Guards against the same with the events in any order.
func TestOpeningCopiesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCopiedFlow(rapid.Bool().Draw(t, "priorities"))
		for range 30 {
			event := rapid.SampledFrom([]string{"copy", "copy to pass on", "handle", "reject", "respond", "dequeue", "others", "others end", "time", "pause", "drain"}).Draw(t, "event")
			switch event {
			case "copy":
				c.arrive(openingPacket(1, rapid.IntRange(0, 2).Draw(t, "n")))
			case "copy to pass on":
				c.arrive(openingPacket(1, rapid.IntRange(0, 2).Draw(t, "n"), address(2)))
			case "handle", "reject":
				c.handle(event == "reject")
			case "respond":
				c.respond()
			case "dequeue":
				c.dequeue()
			case "others", "others end":
				c.others(event == "others end")
			case "time":
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			case "pause":
				c.now = c.now.Add(3 * time.Second)
			case "drain":
				c.ad.SetBackendState(c.now, 1, rapid.Bool().Draw(t, "draining"), 0)
			}
			c.check(t, event)
		}
	})
}
