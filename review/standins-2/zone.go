//go:build review

package main

import (
	"fmt"
	"time"
)

const orders = 443

// startTwoZones starts one entry host and two backend servers of one service in each of two zones, and waits until
// requests are served.
func startTwoZones(w *world) (balancers []*node, clients []*client) {
	zones := []string{"a", "b"}
	ips := []string{w.newIP(), w.newIP()}
	for _, ip := range ips {
		w.seeds = append(w.seeds, w.at(ip, w.ports.control).String())
	}
	w.config(1, "safe", 1500*time.Millisecond, map[int]string{orders: "orders"})
	for i, zone := range zones {
		balancers = append(balancers, w.node("balancer", "front-"+zone, zone, ips[i], ""))
		clients = append(clients, w.client(zone))
		for k := range 2 {
			ip := w.newIP()
			w.node("agent", fmt.Sprintf("side-%s-%d", zone, k), zone, ip, "orders").start()
			w.backend(fmt.Sprintf("i-%s-%d", zone, k), "orders", zone, ip, 20*time.Millisecond)
		}
	}
	for _, b := range balancers {
		b.start()
		go b.probe()
	}
	w.awaitService(clients, orders)
	time.Sleep(2 * time.Second)
	return balancers, clients
}

// awaitService waits until the clients are served.
func (w *world) awaitService(clients []*client, port uint16) {
	for range 100 {
		ok := 0
		for _, c := range clients {
			if o, _ := c.once(port, time.Second); o == served {
				ok++
			}
		}
		if ok == len(clients) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	fail("the deployment does not serve")
}

// zoneTakenBack takes a zone back while all entry hosts are without power, which is the final fault. Ten seconds after the
// entry hosts are back, the other zone is emptied.
func zoneTakenBack(w *world, trouble bool) {
	const rate, deadline = 20, 1500 * time.Millisecond
	balancers, clients := startTwoZones(w)
	load := func(what string, d time.Duration) *tally {
		t := w.traffic(clients, orders, rate, d, deadline)
		w.logf("%s: %s", what, t)
		fmt.Printf("%s: %s\n", what, t)
		return t
	}
	load("before the final fault, both zones in service", 2*time.Second)
	w.evacuate("a", true)
	before := load("before the final fault, zone a emptied", 3*time.Second)
	if trouble {
		for _, b := range balancers {
			b.kill()
		}
		for _, b := range balancers {
			b.awaitEnd()
		}
	}
	time.Sleep(500 * time.Millisecond)
	w.evacuate("a", false)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, b := range balancers {
			b.start()
		}
	}
	back := time.Now()
	load("machines back, zone a taken back", 10*time.Second)
	w.evacuate("b", true)
	load("zone b emptied", time.Until(back.Add(recovery+time.Second)))
	after := load("later than recovery-s after the machines are back", 5*time.Second)
	if s := after.share(served); s < 0.25 && before.share(served) >= 0.25 {
		w.violate("RECOVER", "12 s after the machines were back, %.0f%% of the requests were served (%s), and %.0f%% before the final fault; a quarter is the least", 100*s, after, 100*before.share(served))
	}
}

// recovery is the bound recovery-s.
const recovery = 12 * time.Second
