package passthrough

import "time"

// Load is what an agent reports about its backend server; the zero value accepts no flows.
type Load struct {
	// InProgress is the number of requests that occupy a slot, are queued or are expected after a handshake.
	InProgress uint16
	// Slots is how many requests the backend server processes at the same time.
	Slots uint16
	// FailurePercent is the share of requests that fail, in percent.
	FailurePercent uint8
	// AcceptsFlows reports whether the backend server accepts new flows.
	AcceptsFlows bool
	// Limit is the number of requests in progress beyond which answers only get slower; 0 if it is not known.
	Limit uint16
	// ServiceTime is how long the backend server takes for a request with a free slot; 0 if it is not known.
	ServiceTime time.Duration
	// Wait is how long one more request would wait for a slot; it is meaningful only if ServiceTime is known.
	Wait time.Duration
	// Flows is the number of open flows; 0 if it is not known.
	Flows uint16
	// Refused is the highest priority whose new flows the agent cannot serve before their callers give up, with all lower
	// ones; 0 if it accepts all. See priority.Level.
	Refused uint8
}

// crossZoneCost is the cost of a flow to another zone, in requests ahead of it.
const crossZoneCost = 0.5

// failureCost is the cost of a flow to a backend server that fails all requests, in requests ahead of it. It is far
// higher than the usual load of other backend servers, so that they get nearly all flows, and low enough that the rest
// of the service is not overloaded when failures occur everywhere.
const failureCost = 24

// cost returns the expected wait of one more flow, in requests per slot. unreported is the number of flows placed since
// the last report.
func (l Load) cost(unreported int, sameZone bool) float64 {
	ahead := float64(l.InProgress) + float64(unreported)
	if !sameZone {
		ahead += crossZoneCost
	}
	ahead += failureCost * float64(l.FailurePercent) / 100
	return (ahead + 1) / float64(max(l.Slots, 1))
}

// hasRoom reports whether the agent would deliver one more flow at once; see room.requestLimit.
func (l Load) hasRoom(unreported int) bool {
	return int(l.InProgress)+unreported < 2*int(max(l.Slots, 1))+2
}
