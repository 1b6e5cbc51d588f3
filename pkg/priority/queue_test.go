package priority_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/priority"
)

// Guards against lost, duplicated and misplaced requests in any order of events: a request leaves the queue once, one that
// is late goes before one that is not only if its priority was passed over, and callers take turns.
func TestQueueKeepsRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q priority.Queue[int, int]
		waiting := map[int]bool{}
		now, next := start, 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				r := priority.Request{Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Caller: address(rapid.IntRange(0, 5).Draw(t, "caller")), StartedAt: now}
				r.StartBy = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "slack")) * time.Millisecond)
				if rapid.Bool().Draw(t, "released") {
					r.ReleaseAt = r.StartBy.Add(50 * time.Millisecond)
				}
				if q.Push(next, r, next) {
					waiting[next] = true
				}
			},
			"pop": func(t *rapid.T) {
				inTime, late := rapid.Bool().Draw(t, "in time"), rapid.Bool().Draw(t, "late")
				key, r, v, ok := q.Pop(now, func(_ priority.Request, _ int, isLate bool) bool {
					return isLate && late || !isLate && inTime
				})
				if !ok {
					assert.Assert(t, len(waiting) == 0 || !inTime || !late)
					return
				}
				assert.Assert(t, waiting[v] && key == v)
				assert.Assert(t, inTime || !now.Before(r.StartBy))
				delete(waiting, v)
			},
			"release": func(t *rapid.T) {
				for _, v := range q.Released(now) {
					assert.Assert(t, waiting[v])
					delete(waiting, v)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { assert.Equal(t, q.Len(), len(waiting)) },
		})
	})
}

// Guards against a queue that grows without limit, and a replaced request that loses its place.
func TestQueueLimits(t *testing.T) {
	var q priority.Queue[int, string]
	n := 0
	for q.Push(n, priority.Request{StartedAt: start, StartBy: start.Add(time.Duration(n) * time.Millisecond)}, "") {
		n++
	}
	assert.Equal(t, n, 512)
	assert.Assert(t, q.Push(0, priority.Request{}, "replaced"))
	_, _, v, ok := q.Pop(start.Add(-time.Hour), nil)
	assert.Assert(t, ok)
	assert.Equal(t, v, "replaced")
}

// A booking goes before feeds, and a request that cannot be answered in time after both.
func ExampleQueue() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var q priority.Queue[int, string]
	push := func(name string, p int, left time.Duration) {
		q.Push(q.Len(), priority.Request{Priority: p, Caller: address(q.Len()), StartedAt: now, StartBy: now.Add(left)}, name)
	}
	push("late booking", 1, 0)
	push("feed", 2, 100*time.Millisecond)
	push("urgent feed", 2, 50*time.Millisecond)
	push("booking", 1, 100*time.Millisecond)
	for {
		_, _, name, ok := q.Pop(now, nil)
		if !ok {
			return
		}
		fmt.Println(name)
	}
	// Output:
	// booking
	// urgent feed
	// feed
	// late booking
}
