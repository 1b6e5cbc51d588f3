package concurrency

import (
	"net/netip"
	"time"
)

const (
	// maxRoutes limits the routes whose work is learned; the work of others counts as typical.
	maxRoutes = 256
	// minRouteAnswers is the number of answers from which on the work of a route counts.
	minRouteAnswers = 8
	// maxRouteAnswers is the number of answers over which the work of a route is averaged.
	maxRouteAnswers = 200
	// routeTTL is how long a route counts without an answer.
	routeTTL = 30 * time.Second
	// minWork and maxWork limit the influence of a route that was learned from few answers.
	minWork, maxWork = 1. / 32, 32.
)

// routeWork learns how much work a request of each route is, relative to the mean of all routes. Every route counts the
// same in that mean, so servers with different mixes of the same routes are measured in the same unit. The zero value
// knows no routes.
type routeWork struct {
	routes map[netip.AddrPort]*work
	sum    float64 // of the times of the routes that count
	n      int     // number of routes that count
}

// work is the time of a request of one route.
type work struct {
	time    float64 // in service times of a typical request
	answers int
	usedAt  time.Time
}

func (w *work) counts() bool { return w.answers >= minRouteAnswers }

// work returns the work of a request of a route; the mean over all routes is 1.
func (r *routeWork) work(route netip.AddrPort) float64 {
	w, ok := r.routes[route]
	if !ok || !w.counts() || r.sum <= 0 {
		return 1
	}
	return min(max(w.time*float64(r.n)/r.sum, minWork), maxWork)
}

// add records the time of a request in service times of a typical request.
func (r *routeWork) add(now time.Time, route netip.AddrPort, time float64) {
	w, ok := r.routes[route]
	if !ok {
		if len(r.routes) >= maxRoutes {
			return
		}
		if r.routes == nil {
			r.routes = make(map[netip.AddrPort]*work)
		}
		w = &work{}
		r.routes[route] = w
	}
	r.count(w, -1)
	w.answers = min(w.answers+1, maxRouteAnswers)
	w.time += (time - w.time) / float64(w.answers)
	w.usedAt = now
	r.count(w, 1)
}

// count adds a route to the mean or removes it.
func (r *routeWork) count(w *work, sign int) {
	if w.counts() {
		r.sum += float64(sign) * w.time
		r.n += sign
	}
}

// expire removes the routes without recent answers.
func (r *routeWork) expire(now time.Time) {
	for route, w := range r.routes {
		if now.Sub(w.usedAt) > routeTTL {
			r.count(w, -1)
			delete(r.routes, route)
		}
	}
}
