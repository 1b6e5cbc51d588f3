package operator_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/store"
)

func agent(id, zone string) operator.Process {
	return operator.Process{Kind: operator.KindAgent, ID: id, Zone: zone, Service: "orders", State: "ready", Member: true, InService: true}
}

// fleet returns a store with the contract of orders in zones a and b, and the given agents.
func fleet(t *testing.T, agents ...operator.Process) (*fakeStore, *fakeStatus) {
	t.Helper()
	f := newFake()
	a := newOperator("ann", f, nil).Apply(context.Background(), orders(t, 2, "a", "b"), 0, false)
	assert.Equal(t, a.Outcome(), operator.Accepted)
	return f, &fakeStatus{processes: agents}
}

func out(target operator.Target) operator.Request {
	return operator.Request{Target: target, Out: true, Reason: "power work"}
}

// Guards against a command that takes out the last place of a service, or too many backend servers, without a question.
func TestOutIsRefusedWithoutConfirmation(t *testing.T) {
	for name, c := range map[string]struct {
		agents  []operator.Process
		target  operator.Target
		verdict operator.Outcome
		loss    string
	}{
		"enough is left": {
			[]operator.Process{agent("a1", "a"), agent("b1", "b"), agent("b2", "b")}, operator.Zone("a"), operator.Accepted, "",
		},
		"last zone with backend servers": {
			[]operator.Process{agent("a1", "a"), agent("a2", "a")}, operator.Zone("a"), operator.Refused, "runs in zone a and would run nowhere",
		},
		"below the least number by a zone": {
			[]operator.Process{agent("a1", "a"), agent("a2", "a"), agent("b1", "b")},
			operator.Zone("a"), operator.Refused,
			"has 3 backend servers in service and would have 1, fewer than min_backends_in_service 2; lost: a1, a2",
		},
		"below the least number by a backend server": {
			[]operator.Process{agent("a1", "a"), agent("b1", "b")},
			operator.Backend("a1"), operator.Refused,
			"has 2 backend servers in service and would have 1, fewer than min_backends_in_service 2; lost: a1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, status := fleet(t, c.agents...)
			o := newOperator("ann", f, status)
			s := o.SetAvailability(context.Background(), out(c.target))
			assert.Equal(t, s.Outcome(), c.verdict)
			if c.verdict == operator.Accepted {
				return
			}
			assert.Equal(t, s.Losses()[0].Message(), c.loss)
			assert.Equal(t, len(f.effects), 1, "a refused command wrote to the store")
			r := out(c.target)
			r.Confirmed = true
			assert.Equal(t, o.SetAvailability(context.Background(), r).Outcome(), operator.Accepted)
		})
	}
}

// Guards against a contract that moves a service to zones where nothing runs.
func TestApplyIsRefusedWhenTheServiceWouldRunNowhere(t *testing.T) {
	f, status := fleet(t, agent("a1", "a"), agent("a2", "a"))
	a := newOperator("ann", f, status).Apply(context.Background(), orders(t, 2, "b"), 1, false)
	assert.Equal(t, a.Outcome(), operator.Refused)
	assert.Equal(t, a.Losses()[0].Service(), "orders")
}

// Guards against a backend server that is taken out although nobody knows how many are left.
func TestBackendOutWithoutStatusIsRefused(t *testing.T) {
	f, _ := fleet(t)
	s := newOperator("ann", f, nil).SetAvailability(context.Background(), out(operator.Backend("a1")))
	assert.Equal(t, s.Outcome(), operator.Refused)
}

// Guards against two operators who take out the two zones of a service at once and both see success.
func TestZonesOutAtOnceAreReported(t *testing.T) {
	f, status := fleet(t, agent("a1", "a"), agent("a2", "a"), agent("b1", "b"), agent("b2", "b"))
	calls := 0
	f.before = func() {
		if calls++; calls == 2 { // between the read and the write of ann
			f.before = func() {}
			s := newOperator("ben", f, status).SetAvailability(context.Background(), out(operator.Zone("b")))
			assert.Equal(t, s.Outcome(), operator.Accepted)
		}
	}
	s := newOperator("ann", f, status).SetAvailability(context.Background(), out(operator.Zone("a")))
	assert.Equal(t, s.Outcome(), operator.Accepted)
	assert.Equal(t, len(s.ConcurrentLosses()), 1)
	assert.Equal(t, s.ConcurrentLosses()[0].Message(), "runs in zone a, b and would run nowhere")
}

// Guards against a wrong verdict on a zone whose answer was lost or whose state another operator changed.
func TestZoneOutUnderFaults(t *testing.T) {
	f, status := fleet(t, agent("a1", "a"), agent("a2", "a"), agent("b1", "b"), agent("b2", "b"))
	f.next = plan(lostAfter, none)
	o := newOperator("ann", f, status)
	first := o.SetAvailability(context.Background(), out(operator.Zone("a")))
	assert.Equal(t, first.Outcome(), operator.Accepted)
	again := newOperator("ben", f, status).SetAvailability(context.Background(), out(operator.Zone("a")))
	assert.Equal(t, again.Outcome(), operator.Unchanged)
	assert.Equal(t, again.Current().Author(), "ann")
	unknown := o.SetAvailability(context.Background(), out(operator.Zone("c")))
	assert.Equal(t, unknown.Outcome(), operator.Invalid)
	assert.Error(t, unknown.Cause(), `zone: "c" is not known (allowed: a, b)`)
	f.reads = func() error { return store.ErrUnavailable }
	assert.Equal(t, o.SetAvailability(context.Background(), out(operator.Zone("b"))).Outcome(), operator.NotAccepted)
}

// Guards against wrong verdicts on a zone under any interleaving of faults, delayed writes and other operators' changes.
func TestSetAvailabilityNeverReportsAWrongOutcome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, status := fleet(t, agent("a1", "a"), agent("b1", "b"), agent("b2", "b"))
		other := newOperator("other", f, status)
		f.disturb(rt, func() {
			for range rapid.IntRange(0, 2).Draw(rt, "changes of others") {
				r := out(operator.Zone("a"))
				r.Out, r.Confirmed = rapid.Bool().Draw(rt, "out"), true
				other.SetAvailability(context.Background(), r)
			}
		})
		r := out(operator.Zone("a"))
		r.Confirmed = true
		s := newOperator("eve", f, status).SetAvailability(context.Background(), r)
		f.land()
		effects := f.effectsOf(s.OperationID())
		assert.Assert(rt, effects <= 1, "the change took effect %d times", effects)
		switch s.Outcome() {
		case operator.Accepted:
			assert.Equal(rt, effects, 1)
		case operator.NotAccepted:
			assert.Equal(rt, effects, 0)
		case operator.Conflict:
			assert.Assert(rt, effects == 0 || s.MayHaveApplied())
		case operator.Unchanged:
			assert.Assert(rt, effects == 0 || s.Current().Out())
		case operator.Unknown:
			assert.Assert(rt, f.lostAnAnswer(), "unknown although no answer was lost")
		default:
			rt.Fatalf("verdict %s", s.Outcome())
		}
	})
}

// Guards against a dry run that writes, or that accepts what the real command would not.
func TestDryRun(t *testing.T) {
	f, status := fleet(t, agent("a1", "a"), agent("a2", "a"), agent("b1", "b"), agent("b2", "b"))
	o := newOperator("ann", operator.DryRun(f), status)
	assert.Equal(t, o.SetAvailability(context.Background(), out(operator.Zone("a"))).Outcome(), operator.Accepted)
	assert.Equal(t, o.Apply(context.Background(), orders(t, 5, "a", "b"), 1, false).Outcome(), operator.Accepted)
	assert.Equal(t, o.Apply(context.Background(), orders(t, 5, "a", "b"), 7, false).Outcome(), operator.Conflict)
	assert.Equal(t, len(f.effects), 1)
}

// Guards against a wait that ends while a process is behind, silent or unheard, or that names the wrong ones.
func TestWaitNamesTheProcessesThatAreBehind(t *testing.T) {
	f, status := fleet(t, agent("a1", "a"), agent("a2", "a"))
	other := agent("x1", "a")
	other.Service = "catalogue"
	status.processes = append(status.processes, other, operator.Process{Kind: operator.KindBalancer, ID: "lb1", Member: true, InService: true})
	asked := 0
	status.progress = func() []operator.Progress {
		asked++
		return []operator.Progress{{ID: "lb1", Applied: 9}, {ID: "a1", Applied: 5 + store.Revision(asked)}}
	}
	o := newOperator("ann", f, status)
	c, err := o.Wait(context.Background(), configvalue.ContractKey("orders"), 9, 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, c.Elapsed(), 10*time.Second)
	assert.Equal(t, len(c.Outdated()), 1)
	assert.Equal(t, c.Outdated()[0].ID(), "a2")
	assert.Equal(t, c.Agents(), 1)
	status.processes = slices.Delete(status.processes, 1, 2)
	c, err = o.Wait(context.Background(), configvalue.ContractKey("orders"), 9, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, c.Complete())
	status.err = errors.New("no route")
	_, err = o.Wait(context.Background(), configvalue.ContractKey("orders"), 9, time.Second)
	assert.Error(t, err, "no balancer answered: no route")
}
