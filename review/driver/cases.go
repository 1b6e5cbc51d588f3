//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// leadTime is the time from the start of the machines to the start of traffic, as on the site.
const leadTime = 10 * time.Second

// fleet is a small deployment.
type fleet struct {
	balancers []*node
	agents    []*node
	servers   []*server
}

func (w *world) balancers(f *fleet, zones ...string) error {
	ips := make([]string, len(zones))
	for i := range zones {
		ips[i] = w.newIP()
		if len(w.seeds) < 3 {
			w.seeds = append(w.seeds, fmt.Sprintf("%s:%d", ips[i], w.ports.control))
		}
	}
	for i, zone := range zones {
		n, err := w.node("balancer", fmt.Sprintf("front-%s-%d", zone, i+1), zone, ips[i], "")
		if err != nil {
			return err
		}
		f.balancers = append(f.balancers, n)
		w.router.add(n)
	}
	return nil
}

// machine starts a side machine with its agent and backend server.
func (w *world) machine(f *fleet, service, zone string, slots int, work, cold time.Duration) error {
	i := len(f.servers) + 1
	ip := w.newIP()
	n, err := w.node("agent", fmt.Sprintf("side-%s-%d", zone, i), zone, ip, service)
	if err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond) // The agent listens before the first heartbeat.
	s, err := w.server(fmt.Sprintf("i-%s-%d", service, i), service, zone, ip, slots, work, cold)
	if err != nil {
		return err
	}
	f.agents, f.servers = append(f.agents, n), append(f.servers, s)
	return nil
}

// startTraffic waits for the start of traffic and checks that the deployment serves.
func (w *world) startTraffic() error {
	w.at(leadTime)
	if in := w.router.inRotation(); len(in) != len(w.router.all) {
		return fmt.Errorf("%d of %d balancers are ready", len(in), len(w.router.all))
	}
	return nil
}

// load sends requests on a flow each until the returned function is called, which returns how many were answered.
func (w *world) load(port, perSecond, clients int) (stop func() (ok, failed int64), err error) {
	var all []*client
	for range clients {
		cl, err := w.client()
		if err != nil {
			return nil, err
		}
		all = append(all, cl)
	}
	done := make(chan struct{})
	var ok, failed, n atomic.Int64
	go func() {
		t := time.NewTicker(time.Second / time.Duration(perSecond))
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-t.C:
			}
			go func() {
				if _, err := all[i%clients].once(port, nil, fmt.Sprintf("load-%d", n.Add(1)), 2000, 1500*time.Millisecond); err != nil {
					failed.Add(1)
				} else {
					ok.Add(1)
				}
			}()
		}
	}()
	return func() (int64, int64) {
		close(done)
		time.Sleep(500 * time.Millisecond)
		return ok.Load(), failed.Load()
	}, nil
}

// longFlow keeps one flow open for many downloads. Without the trouble, the client opens a new flow every 100 downloads.
func longFlow(w *world, trouble bool) (bool, error) {
	const (
		downloads    = 470
		downloadSize = 40_000
		pause        = 40 * time.Millisecond
	)
	var f fleet
	w.store.put("op/config", configText(1, 2, 0, routeConfig{8443, "orders", "safe"}, routeConfig{9443, "catalogue", "download"}))
	if err := w.balancers(&f, "heredia-a", "heredia-b"); err != nil {
		return false, err
	}
	for i, service := range []string{"orders", "orders", "catalogue", "catalogue"} {
		if err := w.machine(&f, service, []string{"heredia-a", "heredia-b"}[i%2], 2, 5*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	if err := w.startTraffic(); err != nil {
		return false, err
	}
	cl, err := w.client()
	if err != nil {
		return false, err
	}
	var fl *clientFlow
	opened, total := time.Now(), 0
	for i := range downloads {
		if fl == nil {
			if fl, err = cl.open(9443, nil); err != nil {
				return false, err
			}
			opened = time.Now()
		}
		last := !trouble && i%100 == 99
		server, n, err := fl.request(fmt.Sprintf("download-%d", i), downloadSize, last, 8*time.Second)
		total += n
		if err != nil {
			w.say("download %d failed after %.1f s and %d bytes of the flow: %v", i, time.Since(opened).Seconds(), fl.bytes, err)
			if errors.Is(err, errReset) {
				w.say("FAULT FLOW the flow was reset by the system; its server lives and has not reset it")
				return true, nil
			}
			return false, err
		}
		if i%100 == 99 {
			w.say("%d downloads, %d bytes, the last one by %s", i+1, total, server)
		}
		if last {
			fl = nil
		}
		time.Sleep(pause)
	}
	return false, nil
}

// strayFlow restarts the agents in turn, silences the open connections of one balancer to the store, adds three machines and
// then stops and starts the other balancer. Clients keep flows open meanwhile. Without the trouble, no connection goes
// silent.
func strayFlow(w *world, trouble bool) (bool, error) {
	const (
		keptFlows = 480
		requests  = 8
		pause     = 1500 * time.Millisecond
		strayTime = 2 * time.Second // flow-stray-ms
		strays    = 3
	)
	var f fleet
	w.store.put("op/config", configText(1, 2, 0, routeConfig{8443, "orders", "safe"}))
	if err := w.balancers(&f, "heredia-a", "heredia-a"); err != nil {
		return false, err
	}
	for range 4 {
		if err := w.machine(&f, "orders", "heredia-a", 7, 5*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	if err := w.startTraffic(); err != nil {
		return false, err
	}
	stop, err := w.load(8443, 200, 8)
	if err != nil {
		return false, err
	}
	var rolled sync.WaitGroup
	for _, n := range f.agents {
		rolled.Add(1)
		go func() {
			defer rolled.Done()
			n.restart()
		}()
		time.Sleep(3 * time.Second)
	}
	rolled.Wait()
	w.at(29 * time.Second)
	b := f.balancers[1]
	if trouble {
		w.say("the open connections of %s to the store go silent", b.name)
		b.gate.silence()
	}
	for i := range 3 {
		w.at(30*time.Second + time.Duration(i)*1500*time.Millisecond)
		if err := w.machine(&f, "orders", "heredia-a", 7, 5*time.Millisecond, 0); err != nil {
			return false, err
		}
		w.say("machine %s is added", f.agents[len(f.agents)-1].name)
	}
	w.at(35 * time.Second)
	cl, err := w.client()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var kept []*clientFlow
	held, failed := 0, 0
	var flows sync.WaitGroup
	for i := range keptFlows {
		time.Sleep(5 * time.Millisecond)
		flows.Add(1)
		go func() {
			defer flows.Done()
			fl, err := cl.open(8443, nil)
			if err != nil {
				w.say("kept flow %d did not open: %v", i, err)
				return
			}
			mu.Lock()
			kept = append(kept, fl)
			mu.Unlock()
			for k := range requests {
				server, _, err := fl.request(fmt.Sprintf("kept-%d-%d", i, k), 2000, false, 4*time.Second)
				if err != nil {
					mu.Lock()
					failed++
					mu.Unlock()
					w.say("request %d on the open flow of %s: %v", k, fl.src, err)
					return
				}
				fl.server = server
				time.Sleep(pause)
			}
			mu.Lock()
			held++
			mu.Unlock()
		}()
	}
	w.at(39 * time.Second)
	f.balancers[0].restart()
	flows.Wait()
	ok, bad := stop()
	broken := 0
	for _, fl := range kept {
		if n, at := f.strays(fl, strayTime); n >= strays {
			broken++
			w.say("FAULT FLOW from %.2f s on for %v, %d packets of the open flow %s of %s reach other servers and none its own, which lives", at.Sub(w.start).Seconds(), strayTime, n, fl.src, fl.server)
		}
	}
	w.say("%d kept flows held, %d failed, %d strayed; other requests: %d answered, %d failed", held, failed, broken, ok, bad)
	return broken > 0, nil
}

// strays returns the largest number of packets of a flow that reach other servers in a span in which none reaches its own.
func (f *fleet) strays(fl *clientFlow, span time.Duration) (most int, at time.Time) {
	key := fl.src.String() + ">" + fl.dst.String()
	var own, others []time.Time
	var opened time.Time
	for _, s := range f.servers {
		s.mu.Lock()
		if s.id == fl.server {
			own = append(own, s.packets[key]...)
			opened = s.openAt[key]
		} else {
			others = append(others, s.packets[key]...)
		}
		s.mu.Unlock()
	}
	in := func(all []time.Time, from time.Time) (n int) {
		for _, t := range all {
			if !t.Before(from) && t.Before(from.Add(span)) {
				n++
			}
		}
		return n
	}
	for _, t := range others {
		if t.Before(opened) || in(own, t) > 0 {
			continue
		}
		if n := in(others, t); n > most {
			most, at = n, t
		}
	}
	return most, at
}

// coldAgent adds a machine whose backend server is cold, and kills its agent while it is.
func coldAgent(w *world, trouble bool) (bool, error) {
	const (
		warmup     = 6 * time.Second
		warmupPerS = 4
		overshoot  = 1.5
		slack      = 5
	)
	var f fleet
	w.store.put("op/config", configText(1, warmup.Seconds(), warmupPerS, routeConfig{8443, "orders", "safe"}))
	if err := w.balancers(&f, "heredia-a", "heredia-a"); err != nil {
		return false, err
	}
	for range 4 {
		if err := w.machine(&f, "orders", "heredia-a", 2, 15*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	if err := w.startTraffic(); err != nil {
		return false, err
	}
	stop, err := w.load(8443, 250, 8)
	if err != nil {
		return false, err
	}
	w.at(13 * time.Second)
	if err := w.machine(&f, "orders", "heredia-a", 2, 15*time.Millisecond, warmup); err != nil {
		return false, err
	}
	a, s := f.agents[4], f.servers[4]
	w.say("%s is added; its server is cold for %v and then bears %d requests a second", a.name, warmup, warmupPerS)
	time.Sleep(heartbeat*2 + 200*time.Millisecond)
	if trouble {
		w.say("%s is killed", a.name)
		a.kill()
		time.Sleep(400 * time.Millisecond)
		if err := a.run(); err != nil {
			return false, err
		}
		w.say("%s is started again", a.name)
	}
	time.Sleep(time.Until(s.cold))
	ok, bad := stop()
	s.mu.Lock()
	times := s.accepted
	s.mu.Unlock()
	most, at := 0, time.Time{}
	for _, t := range times {
		if end := t.Add(time.Second); !end.After(s.cold) {
			if n := s.openedBetween(t, end); n > most {
				most, at = n, t
			}
		}
	}
	bound := warmupPerS*overshoot + slack
	w.say("the cold server got up to %d requests in one second, from %.2f s on; allowed are %.0f; other requests: %d answered, %d failed", most, at.Sub(w.start).Seconds(), bound, ok, bad)
	return float64(most) > bound, nil
}

// clockAgent adds a machine whose clock is ahead when its backend server starts and jumps back soon after. Then its agent
// is killed and started again. Clients keep flows open meanwhile.
func clockAgent(w *world, trouble bool) (bool, error) {
	const step = 2400 * time.Millisecond
	var f fleet
	w.store.put("op/config", configText(1, 2, 0, routeConfig{8443, "orders", "safe"}))
	if err := w.balancers(&f, "heredia-a", "heredia-a"); err != nil {
		return false, err
	}
	for range 3 {
		if err := w.machine(&f, "orders", "heredia-a", 2, 15*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	if err := w.startTraffic(); err != nil {
		return false, err
	}
	stop, err := w.load(8443, 100, 8)
	if err != nil {
		return false, err
	}
	w.at(13 * time.Second)
	ahead := time.Duration(0)
	if trouble {
		ahead = step
	}
	w.clockAhead = ahead
	added := time.Now()
	if err := w.machine(&f, "orders", "heredia-a", 2, 15*time.Millisecond, 0); err != nil {
		return false, err
	}
	w.clockAhead = 0
	a, s := f.agents[3], f.servers[3]
	w.say("%s is added; its clock is %v ahead until its server has started", a.name, ahead)
	cl, err := w.client()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var kept []*clientFlow
	for time.Since(added) < 1700*time.Millisecond {
		fl, err := cl.open(8443, nil)
		if err == nil {
			if fl.server, _, err = fl.request(fmt.Sprintf("first-%d", len(kept)), 200, false, time.Second); err == nil {
				kept = append(kept, fl)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		w.say("%s is killed", a.name)
		a.kill()
		time.Sleep(restartDelay)
		if err := a.run(); err != nil {
			return false, err
		}
		w.say("%s is started again", a.name)
	}
	time.Sleep(6 * time.Second)
	var done sync.WaitGroup
	held, broken, other := 0, 0, 0
	for i, fl := range kept {
		if fl.server != s.id {
			continue
		}
		done.Add(1)
		go func() {
			defer done.Done()
			_, _, err := fl.request(fmt.Sprintf("second-%d", i), 200, true, 4*time.Second)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				held++
			case errors.Is(err, errReset):
				broken++
				w.say("FAULT FLOW %s was reset by the system; it was open at %s, which lives", fl.src, fl.server)
			default:
				other++
				w.say("%s: %v", fl.src, err)
			}
		}()
	}
	done.Wait()
	ok, bad := stop()
	w.say("flows kept open at the added server: %d held, %d reset, %d failed otherwise; other requests: %d answered, %d failed", held, broken, other, ok, bad)
	if held+broken+other == 0 {
		return false, errors.New("no flow was open at the added server")
	}
	return broken > 0, nil
}

// foreignBeat lets a heartbeat of another writer, which lacks fields, arrive while a backend server drains.
func foreignBeat(w *world, trouble bool) (bool, error) {
	const drain = 3 * time.Second // drain-ms
	var f fleet
	w.store.put("op/config", configText(1, 2, 0, routeConfig{8443, "orders", "safe"}))
	if err := w.balancers(&f, "heredia-a", "heredia-a"); err != nil {
		return false, err
	}
	for range 3 {
		if err := w.machine(&f, "orders", "heredia-a", 2, 15*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	if err := w.startTraffic(); err != nil {
		return false, err
	}
	stop, err := w.load(8443, 100, 8)
	if err != nil {
		return false, err
	}
	w.at(14 * time.Second)
	s := f.servers[0]
	s.setState("draining")
	s.beat()
	s.mu.Lock()
	acked := s.ackedAt
	s.mu.Unlock()
	if acked.IsZero() {
		return false, errors.New("draining was not acknowledged")
	}
	w.say("%s drains, acknowledged", s.id)
	time.Sleep(4 * time.Second)
	if trouble {
		ok := s.post("Heartbeat", []byte(fmt.Sprintf(`{"service":%q,"slots":2,"state":"ready","seq":1,"born":%d}`, s.service, time.Now().UnixMilli())))
		w.say("a heartbeat without address, zone and version arrives, acknowledged: %v", ok)
	}
	time.Sleep(5 * time.Second)
	ok, bad := stop()
	from := acked.Add(drain + 50*time.Millisecond)
	n := s.openedBetween(from, time.Now())
	w.say("%s took %d flows later than %v after its draining was acknowledged; other requests: %d answered, %d failed", s.id, n, drain, ok, bad)
	return n > 0, nil
}
