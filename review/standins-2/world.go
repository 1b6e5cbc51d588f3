//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	probeInterval     = 500 * time.Millisecond
	// graceSeconds is the time from SIGTERM to SIGKILL (grace-s).
	graceSeconds = 6
)

// ports are the same on all hosts of a run.
type ports struct{ packets, ready, control, outbound, app, internal int }

// world is a small deployment: the stand-ins, and the project's programs as processes on loopback addresses.
type world struct {
	dir      string
	record   *os.File
	started  time.Time
	network  string
	hosts    int
	ports    ports
	store    *store
	nodes    []*node
	seeds    []string
	run      map[string][]string // the command of each role in the deploy file
	ids      atomic.Int64
	stopping atomic.Bool

	mu         sync.Mutex
	runs       map[string][]string // the backend servers that ran a request, by its id
	violations []string
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	cleanUp()
	os.Exit(exitCannotRun)
}

// cleanUp ends all processes that were started; it is replaced once there are any.
var cleanUp = func() {}

func newWorld(record *os.File) *world {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fail("%v", err)
	}
	w := &world{
		dir: dir, record: record, started: time.Now(), store: newStore(), runs: make(map[string][]string), run: readDeployFile(),
		network: fmt.Sprintf("127.%d.%d", 64+rand.IntN(64), rand.IntN(256)),
	}
	w.ports = freePorts(w.network + ".250")
	cleanUp = w.close
	return w
}

// readDeployFile returns the commands of the roles in the deploy file.
func readDeployFile() map[string][]string {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		fail("%v (start the case in the root of the repository)", err)
	}
	run := make(map[string][]string)
	role := ""
	for line := range strings.Lines(string(data)) {
		if m := regexp.MustCompile(`^\[roles\.(\S+)\]`).FindStringSubmatch(line); m != nil {
			role = m[1]
		}
		if m := regexp.MustCompile(`^run = "(.*)"`).FindStringSubmatch(line); m != nil {
			run[role] = strings.Fields(m[1])
		}
	}
	return run
}

// freePorts returns ports at which nothing listens.
func freePorts(ip string) ports {
	for range 100 {
		base := 20000 + rand.IntN(9000)
		free := true
		for p := base; p < base+20 && free; p++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, p))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}
		}
	}
	fail("no free ports")
	return ports{}
}

func (w *world) newIP() string {
	w.hosts++
	return fmt.Sprintf("%s.%d", w.network, w.hosts)
}

func (w *world) at(ip string, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(port))
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// violate records that a rule was broken.
func (w *world) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.logf("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, text)
}

func (w *world) newID() string { return fmt.Sprintf("q%d", w.ids.Add(1)) }

// ran records that a backend server began to work on a request.
func (w *world) ran(id string, b *backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], b.id)
}

// ranAt returns the backend servers that ran a request.
func (w *world) ranAt(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runs[id])
}

// config writes a configuration with a route from each port to a service and returns the revision.
func (w *world) config(version int, kind string, timeout time.Duration, routes map[int]string) uint64 {
	type object = map[string]any
	rs, services := []object{}, map[string]bool{}
	for port, service := range routes {
		rs = append(rs, object{
			"name": fmt.Sprintf("r-%d", port), "host": serviceIP, "prefix": fmt.Sprintf("/%d/", port), "kind": kind, "timeout-ms": timeout.Milliseconds(),
			"target-latency-ms": 250, "priority": 1, "service": service, "max-attempts": 2,
		})
		services[service] = true
	}
	ss := []object{}
	for s := range services {
		ss = append(ss, object{"name": s, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false, "warmup-s": 2.0, "warmup-per-s": 0.0})
	}
	text, _ := json.Marshal(object{"version": version, "routes": rs, "services": ss, "limits": object{"idle-timeout-ms": 15000}})
	revision := w.store.put("op/config", string(text))
	w.logf("operator: configuration %d acknowledged at revision %d", version, revision)
	return revision
}

// evacuate empties a zone, or takes it back.
func (w *world) evacuate(zone string, out bool) {
	key := "op/evacuate/" + zone
	if out {
		w.logf("operator: zone %s is to be emptied, acknowledged at revision %d", zone, w.store.put(key, "{}"))
		return
	}
	w.logf("operator: zone %s is taken back, acknowledged at revision %d", zone, w.store.remove(key))
}

// node is a balancer or an agent.
type node struct {
	w        *world
	name     string
	role     string
	zone     string
	ip       string
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	missed  int // readiness probes in a row without a 200
	inTurn  bool
	stopped bool
}

// node prepares a process; services is empty for a balancer.
func (w *world) node(role, name, zone, ip, service string) *node {
	n := &node{w: w, name: name, role: role, zone: zone, ip: ip, settings: filepath.Join(w.dir, name+".json")}
	at := func(port int) string { return w.at(ip, port).String() }
	listen := map[string]any{"packet-addr": at(w.ports.packets), "ready-addr": at(w.ports.ready), "control": at(w.ports.control)}
	s := map[string]any{
		"node-name": name, "role": role, "ip": ip, "zone": zone, "region": "r", "listen": listen,
		"internal-ports": []int{w.ports.internal, w.ports.internal + 14}, "seeds": w.seeds, "bootstrap": true, "tolerated": false, "data-dir": nil,
		"discovery": "local", "entry": "announcement", "heartbeat-ms": heartbeatInterval.Milliseconds(), "hash": "mod", "deploy-mode": "agent",
		"fault-tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 3000, "grace-s": graceSeconds, "config-apply-ms": 3000, "outer-ms": 12000,
			"evacuate-ms": 5000, "recovery-s": 12, "flow-stray-ms": 2000, "flow-ttl-s": 60,
		},
		"platform": map[string]any{"address": w.store.serve(w.network + ".249"), "deploy-mode": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	if service == "" {
		s["machine-class"], s["serves"] = "front", []string{"front", "control"}
		s["limits"] = map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0}
	} else {
		listen["outbound"] = at(w.ports.outbound)
		s["machine-class"], s["serves"], s["service"], s["app"] = "side", []string{"side"}, service, at(w.ports.app)
		s["limits"] = map[string]any{"cpu-share": 0.24, "cores": 1, "memory-mb": 152, "max-fds": 4096, "link-mbps": 1000.0, "disk-mb": 0}
	}
	data, _ := json.MarshalIndent(s, "", "  ")
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		fail("%v", err)
	}
	w.nodes = append(w.nodes, n)
	return n
}

func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	f, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	defer f.Close()
	args := n.w.run[n.role]
	n.cmd = exec.Command(args[0], args[1:]...)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRAMLEYMAST_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = f, f
	if err := n.cmd.Start(); err != nil {
		fail("%s: %v", n.name, err)
	}
	n.w.logf("platform: %s is started", n.name)
	n.stopped = false
	go n.await(n.cmd)
}

// await records when the process ends by itself.
func (n *node) await(cmd *exec.Cmd) {
	err := cmd.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != cmd {
		return
	}
	n.cmd = nil
	if !n.stopped && !n.w.stopping.Load() {
		n.w.violate("Fault", "%s has ended by itself: %v", n.name, err)
	}
}

// signal sends a signal to the process; planned is set if the process is to end by it.
func (n *node) signal(sig syscall.Signal, ends bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	n.stopped = n.stopped || ends
	n.w.logf("platform: %s gets %s", n.name, sig)
	_ = n.cmd.Process.Signal(sig)
}

func (n *node) kill() { n.signal(syscall.SIGKILL, true) }

// running reports whether the process runs.
func (n *node) running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil
}

// awaitEnd waits until the process has ended.
func (n *node) awaitEnd() {
	for n.running() {
		time.Sleep(5 * time.Millisecond)
	}
}

// probe sends a readiness check twice a second, as the platform does.
func (n *node) probe() {
	client := &http.Client{Timeout: probeInterval}
	for ; ; time.Sleep(probeInterval) {
		resp, err := client.Get("http://" + n.w.at(n.ip, n.w.ports.ready).String() + "/-/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		n.mu.Lock()
		if n.missed++; ok {
			n.missed = 0
		}
		n.inTurn = ok || n.inTurn && n.missed < 2
		n.mu.Unlock()
	}
}

func (n *node) inRotation() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inTurn
}

// router returns the entry host to which the routers of a zone send a packet: one of the zone's hosts in rotation, or all
// of the zone if fewer than half of them are, or those of other zones if none is.
func (w *world) router(zone, key string) *node {
	var all, in, elsewhere []*node
	for _, n := range w.nodes {
		switch {
		case n.role != "balancer":
		case n.zone != zone && n.inRotation():
			elsewhere = append(elsewhere, n)
		case n.zone == zone:
			all = append(all, n)
			if n.inRotation() {
				in = append(in, n)
			}
		}
	}
	switch {
	case len(in) == 0 && len(elsewhere) > 0:
		in = elsewhere
	case 2*len(in) < len(all):
		in = all
	}
	if len(in) == 0 {
		return nil
	}
	return in[hash(key, len(in))]
}

// close ends all processes and removes the folder.
func (w *world) close() {
	w.stopping.Store(true)
	for _, n := range w.nodes {
		n.mu.Lock()
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
		n.awaitEnd()
	}
	w.store.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// tally counts how requests ended.
type tally struct {
	mu   sync.Mutex
	n    map[outcome]int
	sent int
}

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n == nil {
		t.n = make(map[outcome]int)
	}
	t.n[o]++
	t.sent++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d sent, %v", t.sent, t.n)
}

func (t *tally) share(o outcome) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == 0 {
		return 0
	}
	return float64(t.n[o]) / float64(t.sent)
}

// traffic sends requests at a steady rate from the clients in turn, each on a flow of its own and with two further tries
// as for requests that may be repeated, and returns how they ended. It returns when all have ended.
func (w *world) traffic(clients []*client, port uint16, perSecond int, period, deadline time.Duration) *tally {
	t := &tally{}
	var all sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for i := range int(period.Seconds() * float64(perSecond)) {
		<-tick.C
		all.Add(1)
		go func() {
			defer all.Done()
			end := time.Now().Add(deadline)
			var o outcome
			for range 3 {
				var id string
				o, id = clients[i%len(clients)].once(port, time.Until(end))
				w.logf("request %s: %s, run by %v", id, o, w.ranAt(id))
				if o == served || time.Until(end) <= 0 {
					break
				}
			}
			t.add(o)
		}()
	}
	all.Wait()
	return t
}
