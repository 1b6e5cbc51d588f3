package admission_test

import (
	"testing"
	"time"

	_ "github.com/bramleymast/bramleymast/internal/fixedseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/bramleymast/bramleymast/internal/fixedseed"

	"github.com/bramleymast/bramleymast/pkg/admission"
)

var (
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	limits = admission.Limits{
		Slots: 7, ColdSlots: 1, Connections: 3, Ramp: 6 * time.Second, Wait: 200 * time.Millisecond, WarmPeriod: time.Hour,
	}
)

// newWarmLimiter returns a limiter and the time at which it reaches its full limit.
func newWarmLimiter() (*admission.Limiter, time.Time) {
	return admission.NewLimiter(start, limits), start.Add(limits.Ramp)
}

// runRequest acquires a slot for one request and releases it with an observation.
func runRequest(t *testing.T, l *admission.Limiter, now time.Time, o admission.Observation) {
	t.Helper()
	d, decided := l.Acquire(now, now.Add(time.Second))
	assert.Assert(t, decided && d.Err == nil)
	l.Release(now, d.ID, o)
}

// Guards against more requests in progress than the ramp allows, a wait queue that grows without limit, a request that
// waits beyond its deadline, and a slot that is never released, in any order of events.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		l := admission.NewLimiter(now, limits)
		running, waiting := map[admission.ID]bool{}, map[admission.ID]time.Time{}
		apply := func(ds []admission.Decision) {
			for _, d := range ds {
				_, ok := waiting[d.ID]
				assert.Assert(t, ok, "a request was decided twice")
				delete(waiting, d.ID)
				if d.Err == nil {
					running[d.ID] = true
					assert.Assert(t, len(running) <= l.Slots(now))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				deadline := now.Add(time.Duration(rapid.IntRange(-10, 400).Draw(t, "deadline")) * time.Millisecond)
				for range rapid.IntRange(1, 40).Draw(t, "burst") {
					d, decided := l.Acquire(now, deadline)
					if !decided {
						waiting[d.ID] = deadline
					} else if d.Err == nil {
						running[d.ID] = true
						assert.Assert(t, len(running) <= l.Slots(now) && now.Before(deadline))
					}
				}
			},
			"release": func(t *rapid.T) {
				for id := range running {
					delete(running, id)
					o := admission.Observation{Result: admission.Result(rapid.IntRange(0, 3).Draw(t, "result"))}
					apply(l.Release(now, id, o))
					return
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond)
				apply(l.Advance(now))
				for _, deadline := range waiting {
					assert.Assert(t, now.Before(deadline))
				}
			},
			"": func(t *rapid.T) {
				assert.Equal(t, l.InProgress(), len(running))
				assert.Equal(t, l.Waiting(), len(waiting))
				assert.Assert(t, len(waiting) <= 4*limits.Slots)
				assert.Assert(t, len(waiting) == 0 || len(running) >= l.Slots(now), "a request waits while a slot is free")
			},
		})
	})
}

// Guards against full load on a cold server after a restart, a refused connection, shedding, slow answers or an idle
// period.
func TestColdStartReasons(t *testing.T) {
	causes := map[admission.ColdReason]func(l *admission.Limiter, now time.Time) time.Time{
		admission.ColdRestarted: func(l *admission.Limiter, now time.Time) time.Time {
			l.MarkCold(now, admission.ColdRestarted)
			return now
		},
		admission.ColdRefused: func(l *admission.Limiter, now time.Time) time.Time {
			runRequest(t, l, now, admission.Observation{Result: admission.ResultRefused})
			return now
		},
		admission.ColdShedding: func(l *admission.Limiter, now time.Time) time.Time {
			for range 3 {
				runRequest(t, l, now, admission.Observation{Result: admission.ResultShed})
			}
			return now
		},
		admission.ColdSlow: func(l *admission.Limiter, now time.Time) time.Time {
			for i := range 24 {
				d := 20 * time.Millisecond
				if i >= 18 {
					d = 200 * time.Millisecond
				}
				runRequest(t, l, now, admission.Observation{Result: admission.ResultAnswered, ServiceTime: d})
			}
			return now
		},
		admission.ColdIdle: func(l *admission.Limiter, now time.Time) time.Time {
			now = now.Add(2 * time.Hour)
			runRequest(t, l, now, admission.Observation{})
			return now
		},
	}
	for reason, cause := range causes {
		l, now := newWarmLimiter()
		assert.Equal(t, l.Slots(now), 7)
		now = cause(l, now)
		got, cold := l.Cold(now)
		assert.Assert(t, cold, reason)
		assert.Equal(t, got, reason)
		assert.Equal(t, l.Slots(now), 1, reason)
		assert.Equal(t, l.Slots(now.Add(3*time.Second)), 4)
		assert.Equal(t, l.Slots(now.Add(6*time.Second)), 7)
	}
}

// Guards against a single slow answer that counts as a cold start, and against one 503 that reduces the limit to that
// of a cold server.
func TestOneOutlierIsNoColdStart(t *testing.T) {
	l, now := newWarmLimiter()
	for i := range 40 {
		d := 20 * time.Millisecond
		if i%10 == 9 {
			d = 5 * time.Second
		}
		runRequest(t, l, now, admission.Observation{Result: admission.ResultAnswered, ServiceTime: d})
	}
	assert.Equal(t, l.Slots(now), 7)
	runRequest(t, l, now, admission.Observation{Result: admission.ResultShed})
	assert.Equal(t, l.Slots(now), 3)
}

// Guards against more retries than the percentage of the successes, and against a budget that accumulates without limit.
func TestRetryBudget(t *testing.T) {
	b := admission.NewRetryBudget(10)
	retries := 0
	for range 200 {
		b.RecordSuccess()
		for b.Allow() {
			retries++
		}
	}
	assert.Equal(t, retries, 20)
	for range 1000 {
		b.RecordSuccess()
	}
	for b.Allow() {
		retries++
	}
	assert.Equal(t, retries, 30)
}
