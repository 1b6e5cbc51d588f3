package entryhost

import (
	"sync"
	"time"
)

const (
	// fetchPatience is how long a host may lack a revision that others know of before it asks the store itself. A fetch
	// from another process takes some round trips.
	fetchPatience = 500 * time.Millisecond
	// watchMargin is the time from the end of a rest to the answer of the store, without the intake: a tick, a new
	// connection and a call to a store that answers, on a busy host.
	watchMargin = 500 * time.Millisecond
	// maxRest is how long a host relies on others without a call of its own, for changes that no message shows.
	maxRest = 15 * time.Second
)

// State is why a host watches the store, or does not.
type State string

// States. In all but Relies the host watches the store itself.
const (
	// Strong means that no other host can be relied on by this one: it is strong enough itself, or its capacity is unknown.
	Strong State = "strong"
	// Bound means that the time within which hosts must apply a change is unknown, or too short for this host to rely on
	// others.
	Bound State = "bound"
	// Unvouched means that no stronger host is known to have had an answer of the store within VoucherTTL.
	Unvouched State = "unvouched"
	// Behind means that others know of a change that the host still lacks.
	Behind State = "behind"
	// Due means that the host has relied on others for so long that it asks the store once.
	Due State = "due"
	// Relies means that a stronger host watches the store and passes changes on by messages.
	Relies State = "relies"
)

// Reliance decides whether a host watches the store itself. It is safe for concurrent use.
type Reliance struct {
	class Class
	slack time.Duration

	mu          sync.Mutex
	vouchers    Vouchers
	expected    uint64
	behindSince time.Time
	watchedAt   time.Time
	neededAt    time.Time // when a host that can rely on this one was last reported
}

// Slack returns by how much a host that relies on others applies a change before the bound, at worst: the last voucher from
// before the change gets too old, or a message that shows the change arrives just then and all fetches fail; then the host
// watches the store and takes in the largest configuration. 0 as the bound means that it is unknown, without any slack.
func (c Capacity) Slack(bound time.Duration) time.Duration {
	return bound - (VoucherTTL + fetchPatience + watchMargin + c.Intake())
}

// NewReliance returns the reliance of a host of a class that has just had an answer of the store. It relies on others only
// with some slack; see Capacity.Slack.
func NewReliance(class Class, slack time.Duration, now time.Time) *Reliance {
	return &Reliance{class: class, slack: slack, watchedAt: now}
}

// Class returns the class of the host.
func (r *Reliance) Class() Class { return r.class }

// Report is what another process has heard of hosts.
type Report struct {
	// Voucher is that of the strongest hosts, and Weakest the weakest class that is present.
	Voucher Voucher
	Weakest Class
	// Newest is the highest revision that a host has applied.
	Newest uint64
}

// Reported records a report of another process.
func (r *Reliance) Reported(now time.Time, report Report) {
	v := report.Voucher
	if !r.class.canRelyOn(v.Class) {
		v = Voucher{}
	}
	r.vouchers.Add(now, v)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected = max(r.expected, report.Newest)
	if report.Weakest.canRelyOn(r.class) {
		r.neededAt = now
	}
}

// Watched records that the host has had an answer of the store itself.
func (r *Reliance) Watched(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchedAt = now
}

// State returns whether the host relies on others, or why it does not, given the revision up to which it has applied
// all changes that it knows of.
func (r *Reliance) State(now time.Time, revision uint64) State {
	if r.class <= patientClass {
		return Strong
	}
	if r.slack <= 0 {
		return Bound
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision >= r.expected {
		r.behindSince = time.Time{}
	} else if r.behindSince.IsZero() {
		r.behindSince = now
	}
	switch {
	case !r.vouchers.Strongest(now).Valid():
		return Unvouched
	case !r.behindSince.IsZero() && now.Sub(r.behindSince) >= fetchPatience:
		return Behind
	case now.Sub(r.watchedAt) >= maxRest:
		return Due
	}
	return Relies
}

// WatchTimeout returns how long the next watch of the host waits for a change, given the usual time and a random number
// from 0 to 1. Watches of hosts that others rely on wait for different times: a change ends all watches of the fleet at
// once, and the vouchers of watches that go on in step would all be old at the same time.
func (r *Reliance) WatchTimeout(now time.Time, usual time.Duration, random float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.neededAt.IsZero() || now.Sub(r.neededAt) >= classTTL {
		return usual
	}
	return usual/2 + time.Duration(random*float64(usual/2))
}
