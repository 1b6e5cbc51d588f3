//go:build review

package main

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// change is a configuration that the operator writes; at is when, after the copy of the store was taken.
type change struct {
	version int
	at      time.Duration
	text    []byte
}

// Times of the case, after the copy was taken.
const (
	storeLeaves    = 8 * time.Second
	storeAway      = 500 * time.Millisecond
	rewriteDelay   = 500 * time.Millisecond
	observedPeriod = 5 * time.Second
)

// regression adds a route in each of three changes. The store then comes back from a copy that is older than they are, and
// the operator writes them again in the same order and at the same pace. The rule CONFIG forbids that a process handles a
// request as only an older version allows after it has shown the effect of a newer one.
func regression(d *deployment, trouble bool) (broken bool, err error) {
	const first, last = 1, 4
	d.putConfig(d.configuration(first), first)
	var changes []change
	for v := first + 1; v <= last; v++ {
		changes = append(changes, change{version: v, at: time.Second + time.Duration(v-first-1)*3*time.Second, text: d.configuration(v)})
	}
	if err := d.addFronts(d.zones[0], d.zones[1], d.zones[0]); err != nil {
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

	stop := make(chan struct{})
	var mu sync.Mutex
	var outcomes []outcome
	collect := func(o outcome) {
		mu.Lock()
		defer mu.Unlock()
		outcomes = append(outcomes, o)
	}
	copied, copyAt := d.store.copyAll(), time.Now()
	d.record.line("store_copied", "version", first)
	write := func(c change) { d.putConfig(c.text, c.version) }
	for _, c := range changes {
		time.Sleep(time.Until(copyAt.Add(c.at)))
		write(c)
	}
	lastAcknowledged := time.Now()
	wait := d.load(d.versionRoute(last), 40, stop, collect)
	time.Sleep(time.Until(copyAt.Add(storeLeaves)))
	back := time.Now()
	if trouble {
		d.store.leave()
		d.record.line("store_away")
		time.Sleep(storeAway)
		d.store.comeBack(copied)
		back = time.Now()
		d.record.line("store_back", "version", first)
		time.Sleep(rewriteDelay)
		rewriteAt := time.Now()
		for _, c := range changes {
			time.Sleep(time.Until(rewriteAt.Add(c.at - changes[0].at)))
			write(c)
		}
	} else {
		time.Sleep(storeAway + rewriteDelay + changes[len(changes)-1].at - changes[0].at)
	}
	time.Sleep(observedPeriod)
	close(stop)
	wait()

	// seen holds when a server first saw, through each balancer, the effect of the last version.
	seen := make(map[string]time.Time)
	answered := 0
	for _, o := range outcomes {
		if o.result == "answered" {
			answered++
		}
		if at, ok := seen[o.front]; !o.taken.IsZero() && (!ok || o.taken.Before(at)) {
			seen[o.front] = o.taken
		}
	}
	refused := make(map[string]int)
	earlier := 0
	for _, o := range outcomes {
		at, ok := seen[o.front]
		if !ok || o.result != "reset" || !o.taken.IsZero() || o.sent.Sub(at) <= downgradeSlack {
			continue
		}
		// The store's absence is a disruption of the core; a machine is in touch again after the contact time.
		if trouble && o.ended.After(back.Add(-storeAway)) && o.sent.Before(back.Add(contact)) {
			earlier++
			continue
		}
		refused[o.front]++
		d.record.line("regressed", "request", o.id, "front", o.front, "sent_ms", d.record.ms(o.sent), "effect_seen_ms", d.record.ms(at))
	}
	d.verdict("version %d acknowledged at %d ms, store back at %d ms", last, d.record.ms(lastAcknowledged), d.record.ms(back))
	for front, n := range refused {
		d.verdict("%s refused %d requests to the route of version %d more than %v after a server had seen its effect, in touch", front, n, last, downgradeSlack)
		broken = true
	}
	d.verdict("%d requests, %d answered, %d refused while not in touch", len(outcomes), answered, earlier)
	if len(seen) == 0 {
		return false, fmt.Errorf("no server saw the effect of version %d", last)
	}
	return broken, nil
}

// configuration returns a version; each adds a route to the one before.
func (d *deployment) configuration(version int) []byte {
	var routes []string
	for v := 1; v <= version; v++ {
		r := d.versionRoute(v)
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d","host":%q,"prefix":"/%d/","kind":"safe","timeout-ms":1500,"target-latency-ms":120,"priority":2,"service":"orders","max-attempts":2}`, v, r.Addr(), r.Port()))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"orders","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false,"warmup-s":2.0,"warmup-per-s":0.0}],"limits":{"idle-timeout-ms":15000}}`,
		version, strings.Join(routes, ","))
}

// versionRoute returns the route that a version adds.
func (d *deployment) versionRoute(version int) netip.AddrPort { return d.route(8000 + version) }
