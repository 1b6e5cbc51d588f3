package dispatch

import "time"

const (
	// maxWay bounds the estimated way to another zone. Longer round trips are delays of hosts, not ways.
	maxWay = 50 * time.Millisecond
	// Shares of the difference by which a new sample moves the estimate: busy hosts only make round trips longer, so it
	// follows a shorter one sooner.
	shorterGain = 0.25
	longerGain  = 0.02
)

// Ways estimates the round trips from a balancer to the zones; the zero value knows none. It is not safe for concurrent
// use.
type Ways struct{ roundTrips map[string]time.Duration }

// Add adds a measured round trip to a zone.
func (w *Ways) Add(zone string, d time.Duration) {
	if d <= 0 {
		return
	}
	if w.roundTrips == nil {
		w.roundTrips = make(map[string]time.Duration)
	}
	old, ok := w.roundTrips[zone]
	gain := longerGain
	if d < old {
		gain = shorterGain
	}
	if !ok {
		old, gain = 0, 1
	}
	w.roundTrips[zone] = old + time.Duration(gain*float64(d-old))
}

// Extra returns how much longer a round trip to a zone takes than one within the zone home, from 0 to 50 ms, or false if
// one of them has not been measured.
func (w *Ways) Extra(home, zone string) (time.Duration, bool) {
	own, ok := w.roundTrips[home]
	other, otherOK := w.roundTrips[zone]
	return min(max(other-own, 0), maxWay), ok && otherOK
}
