package entryhost_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/entryhost"
)

var start = time.Unix(1000, 0)

// bound is the time within which a configuration must be in force, of the deployments with uneven hosts.
const bound = 5 * time.Second

// weakHost is the weakest host of these deployments.
var weakHost = entryhost.Capacity{Cores: 0.144, LinkMbps: 10}

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against a strong host that relies on a weak one, and against hosts that rely on equal ones, or on none although
// their link is narrow.
func TestClass(t *testing.T) {
	for _, tt := range []struct {
		cores, mbps float64
		want        entryhost.Class
	}{{0, 10, 0}, {0.4, 0, 0}, {0.144, 10, 11}, {0.192, 13, 11}, {0.48, 16, 10}, {0.8, 200, 7}, {0.4, 1000, 8}, {0.24, 1000, 8}, {64, 100000, 1}, {0.0001, 0.001, entryhost.MaxClass}} {
		c := entryhost.Capacity{Cores: tt.cores, LinkMbps: tt.mbps}
		assert.Equal(t, c.Class(), tt.want, "%+v takes %s", c, c.Intake())
	}
	for own := range entryhost.MaxClass + 1 {
		for other := range entryhost.MaxClass + 1 {
			r := entryhost.NewReliance(own, 1, start)
			r.Reported(start, entryhost.Report{Voucher: entryhost.Voucher{Class: other}, Newest: 0})
			if relies := r.State(start, 0) == entryhost.Relies; relies != (own > 8 && other > 0 && other <= own-2) {
				t.Errorf("a host of class %d relies on one of class %d: %t", own, other, relies)
			}
		}
	}
}

// Guards against a host that relies on an old answer of the store, on nobody, or on others although it lacks a change.
func TestReliance(t *testing.T) {
	r := entryhost.NewReliance(11, weakHost.Slack(bound), start)
	check := func(d time.Duration, revision uint64, want entryhost.State) {
		t.Helper()
		assert.Equal(t, r.State(at(d), revision), want, "at %s", d)
	}
	check(0, 5, entryhost.Unvouched)
	r.Reported(at(time.Second), entryhost.Report{Voucher: entryhost.Voucher{Class: 7, Age: 1500 * time.Millisecond}, Newest: 5})
	check(time.Second, 5, entryhost.Relies)
	check(1499*time.Millisecond, 5, entryhost.Relies)
	check(1500*time.Millisecond, 5, entryhost.Unvouched)
	r.Reported(at(2*time.Second), entryhost.Report{Voucher: entryhost.Voucher{Class: 7}, Newest: 9})
	check(2*time.Second, 5, entryhost.Relies)
	r.Reported(at(2400*time.Millisecond), entryhost.Report{Voucher: entryhost.Voucher{Class: 7}, Newest: 9})
	check(2499*time.Millisecond, 5, entryhost.Relies)
	check(2500*time.Millisecond, 5, entryhost.Behind)
	check(2600*time.Millisecond, 9, entryhost.Relies)
	for d := 3 * time.Second; d < 15*time.Second; d += time.Second {
		r.Reported(at(d), entryhost.Report{Voucher: entryhost.Voucher{Class: 7}, Newest: 9})
		check(d, 9, entryhost.Relies)
	}
	r.Reported(at(15*time.Second), entryhost.Report{Voucher: entryhost.Voucher{Class: 7}, Newest: 9})
	check(15*time.Second, 9, entryhost.Due)
	r.Watched(at(15 * time.Second))
	check(15*time.Second, 9, entryhost.Relies)
}

// Guards against a host that relies on others although the stated bound leaves no time for the whole way of a change: the
// age limit of vouchers (2 s), the wait for a fetch (0.5 s), the call to the store (0.5 s) and the intake.
func TestSlack(t *testing.T) {
	const rest, patience = 2 * time.Second, 500 * time.Millisecond
	worst := rest + patience + callMargin + weakHost.Intake()
	for _, tt := range []struct {
		bound time.Duration
		want  entryhost.State
	}{{0, entryhost.Bound}, {3 * time.Second, entryhost.Bound}, {worst, entryhost.Bound}, {worst + 1, entryhost.Relies}, {bound, entryhost.Relies}} {
		r := entryhost.NewReliance(weakHost.Class(), weakHost.Slack(tt.bound), start)
		// Just before the voucher gets too old, a message shows a change from directly after it.
		r.Reported(start, entryhost.Report{Voucher: entryhost.Voucher{Class: 7}})
		assert.Equal(t, r.State(at(rest-1), 0), tt.want, "bound %s", tt.bound)
		r.Reported(at(rest-1), entryhost.Report{Voucher: entryhost.Voucher{Class: 7}, Newest: 1})
		now := rest - 1
		for ; r.State(at(now), 0) == entryhost.Relies; now += replayStep {
		}
		if late := now + callMargin + weakHost.Intake(); tt.want == entryhost.Relies && late > tt.bound+replayStep {
			t.Errorf("bound %s: the change is in force after %s", tt.bound, late)
		}
	}
}

// Guards against vouchers that get younger on their way, and against a state that grows with the number of hosts.
func TestVouchers(t *testing.T) {
	var v entryhost.Vouchers
	assert.Equal(t, v.Strongest(start), entryhost.Voucher{})
	v.Add(at(0), entryhost.Voucher{Class: 7, Age: 300 * time.Millisecond})
	v.Add(at(0), entryhost.Voucher{Class: 7, Age: 900 * time.Millisecond})
	v.Add(at(0), entryhost.Voucher{Class: 10})
	v.Add(at(0), entryhost.Voucher{Class: 6, Age: entryhost.VoucherTTL})
	v.Add(at(0), entryhost.Voucher{Class: 200})
	assert.Equal(t, v.Strongest(at(time.Second)), entryhost.Voucher{Class: 7, Age: 1300 * time.Millisecond})
	assert.Equal(t, v.Strongest(at(1700*time.Millisecond)), entryhost.Voucher{Class: 10, Age: 1700 * time.Millisecond})
	assert.Equal(t, v.Strongest(at(entryhost.VoucherTTL)), entryhost.Voucher{})
	assert.Equal(t, v.Weakest(at(4*time.Second)), entryhost.Class(10))
	assert.Equal(t, v.Weakest(at(5*time.Second)), entryhost.Class(0))
}

// Guards against watches that go on in step at hosts that others rely on, and against more calls where nobody does.
func TestWatchTimeout(t *testing.T) {
	r := entryhost.NewReliance(7, 0, start)
	r.Reported(start, entryhost.Report{Weakest: 8})
	assert.Equal(t, r.WatchTimeout(start, time.Second, 0.5), time.Second)
	r.Reported(start, entryhost.Report{Weakest: 9})
	assert.Equal(t, r.WatchTimeout(start, time.Second, 0.5), 750*time.Millisecond)
	assert.Equal(t, r.WatchTimeout(at(5*time.Second), time.Second, 0.5), time.Second)
}

// fleet replays strong and weak hosts and the agents between them in steps of 10 ms.
type fleet struct {
	changedAt time.Duration // of the only change, to revision 2
	cutAt     time.Duration // from when each strong host may lose the store
	strong    []strongHost
	agents    []agent
	weak      *entryhost.Reliance
	applied   uint64
	fetchAt   time.Duration // when the fetch that is under way ends; 0 if there is none
}

type strongHost struct {
	answered, next, cut time.Duration
	revision            uint64
}

type agent struct {
	vouchers         entryhost.Vouchers
	newest, revision uint64
	// deaf agents receive nothing any more, fetchFails ones cannot fetch, mute ones cannot be fetched from.
	deaf, fetchFails, mute bool
}

const (
	replayStep = 10 * time.Millisecond
	// callMargin is the time for a new connection and a call to the store, without the intake.
	callMargin = 500 * time.Millisecond
	// probeSteps is the interval at which each balancer probes each agent, in steps.
	probeSteps = 50
)

// step moves the strong hosts and the messages that are due, and returns whether the weak host rests.
func (f *fleet) step(now time.Duration) bool {
	for i := range f.strong {
		h := &f.strong[i]
		if changed := now >= f.changedAt && h.revision == 1; now < h.cut && (changed || now >= h.next) {
			h.answered, h.next = now, now+2500*time.Millisecond
			if now >= f.changedAt {
				h.revision = 2
			}
		}
		for j := range f.agents {
			if (now/replayStep+time.Duration(i*7+j*11))%probeSteps == 0 {
				f.probe(now, h, &f.agents[j])
			}
		}
	}
	for j := range f.agents {
		a := &f.agents[j]
		if (now/replayStep+time.Duration(j*13))%probeSteps != 0 {
			continue
		}
		f.weak.Reported(at(now), entryhost.Report{Voucher: a.vouchers.Strongest(at(now)), Newest: a.newest})
		if a.revision > f.applied && f.fetchAt == 0 && !a.mute {
			f.fetchAt = now + 50*time.Millisecond
		}
	}
	if f.fetchAt > 0 && now >= f.fetchAt {
		f.applied, f.fetchAt = 2, 0
	}
	return f.weak.State(at(now), f.applied) == entryhost.Relies
}

func (f *fleet) probe(now time.Duration, h *strongHost, a *agent) {
	if a.deaf && now >= f.cutAt {
		return
	}
	a.vouchers.Add(at(now), entryhost.Voucher{Class: 7, Age: now - h.answered})
	if a.newest = max(a.newest, h.revision); !a.fetchFails {
		a.revision = max(a.revision, h.revision)
	}
}

// Guards against a weak host that has a change in force later than the stated bound, although any
// part of the strong hosts lose the store, agents hear nothing any more, or fetches fail, all without a sign. Without
// faults a message brings the change within two intervals of probes and a fetch.
func TestReplayedCutsOfStrongHosts(t *testing.T) {
	rested := 0
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := &fleet{changedAt: 5*time.Second + time.Duration(r.IntN(3000))*time.Millisecond, weak: entryhost.NewReliance(11, weakHost.Slack(bound), start), applied: 1}
		f.cutAt = f.changedAt - time.Duration(r.IntN(3000))*time.Millisecond
		faults := r.IntN(4) != 0
		for range 1 + r.IntN(6) {
			h := strongHost{next: time.Duration(r.IntN(2500)) * time.Millisecond, cut: time.Hour, revision: 1, answered: -time.Hour}
			if faults && r.IntN(4) != 0 {
				h.cut = f.cutAt
			}
			f.strong = append(f.strong, h)
		}
		f.agents = make([]agent, 1+r.IntN(20))
		for i := range f.agents {
			f.agents[i].deaf, f.agents[i].fetchFails, f.agents[i].mute = faults && r.IntN(3) == 0, faults && r.IntN(3) == 0, faults && r.IntN(3) == 0
		}
		rests := false
		now := time.Duration(0)
		for ; now < f.changedAt || f.applied == 1 && rests; now += replayStep {
			rests = f.step(now)
			if rests {
				rested++
			}
			if late := now - f.changedAt; late > entryhost.VoucherTTL+replayStep {
				t.Fatalf("seed %d: the weak host neither watches nor has the change after %s", seed, late)
			}
			if late := now - f.changedAt + callMargin + weakHost.Intake(); late > bound {
				t.Fatalf("seed %d: the change is in force after %s", seed, late)
			}
		}
		if late := now - f.changedAt; !faults && late > 2*probeSteps*replayStep+100*time.Millisecond {
			t.Errorf("seed %d: a message brought the change after %s", seed, late)
		}
	}
	assert.Assert(t, rested > 50_000, "rested for %d steps", rested)
}
