package priority_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	_ "github.com/bramleymast/bramleymast/internal/fixedseed"

	"github.com/bramleymast/bramleymast/pkg/priority"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	objective = 300 * time.Millisecond
	slots     = 4
	// feedWork and bookingWork are means; a request takes between half and one and a half of one.
	feedWork    = 40 * time.Millisecond
	bookingWork = 52 * time.Millisecond
)

// server is a backend server that works on slots requests at once and takes further ones in order of arrival.
type server struct {
	queue    priority.Queue[int, *request]
	slowdown int
	running  []time.Time // ends of the requests in progress
	// unordered starts requests in order of arrival, as without a queue of the agent.
	unordered bool
}

type request struct {
	priority, caller, server int // server is negative for a request on a new flow
	at                       time.Time
	work, maxWork, took      time.Duration
}

// load is a replayed load. The requests of open flows go to their servers, those of new flows to the least loaded one.
type load struct {
	servers  []*server
	requests []*request
	rng      *rand.Rand
}

func newLoad(servers, slow int) *load {
	l := &load{rng: rand.New(rand.NewPCG(1, 2))}
	for i := range servers {
		s := &server{slowdown: 1}
		if i < slow {
			s.slowdown = 4
		}
		l.servers = append(l.servers, s)
	}
	return l
}

// traffic is a stream of requests with exponential gaps, from callers in turn.
type traffic struct {
	priority, firstCaller, callers int
	open                           bool // on open flows, spread over the servers
	work, length                   time.Duration
	perSecond                      func(t time.Duration) float64
}

func (l *load) add(c traffic) {
	for t, i := time.Duration(0), 0; ; i++ {
		t += time.Duration(l.rng.ExpFloat64() / c.perSecond(t) * float64(time.Second))
		if t >= c.length {
			return
		}
		r := &request{priority: c.priority, caller: c.firstCaller + i%c.callers, at: start.Add(t), maxWork: c.work * 3 / 2, server: -1}
		r.work = time.Duration(float64(c.work) * (0.5 + l.rng.Float64()))
		if c.open {
			r.server = i % c.callers % len(l.servers)
		}
		l.requests = append(l.requests, r)
	}
}

// run replays the load until all requests are answered.
func (l *load) run() {
	slices.SortStableFunc(l.requests, func(a, b *request) int { return a.at.Compare(b.at) })
	for next := 0; ; {
		now, ok := l.nextEnd()
		if next < len(l.requests) && (!ok || l.requests[next].at.Before(now)) {
			now, ok = l.requests[next].at, true
			l.place(next)
			next++
		}
		if !ok {
			return
		}
		for _, s := range l.servers {
			s.start(now)
		}
	}
}

// nextEnd returns when the next request in progress ends, or false if there is none.
func (l *load) nextEnd() (first time.Time, ok bool) {
	for _, s := range l.servers {
		for _, end := range s.running {
			if !ok || end.Before(first) {
				first, ok = end, true
			}
		}
	}
	return first, ok
}

func (l *load) place(i int) {
	r := l.requests[i]
	if r.server < 0 {
		best := slices.MinFunc(l.servers, func(a, b *server) int {
			return (len(a.running)+a.queue.Len())*a.slowdown - (len(b.running)+b.queue.Len())*b.slowdown
		})
		r.server = slices.Index(l.servers, best)
	}
	s := l.servers[r.server]
	startBy := r.at.Add(objective - r.maxWork*time.Duration(s.slowdown))
	w := priority.Request{Priority: r.priority, Caller: address(r.caller), StartedAt: r.at, StartBy: startBy}
	if s.unordered {
		w = priority.Request{Caller: address(i), StartedAt: r.at, StartBy: r.at.Add(time.Hour)}
	}
	s.queue.Push(i, w, r)
}

// start starts waiting requests on free slots.
func (s *server) start(now time.Time) {
	s.running = slices.DeleteFunc(s.running, func(end time.Time) bool { return !end.After(now) })
	for len(s.running) < slots {
		_, _, r, ok := s.queue.Pop(now, nil)
		if !ok {
			return
		}
		end := now.Add(r.work * time.Duration(s.slowdown))
		r.took = end.Sub(r.at)
		s.running = append(s.running, end)
	}
}

func address(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)})
}

// result is how the requests of a priority or of some callers were answered.
type result struct {
	inTime, p99 float64 // share within the objective; milliseconds
}

func (l *load) result(match func(r *request) bool) result {
	var took []time.Duration
	inTime := 0
	for _, r := range l.requests {
		if !match(r) {
			continue
		}
		took = append(took, r.took)
		if r.took <= objective {
			inTime++
		}
	}
	slices.Sort(took)
	return result{float64(inTime) / float64(len(took)), float64(took[len(took)*99/100]) / float64(time.Millisecond)}
}

func (l *load) ofPriority(p int) result {
	return l.result(func(r *request) bool { return r.priority == p })
}

func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// burst returns a rate that is raised by a factor between 2 s and 6 s.
func burst(perSecond, factor float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= 2*time.Second && t < 6*time.Second {
			return perSecond * factor
		}
		return perSecond
	}
}

// shortage is 20 servers of 4 slots, a fifth of them slow, with feeds on kept flows and a burst of bookings on new ones.
func shortage(unordered bool) *load {
	l := newLoad(20, 4)
	for _, s := range l.servers {
		s.unordered = unordered
	}
	l.add(traffic{priority: 2, callers: 740, open: true, work: feedWork, length: 8 * time.Second, perSecond: constant(1138)})
	l.add(traffic{priority: 1, firstCaller: 1000, callers: 400, work: bookingWork, length: 8 * time.Second, perSecond: burst(325, 1.9)})
	l.run()
	return l
}

// Guards against bookings that are served worse than feeds while capacity is short: in order of arrival the feeds on
// kept flows take their places before bookings on new flows.
func TestBurstOfHigherPriority(t *testing.T) {
	before, l := shortage(true), shortage(false)
	high, low := l.ofPriority(1), l.ofPriority(2)
	t.Logf("bookings %+v, feeds %+v; in order of arrival %+v, %+v", high, low, before.ofPriority(1), before.ofPriority(2))
	assert.Assert(t, high.inTime >= low.inTime && high.p99 <= low.p99)
	assert.Assert(t, high.inTime >= before.ofPriority(1).inTime && low.inTime >= before.ofPriority(2).inTime)
}

// Guards against one caller with many flows that takes the capacity of the others of its priority.
func TestCallersShare(t *testing.T) {
	l := newLoad(1, 0)
	l.add(traffic{priority: 1, callers: 1, open: true, work: feedWork, length: 4 * time.Second, perSecond: constant(150)})
	l.add(traffic{priority: 1, firstCaller: 1, callers: 20, open: true, work: feedWork, length: 4 * time.Second, perSecond: constant(50)})
	l.run()
	many := l.result(func(r *request) bool { return r.caller == 0 })
	others := l.result(func(r *request) bool { return r.caller != 0 })
	t.Logf("caller with many flows %+v, others %+v", many, others)
	assert.Assert(t, others.inTime >= 0.99 && many.inTime > 0 && many.inTime < others.inTime)
}

// Guards against an order that serves callers of one priority worse than order of arrival does, up to twice the
// capacity.
func TestOnePriority(t *testing.T) {
	for name, perSecond := range map[string]float64{"usual": 70, "nearly full": 95, "over": 130, "twice": 200} {
		t.Run(name, func(t *testing.T) {
			var inTime [2]float64
			for i, unordered := range []bool{true, false} {
				l := newLoad(1, 0)
				l.servers[0].unordered = unordered
				l.add(traffic{priority: 1, callers: 400, open: true, work: feedWork, length: 5 * time.Second, perSecond: constant(perSecond)})
				l.run()
				inTime[i] = l.ofPriority(1).inTime
			}
			t.Logf("in order of arrival %.3f, ordered %.3f", inTime[0], inTime[1])
			assert.Assert(t, inTime[1] >= inTime[0])
		})
	}
}

// Guards against a low priority that gets nothing while higher ones alone exceed the capacity.
func TestLowPriorityKeepsShare(t *testing.T) {
	l := newLoad(1, 0)
	l.add(traffic{priority: 1, callers: 400, open: true, work: feedWork, length: 5 * time.Second, perSecond: constant(150)})
	l.add(traffic{priority: 2, firstCaller: 1000, callers: 400, open: true, work: feedWork, length: 5 * time.Second, perSecond: constant(50)})
	l.run()
	high, low := l.ofPriority(1), l.ofPriority(2)
	t.Logf("high %+v, low %+v", high, low)
	assert.Assert(t, low.inTime >= 0.1 && high.inTime >= low.inTime)
}
