package passthrough_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// wave replays the callers after an outage: while nothing answers, callers keep coming and repeat their opening
// packets, and when the backend server is back it works slower than usual for a while.
type wave struct {
	gate   *passthrough.Admitter
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
			if _, ok := w.gate.OnOpeningPacket(w.time(), arrival(i, copies)).(passthrough.Deliver); ok {
				w.accept(i)
			}
		})
	}
}

// accept lets the backend server answer the opening packet, and the caller send its request.
func (w *wave) accept(i int) {
	w.gate.OnServerPacket(w.time(), accepting(i, 1), false)
	w.at(w.now+2*w.trip, func() {
		if w.done[i] != 0 {
			return
		}
		w.done[i] = -1
		w.gate.OnEstablishedPacket(w.time(), data(i, 2))
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
			w.gate.OnServerPacket(w.time(), answer(i), false)
			w.admit()
			w.start()
		})
	}
}

func (w *wave) admit() {
	deliver, _ := w.gate.Dequeue(w.time())
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

// overload replays callers that come faster than a backend server works and try again when nothing answers.
type overload struct {
	wave
	// balancers get the tries of a caller in turn.
	balancers []passthrough.Attempts
	objective time.Duration
	served    map[passthrough.FlowID]bool
	callers   map[passthrough.FlowID]int
}

// try lets a caller open a flow at the current time, and again when the attempt ends without an answer.
func (o *overload) try(caller, n int) {
	const tries, attemptTime = 3, 1400 * time.Millisecond
	f := callerFlow(caller, n)
	o.callers[f] = caller
	began := o.now
	attempts := o.attempts(f)
	for copies, age := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		o.at(began+age+o.trip, func() {
			if o.served[f] {
				return
			}
			a := attemptOf(caller, n, copies)
			a.Objective = o.objective
			a.IsRetry = copies == 0 && attempts.IsRetry(o.time(), f)
			attempts.Add(o.time(), a)
			if _, ok := o.gate.OnOpeningPacket(o.time(), a).(passthrough.Deliver); ok {
				o.serve(f)
			}
		})
	}
	o.at(began+attemptTime, func() {
		if !o.served[f] && n+1 < tries {
			o.try(caller, n+1)
		}
	})
}

// attempts returns what the balancer of a flow remembers.
func (o *overload) attempts(f passthrough.FlowID) *passthrough.Attempts {
	return &o.balancers[(o.callers[f]+int(f.Caller().Port()))%len(o.balancers)]
}

// tell tells all balancers what the gate has not answered.
func (o *overload) tell(interval time.Duration) {
	for _, a := range o.gate.UnansweredAttempts(o.time()) {
		for i := range o.balancers {
			o.balancers[i].AddUnanswered(o.time(), a)
		}
	}
	if o.now < 8*time.Second {
		o.at(o.now+interval, func() { o.tell(interval) })
	}
}

// serve lets the backend server get the packet that opens a flow, and the request after the handshake.
func (o *overload) serve(f passthrough.FlowID) {
	if o.served[f] {
		return
	}
	o.served[f] = true
	o.attempts(f).Remove(f)
	seg := func(flags passthrough.Flags, size int) passthrough.Segment {
		return passthrough.NewSegment(f, flags, 1, 2, size)
	}
	o.gate.OnServerPacket(o.time(), seg(passthrough.FlagOpen|passthrough.FlagAck, 0), false)
	o.at(o.now+2*o.trip, func() {
		o.gate.OnEstablishedPacket(o.time(), seg(passthrough.FlagAck, 100))
		caller := o.callers[f]
		o.queue = append(o.queue, caller)
		o.workOn()
	})
}

// workOn lets free slots work on the next requests.
func (o *overload) workOn() {
	for o.busy < o.slots && len(o.queue) > 0 {
		caller := o.queue[0]
		o.queue = o.queue[1:]
		o.busy++
		o.at(o.now+o.work, func() {
			o.busy--
			if o.done[caller] == 0 {
				o.done[caller] = o.now + o.trip
			}
			o.finish(caller)
			o.workOn()
		})
	}
}

// finish tells the gate of the answer to a caller and lets it deliver what it holds.
func (o *overload) finish(caller int) {
	for n := range 3 {
		if f := callerFlow(caller, n); o.served[f] {
			o.gate.OnServerPacket(o.time(), passthrough.NewSegment(f, passthrough.FlagAck, 1, 2, 500), false)
		}
	}
	deliver, _ := o.gate.Dequeue(o.time())
	for _, a := range deliver {
		o.serve(a.Segment.Flow())
	}
}

// Guards against callers that come back, or have waited for too long, in the place of those that can be answered in
// time. The load is twice what the backend server bears for 4 s; nine tenths of what it bears are answered in time.
func TestOverloadWithRetries(t *testing.T) {
	for _, balancers := range []int{1, 5} {
		t.Run(fmt.Sprintf("balancers %d", balancers), func(t *testing.T) { testOverloadWithRetries(t, balancers) })
	}
}

func testOverloadWithRetries(t *testing.T, balancers int) {
	t.Helper()
	const (
		capacity  = 77 // requests a second: 2 slots with 26 ms of work
		length    = 4 * time.Second
		objective = 150 * time.Millisecond
	)
	o := &overload{
		wave: wave{
			gate: newGate(2), slots: 2, work: 26 * time.Millisecond, trip: 4 * time.Millisecond,
			first: make(map[int]time.Duration), done: make(map[int]time.Duration),
		},
		balancers: make([]passthrough.Attempts, balancers), objective: objective, served: make(map[passthrough.FlowID]bool), callers: make(map[passthrough.FlowID]int),
	}
	for i := 0; ; i++ {
		at := time.Duration(i) * time.Second / (2 * capacity)
		if at >= length {
			break
		}
		o.first[i] = at
		o.at(at, func() { o.try(i, 0) })
	}
	o.tell(200 * time.Millisecond)
	o.run(10 * time.Second)
	inTime := 0
	for i, first := range o.first {
		if d := o.done[i]; d > 0 && d-first <= objective {
			inTime++
		}
	}
	want := int(length.Seconds()) * capacity * 9 / 10
	assert.Assert(t, inTime >= want, "%d callers answered within %s, want %d", inTime, objective, want)
}
