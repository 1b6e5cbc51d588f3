//go:build review

// Command driver plays the cases of the review: it starts the project's programs as separate processes on loopback
// addresses and takes the place of the platform's store and routers, of backend servers and of clients.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	serviceIP = "198.18.0.1"
	heartbeat = 1200 * time.Millisecond
	graceTime = 6 * time.Second // grace-s
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond
	nodeProgram  = "target/bramleymast-node"
)

// ports are the same on all machines.
type ports struct{ packets, ready, control, outbound, app, internal int }

type world struct {
	start  time.Time
	dir    string
	net    int
	hosts  int
	ports  ports
	store  *store
	seeds  []string
	nodes  []*node
	router *router
	// clockAhead is how far the clock of a machine is ahead that is added now.
	clockAhead time.Duration

	mu     sync.Mutex
	record *os.File
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), dir: dir, record: f}
	for range 50 {
		w.net = 20 + rand.IntN(200)
		base := 20000 + rand.IntN(9000)
		w.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 10}
		if w.portsFree() {
			w.store = newStore()
			w.router = newRouter(w)
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (w *world) portsFree() bool {
	for p := w.ports.packets; p <= w.ports.internal+5; p++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:%d", w.net, p))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (w *world) newIP() string {
	w.hosts++
	return fmt.Sprintf("127.%d.%d.%d", w.net, w.hosts/200, 1+w.hosts%200)
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.4f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.logf(format, args...)
	fmt.Printf("%9.4f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) at(d time.Duration) { time.Sleep(time.Until(w.start.Add(d))) }

// close ends all processes that the case started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT)
		n.kill()
	}
	w.record.Close()
	os.RemoveAll(w.dir)
}

// node is a process of the project.
type node struct {
	w        *world
	name     string
	role     string
	ip       string
	settings string
	log      *os.File
	gate     *gate

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// node prepares a machine with a role; service is that of the backend server beside an agent.
func (w *world) node(role, name, zone, ip, service string) (*node, error) {
	g, err := w.store.listen(ip)
	if err != nil {
		return nil, err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	class, serves := "front", []string{"front", "control"}
	listen := map[string]any{"packet-addr": at(w.ports.packets), "ready-addr": at(w.ports.ready), "control": at(w.ports.control)}
	if role == "agent" {
		class, serves = "side", []string{"side"}
		listen["outbound"] = at(w.ports.outbound)
	}
	raw := map[string]any{
		"node-name": name, "role": role, "machine-class": class, "serves": serves, "ip": ip, "zone": zone, "region": "cr-central",
		"zones":  map[string]string{"heredia-a": "cr-central", "heredia-b": "cr-central"},
		"listen": listen, "internal-ports": []int{w.ports.internal, w.ports.internal + 5}, "seeds": w.seeds,
		"bootstrap": true, "tolerated": false,
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "local", "entry": "announcement", "heartbeat-ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 3000, "grace-s": 6,
			"loss-slack-ms": 200, "config-apply-ms": 3000, "downgrade-slack-ms": 250, "outer-ms": 12000, "warmup-overshoot": 1.5,
			"warmup-slack": 5, "evacuate-ms": 5000, "recovery-s": 12, "flow-stray-ms": 2000, "flow-ttl-s": 60,
		},
		"hash": "mod", "deploy-mode": "agent",
		"platform": map[string]any{"address": g.address, "deploy-mode": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	if role == "agent" {
		raw["app"], raw["service"] = at(w.ports.app), service
	}
	data, err := json.Marshal(raw)
	if err != nil {
		return nil, err
	}
	n := &node{w: w, name: name, role: role, ip: ip, settings: filepath.Join(w.dir, name+".json"), gate: g}
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, n.run()
}

// run starts the process with the command of the deploy file.
func (n *node) run() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = exec.Command(nodeProgram, n.role)
	n.cmd.Env = []string{"BRAMLEYMAST_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH")}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), n.cmd
	n.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	n.w.logf("start %s", n.name)
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.done:
	default:
		_ = n.cmd.Process.Signal(sig)
	}
}

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	<-done
}

// restart stops the process as the platform does, and starts it again after a short delay.
func (n *node) restart() {
	n.w.say("%s gets SIGTERM", n.name)
	n.signal(syscall.SIGTERM)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	select {
	case <-done:
	case <-time.After(graceTime):
		n.kill()
	}
	time.Sleep(restartDelay)
	if err := n.run(); err != nil {
		n.w.say("%s does not start: %v", n.name, err)
		return
	}
	n.w.say("%s is started again", n.name)
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/-/ready", n.ip, n.w.ports.ready))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// router picks balancers as the platform does: by a hash over those in rotation, which are probed twice a second.
type router struct {
	w  *world
	mu sync.Mutex
	// all are the balancers, in a fixed order.
	all    []*node
	misses map[*node]int
}

func newRouter(w *world) *router { return &router{w: w, misses: make(map[*node]int)} }

func (r *router) add(n *node) {
	r.mu.Lock()
	r.all = append(r.all, n)
	r.misses[n] = 2
	r.mu.Unlock()
	go func() {
		for ; ; time.Sleep(500 * time.Millisecond) {
			ok := n.isReady()
			r.mu.Lock()
			was := r.misses[n] < 2
			if ok {
				r.misses[n] = 0
			} else {
				r.misses[n]++
			}
			if now := r.misses[n] < 2; now != was {
				r.w.logf("rotation %s %v", n.name, now)
			}
			r.mu.Unlock()
		}
	}()
}

func (r *router) inRotation() []*node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*node
	for _, n := range r.all {
		if r.misses[n] < 2 {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(r.all) {
		return r.all
	}
	return in
}

// pick returns the balancer for a flow.
func (r *router) pick(hash uint32) *node {
	in := r.inRotation()
	return in[int(hash)%len(in)]
}
