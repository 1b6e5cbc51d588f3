//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a deployment, relative to its first one. They are the same on all its hosts.
const (
	portPackets = iota
	portReady
	portControl
	portOutbound
	portApp
	portStore
	portInternal
)

// Bounds of a small deployment.
const (
	contact         = 4 * time.Second
	configApply     = 3 * time.Second
	downgradeSlack  = 250 * time.Millisecond
	evacuateBound   = 5 * time.Second
	warmupOvershoot = 1.5
	warmupSlack     = 5
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir       string
	network   int
	firstPort int
	record    *record
	store     *store
	clients   *clients
	seeds     []string
	zones     []string
	roles     map[string][]string // the command of each role
	heartbeat time.Duration
	slots     int
	work      time.Duration

	mu        sync.Mutex
	processes []*process
	hosts     int
	traces    map[[2]netip.AddrPort]*flowTrace // by the two ends of the flow
}

// process is a process of the system.
type process struct {
	d        *deployment
	name     string
	role     string
	ip       string
	settings string
	cmd      *exec.Cmd
	started  time.Time
}

func newDeployment(recordFile string, zones ...string) (*deployment, error) {
	roles, err := readRoles("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r, err := newRecord(recordFile)
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: r, roles: roles, zones: zones, heartbeat: 1200 * time.Millisecond, slots: 2, work: 15 * time.Millisecond}
	for range 50 {
		d.network, d.firstPort = 10+rand.IntN(200), 12000+50*rand.IntN(300)
		if d.store, err = newStore(d.at(d.newIP(), portStore).String()); err == nil {
			return d, d.startClients(d.newIP())
		}
	}
	return nil, err
}

// readRoles returns the commands of the roles of a deploy file.
func readRoles(file string) (map[string][]string, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	roles, role := make(map[string][]string), ""
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if run, ok := strings.CutPrefix(line, "run = "); ok {
			roles[role] = strings.Fields(strings.Trim(run, `"`))
		}
	}
	if len(roles["balancer"]) == 0 || len(roles["agent"]) == 0 {
		return nil, fmt.Errorf("%s has no roles balancer and agent", file)
	}
	return roles, nil
}

func (d *deployment) newIP() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts++
	return fmt.Sprintf("127.%d.0.%d", d.network, d.hosts)
}

func (d *deployment) at(ip string, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(d.firstPort+port))
}

// route returns a service address, which nothing listens at.
func (d *deployment) route(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(fmt.Sprintf("127.%d.99.1", d.network)), uint16(port))
}

// addProcess makes a process known and starts it.
func (d *deployment) addProcess(role, name, zone, ip, service string) (*process, error) {
	at := func(port int) string { return d.at(ip, port).String() }
	class, serves := "front", []string{"front", "control"}
	listen := map[string]string{"packet-addr": at(portPackets), "ready-addr": at(portReady), "control": at(portControl)}
	settings := map[string]any{}
	if role == "agent" {
		class, serves = "side", []string{"side"}
		listen["outbound"] = at(portOutbound)
		settings["service"], settings["app"] = service, at(portApp)
	}
	zones := make(map[string]string)
	for _, z := range d.zones {
		zones[z] = "cr-central"
	}
	for k, v := range map[string]any{
		"node-name": name, "role": role, "machine-class": class, "serves": serves, "ip": ip, "zone": zone, "region": "cr-central", "zones": zones,
		"listen": listen, "internal-ports": []int{d.firstPort + portInternal, d.firstPort + portInternal + 15}, "seeds": d.seeds, "bootstrap": true, "tolerated": false,
		"limits": map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0}, "data-dir": nil,
		"discovery": "local", "entry": "announcement", "heartbeat-ms": d.heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": contact.Milliseconds(), "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 3000, "grace-s": 6, "loss-slack-ms": 200,
			"config-apply-ms": configApply.Milliseconds(), "downgrade-slack-ms": downgradeSlack.Milliseconds(), "outer-ms": 12000, "warmup-overshoot": warmupOvershoot, "warmup-slack": warmupSlack,
			"evacuate-ms": evacuateBound.Milliseconds(), "recovery-s": 12, "flow-stray-ms": 2000, "flow-ttl-s": 60,
		},
		"hash": "mod", "deploy-mode": "agent",
		"platform": map[string]any{"address": d.store.listener.Addr().String(), "deploy-mode": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	} {
		settings[k] = v
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	p := &process{d: d, name: name, role: role, ip: ip, settings: filepath.Join(d.dir, name+".json")}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, err
	}
	if err := p.start(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes = append(d.processes, p)
	return p, nil
}

func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := p.d.roles[p.role]
	p.cmd = exec.Command(command[0], command[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRAMLEYMAST_BOOT=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.started = time.Now()
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.d.record.line("start", "process", p.name, "pid", p.cmd.Process.Pid)
	return nil
}

// stop sends a signal to the process and waits for its end.
func (p *process) stop(sig syscall.Signal) {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(sig)
	_ = p.cmd.Wait()
	p.d.record.line("end", "process", p.name, "signal", sig)
}

var probeClient = &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (p *process) ready() bool {
	resp, err := probeClient.Get("http://" + p.d.at(p.ip, portReady).String() + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *deployment) balancers() []*process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(d.processes), func(p *process) bool { return p.role != "balancer" })
}

// addFronts starts a balancer in each of the zones. The first three are the seeds of all processes.
func (d *deployment) addFronts(zones ...string) error {
	ips := make([]string, len(zones))
	for i := range zones {
		ips[i] = d.newIP()
		if len(d.seeds) < 3 {
			d.seeds = append(d.seeds, d.at(ips[i], portControl).String())
		}
	}
	for i, z := range zones {
		if _, err := d.addProcess("balancer", fmt.Sprintf("front-%s-%d", z, i+1), z, ips[i], ""); err != nil {
			return err
		}
	}
	return nil
}

// addSide starts a server and the agent beside it.
func (d *deployment) addSide(zone, service string, cold time.Duration) (*server, *process, error) {
	ip := d.newIP()
	p, err := d.addProcess("agent", fmt.Sprintf("side-%s-%d", zone, d.hosts), zone, ip, service)
	if err != nil {
		return nil, nil, err
	}
	s, err := d.startServer(fmt.Sprintf("i-%s-%d", zone, d.hosts), service, zone, ip, cold)
	return s, p, err
}

// awaitServing waits until all balancers are ready and requests to a route are answered.
func (d *deployment) awaitServing(route netip.AddrPort) error {
	until := time.Now().Add(20 * time.Second)
	for answered := 0; answered < 10; {
		if time.Now().After(until) {
			return fmt.Errorf("the deployment does not serve")
		}
		time.Sleep(100 * time.Millisecond)
		ready := !slices.ContainsFunc(d.balancers(), func(p *process) bool { return !d.clients.inRotation(p) })
		if !ready || d.clients.request(route, time.Second).result != "answered" {
			answered = 0
			continue
		}
		answered++
	}
	return nil
}

// close ends all processes and removes the temporary folder, unless logs are to be kept.
func (d *deployment) close() {
	d.mu.Lock()
	all := slices.Clone(d.processes)
	d.mu.Unlock()
	for _, p := range all {
		p.stop(syscall.SIGKILL)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
	d.record.close()
}

// putConfig writes a configuration as the operator does.
func (d *deployment) putConfig(text []byte, version int) {
	d.store.put("op/config", text)
	d.record.line("config_acknowledged", "version", version)
}

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	w     *bufio.Writer
	start time.Time
}

func newRecord(file string) (*record, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &record{f: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

func (r *record) ms(t time.Time) int64 { return t.Sub(r.start).Milliseconds() }

// line writes an event with its time in milliseconds since the start and its fields.
func (r *record) line(event string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8d %s", r.ms(time.Now()), event)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(r.w, " %v=%v", fields[i], fields[i+1])
	}
	fmt.Fprintln(r.w)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
