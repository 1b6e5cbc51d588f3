package passthrough_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// outageSimulation simulates the callers after an outage: while nothing answers, callers keep arriving and retransmit
// their opening packets, and when the backend server is back it is slower than usual for a while.
type outageSimulation struct {
	admitter   *passthrough.Admitter
	events     events
	now        time.Duration
	slots      int
	busy       int
	queue      []int // callers whose requests wait for a slot
	startedAt  map[int]time.Duration
	answeredAt map[int]time.Duration // -1 from the request to its answer
	workTime   time.Duration
	linkDelay  time.Duration
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

func (s *outageSimulation) schedule(at time.Duration, run func()) {
	heap.Push(&s.events, event{at, run})
}

func (s *outageSimulation) time() time.Time { return start.Add(s.now) }

// openFlow schedules the opening packets of caller i that are sent after the outage.
func (s *outageSimulation) openFlow(i int, at, outage time.Duration) {
	s.startedAt[i] = at
	for retransmissions, age := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		if at+age < outage {
			continue
		}
		s.schedule(at+age+s.linkDelay, func() {
			if s.answeredAt[i] != 0 {
				return
			}
			if _, ok := s.admitter.OnOpeningPacket(s.time(), openingPacket(i, retransmissions)).(passthrough.Deliver); ok {
				s.accept(i)
			}
		})
	}
}

// accept makes the backend server answer the opening packet and schedules the caller's request.
func (s *outageSimulation) accept(i int) {
	s.admitter.OnServerPacket(s.time(), acceptSegment(i, 1), false)
	s.schedule(s.now+2*s.linkDelay, func() {
		if s.answeredAt[i] != 0 {
			return
		}
		s.answeredAt[i] = -1
		s.admitter.OnEstablishedPacket(s.time(), requestSegment(i, 2), true)
		s.queue = append(s.queue, i)
		s.startRequests()
	})
}

func (s *outageSimulation) startRequests() {
	for s.busy < s.slots && len(s.queue) > 0 {
		i := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		s.schedule(s.now+s.workTime, func() {
			s.busy--
			s.answeredAt[i] = s.now + s.linkDelay
			s.admitter.OnServerPacket(s.time(), responseSegment(i), false)
			s.deliverQueued()
			s.startRequests()
		})
	}
}

func (s *outageSimulation) deliverQueued() {
	deliver, _ := s.admitter.Dequeue(s.time())
	for _, p := range deliver {
		for i := range s.startedAt {
			if flowOf(i) == p.Segment.Flow() {
				s.accept(i)
			}
		}
	}
}

func (s *outageSimulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at < until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// Guards against callers that arrive after an outage and are answered late because they are queued behind callers that
// were late already. The backend server processes 77 requests a second (2 slots, 26 ms each). At 53 callers a second
// nearly all that arrive after the outage must be answered in time; at twice the capacity, as many as nine tenths of
// the capacity.
func TestCallersAfterOutage(t *testing.T) {
	const (
		outage    = 1300 * time.Millisecond
		objective = 120 * time.Millisecond
	)
	for name, c := range map[string]struct {
		perSecond, want int
		newAdmitter     func(slots int) *passthrough.Admitter
	}{
		"usual load":                    {53, 50, newAdmitter},
		"twice capacity":                {154, 69, newAdmitter},
		"usual load, learned limit":     {53, 50, newLearningAdmitter},
		"twice capacity, learned limit": {154, 69, newLearningAdmitter},
	} {
		t.Run(name, func(t *testing.T) {
			s := &outageSimulation{
				admitter: c.newAdmitter(2), slots: 2, workTime: 26 * time.Millisecond, linkDelay: 4 * time.Millisecond,
				startedAt: make(map[int]time.Duration), answeredAt: make(map[int]time.Duration),
			}
			for i := 0; ; i++ {
				at := time.Duration(i) * time.Second / time.Duration(c.perSecond)
				if at > outage+time.Second {
					break
				}
				s.openFlow(i, at, outage)
			}
			s.run(5 * time.Second)
			inTime := 0
			for i, first := range s.startedAt {
				if d := s.answeredAt[i]; first >= outage && d > 0 && d-first <= objective {
					inTime++
				}
			}
			assert.Assert(t, inTime >= c.want, "%d callers answered within %s", inTime, objective)
		})
	}
}

// overloadSimulation simulates callers that arrive faster than a backend server works and retry unanswered attempts.
type overloadSimulation struct {
	outageSimulation
	// balancers holds the recorded attempts of each balancer; a caller's attempts go through the balancers in turn.
	balancers []passthrough.Attempts
	objective time.Duration
	// timeout is the time of which callers give a third of what is left to each attempt; 0 if each lasts 1.4 s.
	timeout time.Duration
	// expected is how long the balancers and the agent expect a first attempt to last; 0 if they expect 1.4 s.
	expected time.Duration
	// outage is when the first packets arrive.
	outage time.Duration
	served map[passthrough.FlowID]bool
	// abandoned holds the flows whose callers have given up.
	abandoned map[passthrough.FlowID]bool
	callers   map[passthrough.FlowID]int
}

// openAttempt makes a caller open a flow at the current time, and again when the attempt times out.
func (o *overloadSimulation) openAttempt(caller, n int) {
	const maxAttempts = 3
	attemptTimeout, pause := 1400*time.Millisecond, time.Duration(0)
	if o.timeout > 0 {
		attemptTimeout = (o.timeout - (o.now - o.startedAt[caller])) / 3
		pause = time.Duration(20+caller%81) * time.Millisecond << n
	}
	f := attemptFlow(caller, n)
	o.callers[f] = caller
	startedAt := o.now
	attempts := o.attempts(f)
	for retransmissions, age := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		o.schedule(startedAt+age+o.linkDelay, func() {
			if o.served[f] || o.abandoned[f] || o.now < o.outage {
				return
			}
			p := attemptPacket(caller, n, retransmissions)
			p.AttemptTimeout = o.expected
			p.Objective = o.objective
			p.IsRetry = retransmissions == 0 && attempts.IsRetry(o.time(), f)
			attempts.Add(o.time(), p)
			if _, ok := o.admitter.OnOpeningPacket(o.time(), p).(passthrough.Deliver); ok {
				o.deliverOpening(f)
			}
		})
	}
	o.schedule(startedAt+attemptTimeout, func() {
		o.abandoned[f] = !o.served[f]
		if !o.served[f] && n+1 < maxAttempts {
			o.schedule(o.now+pause, func() { o.openAttempt(caller, n+1) })
		}
	})
}

// attempts returns the attempts that the balancer of a flow has recorded.
func (o *overloadSimulation) attempts(f passthrough.FlowID) *passthrough.Attempts {
	return &o.balancers[(o.callers[f]+int(f.Caller().Port()))%len(o.balancers)]
}

// reportUnanswered reports the unanswered attempts of the admitter to all balancers, and repeats that at the interval.
func (o *overloadSimulation) reportUnanswered(interval time.Duration) {
	for _, a := range o.admitter.UnansweredAttempts(o.time()) {
		for i := range o.balancers {
			o.balancers[i].AddUnanswered(o.time(), a, o.expected)
		}
	}
	if o.now < 8*time.Second {
		o.schedule(o.now+interval, func() { o.reportUnanswered(interval) })
	}
}

// deliverOpening delivers an opening packet to the backend server, and the request after the handshake.
func (o *overloadSimulation) deliverOpening(f passthrough.FlowID) {
	if o.served[f] {
		return
	}
	o.served[f] = true
	o.attempts(f).Remove(f)
	seg := func(flags passthrough.Flags, size int) passthrough.Segment {
		return passthrough.NewSegment(f, flags, 1, 2, size)
	}
	o.admitter.OnServerPacket(o.time(), seg(passthrough.FlagOpen|passthrough.FlagAck, 0), false)
	o.schedule(o.now+2*o.linkDelay, func() {
		if o.abandoned[f] {
			return
		}
		o.admitter.OnEstablishedPacket(o.time(), seg(passthrough.FlagAck, 100), true)
		caller := o.callers[f]
		o.queue = append(o.queue, caller)
		o.processRequests()
	})
}

// processRequests starts queued requests on free slots.
func (o *overloadSimulation) processRequests() {
	for o.busy < o.slots && len(o.queue) > 0 {
		caller := o.queue[0]
		o.queue = o.queue[1:]
		o.busy++
		o.schedule(o.now+o.workTime, func() {
			o.busy--
			if o.answeredAt[caller] == 0 {
				o.answeredAt[caller] = o.now + o.linkDelay
			}
			o.completeRequest(caller)
			o.processRequests()
		})
	}
}

// completeRequest passes the response to a caller to the admitter and delivers queued packets.
func (o *overloadSimulation) completeRequest(caller int) {
	for n := range 3 {
		if f := attemptFlow(caller, n); o.served[f] {
			o.admitter.OnServerPacket(o.time(), passthrough.NewSegment(f, passthrough.FlagAck, 1, 2, 500), false)
		}
	}
	deliver, _ := o.admitter.Dequeue(o.time())
	for _, p := range deliver {
		o.deliverOpening(p.Segment.Flow())
	}
}

// newOverload returns a simulation of a backend server that processes 77 requests a second: 2 slots with 26 ms of work.
func newOverload(balancers int, ad *passthrough.Admitter) *overloadSimulation {
	return &overloadSimulation{
		outageSimulation: outageSimulation{
			admitter: ad, slots: 2, workTime: 26 * time.Millisecond, linkDelay: 4 * time.Millisecond,
			startedAt: make(map[int]time.Duration), answeredAt: make(map[int]time.Duration),
		},
		balancers: make([]passthrough.Attempts, balancers), objective: 150 * time.Millisecond,
		served: make(map[passthrough.FlowID]bool), abandoned: make(map[passthrough.FlowID]bool), callers: make(map[passthrough.FlowID]int),
	}
}

// capacity is the number of requests that the backend server processes in a second.
const capacity = 77

// inTime returns how many of the callers that arrive at a rate until the end, and from a time on, are answered within the
// objective, and how many there are.
func (o *overloadSimulation) inTime(perSecond int, from, end time.Duration) (inTime, callers int) {
	for i := 0; ; i++ {
		at := time.Duration(i) * time.Second / time.Duration(perSecond)
		if at >= end {
			break
		}
		o.startedAt[i] = at
		o.schedule(at, func() { o.openAttempt(i, 0) })
	}
	o.reportUnanswered(200 * time.Millisecond)
	o.run(10 * time.Second)
	for i, first := range o.startedAt {
		if first < from {
			continue
		}
		callers++
		if d := o.answeredAt[i]; d > 0 && d-first <= o.objective {
			inTime++
		}
	}
	return inTime, callers
}

// Guards against retries and late callers that take the capacity of callers that can still be answered in time. For 4 s
// the load is twice what the backend server can process; nine tenths of its capacity must be answered in time. Callers
// whose requests may be repeated give up an attempt after a third of the time that they have left, or they do not although
// that is expected of them.
func TestOverloadWithRetries(t *testing.T) {
	const timeout, length = 2500 * time.Millisecond, 4 * time.Second
	for name, c := range map[string]struct {
		timeout, expected time.Duration
		newAdmitter       func(slots int) *passthrough.Admitter
	}{
		"whole attempts":             {0, 0, newAdmitter},
		"learned limit":              {0, 0, newLearningAdmitter},
		"thirds":                     {timeout, timeout / 3, newAdmitter},
		"whole attempts, not thirds": {0, timeout / 3, newAdmitter},
	} {
		for _, balancers := range []int{1, 5} {
			t.Run(fmt.Sprintf("%s, balancers %d", name, balancers), func(t *testing.T) {
				o := newOverload(balancers, c.newAdmitter(2))
				o.timeout, o.expected = c.timeout, c.expected
				inTime, _ := o.inTime(2*capacity, 0, length)
				want := int(length.Seconds()) * capacity * 9 / 10
				assert.Assert(t, inTime >= want, "%d callers answered within %s, want %d", inTime, o.objective, want)
			})
		}
	}
}

// Guards against retries of attempts from an outage that take the capacity of callers who arrive after it. The load is
// eight tenths of the capacity; 1.2 s pass without an answer, then nine tenths of the callers must be answered in time.
func TestRetriesAfterOutage(t *testing.T) {
	const outage = 1200 * time.Millisecond
	for _, balancers := range []int{1, 5} {
		o := newOverload(balancers, newAdmitter(2))
		o.timeout, o.expected, o.outage = 2500*time.Millisecond, 2500*time.Millisecond/3, outage
		inTime, callers := o.inTime(capacity*8/10, outage, outage+2*time.Second)
		assert.Assert(t, inTime*10 >= callers*9, "%d balancers: %d of %d callers answered within %s", balancers, inTime, callers, o.objective)
	}
}
