//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Times of the case after the store has come back.
const (
	gapPlannedWork = 5 * time.Second // later than the contact time, so that the core is stable again
	gapRewrite     = 9 * time.Second
	gapFlows       = 240
	gapPause       = 600 * time.Millisecond // mean pause between two requests of a flow
)

// gap keeps flows open on a route that the last configuration has added. The store comes back from a copy that is older than
// this configuration. Before the operator writes it again, entry hosts are stopped and started in turn. The rule FLOW forbids
// that the system resets an open flow.
func gap(d *deployment, trouble bool) (broken bool, err error) {
	const first, last = 1, 2
	d.putConfig(d.configuration(first), first)
	if err := d.addFronts(d.zones[0], d.zones[0], d.zones[0]); err != nil {
		return false, err
	}
	for _, z := range d.zones {
		for range 2 {
			if _, _, err := d.addSide(z, "orders", 0); err != nil {
				return false, err
			}
		}
	}
	if err := d.awaitServing(d.versionRoute(first)); err != nil {
		return false, err
	}
	time.Sleep(contact)
	copied := d.store.copyAll()
	d.record.line("store_copied", "version", first)
	time.Sleep(time.Second)
	d.putConfig(d.configuration(last), last)
	time.Sleep(configApply)

	route := d.versionRoute(last)
	stop := make(chan struct{})
	var mu sync.Mutex
	var wg sync.WaitGroup
	results := make(map[string]int)
	var resets []string
	for range gapFlows {
		wg.Go(func() {
			f := d.clients.newFlow(route)
			_, result := d.clients.open(f)
			for result == resultOpen || result == resultAnswered {
				select {
				case <-stop:
					return
				case <-time.After(gapPause/2 + rand.N(gapPause)):
				}
				id, sent := d.clients.newID(), time.Now()
				var front string
				front, result = d.clients.ask(f, id, sent.Add(4*time.Second))
				d.record.line("request", "id", id, "client", f.key[0], "route", route, "front", front, "sent_ms", d.record.ms(sent), "result", result)
				mu.Lock()
				results[result]++
				if result == resultReset {
					resets = append(resets, f.key[0].String())
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	back := time.Now()
	if trouble {
		d.store.leave()
		d.record.line("store_away")
		time.Sleep(storeAway)
		d.store.comeBack(copied)
		back = time.Now()
		d.record.line("store_back", "version", first)
	}
	time.Sleep(time.Until(back.Add(gapPlannedWork)))
	fronts := d.balancers()
	for _, p := range fronts {
		wg.Go(func() {
			p.stop(syscall.SIGTERM)
			time.Sleep(restartDelay)
			if err := p.start(); err != nil {
				d.record.line("not_started", "process", p.name, "error", err)
			}
		})
		time.Sleep(rollGap)
	}
	time.Sleep(time.Until(back.Add(gapRewrite)))
	if trouble {
		d.putConfig(d.configuration(last), last)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	d.verdict("requests on open flows: %v", results)
	held := 0
	d.mu.Lock()
	for key, t := range d.traces {
		for _, r := range resets {
			if key[0].String() == r && t.owner != nil {
				held++
			}
		}
	}
	d.mu.Unlock()
	d.verdict("%d open flows were reset by the system, while their servers lived and sent no reset", held)
	if results[resultAnswered] == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return held > 0, nil
}
