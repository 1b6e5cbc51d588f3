//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Figures of the case.
const (
	flowStray    = 2 * time.Second
	keptFlows    = 24
	pauseBetween = 14 * time.Second // between two requests of a kept flow; the idle timeout is 15 s
	restartDelay = 500 * time.Millisecond
	rollGap      = 1200 * time.Millisecond
	askDeadline  = 6 * time.Second
)

// moved keeps flows open with pauses between their requests. In a pause the operator leads their route to another service,
// and the processes of the system are stopped and started in turn. The rule FLOW forbids that the packets of an open flow
// reach other servers and not its own.
func moved(d *deployment, trouble bool) (broken bool, err error) {
	route := d.route(8443)
	d.putConfig(movedConfiguration(1, route, "orders"), 1)
	if err := d.addFronts(d.zones...); err != nil {
		return false, err
	}
	for i, service := range []string{"orders", "orders", "orders", "orders-next", "orders-next", "orders-next", "orders-next"} {
		if _, _, err := d.addSide(d.zones[i%len(d.zones)], service, 0); err != nil {
			return false, err
		}
	}
	if err := d.awaitServing(route); err != nil {
		return false, err
	}
	time.Sleep(contact)

	var flows []*clientFlow
	for range keptFlows {
		f := d.clients.newFlow(route)
		if _, result := d.clients.open(f); result != resultOpen {
			return false, fmt.Errorf("a flow does not open: %s", result)
		}
		flows = append(flows, f)
	}
	ask := func() (results map[string]int) {
		results = make(map[string]int)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, f := range flows {
			wg.Go(func() {
				id := d.clients.newID()
				sent := time.Now()
				front, result := d.clients.ask(f, id, sent.Add(askDeadline))
				d.record.line("request", "id", id, "client", f.key[0], "route", route, "front", front, "sent_ms", d.record.ms(sent), "result", result)
				mu.Lock()
				defer mu.Unlock()
				results[result]++
			})
		}
		wg.Wait()
		return results
	}
	before := ask()
	last := time.Now()
	if trouble {
		d.putConfig(movedConfiguration(2, route, "orders-next"), 2)
		time.Sleep(500 * time.Millisecond)
		var wg sync.WaitGroup
		for _, role := range []string{"balancer", "agent"} {
			wg.Go(func() { d.roll(role) })
		}
		wg.Wait()
	}
	time.Sleep(time.Until(last.Add(pauseBetween)))
	after := ask()
	end := time.Now()

	d.mu.Lock()
	stray := 0
	for _, f := range flows {
		if t := d.traces[f.key]; t != nil && t.owner != nil && t.isStray(flowStray, end) {
			stray++
		}
	}
	d.mu.Unlock()
	d.verdict("%d flows; requests before: %v, after: %v", len(flows), before, after)
	d.verdict("%d flows had three or more packets at other servers and none at their own for %v", stray, flowStray)
	if before[resultAnswered] < len(flows) {
		return false, fmt.Errorf("not all requests before the change were answered")
	}
	return stray > 0, nil
}

// roll stops the processes of a role in turn, as planned work, and starts each again after a short delay.
func (d *deployment) roll(role string) {
	d.mu.Lock()
	var all []*process
	for _, p := range d.processes {
		if p.role == role {
			all = append(all, p)
		}
	}
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() {
			p.stop(syscall.SIGTERM)
			time.Sleep(restartDelay)
			if err := p.start(); err != nil {
				d.record.line("not_started", "process", p.name, "error", err)
			}
		})
		time.Sleep(rollGap)
	}
	wg.Wait()
}

func movedConfiguration(version int, route netip.AddrPort, service string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-1","host":%q,"prefix":"/%d/","kind":"safe","timeout-ms":1500,"target-latency-ms":120,"priority":2,"service":%q,"max-attempts":2}],`+
		`"services":[{"name":"orders","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false,"warmup-s":2.0,"warmup-per-s":0.0},{"name":"orders-next","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false,"warmup-s":2.0,"warmup-per-s":0.0}],"limits":{"idle-timeout-ms":15000}}`,
		version, route.Addr(), route.Port(), service)
}
