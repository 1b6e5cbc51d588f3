// Package dispatch decides which backend server a new flow goes to, by the time until its caller has an answer.
//
// Many balancers decide at the same time, each from reports of a different age, so the decision is a random choice that
// is the same for all copies of an opening packet: the shares of the backend servers follow their free capacity and
// their waits, and move no further than what the balancer cannot know yet allows. The package does no I/O and reads no
// clock.
package dispatch

import (
	"math"
	"time"
)

// Server is what a balancer knows of a backend server.
type Server struct {
	// Key identifies the server; it is the same at all balancers.
	Key uint64
	// Zone is the availability zone, and Way how much longer packets take to it than within the balancer's own zone, to
	// the server and back; it is 0 in the balancer's zone.
	Zone string
	Way  time.Duration
	// Slots is how many requests the server processes at the same time, and Limit the number in progress beyond which
	// answers only get slower; 0 if it is not known.
	Slots, Limit int
	// InProgress is the number of requests at the server, and Flows that of its open flows, according to its last
	// report; Flows is 0 if it is not known.
	InProgress, Flows int
	// MeanBusy and MeanFlows are the means of Busy and Flows over the last seconds; see Smooth.
	MeanBusy, MeanFlows float64
	// Placed is the number of flows that the balancer has placed there since the last report.
	Placed int
	// ServiceTime is how long the server takes for a request with a free slot, 0 if it is not known, and Wait how long
	// one more request would have waited for a slot.
	ServiceTime, Wait time.Duration
	// Age is the time since the last report.
	Age time.Duration
	// Idle is the time since this balancer last placed a flow there.
	Idle time.Duration
	// FailurePercent is the share of requests that fail, in percent.
	FailurePercent int
}

// isStale reports whether the last report says nothing any more.
func (s *Server) isStale() bool { return s.Age >= staleAge }

// isLearned reports whether the agent knows how fast its server is.
func (s *Server) isLearned() bool { return s.ServiceTime > 0 }

// concurrency returns how many requests make progress at the same time.
func (s *Server) concurrency() float64 {
	if s.Limit > 0 && s.Limit < s.Slots {
		return float64(s.Limit)
	}
	return float64(max(s.Slots, 1))
}

// Busy returns the number of requests that make progress. Those that wait for a slot are left out: the queue of a busy
// server is not the work that its flows bring, and counted as such it drives flows to other servers and zones.
func (s *Server) Busy() float64 { return min(float64(s.InProgress), s.concurrency()) }

// Estimate is what a balancer expects of a backend server for one more flow.
type Estimate struct {
	// Service is the time for the request itself, Queue the time until a slot is free, Way that of the way to another
	// zone. Failure stands for the attempts of callers that fail there.
	Service, Queue, Way, Failure time.Duration
	// Capacity is in requests a second, Free the part of it that is not in use, from 0 to 1.
	Capacity, Free float64
	// Learned is false if the service time is that of the other servers of the service.
	Learned bool
}

// Time returns the expected time until the caller has an answer.
func (e Estimate) Time() time.Duration { return e.Service + e.Queue + e.Way + e.Failure }

const (
	// failureRequests is how many service times a server that fails all requests counts as slower. It is far more than
	// usual waits, so that others get nearly all flows, and little enough that these are not overloaded when failures
	// occur everywhere.
	failureRequests = 24
	// minFree is the free part of a full server. Some flows go there when all are full.
	minFree = 0.02
	// staleAge is the age of a report from which on the server may be in any state. Its free part is then taken to be
	// staleFree times that of the other servers.
	staleAge  = time.Second
	staleFree = 0.5
	// busyUtilization is where the expected wait goes on linearly; near 1 the formula for it has no bound.
	busyUtilization = 0.95
	// minInstantWeight is the weight of the wait at the time of the report for a flow that stays for many requests: its
	// first requests meet that wait, and a queue that the utilization does not explain lasts.
	minInstantWeight = 0.5
)

// demand is what the flows of a service ask of its servers, derived from all reports.
type demand struct {
	// serviceTime is the mean of the learned ones, in seconds; 0 if there is none.
	serviceTime float64
	// perFlow is the number of requests a second that an open flow brings, and throughput that of the whole service.
	perFlow, throughput float64
	// kept is how much of their time open flows have no request, from 0 (each request has its own flow) to 1.
	kept float64
	// age is the mean age of the reports in seconds.
	age float64
}

func demandOf(servers []Server) demand {
	var d demand
	var learned, inProgress, flows float64
	for i := range servers {
		s := &servers[i]
		d.age += s.Age.Seconds() / float64(len(servers))
		if !s.isLearned() {
			continue
		}
		learned++
		d.serviceTime += s.ServiceTime.Seconds()
		running := min(s.MeanBusy, s.concurrency()) // The limit may have changed since.
		d.throughput += running / s.ServiceTime.Seconds()
		if s.Flows > 0 {
			inProgress += running
			flows += max(float64(s.Flows), running)
			d.perFlow += running / s.ServiceTime.Seconds()
		}
	}
	if learned > 0 {
		d.serviceTime /= learned
	}
	if flows > 0 {
		d.perFlow /= flows
		d.kept = 1 - inProgress/flows
	}
	return d
}

// estimate returns the expectation for one more flow, given the demand of the service.
func (s *Server) estimate(d demand) Estimate {
	service := s.ServiceTime.Seconds()
	if !s.isLearned() {
		service = d.serviceTime
	}
	c := s.concurrency()
	step := service / c
	utilization := s.utilization(c, step, d)
	steady := steadyWait(c, step, utilization)
	reported := s.Wait.Seconds()
	if !s.isLearned() {
		reported = step * max(0, float64(s.InProgress)+1-c)
	}
	// A report tells little about the queue once the requests of that time have been answered.
	fresh := math.Exp(-s.Age.Seconds() / (reported + service))
	instant := fresh*reported + (1-fresh)*d.kept*steady + float64(s.Placed)*step
	weight := max(1-d.kept, minInstantWeight)
	busy := (1-d.kept)*(fresh*float64(s.InProgress)/c+float64(s.Placed)/c) + d.kept*utilization
	return Estimate{
		Service: seconds(service), Queue: seconds(weight*instant + (1-weight)*steady), Way: s.Way,
		Failure:  seconds(failureRequests * service * float64(s.FailurePercent) / 100),
		Capacity: 1 / step, Free: min(max(1-busy, minFree), 1), Learned: s.isLearned(),
	}
}

// utilization returns the part of the server that its open flows occupy: what they have shown over the last seconds,
// since some callers send more than others, and what those opened since will ask for.
func (s *Server) utilization(c, step float64, d demand) float64 {
	opened := float64(s.Flows+s.Placed) - s.MeanFlows
	return max(s.MeanBusy/c+d.perFlow*opened*step, 0)
}

// steadyWait returns the mean wait in seconds at a utilization, by Sakasegawa's approximation of a queue with c slots;
// step is the time between two answers of a busy server.
func steadyWait(c, step, utilization float64) float64 {
	u := min(utilization, busyUtilization)
	wait := step * math.Pow(u, math.Sqrt(2*(c+1))-1) / (1 - u)
	slope := step / ((1 - busyUtilization) * (1 - busyUtilization))
	return wait + slope*min(max(utilization-busyUtilization, 0), 1-busyUtilization)
}

// meanPeriod is long enough for several reports and requests of each flow, and shorter than flows live.
const meanPeriod = 2 * time.Second

// Smooth returns the mean of a reported value over the last seconds, from the mean at the previous report and the time
// since then.
func Smooth(mean, value float64, since time.Duration) float64 {
	return value + (mean-value)*math.Exp(-since.Seconds()/meanPeriod.Seconds())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
