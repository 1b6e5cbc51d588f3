package passthrough_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// newLearningAdmitter returns the admitter of an agent that learns the capacity of its backend server.
func newLearningAdmitter(slots int) *passthrough.Admitter {
	ad := newAdmitter(slots)
	ad.LearnCapacity()
	return ad
}

// keptFlow sends requests on one open flow to an admitter.
type keptFlow struct {
	*passthrough.Admitter
	i                    int
	callerSeq, serverSeq uint32
}

func openKeptFlow(ad *passthrough.Admitter, now time.Time, i int) *keptFlow {
	ad.OnOpeningPacket(now, openingPacket(i, 0))
	ad.OnServerPacket(now, acceptSegment(i, 1), false)
	return &keptFlow{Admitter: ad, i: i, callerSeq: 2, serverSeq: 2}
}

func (f *keptFlow) request(now time.Time) {
	f.OnEstablishedPacket(now, passthrough.NewSegment(flowOf(f.i), passthrough.FlagAck, f.callerSeq, f.serverSeq, 100), true)
	f.callerSeq += 100
}

func (f *keptFlow) answer(now time.Time, failed bool) {
	f.OnServerPacket(now, passthrough.NewSegment(flowOf(f.i), passthrough.FlagAck, f.serverSeq, f.callerSeq, 500), failed)
	f.serverSeq += 500
}

// Load: 20 callers that keep their flows open for ten requests each, half of which fail. Guards against load and failures
// that only the first request of a flow shows, which is the rule without the tracker.
func TestAdmitterCountsRequestsOfKeptFlows(t *testing.T) {
	for name, tracks := range map[string]bool{"first requests": false, "all requests": true} {
		t.Run(name, func(t *testing.T) {
			ad, now := newAdmitter(50), start
			if tracks {
				ad.TrackRequests()
			}
			flows := make([]*keptFlow, 0, 20)
			for i := range 20 {
				flows = append(flows, openKeptFlow(ad, now, i))
			}
			for n := range 10 {
				for i, f := range flows {
					f.request(now)
					if n == 5 && tracks {
						assert.Equal(t, int(ad.Load(now).InProgress), i+1)
					}
				}
				now = now.Add(10 * time.Millisecond)
				for i, f := range flows {
					f.answer(now, n > 0 && i%2 == 0)
				}
			}
			failing := ad.Load(now).FailurePercent
			if tracks {
				assert.Assert(t, failing >= 40 && failing <= 50, "%d%%", failing)
			} else {
				assert.Equal(t, failing, uint8(0))
			}
		})
	}
}

// Load: six callers in turn on kept flows, at a backend server with three slots that then slows down to a fifth. Guards
// against new flows that wait behind requests of a slow backend server while others have free slots, and against a limit
// that leaves its slots idle. The rule without estimates admits eight requests at any speed.
func TestAdmitterLimitsSlowBackend(t *testing.T) {
	ad, now := newLearningAdmitter(3), start
	flows := make([]*keptFlow, 0, 6)
	for i := range 6 {
		flows = append(flows, openKeptFlow(ad, now, i))
	}
	serve := func(n int, work time.Duration) {
		for ; n > 0; n-- {
			for _, f := range flows[:3] {
				f.request(now)
			}
			now = now.Add(work)
			for _, f := range flows[:3] {
				f.answer(now, false)
			}
		}
	}
	admitted := func() (n int) {
		for ; ; n++ {
			p := openingPacket(1000+n, 0, address(2))
			p.Objective = 250 * time.Millisecond
			if _, ok := ad.OnOpeningPacket(now, p).(passthrough.Deliver); !ok {
				return n
			}
			ad.OnServerPacket(now, passthrough.NewSegment(p.Segment.Flow(), passthrough.FlagReset, 1, 1, 0), false)
			for _, f := range flows[:min(n+1, len(flows))] {
				f.request(now)
			}
		}
	}
	serve(100, 30*time.Millisecond)
	l := ad.Load(now)
	assert.Equal(t, l.Limit, uint16(3))
	assert.Assert(t, l.ServiceTime > 25*time.Millisecond && l.ServiceTime < 35*time.Millisecond, "%s", l.ServiceTime)
	serve(20, 150*time.Millisecond)
	l = ad.Load(now)
	assert.Assert(t, l.ServiceTime > 100*time.Millisecond, "%s", l.ServiceTime)
	assert.Equal(t, l.Limit, uint16(3))
	n := admitted()
	assert.Assert(t, n >= 4 && n <= 5, "%d requests admitted", n)
	ad.SetBackendRestarted(now)
	l = ad.Load(now)
	assert.Equal(t, l.ServiceTime, time.Duration(0))
	assert.Equal(t, l.InProgress, uint16(0))
}

// Load: after a loss of power, packets of 50 lost flows that are searched for at an agent whose backend server is not back
// yet. Guards against requests in progress and failures that are packets nobody took.
func TestAdmitterSearchedPacketsAreNoLoad(t *testing.T) {
	ad := passthrough.NewAdmitter(start)
	ad.LearnCapacity()
	for i := range 50 {
		d := ad.OnSearchedPacket(start, requestSegment(i, 2), true)
		assert.Equal(t, d, passthrough.Decision(passthrough.Deliver{}))
	}
	assert.Equal(t, ad.Load(start).InProgress, uint16(0))
	assert.Equal(t, ad.Load(start.Add(time.Second)).FailurePercent, uint8(0))
}
