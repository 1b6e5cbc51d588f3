//go:build review

package main

import (
	"fmt"
	"time"
)

// restartsAndSilence restarts the agents of all three backend servers of a service in turn, as planned, and the store falls
// silent for some seconds after the last of them has begun to stop.
func restartsAndSilence(w *world, trouble bool) {
	const (
		rate, deadline = 20, 1200 * time.Millisecond
		gap            = 2 * time.Second
		silence        = 4500 * time.Millisecond
	)
	zones := []string{"a", "b", "c"}
	var ips []string
	for range zones {
		ips = append(ips, w.newIP())
		w.seeds = append(w.seeds, w.at(ips[len(ips)-1], w.ports.control).String())
	}
	w.config(1, "safe", deadline, map[int]string{orders: "orders"})
	var agents []*node
	var clients []*client
	for i, zone := range zones {
		ip := w.newIP()
		n := w.node("agent", "side-"+zone, zone, ip, "orders")
		n.start()
		agents = append(agents, n)
		w.backend("i-"+zone, "orders", zone, ip, 20*time.Millisecond)
		b := w.node("balancer", "front-"+zone, zone, ips[i], "")
		b.start()
		go b.probe()
		clients = append(clients, w.client(zone))
	}
	w.awaitService(clients, orders)
	load := func(what string, d time.Duration) *tally {
		t := w.traffic(clients, orders, rate, d, deadline)
		w.logf("%s: %s", what, t)
		fmt.Printf("%s: %s\n", what, t)
		return t
	}
	before := load("before", 3*time.Second)
	rolled := make(chan struct{})
	go func() {
		done := make(chan struct{})
		for i, n := range agents {
			if i > 0 {
				time.Sleep(gap)
			}
			go func() {
				n.restart()
				done <- struct{}{}
			}()
		}
		for range agents {
			<-done
		}
		close(rolled)
	}()
	time.AfterFunc(2*gap+300*time.Millisecond, func() {
		if trouble {
			w.logf("platform: the store is silent")
			w.store.setSilent(true)
		}
		time.Sleep(silence)
		if trouble {
			w.store.setSilent(false)
		}
		w.logf("platform: the store answers again")
	})
	load("agents restarted in turn", 2*gap+300*time.Millisecond+silence)
	<-rolled
	w.logf("all machines are back")
	load("machines and store back", recovery)
	after := load("later than recovery-s after machines and store are back", 5*time.Second)
	if s := after.share(served); s < 0.25 && before.share(served) >= 0.25 {
		w.violate("RECOVER", "12 s after the machines and the store were back, %.0f%% of the requests were served (%s), and %.0f%% before; a quarter is the least", 100*s, after, 100*before.share(served))
	}
}
