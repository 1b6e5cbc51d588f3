package dispatch

import "math"

// leaveShare is the part of the latency objective by which another zone must answer sooner before flows leave their
// zone. Callers gain nothing from less, and traffic between zones is charged.
const leaveShare = 0.1

// zoneState is what the servers of a zone offer to a new flow.
type zoneState struct {
	name string
	// free is the free capacity in requests a second, and delay the mean one of a flow there in seconds.
	free, delay float64
	way         float64
	gain        float64 // how much sooner a flow is answered there than in its own zone, in seconds
}

func (r *Ranker) summarizeZones(servers []Server, d demand) {
	r.zones = r.zones[:0]
	for i := range r.choices {
		c := &r.choices[i]
		e := c.Estimate
		z := r.zone(servers[i].Zone)
		w := e.Capacity * e.Free
		z.free += w
		z.delay += w * e.delay(d)
		z.way = max(z.way, e.Way.Seconds())
	}
	for i := range r.zones {
		r.zones[i].delay /= r.zones[i].free
	}
}

// zone returns the state of a zone, which it adds if it is new. The result is valid until the next call.
func (r *Ranker) zone(name string) *zoneState {
	for i := range r.zones {
		if r.zones[i].name == name {
			return &r.zones[i]
		}
	}
	r.zones = append(r.zones, zoneState{name: name})
	return &r.zones[len(r.zones)-1]
}

// chooseZone returns the zone for a flow: that of the balancer while it has a server, and for a part of the flows that
// grows with the gain another zone that answers sooner by more than the way to it.
func (r *Ranker) chooseZone(f Flow, d demand) string {
	own, ok := r.find(f.Zone)
	threshold := max(leaveShare*f.Objective.Seconds(), d.serviceTime)
	least := math.Inf(1)
	for i := range r.zones {
		least = min(least, r.zones[i].delay+r.zones[i].way)
	}
	var gain float64
	for i := range r.zones {
		z := &r.zones[i]
		switch {
		case !ok: // All zones are others; those that answer much later get little.
			z.gain = math.Exp((least - z.delay - z.way) / threshold)
		case z.name != f.Zone:
			z.gain = max(0, own.delay-z.delay-z.way-threshold)
		default:
			z.gain = 0
		}
		gain = max(gain, z.gain)
	}
	if ok && uniform(f.Hash, leaveSalt) >= gain/threshold {
		return f.Zone
	}
	return r.drawZone(f.Hash)
}

// drawZone returns a zone with a probability proportional to its free capacity and gain.
func (r *Ranker) drawZone(hash uint64) string {
	var sum float64
	for _, z := range r.zones {
		sum += z.free * z.gain
	}
	left := sum * uniform(hash, zoneSalt)
	for _, z := range r.zones {
		left -= z.free * z.gain
		if left <= 0 && z.gain > 0 {
			return z.name
		}
	}
	return r.zones[len(r.zones)-1].name
}

func (r *Ranker) find(name string) (zoneState, bool) {
	for _, z := range r.zones {
		if z.name == name {
			return z, true
		}
	}
	return zoneState{}, false
}
