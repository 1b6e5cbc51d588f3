package passthrough_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// Guards against a released request without packets, with which the agent fails, and against a count of held requests that
// never gets back to zero: a caller uses its port again while a request of the flow is held.
func TestOpeningDuringHeldRequest(t *testing.T) {
	for _, inProgress := range []int{4, 2} {
		ad := newPriorityAdmitter(5, 0, 1, 2, 3, 4)
		now := start.Add(2 * time.Second) // Copies of the opening packet have arrived by then.
		for i := range inProgress {
			assert.Equal(t, deliverRequest(ad, now, dataPacket(i, 0, 1)), passthrough.NotHeld)
		}
		ad.SetBackendState(now, 1, false, 0)
		assert.Equal(t, deliverRequest(ad, now, dataPacket(4, 0, 1)), passthrough.HeldRequest)
		for i := 5; i < 8; i++ { // fills the places among the requests in progress
			ad.OnOpeningPacket(now, openingPacket(i, 0))
		}
		now = now.Add(10 * time.Millisecond)
		assert.Equal(t, ad.OnOpeningPacket(now, openingPacket(4, 0)), passthrough.Decision(passthrough.Queued{}))
		for range 200 {
			now = now.Add(20 * time.Millisecond)
			for _, r := range ad.DequeueByPriority(now).Requests {
				assert.Assert(t, len(r.Packets) > 0, "a request without packets is released")
			}
		}
		assert.Equal(t, ad.Load(now).InProgress, uint16(0))
	}
}
