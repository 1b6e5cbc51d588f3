package priority_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/priority"
)

// caller waits for a flow to open. It shows that it does with its opening packet and the copies of it, and may give up.
type caller struct {
	at, gaveUp, answered time.Duration
}

// returned is how the callers of a service fare after an outage.
type returned struct{ inTime, late, wasted int }

// returnAfterOutage replays 80 callers that open flows anew within 200 ms after an outage, and 25 a second that come for
// two seconds, at a backend server of 3 slots that needs 45 ms for a request. Half of the callers give up between the first and
// the last moment of an attempt, as their requests go on other flows. Nobody tells the queue: a slot is wasted for 80 ms
// when such a flow is opened. observed says whether the queue learns of the copies.
func returnAfterOutage(observed bool) returned {
	const (
		attempt, handshake, work, length = 1400 * time.Millisecond, 80 * time.Millisecond, 45 * time.Millisecond, 4 * time.Second
		fresh, step, margin              = 83 * time.Millisecond, time.Millisecond, 50 * time.Millisecond
	)
	ages := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	rng := rand.New(rand.NewPCG(1, 2))
	const returners, others = 80, 50
	callers := make([]*caller, 0, returners+others)
	for i := range returners + others {
		c := &caller{at: time.Duration(rng.Int64N(int64(200 * time.Millisecond)))}
		if i >= returners {
			c.at = time.Duration(i-returners) * 40 * time.Millisecond
		}
		c.gaveUp = c.at + attempt
		if rng.IntN(2) == 0 {
			c.gaveUp = c.at + 100*time.Millisecond + time.Duration(rng.Int64N(int64(attempt-100*time.Millisecond)))
		}
		callers = append(callers, c)
	}
	var q priority.Queue[int, *caller]
	busyUntil := make([]time.Duration, 3)
	var r returned
	for now := time.Duration(0); now < length; now += step {
		for i, c := range callers {
			for n, age := range ages {
				if now < c.at+age || now >= c.at+age+step || now >= c.gaveUp || c.answered != 0 {
					continue
				}
				w := priority.Request{Caller: address(i), StartedAt: start.Add(c.at), StartBy: start.Add(c.at + fresh), ExpiresAt: start.Add(c.at + attempt)}
				if observed {
					w.HeardAt = start.Add(c.at + age)
					if n+1 < len(ages) {
						w.HeardBy = start.Add(c.at + ages[n+1] + margin)
					}
				}
				q.Push(i, w, c)
			}
		}
		q.Expired(start.Add(now))
		for i := range busyUntil {
			if busyUntil[i] > now {
				continue
			}
			_, _, c, ok := q.Pop(start.Add(now), nil)
			if !ok {
				break
			}
			if now >= c.gaveUp {
				r.wasted++
				busyUntil[i] = now + handshake
				continue
			}
			busyUntil[i] = now + work
			c.answered = now + work
			if c.answered-c.at <= 250*time.Millisecond {
				r.inTime++
			} else {
				r.late++
			}
		}
	}
	return r
}

// Guards against slots for callers that have given up while others wait: copies that do not come show which.
func TestSilentCallersGoLast(t *testing.T) {
	blind, observed := returnAfterOutage(false), returnAfterOutage(true)
	t.Logf("by the start of their attempts %+v, by the last sign of the callers %+v", blind, observed)
	assert.Assert(t, observed.inTime >= blind.inTime)
	assert.Assert(t, observed.wasted < blind.wasted)
	assert.Assert(t, 4*observed.late >= 5*blind.late)
}

// Guards against a silent caller that takes the place of one that still waits, whatever its priority, and against one that
// counts as silent although it has been heard again.
func TestSilentCallerIsHeardAgain(t *testing.T) {
	var q priority.Queue[string, string]
	push := func(name string, p int, heard time.Duration) {
		q.Push(name, priority.Request{Priority: p, Caller: address(len(name)), StartedAt: start, HeardAt: start.Add(heard), HeardBy: start.Add(heard + time.Second)}, name)
	}
	push("silent", 1, 0)
	push("again", 2, 0)
	push("waits", 2, 1500*time.Millisecond)
	push("again", 2, 1600*time.Millisecond)
	for _, want := range []string{"again", "waits", "silent"} {
		_, _, name, ok := q.Pop(start.Add(2*time.Second), nil)
		assert.Assert(t, ok)
		assert.Equal(t, name, want)
	}
}
