package passthrough_test

import (
	"container/heap"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// wave replays the callers after an outage: while nothing answers, callers keep coming and repeat their opening
// packets, and when the backend server is back it works slower than usual for a while.
type wave struct {
	gate   *passthrough.Gate
	events events
	now    time.Duration
	slots  int
	busy   int
	queue  []int
	first  map[int]time.Duration
	done   map[int]time.Duration
	work   time.Duration
	trip   time.Duration
}

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (w *wave) at(d time.Duration, run func()) { heap.Push(&w.events, event{d, run}) }

func (w *wave) time() time.Time { return start.Add(w.now) }

// call lets caller i send its opening packets.
func (w *wave) call(i int, at, outage time.Duration) {
	w.first[i] = at
	for copies, age := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		if at+age < outage {
			continue
		}
		w.at(at+age+w.trip, func() {
			if w.done[i] != 0 {
				return
			}
			if _, ok := w.gate.Open(w.time(), arrival(i, copies)).(passthrough.Deliver); ok {
				w.accept(i)
			}
		})
	}
}

// accept lets the backend server answer the opening packet, and the caller send its request.
func (w *wave) accept(i int) {
	w.gate.Answered(w.time(), accepting(i, 1), false)
	w.at(w.now+2*w.trip, func() {
		if w.done[i] != 0 {
			return
		}
		w.done[i] = -1
		w.gate.Continue(w.time(), data(i, 2))
		w.queue = append(w.queue, i)
		w.start()
	})
}

func (w *wave) start() {
	for w.busy < w.slots && len(w.queue) > 0 {
		i := w.queue[0]
		w.queue = w.queue[1:]
		w.busy++
		w.at(w.now+w.work, func() {
			w.busy--
			w.done[i] = w.now + w.trip
			w.gate.Answered(w.time(), answer(i), false)
			w.admit()
			w.start()
		})
	}
}

func (w *wave) admit() {
	deliver, _ := w.gate.Due(w.time())
	for _, a := range deliver {
		for i := range w.first {
			if flowOf(i) == a.Segment.Flow() {
				w.accept(i)
			}
		}
	}
}

func (w *wave) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at < until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
}

// Guards against callers that come after an outage and are late because they wait behind those who were late
// already. The backend server bears 77 requests a second, 2 slots with 26 ms of work. At 53 callers a second nearly
// all who come after the outage are answered in time, at twice the capacity nine tenths of the capacity.
func TestWaveAfterOutage(t *testing.T) {
	const (
		outage    = 1300 * time.Millisecond
		objective = 120 * time.Millisecond
	)
	for name, c := range map[string]struct{ perSecond, want int }{
		"usual load":     {53, 50},
		"twice capacity": {154, 69},
	} {
		t.Run(name, func(t *testing.T) {
			w := &wave{
				gate: newGate(2), slots: 2, work: 26 * time.Millisecond, trip: 4 * time.Millisecond,
				first: make(map[int]time.Duration), done: make(map[int]time.Duration),
			}
			for i := 0; ; i++ {
				at := time.Duration(i) * time.Second / time.Duration(c.perSecond)
				if at > outage+time.Second {
					break
				}
				w.call(i, at, outage)
			}
			w.run(5 * time.Second)
			inTime := 0
			for i, first := range w.first {
				if d := w.done[i]; first >= outage && d > 0 && d-first <= objective {
					inTime++
				}
			}
			assert.Assert(t, inTime >= c.want, "%d callers answered within %s", inTime, objective)
		})
	}
}
