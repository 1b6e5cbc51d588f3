package concurrency_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/concurrency"
)

var (
	start = time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	light = netip.MustParseAddrPort("198.18.0.1:443")
	heavy = netip.MustParseAddrPort("198.18.0.2:443")
)

// request is one request of a replayed load.
type request struct {
	route      netip.AddrPort
	at         time.Duration
	left       float64 // ms of work
	inProgress int
}

// server works on the first requests of its queue, as many as it has slots, and is watched by an estimator. Beyond the
// knee its requests only share the time.
type server struct {
	concurrency.Estimator
	slots, knee int
	speed       float64
	stopped     bool
	queue       []request
	took        []time.Duration
}

func newServer(slots, knee int, speed float64) *server {
	s := &server{slots: slots, knee: knee, speed: speed}
	s.SetSlots(slots)
	return s
}

func (s *server) enqueue(now time.Duration, r request) {
	r.at, r.inProgress = now, len(s.queue)+1
	s.queue = append(s.queue, r)
	s.SetInProgress(start.Add(now), len(s.queue))
}

// work advances the server to now by a millisecond.
func (s *server) work(now time.Duration) {
	busy := min(len(s.queue), s.slots)
	if s.stopped || busy == 0 {
		return
	}
	progress := s.speed * min(1, float64(s.knee)/float64(busy))
	for i := range busy {
		s.queue[i].left -= progress
	}
	for i := busy - 1; i >= 0; i-- {
		if r := s.queue[i]; r.left <= 0 {
			s.took = append(s.took, now-r.at)
			s.Add(start.Add(now), concurrency.Answer{Route: r.route, Took: now - r.at, InProgress: r.inProgress})
			s.queue = slices.Delete(s.queue, i, i+1)
			s.SetInProgress(start.Add(now), len(s.queue))
		}
	}
}

// load draws requests: a long tail of work around a mean, at a rate that may vary with time.
type load struct {
	*rand.Rand
	perSecond  func(now time.Duration) float64
	heavyShare float64
}

func newLoad(perSecond float64) *load {
	return &load{Rand: rand.New(rand.NewPCG(1, 2)), perSecond: func(time.Duration) float64 { return perSecond }}
}

func (l *load) next(now time.Duration) (request, bool) {
	if l.Float64() >= l.perSecond(now)/1000 {
		return request{}, false
	}
	r := request{route: light, left: 25 * math.Exp(0.5*l.NormFloat64()-0.125)}
	if l.Float64() < 0.03 {
		r.left *= 7
	}
	if l.Float64() < l.heavyShare {
		r.route, r.left = heavy, r.left*4
	}
	return r, true
}

const typicalMS = 25 * 1.18 // the mean work of a light request

// run sends a load to one server.
func run(s *server, l *load, from, to time.Duration) {
	for now := from; now < to; now += time.Millisecond {
		if r, ok := l.next(now); ok {
			s.enqueue(now, r)
		}
		s.work(now)
	}
}

func (s *server) serviceMS(now time.Duration) float64 {
	return float64(s.Estimate(start.Add(now)).ServiceTime) / float64(time.Millisecond)
}

func assertWithin(t *testing.T, name string, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got/want-1) <= tolerance, "%s is %.3g, want %.3g within %.0f%%", name, got, want, 100*tolerance)
}

// Load: the same, at half and at full use. Guards against a busy server that passes for a slow one.
func TestServiceTimeDoesNotDependOnLoad(t *testing.T) {
	for _, perSecond := range []float64{20, 50, 95, 140} {
		s := newServer(3, 3, 1)
		run(s, newLoad(perSecond), 0, 12*time.Second)
		assertWithin(t, "service time", s.serviceMS(12*time.Second), typicalMS, 0.3)
		assert.Equal(t, s.Estimate(start.Add(12*time.Second)).Limit, 3)
	}
}

// Load: a wave up to the capacity of a server that gives no more answers beyond 4 of its 8 slots, and of one that does.
func TestKnee(t *testing.T) {
	for _, knee := range []int{4, 8} {
		s, l := newServer(8, knee, 1), newLoad(0)
		l.perSecond = func(now time.Duration) float64 {
			return 25 * float64(knee) * (1 + 0.4*math.Sin(2*math.Pi*now.Seconds()/5))
		}
		for _, to := range []time.Duration{20 * time.Second, 30 * time.Second, 40 * time.Second} {
			run(s, l, to-10*time.Second, to)
			e := s.Estimate(start.Add(to))
			assert.Assert(t, e.Limit >= knee-1 && e.Limit <= knee+1, "limit %d with the knee %d", e.Limit, knee)
			assertWithin(t, "answers a millisecond", float64(e.Limit)/s.serviceMS(to), float64(knee)/typicalMS, 0.25)
		}
	}
}

// Load: three requests at a time, whose answers arrive together. Guards against a knee that is an effect of the order of
// the answers.
func TestAnswersInBatches(t *testing.T) {
	s, now := newServer(3, 3, 1), time.Duration(0)
	for range 500 {
		for range 3 {
			s.enqueue(now, request{route: light, left: 25})
		}
		for range 25 {
			now += time.Millisecond
			s.work(now)
		}
	}
	assert.Equal(t, s.Estimate(start.Add(now)).Limit, 3)
	assertWithin(t, "service time", s.serviceMS(now), 25, 0.1)
}

// Load: half use, and five times slower for 6 s. Guards against an estimate that follows late or not back.
func TestSlowForSixSeconds(t *testing.T) {
	s, l := newServer(3, 3, 1), newLoad(50)
	run(s, l, 0, 10*time.Second)
	s.speed = 0.2
	run(s, l, 10*time.Second, 11500*time.Millisecond)
	assert.Assert(t, s.serviceMS(11500*time.Millisecond) > 3*typicalMS)
	l.perSecond = func(time.Duration) float64 { return 15 }
	run(s, l, 11500*time.Millisecond, 16*time.Second)
	assertWithin(t, "service time", s.serviceMS(16*time.Second), 5*typicalMS, 0.4)
	s.speed, s.queue = 1, nil
	run(s, l, 16*time.Second, 19*time.Second) // 45 requests
	assert.Assert(t, s.serviceMS(19*time.Second) < 2*typicalMS)
	assert.Equal(t, s.Estimate(start.Add(19*time.Second)).Limit, 3)
}

// Load: equal servers, of which one has 10% and the other 60% of requests that take four times as long.
func TestMixOfRoutes(t *testing.T) {
	var times [2]float64
	for i, share := range []float64{0.1, 0.6} {
		s, l := newServer(3, 3, 1), newLoad(35)
		l.heavyShare = share
		run(s, l, 0, 30*time.Second)
		times[i] = s.serviceMS(30 * time.Second)
	}
	assertWithin(t, "service time with heavy requests", times[1], times[0], 0.25)
}

// Load: a few requests, one of them long.
func TestFewAnswersDecideNothing(t *testing.T) {
	s := newServer(3, 3, 1)
	for i := range 5 {
		s.enqueue(time.Duration(i)*time.Second, request{route: light, left: 20 + 60*float64(i)})
		for ms := range 1000 {
			s.work(time.Duration(i)*time.Second + time.Duration(ms)*time.Millisecond)
		}
	}
	e := s.Estimate(start.Add(5 * time.Second))
	assert.Assert(t, !e.IsKnown())
	assert.Equal(t, e.Wait(100), time.Duration(0))
}

// Load: half use, then answers stop, and after a while there are no requests. Guards against a server that passes for
// fast because only answers count, and against one that is never tried again.
func TestAnswersStop(t *testing.T) {
	s, l := newServer(3, 3, 1), newLoad(50)
	run(s, l, 0, 10*time.Second)
	s.stopped = true
	run(s, l, 10*time.Second, 10700*time.Millisecond)
	assert.Assert(t, s.serviceMS(10700*time.Millisecond) > 4*typicalMS)
	run(s, l, 10700*time.Millisecond, 13*time.Second)
	assert.Assert(t, s.serviceMS(13*time.Second) > 20*typicalMS)
	s.SetInProgress(start.Add(13*time.Second), 0) // The requests count as lost and no others come.
	assert.Assert(t, s.Estimate(start.Add(15*time.Second)).IsKnown())
	assert.Assert(t, !s.Estimate(start.Add(17*time.Second)).IsKnown())
}

// Load: full use during a cold start, then at full speed; a release that is twice as fast; another run of the server.
func TestSpeedAfterStart(t *testing.T) {
	s, l := newServer(3, 3, 1/1.6), newLoad(50)
	run(s, l, 0, 2*time.Second)
	assertWithin(t, "cold service time", s.serviceMS(2*time.Second), 1.6*typicalMS, 0.4)
	s.speed = 1
	run(s, l, 2*time.Second, 8*time.Second)
	assertWithin(t, "warm service time", s.serviceMS(8*time.Second), typicalMS, 0.3)
	s.speed = 2
	run(s, l, 8*time.Second, 14*time.Second)
	assertWithin(t, "service time of the release", s.serviceMS(14*time.Second), typicalMS/2, 0.3)
	s.Reset()
	assert.Assert(t, !s.Estimate(start.Add(14*time.Second)).IsKnown())
}

// Load: all servers five times slower. Guards against limits that leave slots idle when the whole service is slow.
func TestLimitKeepsSlotsBusy(t *testing.T) {
	s := newServer(3, 3, 0.2)
	run(s, newLoad(15), 0, 10*time.Second)
	e := s.Estimate(start.Add(10 * time.Second))
	assert.Assert(t, e.InProgressFor(0) == 4 && e.InProgressFor(80*time.Millisecond) >= 4)
	assert.Equal(t, e.Wait(2), time.Duration(0))
	assert.Assert(t, e.Wait(3) > 0)
}

// Load: a wave around 70% of the capacity of three servers with the speeds 0.7, 0.7 and 1.7, placed by reports that are
// 50 ms old. Placement by requests for each slot, which is the rule without estimates, is the comparison.
func TestServersOfDifferentSpeed(t *testing.T) {
	place := func(learned bool) (inObjective float64, p99 time.Duration, served []int) {
		servers := []*server{newServer(3, 3, 0.7), newServer(3, 3, 0.7), newServer(3, 3, 1.7)}
		l := newLoad(0)
		capacity := 3.1 * 3 * 1000 / typicalMS
		l.perSecond = func(now time.Duration) float64 {
			return 0.7 * capacity * (1 + 0.3*math.Sin(2*math.Pi*now.Seconds()/8))
		}
		cost := make([]float64, len(servers))
		for now := time.Duration(0); now < 40*time.Second; now += time.Millisecond {
			if now%(50*time.Millisecond) == 0 {
				for i, s := range servers {
					cost[i] = float64(len(s.queue)+1) / float64(s.slots)
					if e := s.Estimate(start.Add(now)); learned && e.IsKnown() {
						cost[i] = (e.Wait(len(s.queue)) + e.ServiceTime).Seconds()
					}
				}
			}
			if r, ok := l.next(now); ok {
				i := slices.Index(cost, slices.Min(cost))
				servers[i].enqueue(now, r)
				cost[i] += 1. / 3
				if e := servers[i].Estimate(start.Add(now)); learned && e.IsKnown() {
					cost[i] += e.ServiceTime.Seconds()/3 - 1./3
				}
			}
			for _, s := range servers {
				s.work(now)
			}
		}
		var all []time.Duration
		for _, s := range servers {
			all = append(all, s.took...)
			served = append(served, len(s.took))
		}
		slices.Sort(all)
		within, _ := slices.BinarySearch(all, 250*time.Millisecond)
		return float64(within) / float64(len(all)), all[len(all)*99/100], served
	}
	before, beforeP99, _ := place(false)
	after, afterP99, served := place(true)
	t.Logf("within the objective %.4f, 99%% within %v; by slots %.4f, %v; served %v", after, afterP99, before, beforeP99, served)
	assert.Assert(t, after > before && afterP99 < beforeP99)
}
