package passthrough_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// Guards against a backend server that looks full because flows count that have ended: by the caller's end, by its own,
// or without a packet for longer than the idle timeout.
func TestOpenFlowsInLoad(t *testing.T) {
	ad := passthrough.NewAdmitter(start)
	open := func(i int) {
		ad.OnOpeningPacket(start, openingPacket(i, 0))
		ad.OnServerPacket(start, acceptSegment(i, 1), false)
		ad.OnEstablishedPacket(start, requestSegment(i, 2), true)
		ad.OnServerPacket(start, responseSegment(i), false)
	}
	for i := range 4 {
		open(i)
	}
	assert.Equal(t, ad.Load(start).Flows, uint16(4))
	open(0) // A second answer opens no second flow.
	assert.Equal(t, ad.Load(start).Flows, uint16(4))

	ad.OnEstablishedPacket(start, passthrough.NewSegment(flowOf(0), passthrough.FlagAck|passthrough.FlagFinish, 0, 2, 0), true)
	assert.Equal(t, ad.Load(start).Flows, uint16(3))
	ad.OnServerPacket(start, passthrough.NewSegment(flowOf(1), passthrough.FlagAck|passthrough.FlagFinish, 3, 0, 0), false)
	assert.Equal(t, ad.Load(start).Flows, uint16(2))
	ad.Sweep(start.Add(time.Second), 10*time.Second)
	assert.Equal(t, ad.Load(start).Flows, uint16(2))
	ad.Sweep(start.Add(time.Minute), 10*time.Second)
	assert.Equal(t, ad.Load(start).Flows, uint16(0))
}

// Guards against a new run of a backend server that looks full because the flows of the earlier run still count.
func TestFlowsOfAnEarlierRunDoNotCount(t *testing.T) {
	ad := newAdmitter(4)
	openAt(ad, start, 1, 2)
	now := start.Add(time.Second)
	assert.Equal(t, ad.Load(now).Flows, uint16(1))
	assert.Equal(t, len(ad.EndFlows(now, now, keptIdle)), 1)
	assert.Equal(t, ad.Load(now).Flows, uint16(0))
}
