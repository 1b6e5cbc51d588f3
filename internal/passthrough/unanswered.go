package passthrough

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// unansweredReportInterval is how often an agent reports callers that are about to retry. It is shorter than the
	// time between the age at which an attempt is reported and the next attempt.
	unansweredReportInterval = 200 * time.Millisecond
	// balancerTTL is how long an agent keeps a balancer without a message from it; each balancer probes the agent more
	// often.
	balancerTTL = 3 * time.Second
	// maxBalancers limits the memory for balancers, of which there are 2,900 at the design size.
	maxBalancers = 4096
	// maxUnansweredReports limits how many balancers an agent reports unanswered attempts to.
	maxUnansweredReports = 64
)

// recentBalancers holds the balancers from which an agent has received a message recently; the zero value is empty.
type recentBalancers struct {
	mu       sync.Mutex
	lastSeen map[netip.AddrPort]time.Time
}

func (r *recentBalancers) add(now time.Time, balancer netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.lastSeen[balancer]; !known && len(r.lastSeen) >= maxBalancers {
		return
	}
	if r.lastSeen == nil {
		r.lastSeen = make(map[netip.AddrPort]time.Time)
	}
	r.lastSeen[balancer] = now
}

// count returns the number of balancers seen within balancerTTL.
func (r *recentBalancers) count(now time.Time) uint16 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var n uint16
	for _, at := range r.lastSeen {
		if now.Sub(at) <= balancerTTL {
			n++
		}
	}
	return n
}

// active returns the balancers seen within balancerTTL and removes the others.
func (r *recentBalancers) active(now time.Time) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []netip.AddrPort
	for b, at := range r.lastSeen {
		if now.Sub(at) > balancerTTL {
			delete(r.lastSeen, b)
		} else {
			all = append(all, b)
		}
	}
	return all
}

// onBalancerMessage records that a message of a balancer was received.
func (a *Agent) onBalancerMessage(now time.Time, balancer netip.AddrPort) {
	a.announcer.recordBalancer(now)
	a.balancers.add(now, balancer)
}

// reportUnanswered notifies all balancers of queued flows whose callers are about to retry. A retry may come through
// another balancer, which could not distinguish it from a new request.
func (a *Agent) reportUnanswered(now time.Time) {
	attempts := a.admitter.UnansweredAttempts(now)
	if len(attempts) == 0 {
		return
	}
	balancers := a.balancers.active(now)
	balancers = balancers[:min(len(balancers), maxUnansweredReports)]
	a.cfg.Logger.Info("unanswered attempts told", "attempts", len(attempts), "balancers", len(balancers))
	for part := range slices.Chunk(attempts, maxUnanswered) {
		for _, b := range balancers {
			a.link.send(b, &unanswered{attempts: part})
		}
	}
}
