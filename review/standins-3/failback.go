//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Figures of the case.
const (
	warmup          = 2 * time.Second
	warmupPerSecond = 5
	evacuation      = 8 * time.Second
	requestRate     = 370 // a second
)

// failback empties a zone and takes it back; its servers are cold at the end. The rule FAILBACK bounds the requests that a
// cold server gets in one second.
func failback(d *deployment, trouble bool) (broken bool, err error) {
	route := d.route(8443)
	d.putConfig(fmt.Appendf(nil, `{"version":7,"routes":[{"name":"r-1","host":%q,"prefix":"/%d/","kind":"safe","timeout-ms":1500,"target-latency-ms":120,"priority":2,"service":"orders","max-attempts":2}],`+
		`"services":[{"name":"orders","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false,"warmup-s":%.1f,"warmup-per-s":%d.0}],"limits":{"idle-timeout-ms":15000}}`,
		route.Addr(), route.Port(), warmup.Seconds(), warmupPerSecond), 7)
	if err := d.addFronts(d.zones...); err != nil {
		return false, err
	}
	var servers []*server
	for i, z := range d.zones {
		n := 2
		if i == 0 {
			n = 3
		}
		for range n {
			// Servers start at different times, so their heartbeats are spread over the interval.
			time.Sleep(rand.N(d.heartbeat / 3))
			s, _, err := d.addSide(z, "orders", 0)
			if err != nil {
				return false, err
			}
			servers = append(servers, s)
		}
	}
	if err := d.awaitServing(route); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	results := make(chan string, 100_000)
	wait := d.load(route, requestRate, stop, func(o outcome) { results <- o.result })
	time.Sleep(3 * time.Second)
	// A server that starts during traffic is cold too.
	added, _, err := d.addSide(d.zones[1], "orders", warmup)
	if err != nil {
		return false, err
	}
	servers = append(servers, added)
	time.Sleep(4 * time.Second)
	zone := d.zones[0]
	if trouble {
		d.store.put("op/evacuate/"+zone, []byte("{}"))
		d.record.line("evacuation_acknowledged", "zone", zone)
	}
	time.Sleep(evacuation)
	if trouble {
		for _, s := range servers {
			if s.zone == zone {
				s.turnCold(warmup)
			}
		}
		d.record.line("zone_cold", "zone", zone)
		d.store.remove("op/evacuate/" + zone)
		d.record.line("evacuation_ended", "zone", zone)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	wait()
	close(results)
	answered, sent := 0, 0
	for r := range results {
		sent++
		if r == "answered" {
			answered++
		}
	}
	limit := warmupPerSecond*warmupOvershoot + warmupSlack
	for _, s := range servers {
		most, total := mostPerSecond(s.taken())
		if total == 0 {
			continue
		}
		d.verdict("server %s in %s: %d opening packets while cold, at most %d in one second, allowed %.1f", s.id, s.zone, total, most, limit)
		broken = broken || float64(most) > limit
	}
	d.verdict("%d requests, %d answered", sent, answered)
	if answered < sent/2 {
		return broken, fmt.Errorf("fewer than half of the requests were answered")
	}
	return broken, nil
}

// mostPerSecond returns the highest number of opening packets that were sent and arrived within one second while the server
// was cold, and the number of all that arrived then.
func mostPerSecond(all []opening) (most, total int) {
	for _, first := range all {
		if !first.cold {
			continue
		}
		total++
		n := 0
		for _, o := range all {
			if o.cold && !o.sent.Before(first.sent) && o.arrived.Sub(first.sent) <= time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most, total
}
