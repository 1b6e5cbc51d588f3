package priority_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/priority"
)

const (
	// callerWait is how long a caller waits for an answer to its opening packets, patience the limit that leaves it time
	// for its request.
	callerWait = 1400 * time.Millisecond
	patience   = time.Second
)

// overload replays a backend server that starts 100 requests a second and is asked for 40 of priority 1 and 300 of
// priority 2. Requests leave the queue when their callers give up.
type overload struct {
	q       priority.Queue[int, time.Time]
	l       priority.Level
	id      int
	refused int
	longest time.Duration // longest wait of a request that arrived while the level refused
}

// run replays the load for a time and then its end.
func (o *overload) run(t *testing.T, length time.Duration) {
	t.Helper()
	refusedAt := make(map[int]bool)
	for ms := range int(length.Milliseconds()) + 3000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, at := range o.q.RemoveAll(func(r priority.Request, _ time.Time) bool { return now.Sub(r.StartedAt) > callerWait }) {
			assert.Assert(t, now.Sub(at) > callerWait)
		}
		if now.Sub(start) < length {
			if ms%25 == 0 {
				o.arrive(t, now, 1, refusedAt)
			}
			if ms%10 < 3 {
				o.arrive(t, now, 2, refusedAt)
			}
		}
		if ms%10 == 0 {
			id, r, at, ok := o.q.Pop(now, nil)
			if ok {
				o.l.OnStart(now, r.Priority)
			}
			if ok && refusedAt[id] {
				o.longest = max(o.longest, now.Sub(at))
			}
			assert.Assert(t, ok || o.refused == 0 || now.Sub(start) >= length, "no request waits while callers are refused")
		}
		lowest, _ := o.q.Lowest()
		o.l.Update(now, lowest, patience, o.q.Waiting)
	}
}

func (o *overload) arrive(t *testing.T, now time.Time, p int, refusedAt map[int]bool) {
	t.Helper()
	o.id++
	if !priority.Admits(o.l.Refused(), p) {
		assert.Equal(t, p, 2)
		o.refused++
		return
	}
	refusedAt[o.id] = o.l.Refused() != priority.AllAdmitted
	o.l.OnWait(now, p, o.q.Waiting(p))
	o.q.Push(o.id, priority.Request{Priority: p, Caller: address(o.id), StartedAt: now, StartBy: now.Add(2 * patience)}, now)
}

// Guards against callers that wait until they give up while a refusal would let them go elsewhere, against a queue that
// runs empty while callers are refused, and against the refusal of a higher priority.
func TestLevelUnderLastingOverload(t *testing.T) {
	var o overload
	o.run(t, 12*time.Second)
	t.Logf("%d refused, longest wait %s", o.refused, o.longest)
	assert.Assert(t, o.refused > 1000)
	assert.Assert(t, o.longest < callerWait, "longest wait %s", o.longest)
	assert.Equal(t, o.l.Refused(), priority.AllAdmitted)
}

// Guards against refusals after an outage, which use up the tries of callers that could be served late: the load of three
// seconds is over before the tries of one caller are.
func TestLevelAfterOutage(t *testing.T) {
	var o overload
	o.run(t, 3*time.Second)
	assert.Equal(t, o.refused, 0)
}

// Guards against a level that refuses the highest priority or one above those that wait, whatever is counted.
func TestLevelBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l priority.Level
		now := start
		for range 30 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			l.OnStart(now, rapid.IntRange(0, 4).Draw(t, "started"))
			lowest := rapid.IntRange(0, 4).Draw(t, "lowest")
			n := rapid.IntRange(0, 200).Draw(t, "waiting")
			l.Update(now, lowest, patience, func(int) int { return n })
			assert.Assert(t, priority.Admits(l.Refused(), 0))
			assert.Assert(t, l.Refused() <= lowest)
		}
	})
}
