package demo

import (
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/node"
	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/internal/standin/backend"
	"github.com/bramleymast/bramleymast/internal/standin/fabric"
	"github.com/bramleymast/bramleymast/internal/standin/store"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
)

const (
	// firstBalancers is how many balancers a run starts with.
	firstBalancers = 3
	// settle is how long a stopping balancer still forwards; the fabric sees its readiness every 100 ms.
	settle = 500 * time.Millisecond
	// startTimeout bounds the start of a deployment on a busy machine.
	startTimeout      = 60 * time.Second
	readyPollInterval = 20 * time.Millisecond
	keyBytes          = 32
	// inForceLimit is the time within which a change is in force everywhere.
	inForceLimit = 14 * time.Second
)

// process is a part of the deployment that runs until it is killed.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// start runs a task; its error stops the whole run, unless the process was killed.
func start(g *rungroup.Group, task func(ctx context.Context) error) *process {
	ctx, cancel := context.WithCancel(g.Context())
	p := &process{cancel: cancel, done: make(chan struct{})}
	g.Go(func(context.Context) error {
		defer close(p.done)
		err := task(ctx)
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
	return p
}

// kill ends the process at once and waits until its sockets are closed.
func (p *process) kill() {
	p.cancel()
	<-p.done
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// balancerProcess is a balancer of the deployment.
type balancerProcess struct {
	*process
	id   string
	zone string
	node *node.Balancer
}

// host is a backend server host: the sample backend server and its agent.
type host struct {
	id      string
	zone    string
	service Service
	server  *process
	agent   *process
	node    *node.Agent
	backend *backend.Server
	// retired are backend servers of earlier lives of the host.
	retired []*backend.Server
}

// world is a running deployment.
type world struct {
	cfg         Deployment
	seed        uint64
	log         hclog.Logger
	group       *rungroup.Group
	store       *store.Memory
	operator    *operator.Operator
	fabric      *fabric.Fabric
	net         network
	key         []byte
	certificate tls.Certificate
	contracts   []contract.Contract
	balancers   []*balancerProcess
	hosts       []*host
	changes     atomic.Int64
	// say reports progress.
	say   func(format string, args ...any)
	marks marks
	// waits are the changes that are not in force yet.
	waits    sync.WaitGroup
	lateMu   sync.Mutex
	late     []string
	counters []*packetCounter
}

// serverID returns the id of a backend server, which is that of its agent.
func serverID(service string, index int) string { return fmt.Sprintf("%s-%d", service, index+1) }

func newWorld(g *rungroup.Group, cfg Deployment, seed uint64, log hclog.Logger, say func(string, ...any)) (*world, error) {
	w := &world{
		cfg: cfg, seed: seed, log: log, say: say, group: g, store: &store.Memory{}, key: make([]byte, keyBytes),
	}
	for i := range w.key {
		w.key[i] = byte(seed >> (i % 8))
	}
	var err error
	if w.certificate, err = selfSigned(); err != nil {
		return nil, err
	}
	w.operator = operator.New(operator.Config{
		Store: w.store, Author: "demo", Now: time.Now, Sleep: pause,
		NewOperationID: func() string { return "demo-" + strconv.FormatInt(w.changes.Add(1), 10) },
	})
	if err := w.startFabric(); err != nil {
		return nil, err
	}
	return w, nil
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// startFabric takes the first free network of the candidates.
func (w *world) startFabric() error {
	var err error
	for try := range networkCandidates {
		w.net = newNetwork(w.seed, try)
		addresses := make([]netip.AddrPort, 0, len(w.cfg.Services))
		for i := range w.cfg.Services {
			addresses = append(addresses, w.net.service(i))
		}
		w.fabric, err = fabric.New(fabric.Config{Addresses: addresses, Seed: w.seed, Logger: w.log.Named("fabric")})
		if err == nil {
			w.cfg.links(w.fabric)
			start(w.group, w.fabric.Run)
			return nil
		}
	}
	return errors.Annotate(err, "no free loopback network")
}

// startAll starts the contracts, balancers and hosts.
func (w *world) startAll(ctx context.Context) error {
	for i, s := range w.cfg.Services {
		c, err := s.contract(w.cfg.Zones, w.net.service(i))
		if err != nil {
			return err
		}
		w.contracts = append(w.contracts, c)
		if a := w.operator.Apply(ctx, c, 0, true); a.Outcome() != operator.Accepted {
			return errors.Annotatef(a.Cause(), "contract of %s: %s", s.name(), a.Outcome())
		}
	}
	for i := range firstBalancers {
		if err := w.addBalancer(ctx, w.cfg.Zones[i]); err != nil {
			return err
		}
	}
	for _, s := range w.cfg.Services {
		for i := range s.Servers {
			h := &host{id: serverID(s.name(), i), zone: w.cfg.Zones[i%len(w.cfg.Zones)], service: s}
			w.hosts = append(w.hosts, h)
			if err := w.startHost(ctx, h); err != nil {
				return err
			}
		}
	}
	return w.waitReady(ctx)
}

func (w *world) common(id, zone string, ip netip.Addr) node.CommonConfig {
	c := node.CommonConfig{
		ID: id, Zone: zone, SharedKey: w.key, Logger: w.log.Named(id),
		DataAddress: netip.AddrPortFrom(ip, 0), ControlAddress: netip.AddrPortFrom(ip, 0), HTTPAddress: netip.AddrPortFrom(ip, 0),
	}
	for _, b := range w.balancers {
		if b.running() {
			c.Seeds = append(c.Seeds, b.node.ControlAddress())
		}
	}
	return c
}

func (w *world) addBalancer(ctx context.Context, zone string) error {
	i := len(w.balancers)
	id := fmt.Sprintf("balancer-%d", i+1)
	ip := w.net.balancer(i)
	n, err := node.NewBalancer(node.BalancerConfig{
		CommonConfig: w.common(id, zone, ip), BindIP: ip, Store: w.store, DrainPeriod: settle,
	})
	if err != nil {
		return err
	}
	b := &balancerProcess{process: start(w.group, n.Run), id: id, zone: zone, node: n}
	w.balancers = append(w.balancers, b)
	w.fabric.AddBalancer(fabric.Balancer{
		ID: id, Zone: zone, IP: ip, ReadyURL: "http://" + n.HTTPAddress().String() + "/readyz",
	})
	return ctx.Err()
}

// startHost starts the backend server and the agent of a host.
func (w *world) startHost(ctx context.Context, h *host) error {
	if h.backend != nil {
		h.retired = append(h.retired, h.backend)
	}
	ip := w.net.host(slices.Index(w.hosts, h))
	var err error
	h.backend, err = backend.New(ctx, backend.Config{
		ID: h.id, Kind: h.service.Kind, Address: netip.AddrPortFrom(ip, 0).String(),
		Slots: h.service.Slots, ColdSlots: h.service.coldSlots(), Ramp: coldRamp, ServiceTime: serviceTime,
		Logger: w.log.Named(h.id + ".server"),
	})
	if err != nil {
		return err
	}
	h.server = start(w.group, h.backend.Run)
	h.node, err = node.NewAgent(node.AgentConfig{
		CommonConfig: w.common(h.id, h.zone, ip), Service: h.service.name(),
		BackendURL: h.backend.URL(), Certificate: w.certificate,
	})
	if err != nil {
		return err
	}
	h.agent = start(w.group, h.node.Run)
	return nil
}

// waitReady waits until every balancer knows every agent and the fabric can send.
func (w *world) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !w.ready() {
		if err := pause(ctx, readyPollInterval); err != nil {
			return errors.Annotate(err, "the deployment did not become ready")
		}
	}
	return nil
}

func (w *world) ready() bool {
	for _, b := range w.balancers {
		if !b.node.Ready() || !w.knowsAll(b) {
			return false
		}
	}
	for _, h := range w.hosts {
		if !h.node.Ready() {
			return false
		}
	}
	for _, c := range w.fabric.Counts() {
		if !c.Ready {
			return false
		}
	}
	return true
}

func (w *world) knowsAll(b *balancerProcess) bool {
	for _, s := range w.cfg.Services {
		v := b.node.Board().View(s.name(), func(string) bool { return false })
		if len(v.Members()) != s.Servers {
			return false
		}
	}
	return true
}

func (w *world) server(id string) *host {
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.id == id })
	return w.hosts[i]
}

func (w *world) setAvailability(ctx context.Context, t operator.Target, out bool) error {
	set := w.operator.SetAvailability(ctx, operator.Request{Target: t, Out: out, Reason: "demo", Confirmed: true})
	if set.Outcome() != operator.Accepted {
		return errors.Annotatef(set.Cause(), "%s %s: %s", t.KindName(), t.Name(), set.Outcome())
	}
	w.reportInForce(t, uint64(set.Revision()))
	return nil
}

// reportInForce reports when every running balancer and agent that is concerned has a state of a zone or a backend
// server. An agent is not told of the backend servers of other services.
func (w *world) reportInForce(t operator.Target, revision uint64) {
	id := board.ID{Kind: board.KindZone, Key: t.Name()}
	concerned := func(*host) bool { return true }
	if t.KindName() == "backend" {
		id.Kind = board.KindBackend
		service := w.server(t.Name()).service.Kind
		concerned = func(h *host) bool { return h.service.Kind == service }
	}
	waiting := make(map[string]*board.Board)
	for _, b := range w.balancers {
		if b.running() {
			waiting[b.id] = b.node.Board()
		}
	}
	for _, h := range w.hosts {
		if h.agent.running() && concerned(h) {
			waiting[h.id] = h.node.Board()
		}
	}
	w.waits.Go(func() { w.waitInForce(t, id, revision, waiting) })
}

// waitInForce reports when no board is left that lacks a revision of a record.
func (w *world) waitInForce(t operator.Target, id board.ID, revision uint64, waiting map[string]*board.Board) {
	begin, n, last := time.Now(), len(waiting), ""
	ctx := w.group.Context()
	for ctx.Err() == nil && len(waiting) > 0 && time.Since(begin) <= inForceLimit {
		last = removeApplied(waiting, id, revision, last)
		_ = pause(ctx, readyPollInterval)
	}
	if len(waiting) == 0 {
		w.say("%s %s is in force at %d balancers and agents after %v, last at %s",
			t.KindName(), t.Name(), n, time.Since(begin).Round(time.Millisecond), last)
		return
	}
	late := fmt.Sprintf("%s %s is not in force at %s after %v", t.KindName(), t.Name(),
		strings.Join(slices.Sorted(maps.Keys(waiting)), ", "), time.Since(begin).Round(time.Millisecond))
	w.say("%s", late)
	w.lateMu.Lock()
	defer w.lateMu.Unlock()
	w.late = append(w.late, late)
}

// removeApplied removes the boards that have at least a revision of a record, and returns the last one removed.
func removeApplied(boards map[string]*board.Board, id board.ID, revision uint64, last string) string {
	for name, b := range boards {
		if r, ok := b.Get(id); ok && r.Version.Seq >= revision {
			delete(boards, name)
			last = name
		}
	}
	return last
}

// switchOff ends the hosts of a zone and binds counting sockets at the data addresses of its agents.
func (w *world) switchOff(_ context.Context, zone string) error {
	w.marks.zonePacketsAt = w.packetsIntoBalancers(zone)
	w.marks.zoneOff = true
	for _, h := range w.hosts {
		if h.zone != zone {
			continue
		}
		data := h.node.DataAddress()
		h.agent.kill()
		h.server.kill()
		c, err := newPacketCounter(data)
		if err != nil {
			return err
		}
		w.counters = append(w.counters, c)
		start(w.group, c.run)
	}
	return nil
}

// packetsIntoBalancers returns how many packets the fabric has sent to balancers of a zone, or received from them.
func (w *world) packetsIntoBalancers(zone string) uint64 {
	var n uint64
	for _, c := range w.fabric.Counts() {
		i := slices.IndexFunc(w.balancers, func(b *balancerProcess) bool { return b.id == c.Balancer })
		if i >= 0 && w.balancers[i].zone == zone {
			n += c.Sent + c.Returned
		}
	}
	return n
}

// switchOn ends the count and starts the hosts of a zone again.
func (w *world) switchOn(ctx context.Context, zone string) error {
	w.endZoneCount(zone)
	for _, h := range w.hosts {
		if h.zone != zone {
			continue
		}
		if err := w.startHost(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// endZoneCount adds up what arrived in the zone since it had to be quiet.
func (w *world) endZoneCount(zone string) {
	if !w.marks.zoneOff {
		return
	}
	w.marks.zoneOff = false
	w.marks.zonePackets += w.packetsIntoBalancers(zone) - w.marks.zonePacketsAt
	for _, c := range w.counters {
		w.marks.zonePackets += c.close()
	}
	w.counters = nil
}

// startDrainCount begins to count the requests that arrive at a backend server that was taken out.
func (w *world) startDrainCount(id string) {
	if w.marks.drainedAt == nil {
		w.marks.drainedAt = make(map[string]int)
		w.marks.drainedLate = make(map[string]int)
	}
	w.marks.drainedAt[id] = w.server(id).backend.Counts().Requests
}

// endDrainCount ends the count before the backend server is brought back.
func (w *world) endDrainCount(id string) {
	if at, ok := w.marks.drainedAt[id]; ok {
		w.marks.drainedLate[id] += w.server(id).backend.Counts().Requests - at
	}
}
