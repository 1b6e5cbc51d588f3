package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/bramleymast/bramleymast/pkg/concurrency"
	"github.com/bramleymast/bramleymast/pkg/dispatch"
)

// load is a load that replay sends to backend servers. The zero values of its options leave them out.
type load struct {
	servers   []testServer
	balancers int // divided evenly between the zones
	zones     int
	way       time.Duration // round trip to another zone beyond that within a zone
	work      time.Duration // mean time that a server of speed 1 takes for a request
	perSecond float64       // requests a second
	flowLife  time.Duration // mean life of a kept flow; 0 means a flow for each request
	flowRate  float64       // requests a second of a kept flow
	hot       bool          // one in ten kept flows sends half of the requests
	// minAge and maxAge bound the time between two reports of a server to a balancer.
	minAge, maxAge time.Duration
	objective      time.Duration
	length         time.Duration
	// heavyShare is the share of flows to a second route, whose requests take four times as long.
	heavyShare float64
	// peak returns the factor by which the rate of a zone differs from its mean.
	peak func(zone int, at time.Duration) float64
}

// testServer is a backend server with the given speed, whose factor may change with time.
type testServer struct {
	zone, slots int
	speed       float64
	// slowdown divides the speed at a time; nil means 1.
	slowdown func(at time.Duration) float64
	// closed is when the server accepts no flows; nil means never.
	closed func(at time.Duration) bool
	// silent is when balancers get no reports; nil means never.
	silent func(at time.Duration) bool

	// knee is how many requests the server works on without making each of them slower; 0 means all slots.
	knee int
	// stopped is when the server gives no answers; nil means never.
	stopped func(at time.Duration) bool
	// restarts are the times at which the agent beside the server starts again.
	restarts []time.Duration

	estimator           *concurrency.Estimator
	busy, queued, flows int
	queue               []func()
	work                float64 // seconds of work received, at speed 1
	bins                []float64
}

// policy chooses the server of a flow from what a balancer knows; it returns an index.
type policy func(f dispatch.Flow, servers []dispatch.Server) int

// cost is the placement without learned values: requests ahead for each slot.
func byCost(f dispatch.Flow, servers []dispatch.Server) int {
	best, least := 0, math.Inf(1)
	for i := range servers {
		i = (i + int(f.Hash%uint64(len(servers)))) % len(servers)
		s := servers[i]
		ahead := float64(s.InProgress+s.Placed) + 24*float64(s.FailurePercent)/100
		if s.Zone != f.Zone {
			ahead += 0.5
		}
		if c := (ahead + 1) / float64(s.Slots); c < least {
			best, least = i, c
		}
	}
	return best
}

func byTime() policy {
	var r dispatch.Ranker
	return func(f dispatch.Flow, servers []dispatch.Server) int {
		choices, ok := r.Rank(f, servers)
		if !ok {
			return byCost(f, servers)
		}
		best := 0
		for i := range choices {
			if choices[i].Key < choices[best].Key {
				best = i
			}
		}
		return best
	}
}

// result is what callers and servers saw.
type result struct {
	inTime    float64       // share of requests answered within the objective
	p99       time.Duration // of the times to an answer
	imbalance float64       // work of the busiest server to the mean, by capacity
	swing     float64       // the same within the worst 500 ms
	// bySpeed is the work of the servers of each speed to the mean, by capacity, in the busiest two seconds.
	bySpeed   map[float64]float64
	elsewhere float64 // share of flows that went to another zone
	// shares is the number of flows that each server got, by replay and second.
	shares [][][]float64
}

func (r result) String() string {
	return fmt.Sprintf("in time %.4f, p99 %s, busiest/mean %.2f, in 500 ms %.2f, other zone %.2f, by speed %.2f", r.inTime, r.p99.Round(time.Millisecond), r.imbalance, r.swing, r.elsewhere, r.bySpeed)
}

type timed struct {
	at  time.Duration
	run func()
}

type agenda []timed

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(timed)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// view is what a balancer knows of a server.
type view struct {
	server     dispatch.Server
	reportedAt time.Duration
	placedAt   time.Duration
	accepts    bool
}

// replay sends a load to servers through a policy.
type replay struct {
	load    load
	rng     *rand.Rand
	agenda  agenda
	now     time.Duration
	servers []testServer
	views   [][]view          // by balancer and server
	known   []dispatch.Server // reused by open, like index
	index   []int
	choose  policy
	times   []time.Duration
	flows   [][]float64
	placed  float64
	away    float64 // flows placed in another zone
}

const binLength = 500 * time.Millisecond

// run replays a load with each of the seeds and returns what happened in all replays together.
func run(l load, choose func() policy, seeds ...uint64) result {
	all := make([]*replay, 0, len(seeds))
	for _, seed := range seeds {
		all = append(all, runOnce(l, seed, choose()))
	}
	return resultOf(all)
}

func runOnce(l load, seed uint64, choose policy) *replay {
	r := &replay{load: l, rng: rand.New(rand.NewPCG(seed, 2)), servers: slices.Clone(l.servers), choose: choose}
	bins := int(l.length/binLength) + 1
	for i := range r.servers {
		s := &r.servers[i]
		s.bins = make([]float64, bins)
		s.startAgent()
		for _, at := range s.restarts {
			r.at(at, s.startAgent)
		}
	}
	r.flows = make([][]float64, int(l.length/time.Second)+1)
	for i := range r.flows {
		r.flows[i] = make([]float64, len(r.servers))
	}
	for b := range l.balancers {
		views := make([]view, len(r.servers))
		for i := range views {
			views[i] = view{placedAt: -time.Hour, reportedAt: -time.Hour, accepts: true}
			views[i].server = dispatch.Server{Key: uint64(i + 1), Zone: strconv.Itoa(r.servers[i].zone), Slots: 2}
			r.report(b, i, views)
			r.at(time.Duration(r.rng.Float64()*float64(l.maxAge)), func() { r.reportRegularly(b, i) })
		}
		r.views = append(r.views, views)
	}
	for z := range l.zones {
		r.arrive(z)
	}
	for len(r.agenda) > 0 && r.agenda[0].at < l.length {
		e := heap.Pop(&r.agenda).(timed)
		r.now = e.at
		e.run()
	}
	return r
}

// startAgent starts the agent of a server, which knows nothing.
func (s *testServer) startAgent() {
	s.estimator = &concurrency.Estimator{}
	s.estimator.SetSlots(s.slots)
}

// count tells the agent how many requests are in progress.
func (s *testServer) count(now time.Duration) {
	s.estimator.SetInProgress(epoch.Add(now), s.busy+s.queued)
}

var epoch = time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)

// routes are the service addresses of light and heavy requests.
var routes = map[bool]netip.AddrPort{false: netip.MustParseAddrPort("198.18.0.1:443"), true: netip.MustParseAddrPort("198.18.0.2:443")}

func (r *replay) at(at time.Duration, run func()) { heap.Push(&r.agenda, timed{at, run}) }

func (r *replay) exp(mean float64) time.Duration {
	return time.Duration(r.rng.ExpFloat64() * mean * float64(time.Second))
}

func (r *replay) reportRegularly(b, i int) {
	r.report(b, i, r.views[b])
	r.at(r.now+r.load.minAge+time.Duration(r.rng.Float64()*float64(r.load.maxAge-r.load.minAge)), func() { r.reportRegularly(b, i) })
}

func (r *replay) report(b, i int, views []view) {
	s := &r.servers[i]
	if s.silent != nil && s.silent(r.now) {
		return
	}
	v := &views[i]
	var way time.Duration
	if s.zone != b%r.load.zones {
		way = r.load.way
	}
	since, before := r.now-v.reportedAt, v.server
	v.reportedAt, v.accepts = r.now, s.closed == nil || !s.closed(r.now)
	v.server = dispatch.Server{
		Key: uint64(i + 1), Zone: strconv.Itoa(s.zone), Way: way, Slots: s.slots, InProgress: s.busy + s.queued, Flows: s.flows,
	}
	if e := s.estimator.Estimate(epoch.Add(r.now)); e.IsKnown() {
		v.server.ServiceTime, v.server.Limit, v.server.Wait = e.ServiceTime, e.Limit, e.Wait(s.busy+s.queued)
	}
	v.server.MeanBusy = dispatch.Smooth(before.MeanBusy, v.server.Busy(), since)
	v.server.MeanFlows = dispatch.Smooth(before.MeanFlows, float64(s.flows), since)
}

// arrive opens flows of a zone at random times.
func (r *replay) arrive(zone int) {
	perFlow := 1.0
	if r.load.flowLife > 0 {
		perFlow = r.load.flowLife.Seconds() * r.load.flowRate
	}
	rate := r.load.perSecond / float64(r.load.zones) / perFlow
	highest := 2.0
	r.at(r.now+r.exp(1/(rate*highest)), func() {
		factor := 1.0
		if r.load.peak != nil {
			factor = r.load.peak(zone, r.now)
		}
		if r.rng.Float64()*highest < factor {
			r.open(zone)
		}
		r.arrive(zone)
	})
}

func (r *replay) open(zone int) {
	b := zone + r.load.zones*r.rng.IntN(r.load.balancers/r.load.zones)
	views := r.views[b]
	known, index := r.known[:0], r.index[:0]
	for i := range views {
		if !views[i].accepts {
			continue
		}
		s := views[i].server
		s.Age, s.Idle = min(r.now-views[i].reportedAt, time.Second), r.now-views[i].placedAt
		known, index = append(known, s), append(index, i)
	}
	r.known, r.index = known, index
	i := index[r.choose(dispatch.Flow{Hash: r.rng.Uint64(), Zone: strconv.Itoa(zone), Objective: r.load.objective}, known)]
	views[i].server.Placed++
	views[i].placedAt = r.now
	r.placed++
	r.flows[int(r.now/time.Second)][i]++
	if r.servers[i].zone != zone {
		r.away++
	}
	r.at(r.now+5*time.Millisecond, func() { r.report(b, i, views) })
	heavy := r.load.heavyShare > 0 && r.rng.Float64() < r.load.heavyShare
	if r.load.flowLife == 0 {
		r.request(i, zone, heavy)
		return
	}
	r.servers[i].flows++
	ends := r.now + r.exp(r.load.flowLife.Seconds())
	r.at(ends, func() { r.servers[i].flows-- })
	rate := r.load.flowRate
	if r.load.hot {
		rate *= 5.0 / 9
		if r.rng.IntN(10) == 0 {
			rate *= 9
		}
	}
	r.requests(i, zone, heavy, rate, ends)
}

// requests sends the requests of a kept flow.
func (r *replay) requests(i, zone int, heavy bool, rate float64, ends time.Duration) {
	r.at(r.now+r.exp(1/rate), func() {
		if r.now < ends {
			r.request(i, zone, heavy)
			r.requests(i, zone, heavy, rate, ends)
		}
	})
}

func (r *replay) request(i, zone int, heavy bool) {
	s, since := &r.servers[i], r.now
	work := r.load.work.Seconds() * (0.5 + r.rng.ExpFloat64()*0.5)
	if heavy {
		work *= 4
	}
	s.bins[int(r.now/binLength)] += work
	s.work += work
	inProgress := s.busy + s.queued + 1
	end := func() {
		s.estimator.Add(epoch.Add(r.now), concurrency.Answer{Route: routes[heavy], Took: r.now - since, InProgress: inProgress})
		s.busy--
		answered := r.now - since
		if s.zone != zone {
			answered += r.load.way
		}
		r.times = append(r.times, answered)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.queued--
			next()
		}
		s.count(r.now)
	}
	start := func() {
		s.busy++
		r.at(r.now+time.Duration(work/s.speedAt(r.now)*float64(time.Second)), func() { r.unlessStopped(s, end) })
	}
	if s.busy < s.slots {
		start()
	} else {
		s.queued++
		s.queue = append(s.queue, start)
	}
	s.count(r.now)
}

// speedAt returns the speed of a request that starts.
func (s *testServer) speedAt(at time.Duration) float64 {
	speed := s.speed
	if s.slowdown != nil {
		speed /= s.slowdown(at)
	}
	if s.knee > 0 {
		speed *= min(1, float64(s.knee)/float64(s.busy))
	}
	return speed
}

// unlessStopped runs a function once a server gives answers.
func (r *replay) unlessStopped(s *testServer, f func()) {
	if s.stopped != nil && s.stopped(r.now) {
		r.at(r.now+10*time.Millisecond, func() { r.unlessStopped(s, f) })
		return
	}
	f()
}

// capacity returns how many seconds of work a server does in a second.
func (s *testServer) capacity() float64 {
	c := s.slots
	if s.knee > 0 {
		c = min(c, s.knee)
	}
	return s.speed * float64(c)
}

func resultOf(all []*replay) result {
	res := result{bySpeed: make(map[float64]float64)}
	var times []time.Duration
	n := float64(len(all))
	for _, r := range all {
		times = append(times, r.times...)
		res.elsewhere += r.away / r.placed / n
		res.shares = append(res.shares, r.flows)
		imbalance, swing := r.imbalance()
		res.imbalance += imbalance / n
		res.swing += swing / n
		for speed, work := range r.bySpeed() {
			res.bySpeed[speed] += work / n
		}
	}
	slices.Sort(times)
	in, _ := slices.BinarySearch(times, all[0].load.objective)
	res.inTime = float64(in) / float64(len(times))
	res.p99 = times[len(times)*99/100]
	return res
}

// imbalance returns the work of the busiest server to the mean, by capacity, in all and within the worst half second.
func (r *replay) imbalance() (all, worst float64) {
	capacity, total := 0.0, 0.0
	for i := range r.servers {
		capacity += r.servers[i].capacity()
		total += r.servers[i].work
	}
	for i := range r.servers {
		s := &r.servers[i]
		all = max(all, s.work/s.capacity()/(total/capacity))
	}
	for b := 2; b < len(r.servers[0].bins)-1; b++ {
		sum, top := 0.0, 0.0
		for i := range r.servers {
			s := &r.servers[i]
			sum += s.bins[b]
			top = max(top, s.bins[b]/s.capacity())
		}
		if sum > 0 {
			worst = max(worst, top/(sum/capacity))
		}
	}
	return all, worst
}

// bySpeed returns the work of the servers of each speed to the mean, by capacity, in the busiest two seconds.
func (r *replay) bySpeed() map[float64]float64 {
	const bins = int(2 * time.Second / binLength)
	worked := func(s *testServer, b int) (sum float64) {
		for _, w := range s.bins[b : b+bins] {
			sum += w
		}
		return sum
	}
	var work, capacity map[float64]float64
	most, total := 0.0, 0.0
	for b := range len(r.servers[0].bins) - bins {
		w, c, all, capacities := make(map[float64]float64), make(map[float64]float64), 0.0, 0.0
		for i := range r.servers {
			s := &r.servers[i]
			w[s.speed] += worked(s, b)
			c[s.speed] += s.capacity()
			all += worked(s, b)
			capacities += s.capacity()
		}
		if all > most {
			work, capacity, most, total = w, c, all, capacities
		}
	}
	for speed := range work {
		work[speed] /= capacity[speed] * most / total
	}
	return work
}
