package passthrough

import (
	"sync"
	"time"
)

const (
	// minConfigurationWatch is how long a balancer's watch of the configuration waits for a change in a small fleet. It
	// is short because a watch can miss a change that happens while it waits.
	minConfigurationWatch = 2500 * time.Millisecond
	// maxConfigurationWatch bounds the time for which a balancer without messages of others misses a change.
	maxConfigurationWatch = 15 * time.Second
	// watchesPerMinimum is how many watches of the fleet begin within minConfigurationWatch at least. The first one after
	// a change receives it, and messages pass it on.
	watchesPerMinimum = 16
	// minAgentsPause is how long changes of agent entries are collected in a small fleet. Agents report their changes to
	// balancers too.
	minAgentsPause = time.Second
	// maxAgentsPause bounds the time until a balancer places flows at an agent that has joined.
	maxAgentsPause = 4 * time.Second
	// fullPaceBalancers is the number of balancers up to which changes of agent entries are collected for minAgentsPause.
	fullPaceBalancers = 24
)

// ConfigurationWatch returns how long a balancer's watch of the configuration waits for a change.
//
// It bounds the store's load in a quiet fleet: the number of watches a second does not grow with the number of balancers.
func ConfigurationWatch(balancers int) time.Duration {
	return min(max(minConfigurationWatch, time.Duration(balancers)*minConfigurationWatch/watchesPerMinimum), maxConfigurationWatch)
}

// AgentsPause returns how long a balancer collects changes of agent entries before its next watch.
//
// It bounds the store's load while backend servers are replaced: each change ends the watches of all balancers.
func AgentsPause(balancers int) time.Duration {
	return min(max(minAgentsPause, time.Duration(balancers)*minAgentsPause/fullPaceBalancers), maxAgentsPause)
}

// fleetSizeTTL is how long the highest report of the fleet size counts. An agent that has just started knows few
// balancers.
const fleetSizeTTL = 10 * time.Second

// FleetSize is the number of balancers that agents report; the zero value is 0. It is safe for concurrent use.
type FleetSize struct {
	mu sync.Mutex
	n  int
	at time.Time
}

// Report records the number of balancers that an agent has received messages from.
func (s *FleetSize) Report(now time.Time, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n >= s.n || now.Sub(s.at) > fleetSizeTTL {
		s.n, s.at = n, now
	}
}

// Balancers returns the highest number that was reported recently.
func (s *FleetSize) Balancers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n
}
