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
	// initialBalancers is the number of balancers at the start of a run.
	initialBalancers = 3
	// drainPeriod is the time for which a stopping balancer still forwards packets, because the fabric polls its readiness
	// only every 100 ms.
	drainPeriod = 500 * time.Millisecond
	// startTimeout limits the start of a deployment; it allows for a busy machine.
	startTimeout      = 60 * time.Second
	readyPollInterval = 20 * time.Millisecond
	keyBytes          = 32
	// applyTimeout is the time within which a change must be in force at every balancer and agent.
	applyTimeout = 14 * time.Second
)

// process is a task of the deployment that runs until it is killed.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// start runs a task in the group; its error stops the whole run unless the process was killed.
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

// kill cancels the task and waits until it has returned and its sockets are closed.
func (p *process) kill() {
	p.cancel()
	<-p.done
}

// running reports whether the task has not returned yet.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// balancerProcess is a balancer with its process.
type balancerProcess struct {
	*process
	id   string
	zone string
	node *node.Balancer
}

// host is the host of a backend server, with the sample backend server and its agent.
type host struct {
	id      string
	zone    string
	service Service
	server  *process
	agent   *process
	node    *node.Agent
	backend *backend.Server
	// previousBackends are the backend servers that ran on the host before it was started again.
	previousBackends []*backend.Server
}

// cluster is a running deployment with its store, operator and fabric.
type cluster struct {
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
	// lastOperation is the number in the last operation id of the operator.
	lastOperation atomic.Int64
	// progressf writes a progress message.
	progressf func(format string, args ...any)
	events    eventLog
	// pendingChanges waits for the goroutines of trackChange.
	pendingChanges sync.WaitGroup
	lateMu         sync.Mutex
	lateChanges    []string
	packetCounters []*packetCounter
}

// serverID returns the id of a backend server, which is also the id of its agent.
func serverID(service string, index int) string { return fmt.Sprintf("%s-%d", service, index+1) }

func newCluster(g *rungroup.Group, cfg Deployment, seed uint64, log hclog.Logger, progressf func(string, ...any)) (*cluster, error) {
	cl := &cluster{
		cfg: cfg, seed: seed, log: log, progressf: progressf, group: g, store: &store.Memory{}, key: make([]byte, keyBytes),
	}
	for i := range cl.key {
		cl.key[i] = byte(seed >> (i % 8))
	}
	var err error
	if cl.certificate, err = selfSigned(); err != nil {
		return nil, err
	}
	cl.operator = operator.New(operator.Config{
		Store: cl.store, Author: "demo", Now: time.Now, Sleep: sleep,
		NewOperationID: func() string { return "demo-" + strconv.FormatInt(cl.lastOperation.Add(1), 10) },
	})
	if err := cl.startFabric(); err != nil {
		return nil, err
	}
	return cl, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// startFabric starts the fabric on the first loopback network whose service addresses are free.
func (cl *cluster) startFabric() error {
	var err error
	for attempt := range maxNetworkAttempts {
		cl.net = newNetwork(cl.seed, attempt)
		addresses := make([]netip.AddrPort, 0, len(cl.cfg.Services))
		for i := range cl.cfg.Services {
			addresses = append(addresses, cl.net.service(i))
		}
		cl.fabric, err = fabric.New(fabric.Config{Addresses: addresses, Seed: cl.seed, Logger: cl.log.Named("fabric")})
		if err == nil {
			cl.cfg.setLinkDelays(cl.fabric)
			start(cl.group, cl.fabric.Run)
			return nil
		}
	}
	return errors.Annotate(err, "cannot listen on any of the candidate loopback networks")
}

// startAll applies the contracts, starts the balancers and hosts, and waits until they are ready.
func (cl *cluster) startAll(ctx context.Context) error {
	for i, s := range cl.cfg.Services {
		c, err := s.contract(cl.cfg.Zones, cl.net.service(i))
		if err != nil {
			return err
		}
		cl.contracts = append(cl.contracts, c)
		if a := cl.operator.Apply(ctx, c, 0, true); a.Outcome() != operator.Accepted {
			return errors.Annotatef(a.Cause(), "contract of %s: %s", s.name(), a.Outcome())
		}
	}
	for i := range initialBalancers {
		if err := cl.addBalancer(ctx, cl.cfg.Zones[i]); err != nil {
			return err
		}
	}
	for _, s := range cl.cfg.Services {
		for i := range s.Servers {
			h := &host{id: serverID(s.name(), i), zone: cl.cfg.Zones[i%len(cl.cfg.Zones)], service: s}
			cl.hosts = append(cl.hosts, h)
			if err := cl.startHost(ctx, h); err != nil {
				return err
			}
		}
	}
	return cl.waitReady(ctx)
}

func (cl *cluster) commonConfig(id, zone string, ip netip.Addr) node.CommonConfig {
	c := node.CommonConfig{
		ID: id, Zone: zone, SharedKey: cl.key, Logger: cl.log.Named(id),
		DataAddress: netip.AddrPortFrom(ip, 0), ControlAddress: netip.AddrPortFrom(ip, 0), HTTPAddress: netip.AddrPortFrom(ip, 0),
	}
	for _, b := range cl.balancers {
		if b.running() {
			c.Seeds = append(c.Seeds, b.node.ControlAddress())
		}
	}
	return c
}

func (cl *cluster) addBalancer(ctx context.Context, zone string) error {
	i := len(cl.balancers)
	id := fmt.Sprintf("balancer-%d", i+1)
	ip := cl.net.balancer(i)
	n, err := node.NewBalancer(node.BalancerConfig{
		CommonConfig: cl.commonConfig(id, zone, ip), BindIP: ip, Store: cl.store, DrainPeriod: drainPeriod,
	})
	if err != nil {
		return err
	}
	b := &balancerProcess{process: start(cl.group, n.Run), id: id, zone: zone, node: n}
	cl.balancers = append(cl.balancers, b)
	cl.fabric.AddBalancer(fabric.Balancer{
		ID: id, Zone: zone, IP: ip, ReadyURL: "http://" + n.HTTPAddress().String() + "/readyz",
	})
	cl.progressf("%s in %s serves metrics at %s", id, zone, n.HTTPAddress())
	return ctx.Err()
}

// startHost starts the backend server and the agent of a host, also after StopZone.
func (cl *cluster) startHost(ctx context.Context, h *host) error {
	if h.backend != nil {
		h.previousBackends = append(h.previousBackends, h.backend)
	}
	ip := cl.net.host(slices.Index(cl.hosts, h))
	var err error
	h.backend, err = backend.New(ctx, backend.Config{
		ID: h.id, Kind: h.service.Kind, Address: netip.AddrPortFrom(ip, 0).String(),
		Slots: h.service.Slots, ColdSlots: h.service.coldSlots(), Ramp: coldRamp, ServiceTime: serviceTime,
		Logger: cl.log.Named(h.id + ".server"),
	})
	if err != nil {
		return err
	}
	h.server = start(cl.group, h.backend.Run)
	h.node, err = node.NewAgent(node.AgentConfig{
		CommonConfig: cl.commonConfig(h.id, h.zone, ip), Service: h.service.name(),
		BackendURL: h.backend.URL(), Certificate: cl.certificate,
	})
	if err != nil {
		return err
	}
	h.agent = start(cl.group, h.node.Run)
	return nil
}

// waitReady waits until the balancers, agents and the fabric are ready and every balancer has all members.
func (cl *cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !cl.ready() {
		if err := sleep(ctx, readyPollInterval); err != nil {
			return errors.Annotate(err, "the deployment is not ready")
		}
	}
	return nil
}

func (cl *cluster) ready() bool {
	for _, b := range cl.balancers {
		if !b.node.Ready() || !cl.hasAllMembers(b) {
			return false
		}
	}
	for _, h := range cl.hosts {
		if !h.node.Ready() {
			return false
		}
	}
	for _, c := range cl.fabric.Counts() {
		if !c.Ready {
			return false
		}
	}
	return true
}

// hasAllMembers reports whether the view of a balancer contains all agents of each service.
func (cl *cluster) hasAllMembers(b *balancerProcess) bool {
	for _, s := range cl.cfg.Services {
		v := b.node.Board().View(s.name(), func(string) bool { return false })
		if len(v.Members()) != s.Servers {
			return false
		}
	}
	return true
}

func (cl *cluster) hostByID(id string) *host {
	i := slices.IndexFunc(cl.hosts, func(h *host) bool { return h.id == id })
	return cl.hosts[i]
}

func (cl *cluster) setAvailability(ctx context.Context, t operator.Target, out bool) error {
	set := cl.operator.SetAvailability(ctx, operator.Request{Target: t, Out: out, Reason: "demo", Confirmed: true})
	if set.Outcome() != operator.Accepted {
		return errors.Annotatef(set.Cause(), "%s %s: %s", t.KindName(), t.Name(), set.Outcome())
	}
	cl.trackChange(t, uint64(set.Revision()))
	return nil
}

// trackChange reports when every running balancer and agent that receives a change has applied it. An agent does not
// receive the records of backend servers of other services.
func (cl *cluster) trackChange(t operator.Target, revision uint64) {
	id := board.ID{Kind: board.KindZone, Key: t.Name()}
	affected := func(*host) bool { return true }
	if t.KindName() == "backend" {
		id.Kind = board.KindBackend
		service := cl.hostByID(t.Name()).service.Kind
		affected = func(h *host) bool { return h.service.Kind == service }
	}
	waiting := make(map[string]*board.Board)
	for _, b := range cl.balancers {
		if b.running() {
			waiting[b.id] = b.node.Board()
		}
	}
	for _, h := range cl.hosts {
		if h.agent.running() && affected(h) {
			waiting[h.id] = h.node.Board()
		}
	}
	cl.pendingChanges.Go(func() { cl.waitApplied(t, id, revision, waiting) })
}

// waitApplied reports when all boards have at least the given revision of a record, or which ones lack it after
// applyTimeout.
func (cl *cluster) waitApplied(t operator.Target, id board.ID, revision uint64, waiting map[string]*board.Board) {
	begin, n, last := time.Now(), len(waiting), ""
	ctx := cl.group.Context()
	for ctx.Err() == nil && len(waiting) > 0 && time.Since(begin) <= applyTimeout {
		last = removeApplied(waiting, id, revision, last)
		_ = sleep(ctx, readyPollInterval)
	}
	if len(waiting) == 0 {
		cl.progressf("%s %s is in force at %d balancers and agents after %v, last at %s",
			t.KindName(), t.Name(), n, time.Since(begin).Round(time.Millisecond), last)
		return
	}
	late := fmt.Sprintf("%s %s is not in force at %s after %v", t.KindName(), t.Name(),
		strings.Join(slices.Sorted(maps.Keys(waiting)), ", "), time.Since(begin).Round(time.Millisecond))
	cl.progressf("%s", late)
	cl.lateMu.Lock()
	defer cl.lateMu.Unlock()
	cl.lateChanges = append(cl.lateChanges, late)
}

// removeApplied removes the boards that have at least the given revision of a record and returns the last one removed.
func removeApplied(boards map[string]*board.Board, id board.ID, revision uint64, last string) string {
	for name, b := range boards {
		if r, ok := b.Get(id); ok && r.Version.Seq >= revision {
			delete(boards, name)
			last = name
		}
	}
	return last
}

// stopZone stops the hosts of a zone and opens sockets that count the packets to the data addresses of its agents.
func (cl *cluster) stopZone(_ context.Context, zone string) error {
	cl.events.balancerPacketsAtStop = cl.balancerPackets(zone)
	cl.events.zoneStopped = true
	for _, h := range cl.hosts {
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
		cl.packetCounters = append(cl.packetCounters, c)
		start(cl.group, c.run)
	}
	return nil
}

// balancerPackets returns the number of packets that the fabric has sent to, or received from, the balancers of a zone.
func (cl *cluster) balancerPackets(zone string) uint64 {
	var n uint64
	for _, c := range cl.fabric.Counts() {
		i := slices.IndexFunc(cl.balancers, func(b *balancerProcess) bool { return b.id == c.Balancer })
		if i >= 0 && cl.balancers[i].zone == zone {
			n += c.Sent + c.Returned
		}
	}
	return n
}

// startZone ends the packet count and starts the hosts of a zone again.
func (cl *cluster) startZone(ctx context.Context, zone string) error {
	cl.endZoneCount(zone)
	for _, h := range cl.hosts {
		if h.zone != zone {
			continue
		}
		if err := cl.startHost(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// endZoneCount adds the packets of a stopped zone, those of its balancers and those to its agents, to the total.
func (cl *cluster) endZoneCount(zone string) {
	if !cl.events.zoneStopped {
		return
	}
	cl.events.zoneStopped = false
	cl.events.zonePackets += cl.balancerPackets(zone) - cl.events.balancerPacketsAtStop
	for _, c := range cl.packetCounters {
		cl.events.zonePackets += c.close()
	}
	cl.packetCounters = nil
}

// startDrainCount starts to count the requests that arrive at a backend server that was taken out.
func (cl *cluster) startDrainCount(id string) {
	if cl.events.requestsAtDrain == nil {
		cl.events.requestsAtDrain = make(map[string]int)
		cl.events.requestsAfterDrain = make(map[string]int)
	}
	cl.events.requestsAtDrain[id] = cl.hostByID(id).backend.Counts().Requests
}

// endDrainCount adds the requests since startDrainCount to the total of the backend server.
func (cl *cluster) endDrainCount(id string) {
	if at, ok := cl.events.requestsAtDrain[id]; ok {
		cl.events.requestsAfterDrain[id] += cl.hostByID(id).backend.Counts().Requests - at
	}
}
