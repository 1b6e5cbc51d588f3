package dispatch

import (
	"math"
	"time"
)

const (
	// maxAttraction is how many times its share of the capacity a server gets at most, unless the reports are so fresh
	// that its free slots bear more. A new or returned server fills up without a rush.
	maxAttraction = 4
	// mostlyKept is from where on flows of a service count as ones that stay.
	mostlyKept = 0.5
	// exploredFlows is the part of flows, one in so many, that go to a server without work. Nothing else shows that a
	// slow server has recovered.
	exploredFlows = 64
	// exploreAfter is how long a balancer has not placed a flow at a server before it explores it.
	exploreAfter = 2 * time.Second
	// exploreFailurePercent is the failure rate from which a server is not explored; failures expire by themselves.
	exploreFailurePercent = 10
)

// Choice is what a ranker decides about a server.
type Choice struct {
	Estimate Estimate
	// Key orders the servers for a flow: the lowest goes first.
	Key float64
	// InZone means that the server is in the zone chosen for the flow; others have higher keys.
	InZone bool
	// Explored means that the server is first only to find out whether it has recovered.
	Explored bool
}

// Flow is what decides about a new flow beside the servers.
type Flow struct {
	// Hash identifies the flow; it is the same for all copies of the opening packet and at all balancers.
	Hash uint64
	// Zone is that of the balancer.
	Zone string
	// Objective is the latency objective of the requests; 0 if there is none.
	Objective time.Duration
}

// Ranker orders servers for new flows; the zero value is ready to use. It keeps memory between calls and is not safe for
// concurrent use.
type Ranker struct {
	choices []Choice
	weights []float64
	zones   []zoneState
}

// Rank returns a choice for each server, valid until the next call, or false if the speed of none is known.
func (r *Ranker) Rank(f Flow, servers []Server) ([]Choice, bool) {
	d := demandOf(servers)
	if d.serviceTime == 0 {
		return nil, false
	}
	r.choices = r.choices[:0]
	for i := range servers {
		r.choices = append(r.choices, Choice{Estimate: servers[i].estimate(d)})
	}
	r.correctStale(servers)
	r.summarizeZones(servers, d)
	zone := r.chooseZone(f, d)
	for i := range r.choices {
		r.choices[i].InZone = servers[i].Zone == zone
	}
	r.setKeys(f.Hash, servers, d)
	r.explore(f.Hash, servers)
	return r.choices, true
}

// correctStale bounds the free part of servers without a recent report by what is usual among the others. Nobody knows
// which flows other balancers have placed there, and at a busy service a server that looks idle attracts nearly all.
func (r *Ranker) correctStale(servers []Server) {
	var free, capacity float64
	for i := range servers {
		if e := r.choices[i].Estimate; !servers[i].isStale() {
			free += e.Capacity * e.Free
			capacity += e.Capacity
		}
	}
	usual := 1.0
	if capacity > 0 {
		usual = free / capacity
	}
	for i := range servers {
		if e := &r.choices[i].Estimate; servers[i].isStale() {
			e.Free = max(staleFree*min(e.Free, usual), minFree)
		}
	}
}

// maxRepulsion keeps weights above 0. otherZoneKey and exploredKey exceed all other differences between keys.
const (
	maxRepulsion = 600
	otherZoneKey = 1e4
	exploredKey  = -1e4
)

// delay returns the part of an estimate, in seconds, by which servers of a zone are compared. For flows that stay, the
// service time counts as capacity only: the load of a server then follows its speed.
func (e Estimate) delay(d demand) float64 {
	return (1-d.kept)*e.Service.Seconds() + e.Queue.Seconds() + e.Failure.Seconds()
}

// setKeys gives each server a random key. Its distribution makes a server the first of its zone with a probability that is
// proportional to its capacity and its free part, and falls with its delay.
func (r *Ranker) setKeys(hash uint64, servers []Server, d demand) {
	r.weights = append(r.weights[:0], make([]float64, len(servers))...)
	for _, inZone := range []bool{true, false} {
		r.weigh(servers, d, inZone)
	}
	for i := range r.choices {
		c := &r.choices[i]
		c.Key = math.Log(exponential(hash, servers[i].Key)) - math.Log(r.weights[i])
		if !c.InZone {
			c.Key += otherZoneKey
		}
	}
}

// weigh sets the weights of the servers of the chosen zone, or those of all others.
func (r *Ranker) weigh(servers []Server, d demand, inZone bool) {
	least := math.Inf(1)
	for i := range r.choices {
		if r.choices[i].InZone == inZone {
			least = min(least, r.choices[i].Estimate.delay(d))
		}
	}
	var sum, capacity float64
	for i := range r.choices {
		if e := r.choices[i].Estimate; r.choices[i].InZone == inZone {
			repulsion := min((e.delay(d)-least)/tolerance(&servers[i], e, d), maxRepulsion)
			r.weights[i] = e.Capacity * e.Free * math.Exp(-repulsion)
			sum += r.weights[i]
			capacity += e.Capacity
		}
	}
	r.boundWeights(servers, d, inZone, sum, capacity)
}

// boundWeights lowers the weights of servers that would get more than their highest share. sum and capacity are those of
// the weights and servers considered.
func (r *Ranker) boundWeights(servers []Server, d demand, inZone bool, sum, capacity float64) {
	for range boundRounds {
		var bounded, rest float64
		for i := range r.choices {
			if r.choices[i].InZone != inZone {
				continue
			}
			share := maxShare(&servers[i], r.choices[i].Estimate, d, capacity)
			if r.weights[i] > sum*share {
				bounded += share
			} else {
				rest += r.weights[i]
			}
		}
		if bounded == 0 || bounded >= 1 {
			break
		}
		sum = rest / (1 - bounded)
	}
	for i := range r.choices {
		if r.choices[i].InZone == inZone {
			r.weights[i] = min(r.weights[i], sum*maxShare(&servers[i], r.choices[i].Estimate, d, capacity))
		}
	}
}

// boundRounds limits how often the bounds are applied: less weight for one server is a higher share for the others.
const boundRounds = 4

// maxShare returns the highest share of the flows of a zone that a server may get; capacity is that of the zone.
func maxShare(s *Server, e Estimate, d demand, capacity float64) float64 {
	share := maxAttraction * e.Capacity / capacity
	if d.kept < mostlyKept {
		// The flows that all balancers send in the age of a report may fill the free slots.
		share = max(share, e.Free*s.concurrency()/(d.throughput*d.age))
	}
	return min(share, 1)
}

// tolerance returns the difference of delays in seconds that halves a server's share, roughly: what may have happened
// since its report. For flows that stay it is a service time, since their later requests meet other queues.
func tolerance(s *Server, e Estimate, d demand) float64 {
	step, service := 1/e.Capacity, e.Service.Seconds()
	once := min(max(math.Sqrt(s.Age.Seconds()*step)/2, step/4), service)
	return (1-d.kept)*once + d.kept*service
}

// explore puts a server of the chosen zone first that has had no work, for one in exploredFlows flows.
func (r *Ranker) explore(hash uint64, servers []Server) {
	if uniform(hash, exploreSalt) >= 1.0/exploredFlows {
		return
	}
	best := -1
	for i := range r.choices {
		s := &servers[i]
		if !r.choices[i].InZone || s.InProgress > 0 || s.Placed > 0 || s.Idle < exploreAfter || s.FailurePercent >= exploreFailurePercent {
			continue
		}
		if best < 0 || s.Idle > servers[best].Idle {
			best = i
		}
	}
	if best >= 0 {
		r.choices[best].Explored, r.choices[best].Key = true, exploredKey
	}
}

// Salts separate the random numbers that are derived from the hash of a flow.
const (
	exploreSalt = 0x9e3779b97f4a7c15
	leaveSalt   = 0xd1342543de82ef95
	zoneSalt    = 0xaf251af3b0f025b5
)

// uniform returns a number from (0, 1) that depends on a flow and a salt only.
func uniform(hash, salt uint64) float64 {
	x := hash ^ salt
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// exponential returns a number with an exponential distribution: the server with the lowest number divided by its weight
// is the first with a probability proportional to its weight.
func exponential(hash, key uint64) float64 { return -math.Log(uniform(hash, key*exploreSalt)) }
