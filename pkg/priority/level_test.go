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

// Guards against callers that wait until they give up while a refusal would let them go elsewhere, against a queue that
// runs empty while callers are refused, and against the refusal of a higher priority. For 6 s a backend server that starts
// 100 requests a second is asked for 40 of priority 1 and 300 of priority 2.
func TestLevelUnderLastingOverload(t *testing.T) {
	var (
		q       priority.Queue[int, time.Time]
		l       priority.Level
		refused int
		longest time.Duration
	)
	const length = 6 * time.Second
	for ms, id := 0, 0; ms < 9000; ms++ {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		arrive := func(p int) {
			id++
			if !priority.Admits(l.Refused(), p) {
				assert.Equal(t, p, 2)
				refused++
				return
			}
			l.OnWait(now, p, q.Waiting(p))
			q.Push(id, priority.Request{Priority: p, Caller: address(id), StartedAt: now, StartBy: now.Add(2 * patience)}, now)
		}
		if now.Sub(start) < length {
			if ms%25 == 0 {
				arrive(1)
			}
			if ms%10 < 3 {
				arrive(2)
			}
		}
		if ms%10 == 0 {
			_, r, at, ok := q.Pop(now, nil)
			if ok {
				l.OnStart(now, r.Priority)
				longest = max(longest, now.Sub(at))
			}
			assert.Assert(t, ok || refused == 0 || now.Sub(start) >= length, "no request waits while callers are refused")
		}
		lowest, _ := q.Lowest()
		l.Update(now, lowest, patience, q.Waiting)
	}
	t.Logf("%d refused, longest wait %s", refused, longest)
	assert.Assert(t, refused > 1000)
	assert.Assert(t, longest < callerWait, "longest wait %s", longest)
	assert.Equal(t, l.Refused(), priority.AllAdmitted)
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
