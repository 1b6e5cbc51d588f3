package passthrough

// Load is what an agent tells of its backend server; the zero value takes no flows.
type Load struct {
	// InProgress is the number of requests that hold a slot, wait for one or are about to come.
	InProgress uint16
	// Slots is how many requests the backend server processes at the same time.
	Slots uint16
	// FailurePercent is the share of requests that fail, in percent.
	FailurePercent uint8
	// AcceptsFlows reports whether the backend server takes new flows.
	AcceptsFlows bool
}

// crossZoneRequests is the cost of a flow to another zone, in requests that wait before it.
const crossZoneRequests = 0.5

// failingRequests is the cost of a flow to a backend server that fails all requests, in requests that wait before
// it: far more than others have under a usual load, so that they get nearly all flows, and not so many that the rest
// of the service falls over when the failures are everywhere.
const failingRequests = 24

// cost returns the expected wait of one more flow in units of the backend server's slots.
func (l Load) cost(unreported int, sameZone bool) float64 {
	ahead := float64(l.InProgress) + float64(unreported)
	if !sameZone {
		ahead += crossZoneRequests
	}
	ahead += failingRequests * float64(l.FailurePercent) / 100
	return (ahead + 1) / float64(max(l.Slots, 1))
}
