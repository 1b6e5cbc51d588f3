//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// keptFlows are clients that keep flows open for many requests.
type keptFlows struct {
	w        *world
	mu       sync.Mutex
	backends []*backend
	stop     atomic.Bool
	users    sync.WaitGroup
	requests tally
	resets   atomic.Int64
}

// holder returns the backend server that holds a flow, or nil.
func (k *keptFlows) holder(key string) *backend {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, b := range k.backends {
		if b.holds(key) {
			return b
		}
	}
	return nil
}

func (k *keptFlows) add(b *backend) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backends = append(k.backends, b)
}

// use opens a flow and sends a request on it now and then until it ends, and then opens another one.
func (k *keptFlows) use(c *client) {
	defer k.users.Done()
	for !k.stop.Load() {
		f := c.flow(orders)
		o := f.open()
		for o == served && !k.stop.Load() {
			id := k.w.newID()
			if o = f.request(id, 3*time.Second); o == served {
				c.checkAnswer(f, id)
				time.Sleep(time.Duration(300+rand.IntN(600)) * time.Millisecond)
			}
			k.requests.add(o)
			k.w.logf("request %s on kept flow %s: %s, run by %v", id, f.key, o, k.w.ranAt(id))
			if b := k.holder(f.key); o == cut && b != nil {
				k.resets.Add(1)
				k.w.violate("FLOW", "flow %s was reset in request %s; its backend server %s has not ended it and holds it", f.key, id, b.id)
			}
		}
		f.close()
		time.Sleep(50 * time.Millisecond)
	}
}

// restart stops a process as planned and starts it again after a short delay.
func (n *node) restart() {
	n.signal(syscall.SIGTERM, true)
	killed := time.AfterFunc(graceSeconds*time.Second, n.kill)
	n.awaitEnd()
	killed.Stop()
	time.Sleep(500 * time.Millisecond)
	n.start()
}

// flowsAndSilence has the store fall silent for some seconds. When it has answered again for long enough that all machines
// are in touch, half of the backend servers are replaced as planned, and then one entry host is restarted as planned.
func flowsAndSilence(w *world, trouble bool) {
	const (
		usersPerZone = 250
		servers      = 8
		replaced     = servers / 2
		silence      = 4500 * time.Millisecond
		contact      = 4 * time.Second
		releaseGap   = 720 * time.Millisecond
		// drainTime is drain-ms and some seconds more.
		drainTime = 9 * time.Second
	)
	zones := []string{"a", "b", "b", "a"}
	ips := []string{w.newIP(), w.newIP(), w.newIP(), w.newIP()}
	for _, ip := range ips[:3] { // at most three machines
		w.seeds = append(w.seeds, w.at(ip, w.ports.control).String())
	}
	w.config(1, "unsafe", 3*time.Second, map[int]string{orders: "orders"})
	k := &keptFlows{w: w}
	sides := 0
	addBackend := func() (*backend, *node) {
		zone, ip := zones[sides%2], w.newIP()
		n := w.node("agent", fmt.Sprintf("side-%d", sides), zone, ip, "orders")
		n.start()
		b := w.backend(fmt.Sprintf("i-%d", sides), "orders", zone, ip, 10*time.Millisecond)
		k.add(b)
		sides++
		return b, n
	}
	var old []*backend
	var oldAgents []*node
	for range servers {
		b, n := addBackend()
		old, oldAgents = append(old, b), append(oldAgents, n)
	}
	var fronts []*node
	for i, ip := range ips {
		n := w.node("balancer", fmt.Sprintf("front-%d", i), zones[i], ip, "")
		n.start()
		go n.probe()
		fronts = append(fronts, n)
	}
	clients := []*client{w.client("a"), w.client("b")}
	w.awaitService(clients, orders)
	time.Sleep(3 * time.Second)
	if trouble {
		w.logf("platform: the store is silent")
		w.store.setSilent(true)
	}
	time.Sleep(silence)
	if trouble {
		w.store.setSilent(false)
		w.logf("platform: the store answers again")
	}
	time.Sleep(contact)
	w.logf("all machines are in touch; half of the backend servers are replaced")
	var leaving sync.WaitGroup
	for i := range replaced {
		addBackend()
		time.Sleep(releaseGap / 2)
		leaving.Add(1)
		go func() {
			defer leaving.Done()
			old[i].leave(drainTime)
			oldAgents[i].signal(syscall.SIGTERM, true)
		}()
		time.Sleep(releaseGap / 2)
	}
	time.Sleep(1200 * time.Millisecond)
	for _, c := range clients {
		for range usersPerZone {
			k.users.Add(1)
			go k.use(c)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	w.logf("an entry host is restarted; the store has the entry of a new agent: %v", w.store.has(fmt.Sprintf("bramleymast/agents/side-%d", servers)))
	fronts[0].restart()
	time.Sleep(3 * time.Second)
	k.stop.Store(true)
	k.users.Wait()
	leaving.Wait()
	text := fmt.Sprintf("requests on kept flows: %s; resets of flows that their backend servers hold: %d", &k.requests, k.resets.Load())
	w.logf("%s", text)
	fmt.Println(text)
}
