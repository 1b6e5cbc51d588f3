package passthrough

import (
	"math"
	"sync/atomic"
	"time"
)

// openFlows counts the open flows of a backend server; the zero value counts none. It is safe for concurrent use.
//
// Changes are counted as they happen, and recount corrects the sum by the flows that ended without a packet.
type openFlows struct{ n atomic.Int32 }

// change counts a flow that has been opened or has ended.
func (o *openFlows) change(before, after localFlow) {
	switch {
	case after.takesRequests() && !before.takesRequests():
		o.n.Add(1)
	case before.takesRequests() && !after.takesRequests():
		o.n.Add(-1)
	}
}

// recount counts the flows with packets within the idle timeout.
func (o *openFlows) recount(now time.Time, flows *Table[localFlow], idle time.Duration) {
	var n int32
	flows.Each(now, func(_ FlowID, lf localFlow, unused time.Duration) {
		if lf.takesRequests() && unused <= idle {
			n++
		}
	})
	o.n.Store(n)
}

func (o *openFlows) count() uint16 { return uint16(min(max(o.n.Load(), 0), math.MaxUint16)) } //nolint:gosec // bounded

// recordCallerEnd records that the caller sends no more requests on a flow of the backend server.
func (ad *Admitter) recordCallerEnd(now time.Time, seg Segment) {
	if !seg.Has(FlagFinish) && !seg.Has(FlagReset) {
		return
	}
	ad.flows.Update(now, seg.Flow(), func(lf localFlow, _ bool) localFlow {
		before := lf
		lf.callerEnded = true
		ad.open.change(before, lf)
		return lf
	})
}
