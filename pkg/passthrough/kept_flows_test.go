package passthrough_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

const keptIdle = 15 * time.Second

// openAt opens flow i and has it answer requests, all at one time.
func openAt(ad *passthrough.Admitter, now time.Time, i, answers int) {
	ad.OnOpeningPacket(now, openingPacket(i, 0))
	ad.OnServerPacket(now, acceptSegment(i, 99), false)
	for n := range answers {
		seg := passthrough.NewSegment(flowOf(i), passthrough.FlagAck, uint32(100+500*n), uint32(102+100*n), 500)
		ad.OnServerPacket(now, seg, false)
		ad.OnServerPacket(now, seg, false) // a retransmission
	}
}

func flowsOf(open []passthrough.OpenFlow) map[passthrough.FlowID]bool {
	fs := make(map[passthrough.FlowID]bool)
	for _, f := range open {
		fs[f.Flow] = true
	}
	return fs
}

// Load: callers that keep flows beside callers with a flow for each request. Guards against records of the latter, and
// against a record that names the wrong run: a flow may have been opened at a run that has sent no heartbeat yet.
func TestKeptFlows(t *testing.T) {
	const old, busy, single, young, closed, ofNextRun = 1, 2, 3, 4, 5, 6
	ad := newAdmitter(4)
	now := start.Add(20 * time.Second)
	openAt(ad, now.Add(-16*time.Second), old, 2)
	openAt(ad, now.Add(-4*time.Second), busy, 2)
	openAt(ad, now.Add(-4*time.Second), single, 1)
	openAt(ad, now.Add(-time.Second), young, 2)
	openAt(ad, now.Add(-4*time.Second), closed, 2)
	ad.OnServerPacket(now.Add(-4*time.Second), passthrough.NewSegment(flowOf(closed), passthrough.FlagAck|passthrough.FlagFinish, 1100, 202, 0), false)
	openAt(ad, now.Add(-2500*time.Millisecond), ofNextRun, 2)
	got := flowsOf(ad.KeptFlows(now, now.Add(-2200*time.Millisecond), keptIdle))
	assert.DeepEqual(t, got, map[passthrough.FlowID]bool{flowOf(busy): true, flowOf(single): true})
}

// Load: callers with a flow for each request, some of which take long. Guards against records of flows that end anyway.
func TestFlowsForEachRequestAreNotKept(t *testing.T) {
	ad := newAdmitter(4)
	for i := range 100 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		openAt(ad, at, i, 1)
		ad.OnServerPacket(at.Add(50*time.Millisecond), passthrough.NewSegment(flowOf(i), passthrough.FlagAck|passthrough.FlagFinish, 600, 102, 0), false)
		assert.Equal(t, len(ad.KeptFlows(at, at, keptIdle)), 0)
	}
	openAt(ad, start, 200, 0) // Its answer takes long.
	assert.Equal(t, len(ad.KeptFlows(start.Add(12*time.Second), start.Add(12*time.Second), keptIdle)), 0)
}

// Guards against the reset of a flow that the next run of the backend server holds, and against a second reset.
func TestEndFlows(t *testing.T) {
	const lost, ofNextRun = 1, 2
	ad := newAdmitter(4)
	heartbeat := start.Add(10 * time.Second)
	openAt(ad, start, lost, 1)
	openAt(ad, heartbeat.Add(-100*time.Millisecond), ofNextRun, 1)
	now := heartbeat.Add(time.Second)
	ended := ad.EndFlows(now, heartbeat, keptIdle)
	assert.DeepEqual(t, flowsOf(ended), map[passthrough.FlowID]bool{flowOf(lost): true})
	assert.Equal(t, ended[0].Seq, uint32(600))
	assert.Assert(t, !ad.HoldsFlow(now, flowOf(lost)) && ad.HoldsFlow(now, flowOf(ofNextRun)))
	assert.Equal(t, len(ad.EndFlows(now, heartbeat, keptIdle)), 0)
	openAt(ad, now, lost, 1) // The caller uses the port again.
	assert.Assert(t, ad.HoldsFlow(now, flowOf(lost)))
}

// Load: a backend server that is paused for a minute while callers retransmit. Guards against checks that never come, and
// against ever more of them.
func TestSilenceChecks(t *testing.T) {
	var s passthrough.Silence
	s.OnHeartbeat(start, true)
	checks := 0
	var first time.Duration
	for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
		s.OnDelivered(start.Add(at))
		if s.CheckDue(start.Add(at)) {
			if checks++; checks == 1 {
				first = at
			}
		}
	}
	assert.Equal(t, first, 250*time.Millisecond)
	assert.Assert(t, checks <= 13, "%d checks in a minute", checks)
	end := start.Add(time.Minute)
	s.OnServerPacket(end)
	assert.Assert(t, s.HeardSince(end) && !s.HeardSince(end.Add(1)))
	assert.Assert(t, !s.CheckDue(end.Add(10*time.Second)), "nothing is unanswered")
}

// Guards against checks of a backend server that is idle, and against a crash that shows only by its missing heartbeats.
func TestSilenceOfHeartbeats(t *testing.T) {
	const interval = 1200 * time.Millisecond
	var s passthrough.Silence
	now := start
	for i := range 10 {
		now = now.Add(interval)
		s.OnHeartbeat(now, i == 0)
		assert.Assert(t, !s.CheckDue(now.Add(2*interval-1)))
	}
	assert.Assert(t, s.CheckDue(now.Add(2*interval)))
}

// probe probes agents that do not answer, every 100 ms.
func probe(s *passthrough.Steerer, times int) {
	for i := range times {
		s.DueProbes(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
}

// Load: all callers of kept flows retransmit after an outage of all hosts, one of which was draining and does not come
// back. Guards against callers that wait until its lease ends, and against resets while an agent that was not lost is cut
// off.
func TestSteererDenyBesideSilentDraining(t *testing.T) {
	const agents, draining, period = 10, 9, 500 * time.Millisecond
	for name, c := range map[string]struct {
		allow, restarted, reported bool
		closed                     []int
		probes                     int
		wait                       time.Duration
		want                       passthrough.Denial
	}{
		"outage of all hosts":  {true, true, false, []int{draining}, 5, period, passthrough.AllRestarted},
		"without the feature":  {false, true, false, []int{draining}, 5, period, passthrough.SomeDeny},
		"silent for too short": {true, true, false, []int{draining}, 5, period - time.Millisecond, passthrough.SomeDeny},
		"too few probes":       {true, true, false, []int{draining}, 4, 2 * period, passthrough.SomeDeny},
		"not draining":         {true, true, false, nil, 5, period, passthrough.SomeDeny},
		"has answered":         {true, true, true, []int{draining}, 5, period, passthrough.SomeDeny},
		"no outage of all":     {true, false, false, []int{draining}, 5, period, passthrough.SomeDeny},
		"two of ten silent":    {true, true, false, []int{draining, draining - 1}, 5, period, passthrough.SomeDeny},
	} {
		t.Run(name, func(t *testing.T) {
			s := passthrough.NewSteerer("zone-0")
			if c.allow {
				s.AllowSilentDraining()
			}
			s.SetViews(views(agents, c.closed...))
			if c.reported {
				s.SetLoad(start, address(draining), serviceID, passthrough.Load{})
			}
			probe(s, c.probes)
			now := start.Add(c.wait)
			s.Search(now, flowOf(1), service)
			got := passthrough.SomeDeny
			for i := range agents - max(1, len(c.closed)) {
				got = s.Deny(now, flowOf(1), address(i), c.restarted || i > 0)
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// Load: callers of lost flows that have retransmitted several times, so that the next retransmission is 1.6 s away. Guards
// against flows that wait for it although nothing is missing for the reset any more, and against a second reset.
func TestSteererDueDenials(t *testing.T) {
	const agents, draining = 10, 9
	s := passthrough.NewSteerer("zone-0")
	s.AllowSilentDraining()
	s.SetViews(views(agents, draining))
	probe(s, 5)
	now := start.Add(499 * time.Millisecond)
	for f := range 2 {
		s.Search(now, flowOf(f), service)
		for i := range draining - f { // One agent has not denied the second flow.
			s.SetDeniedAck(now, flowOf(f), 77)
			assert.Equal(t, s.Deny(now, flowOf(f), address(i), true), passthrough.SomeDeny)
		}
	}
	assert.Equal(t, len(s.DueDenials(now)), 0)
	now = start.Add(500 * time.Millisecond)
	assert.DeepEqual(t, s.DueDenials(now), []passthrough.DeniedFlow{{Flow: flowOf(0), Ack: 77}}, cmp.AllowUnexported(passthrough.FlowID{}))
	assert.Equal(t, len(s.DueDenials(now)), 0)
}
