package passthrough

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// tellInterval is how often an agent tells balancers of callers that are about to try again. It is shorter than
	// the time between the age of which agents tell and the next attempt.
	tellInterval = 200 * time.Millisecond
	// balancerLife is how long an agent remembers a balancer that it does not hear; each balancer probes it more often.
	balancerLife = 3 * time.Second
	// maxBalancers bounds how many balancers an agent tells; the fleets of today have fewer.
	maxBalancers = 64
)

// heardBalancers are the balancers that an agent hears; the zero value is empty.
type heardBalancers struct {
	mu    sync.Mutex
	heard map[netip.AddrPort]time.Time
}

func (h *heardBalancers) note(now time.Time, balancer netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.heard[balancer]; !known && len(h.heard) >= maxBalancers {
		return
	}
	if h.heard == nil {
		h.heard = make(map[netip.AddrPort]time.Time)
	}
	h.heard[balancer] = now
}

// all returns the balancers that have been heard lately, and forgets the others.
func (h *heardBalancers) all(now time.Time) []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []netip.AddrPort
	for b, at := range h.heard {
		if now.Sub(at) > balancerLife {
			delete(h.heard, b)
		} else {
			all = append(all, b)
		}
	}
	return all
}

// hear notes that a balancer knows the agent.
func (a *Agent) hear(now time.Time, balancer netip.AddrPort) {
	a.announcer.hear(now)
	a.balancers.note(now, balancer)
}

// tellUnanswered tells the balancers of held flows whose callers are about to try again, since the next attempt of a
// caller may come through another balancer, for which it would look like a caller that has just come.
func (a *Agent) tellUnanswered(now time.Time) {
	attempts := a.gate.UnansweredAttempts(now)
	if len(attempts) == 0 {
		return
	}
	balancers := a.balancers.all(now)
	a.cfg.Logger.Info("unanswered attempts told", "attempts", len(attempts), "balancers", len(balancers))
	for part := range slices.Chunk(attempts, maxUnanswered) {
		for _, b := range balancers {
			a.link.send(b, &unanswered{attempts: part})
		}
	}
}
