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

func readyAgent(id, zone string) operator.Process {
	return operator.Process{Kind: operator.KindAgent, ID: id, Zone: zone, Service: "orders", State: "ready", Member: true, InService: true}
}

// newCluster returns a store with the contract of orders in zones a and b, and a status source with the given agents.
func newCluster(t *testing.T, agents ...operator.Process) (*fakeStore, *fakeStatus) {
	t.Helper()
	f := newFake()
	a := newOperator("ann", f, nil).Apply(context.Background(), orders(t, 2, "a", "b"), 0, false)
	assert.Equal(t, a.Outcome(), operator.Accepted)
	return f, &fakeStatus{processes: agents}
}

func takeOut(target operator.Target) operator.Request {
	return operator.Request{Target: target, Out: true, Reason: "power work"}
}

// Guards against a command that takes out the last zone of a service, or too many backend servers, without confirmation.
func TestOutIsRefusedWithoutConfirmation(t *testing.T) {
	for name, c := range map[string]struct {
		agents  []operator.Process
		target  operator.Target
		outcome operator.Outcome
		loss    string
	}{
		"enough backend servers left": {
			[]operator.Process{readyAgent("a1", "a"), readyAgent("b1", "b"), readyAgent("b2", "b")}, operator.Zone("a"), operator.Accepted, "",
		},
		"last zone with backend servers": {
			[]operator.Process{readyAgent("a1", "a"), readyAgent("a2", "a")}, operator.Zone("a"), operator.Refused, "runs in zone a and would run nowhere",
		},
		"below the minimum by a zone": {
			[]operator.Process{readyAgent("a1", "a"), readyAgent("a2", "a"), readyAgent("b1", "b")},
			operator.Zone("a"), operator.Refused,
			"has 3 backend servers in service and would have 1, fewer than min_backends_in_service 2; lost: a1, a2",
		},
		"below the minimum by a backend server": {
			[]operator.Process{readyAgent("a1", "a"), readyAgent("b1", "b")},
			operator.Backend("a1"), operator.Refused,
			"has 2 backend servers in service and would have 1, fewer than min_backends_in_service 2; lost: a1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, status := newCluster(t, c.agents...)
			o := newOperator("ann", f, status)
			s := o.SetAvailability(context.Background(), takeOut(c.target))
			assert.Equal(t, s.Outcome(), c.outcome)
			if c.outcome == operator.Accepted {
				return
			}
			assert.Equal(t, s.Losses()[0].Message(), c.loss)
			assert.Equal(t, len(f.effects), 1, "a refused command wrote to the store")
			r := takeOut(c.target)
			r.Confirmed = true
			assert.Equal(t, o.SetAvailability(context.Background(), r).Outcome(), operator.Accepted)
		})
	}
}

// Guards against a contract that moves a service to zones without backend servers.
func TestApplyIsRefusedWhenTheServiceWouldRunNowhere(t *testing.T) {
	f, status := newCluster(t, readyAgent("a1", "a"), readyAgent("a2", "a"))
	a := newOperator("ann", f, status).Apply(context.Background(), orders(t, 2, "b"), 1, false)
	assert.Equal(t, a.Outcome(), operator.Refused)
	assert.Equal(t, a.Losses()[0].Service(), "orders")
}

// Guards against taking out a backend server when the number of the remaining ones is not known.
func TestBackendOutWithoutStatusIsRefused(t *testing.T) {
	f, _ := newCluster(t)
	s := newOperator("ann", f, nil).SetAvailability(context.Background(), takeOut(operator.Backend("a1")))
	assert.Equal(t, s.Outcome(), operator.Refused)
}

// Guards against two operators who take out the two zones of a service concurrently without a report of the loss.
func TestConcurrentZonesOutAreReported(t *testing.T) {
	f, status := newCluster(t, readyAgent("a1", "a"), readyAgent("a2", "a"), readyAgent("b1", "b"), readyAgent("b2", "b"))
	calls := 0
	f.before = func() {
		if calls++; calls == 2 { // between the read and the write of ann
			f.before = func() {}
			s := newOperator("ben", f, status).SetAvailability(context.Background(), takeOut(operator.Zone("b")))
			assert.Equal(t, s.Outcome(), operator.Accepted)
		}
	}
	s := newOperator("ann", f, status).SetAvailability(context.Background(), takeOut(operator.Zone("a")))
	assert.Equal(t, s.Outcome(), operator.Accepted)
	assert.Equal(t, len(s.ConcurrentLosses()), 1)
	assert.Equal(t, s.ConcurrentLosses()[0].Message(), "runs in zone a, b and would run nowhere")
}

// Guards against a wrong outcome for a zone when an answer is lost or another operator has changed the state.
func TestZoneOutUnderFaults(t *testing.T) {
	f, status := newCluster(t, readyAgent("a1", "a"), readyAgent("a2", "a"), readyAgent("b1", "b"), readyAgent("b2", "b"))
	f.next = faultSequence(lostAfter, none)
	o := newOperator("ann", f, status)
	first := o.SetAvailability(context.Background(), takeOut(operator.Zone("a")))
	assert.Equal(t, first.Outcome(), operator.Accepted)
	again := newOperator("ben", f, status).SetAvailability(context.Background(), takeOut(operator.Zone("a")))
	assert.Equal(t, again.Outcome(), operator.Unchanged)
	assert.Equal(t, again.Current().Author(), "ann")
	unknown := o.SetAvailability(context.Background(), takeOut(operator.Zone("c")))
	assert.Equal(t, unknown.Outcome(), operator.Invalid)
	assert.Error(t, unknown.Cause(), `zone: "c" is not known (allowed: a, b)`)
	f.reads = func() error { return store.ErrUnavailable }
	assert.Equal(t, o.SetAvailability(context.Background(), takeOut(operator.Zone("b"))).Outcome(), operator.NotAccepted)
}

// Guards against wrong outcomes for a zone under any interleaving of faults, delayed writes and other operators' changes.
func TestSetAvailabilityNeverReportsAWrongOutcome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, status := newCluster(t, readyAgent("a1", "a"), readyAgent("b1", "b"), readyAgent("b2", "b"))
		other := newOperator("other", f, status)
		f.injectFaults(rt, func() {
			for range rapid.IntRange(0, 2).Draw(rt, "changes of others") {
				r := takeOut(operator.Zone("a"))
				r.Out, r.Confirmed = rapid.Bool().Draw(rt, "out"), true
				other.SetAvailability(context.Background(), r)
			}
		})
		r := takeOut(operator.Zone("a"))
		r.Confirmed = true
		s := newOperator("eve", f, status).SetAvailability(context.Background(), r)
		f.runDelayed()
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
			assert.Assert(rt, f.hasLostAnswer(), "unknown although no answer was lost")
		default:
			rt.Fatalf("outcome %s", s.Outcome())
		}
	})
}

// Guards against a dry run that writes, or that accepts a change that the real command rejects.
func TestDryRun(t *testing.T) {
	f, status := newCluster(t, readyAgent("a1", "a"), readyAgent("a2", "a"), readyAgent("b1", "b"), readyAgent("b2", "b"))
	o := newOperator("ann", operator.DryRun(f), status)
	assert.Equal(t, o.SetAvailability(context.Background(), takeOut(operator.Zone("a"))).Outcome(), operator.Accepted)
	assert.Equal(t, o.Apply(context.Background(), orders(t, 5, "a", "b"), 1, false).Outcome(), operator.Accepted)
	assert.Equal(t, o.Apply(context.Background(), orders(t, 5, "a", "b"), 7, false).Outcome(), operator.Conflict)
	assert.Equal(t, len(f.effects), 1)
}

// Guards against a wait that ends while a process has not applied or not reported the revision, or that lists the wrong
// processes.
func TestWaitListsOutdatedProcesses(t *testing.T) {
	f, status := newCluster(t, readyAgent("a1", "a"), readyAgent("a2", "a"))
	other := readyAgent("x1", "a")
	other.Service = "catalogue"
	status.processes = append(status.processes, other, operator.Process{Kind: operator.KindBalancer, ID: "lb1", Member: true, InService: true})
	queries := 0
	status.progress = func() []operator.Progress {
		queries++
		return []operator.Progress{{ID: "lb1", Applied: 9}, {ID: "a1", Applied: 5 + store.Revision(queries)}}
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
