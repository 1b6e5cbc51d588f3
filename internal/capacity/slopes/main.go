// Command slopes measures the cost of the control plane and prints the slopes as JSON for internal/capacity.
package main

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/bramleymast/bramleymast/internal/capacity"
	"github.com/bramleymast/bramleymast/internal/control"
	"github.com/bramleymast/bramleymast/internal/controltest"
	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/membership"
)

const command = "go run ./internal/capacity/slopes"

// heartbeat is the heartbeat interval of the design size.
const heartbeat = 2 * time.Second

// settleTime is how long a cluster takes to reach a steady state, and measureTime how long it is then observed.
const (
	settleTime  = 30 * time.Second
	measureTime = 60 * time.Second
)

const sampleContract = `{"service":%q,"addresses":["10.0.0.1:443","10.0.0.2:443"],"zones":["a","b","c"],` +
	`"backend":{"slots":7},"cold_start":{"slots":2}}`

func main() {
	loss := flag.Bool("loss", false, "measure only a lost zone and a healed region")
	flag.Parse()
	measures := []func() []capacity.Slope{
		byAgents, byBalancers, byServices, byChanges, byZones, heapByRecords, pullsByRecords, processorTimes, sealing, operatorAnswers, byZoneLoss,
	}
	if *loss {
		measures = measures[len(measures)-1:]
	}
	all := make([]capacity.Slope, 0, 32)
	for _, measure := range measures {
		all = append(all, measure()...)
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", " ")
	if err := out.Encode(all); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// againstAgents is the quantity against which most slopes are measured.
const againstAgents = "agents"

// clusterSize describes a simulated system.
type clusterSize struct{ zones, balancers, agents, services int }

func seeds() []netip.AddrPort {
	return []netip.AddrPort{controltest.AddressOf(1), controltest.AddressOf(2)}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }

func buildCluster(s clusterSize) *controltest.Cluster {
	cluster := controltest.New(controltest.Config{Seed: 7, Heartbeat: heartbeat})
	for i := range s.balancers {
		cluster.AddBalancer(fmt.Sprintf("balancer-%04d", i), zoneName(i%s.zones), seeds()...)
		cluster.Run(100 * time.Millisecond)
	}
	cluster.Run(settleTime)
	for i := range s.services {
		cluster.Store.Put(serviceName(i), newContract(serviceName(i)))
	}
	for i := range s.agents {
		cluster.AddAgent(fmt.Sprintf("agent-%05d", i), zoneName(i%s.zones), serviceName(i%max(s.services, 1)), seeds()...)
		cluster.Run(100 * time.Millisecond)
	}
	// The byte budget lets about one contract a second spread; the run allows 2 s for each.
	cluster.Run(2*settleTime + time.Duration(2*s.services)*time.Second)
	return cluster
}

func newContract(service string) board.Value {
	c, _ := contract.Decode("", fmt.Appendf(nil, sampleContract, service))
	return board.Contract{Contract: c}
}

// rates are means for each process and second.
type rates struct{ bytes, messages, events float64 }

// observe calls during, runs the cluster until measureTime has passed, and returns the mean rates of balancers and agents.
func observe(cluster *controltest.Cluster, during func()) (balancer, agent rates) {
	before := make(map[*controltest.Process]controltest.Usage)
	for _, p := range cluster.Processes() {
		before[p] = p.Usage
	}
	start := cluster.Now()
	during()
	cluster.Run(measureTime - (cluster.Now() - start))
	var balancers, agents float64
	for _, p := range cluster.Processes() {
		u, b := p.Usage, before[p]
		r := rates{
			bytes:    float64(u.SentBytes - b.SentBytes + u.ReceivedBytes - b.ReceivedBytes),
			messages: float64(u.SentMessages - b.SentMessages + u.ReceivedMessages - b.ReceivedMessages),
			events:   float64(u.Events - b.Events),
		}
		if p.Service == "" {
			balancers++
			balancer.add(r)
			continue
		}
		agents++
		agent.add(r)
	}
	balancer.divide(balancers * measureTime.Seconds())
	agent.divide(agents * measureTime.Seconds())
	return balancer, agent
}

func (r *rates) add(o rates) {
	r.bytes += o.bytes
	r.messages += o.messages
	r.events += o.events
}

func (r *rates) divide(by float64) {
	if by == 0 {
		return
	}
	r.bytes /= by
	r.messages /= by
	r.events /= by
}

func idle() {}

// series collects slopes that are measured at the same sizes.
type series struct {
	against, fixed string
	slopes         []capacity.Slope
}

func (s *series) addPoint(name, unit string, x, y float64) {
	for i := range s.slopes {
		if s.slopes[i].Name == name {
			s.slopes[i].Points = append(s.slopes[i].Points, capacity.Point{X: x, Y: y})
			return
		}
	}
	s.slopes = append(s.slopes, capacity.Slope{
		Name: name, Unit: unit, Against: s.against, Fixed: s.fixed, Command: command, Points: []capacity.Point{{X: x, Y: y}},
	})
}

func (s *series) fit() []capacity.Slope {
	for i := range s.slopes {
		s.slopes[i] = s.slopes[i].Fit()
	}
	return s.slopes
}

func byAgents() []capacity.Slope {
	s := series{against: "agents for each balancer", fixed: "6 balancers, 1 zone, 3 services, heartbeat 2 s"}
	for _, agents := range []int{3, 9, 30, 90} {
		cluster := buildCluster(clusterSize{zones: 1, balancers: 6, agents: agents, services: 3})
		b, a := observe(cluster, idle)
		x := float64(agents) / 6
		s.addPoint("balancer_bytes_by_agents", "sent and received bytes a second", x, b.bytes)
		s.addPoint("balancer_messages_by_agents", "sent and received messages a second", x, b.messages)
		s.addPoint("balancer_events_by_agents", "events a second", x, b.events)
		s.addPoint("agent_bytes_by_agents", "sent and received bytes a second", x, a.bytes)
	}
	return s.fit()
}

func byBalancers() []capacity.Slope {
	s := series{against: "balancers", fixed: "4 zones, 24 agents, 3 services, heartbeat 2 s, contract of 2 addresses"}
	for _, balancers := range []int{8, 24, 80, 240} {
		cluster := buildCluster(clusterSize{zones: 4, balancers: balancers, agents: 24, services: 3})
		reads, writes := cluster.Store.Reads, cluster.Store.Writes
		b, a := observe(cluster, idle)
		x := float64(balancers)
		s.addPoint("balancer_bytes_by_balancers", "sent and received bytes a second", x, b.bytes)
		s.addPoint("agent_bytes_by_balancers", "sent and received bytes a second", x, a.bytes)
		s.addPoint("store_writes_by_balancers", "writes a second", x, float64(cluster.Store.Writes-writes)/measureTime.Seconds())
		s.addPoint("store_reads_by_balancers", "reads a second", x, float64(cluster.Store.Reads-reads)/measureTime.Seconds())
		changed, _ := observe(cluster, func() { changeContracts(cluster, 20, 3) })
		s.addPoint("balancer_bytes_for_contract_by_balancers", "sent and received bytes for each change", x, (changed.bytes-b.bytes)*measureTime.Seconds()/20)
		member, _ := observe(cluster, func() { changeMembers(cluster, 20) })
		s.addPoint("balancer_bytes_for_member_by_balancers", "sent and received bytes for each change", x, (member.bytes-b.bytes)*measureTime.Seconds()/20)
		s.addPoint("spread_seconds_by_balancers", "seconds until a zone state is everywhere, worst of 10, 1% loss", x, worstSpread(cluster))
	}
	return s.fit()
}

func changeContracts(cluster *controltest.Cluster, count, services int) {
	for i := range count {
		cluster.Store.Put(serviceName(i%services), newContract(serviceName(i%services)))
		cluster.Run(time.Second)
	}
}

// changeMembers makes the first agent publish a changed record once a second.
func changeMembers(cluster *controltest.Cluster, count int) {
	for _, p := range cluster.Processes() {
		if p.Service == "" {
			continue
		}
		for i := range count {
			phase := board.PhaseReady
			if i%2 == 0 {
				phase = board.PhaseCold
			}
			p.SetPhase(phase)
			cluster.Run(time.Second)
		}
		return
	}
}

func worstSpread(cluster *controltest.Cluster) float64 {
	cluster.SetLink(func(_, _ *controltest.Process) controltest.Link {
		return controltest.Link{Delay: 3 * time.Millisecond, Jitter: 4 * time.Millisecond, Loss: 0.01}
	})
	defer cluster.SetLink(nil)
	var worst time.Duration
	for i := range 10 {
		rev := cluster.Store.PutZone(zoneName(0), i%2 == 0)
		id := board.ID{Kind: board.KindZone, Key: zoneName(0)}
		took, _ := cluster.RunUntil(time.Minute, func() bool {
			return cluster.All(func(p *controltest.Process) bool { return p.Revision(id) >= rev })
		})
		worst = max(worst, took)
		cluster.Run(5 * time.Second)
	}
	return worst.Seconds()
}

func byServices() []capacity.Slope {
	s := series{against: "services", fixed: "6 balancers, 2 zones, 24 agents, heartbeat 2 s"}
	for _, services := range []int{10, 30, 100, 300} {
		cluster := buildCluster(clusterSize{zones: 2, balancers: 6, agents: 24, services: services})
		b, a := observe(cluster, idle)
		s.addPoint("balancer_bytes_by_services", "sent and received bytes a second", float64(services), b.bytes)
		s.addPoint("agent_bytes_by_services", "sent and received bytes a second", float64(services), a.bytes)
	}
	return s.fit()
}

func byChanges() []capacity.Slope {
	s := series{against: "contract changes a minute", fixed: "24 balancers, 4 zones, 24 agents, 3 services, heartbeat 2 s"}
	cluster := buildCluster(clusterSize{zones: 4, balancers: 24, agents: 24, services: 3})
	for _, changes := range []int{1, 4, 12, 30} {
		reads := cluster.Store.Reads
		b, a := observe(cluster, func() { changeContracts(cluster, changes, 3) })
		x := float64(changes)
		s.addPoint("balancer_bytes_by_changes", "sent and received bytes a second", x, b.bytes)
		s.addPoint("agent_bytes_by_changes", "sent and received bytes a second", x, a.bytes)
		s.addPoint("store_reads_by_changes", "reads a second", x, float64(cluster.Store.Reads-reads)/measureTime.Seconds())
	}
	return s.fit()
}

func byZones() []capacity.Slope {
	s := series{against: "zones", fixed: "4 balancers for each zone, no agents, heartbeat 2 s"}
	for _, zones := range []int{1, 3, 10, 30} {
		cluster := buildCluster(clusterSize{zones: zones, balancers: 4 * zones})
		reads, writes := cluster.Store.Reads, cluster.Store.Writes
		cluster.Run(measureTime)
		x := float64(zones)
		s.addPoint("store_writes_by_zones", "writes a second", x, float64(cluster.Store.Writes-writes)/measureTime.Seconds())
		s.addPoint("store_reads_by_zones", "reads a second", x, float64(cluster.Store.Reads-reads)/measureTime.Seconds())
		cluster.Store.SetDown(true)
		reads, writes = cluster.Store.Reads, cluster.Store.Writes
		cluster.Run(measureTime)
		s.addPoint("store_writes_in_outage_by_zones", "attempted writes a second", x, float64(cluster.Store.Writes-writes)/measureTime.Seconds())
		s.addPoint("store_reads_in_outage_by_zones", "attempted reads a second", x, float64(cluster.Store.Reads-reads)/measureTime.Seconds())
		cluster.Store.SetDown(false)
		reads, writes = cluster.Store.Reads, cluster.Store.Writes
		cluster.Run(10 * time.Second)
		s.addPoint("store_writes_after_outage_by_zones", "writes in the 10 s after an outage", x, float64(cluster.Store.Writes-writes))
		s.addPoint("store_reads_after_outage_by_zones", "reads in the 10 s after an outage", x, float64(cluster.Store.Reads-reads))
	}
	return s.fit()
}

// newFilledNode returns a balancer's membership node and its board with the records of n agents, n/8 balancers and n/4 contracts.
func newFilledNode(n int) (*membership.Node, *board.Board) {
	b := &board.Board{}
	node := membership.New(membership.Config{
		ID: "balancer-0", Zone: zoneName(0), Incarnation: 1, Board: b, Address: controltest.AddressOf(1), Heartbeat: heartbeat,
	})
	now := time.Unix(1e9, 0)
	node.Handle(now, membership.Tick{})
	node.Handle(now, membership.SetMember{Value: board.Balancer{Zone: zoneName(0), ControlAddress: controltest.AddressOf(1)}})
	apply := func(r board.Record) {
		node.Handle(now, membership.PullResult{Records: []board.Record{r}, Complete: true})
	}
	for i := range n / 8 {
		apply(balancerRecord(i + 1))
	}
	for i := range n / 4 {
		apply(board.Record{ID: board.ID{Kind: board.KindContract, Key: serviceName(i)}, Version: board.Version{Seq: 1}, Value: newContract(serviceName(i))})
	}
	for i := range n {
		apply(agentRecord(i, n, 1))
	}
	return node, b
}

func balancerRecord(i int) board.Record {
	v := board.Balancer{Zone: zoneName(i % 8), ControlAddress: controltest.AddressOf(i + 1), DataAddress: controltest.AddressOf(i + 1)}
	return board.Record{
		ID: board.ID{Kind: board.KindBalancer, Key: fmt.Sprintf("balancer-%04d", i)}, Version: board.Version{Epoch: 1e18, Seq: 1}, Value: v,
	}
}

func agentRecord(i, n int, seq uint64) board.Record {
	a := controltest.AddressOf(1<<16 + i)
	v := board.Agent{Service: serviceName(i % max(n/4, 1)), Zone: zoneName(i % 8), Phase: board.PhaseReady, ControlAddress: a, DataAddress: a}
	return board.Record{
		ID: board.ID{Kind: board.KindAgent, Key: fmt.Sprintf("agent-%05d", i)}, Version: board.Version{Epoch: 1e18, Seq: seq}, Value: v,
	}
}

func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func heapByRecords() []capacity.Slope {
	s := series{against: againstAgents, fixed: "1 balancer for 8 agents, 1 service for 4 agents"}
	for _, n := range []int{800, 2400, 8000, 24000} {
		before := liveHeap()
		node, _ := newFilledNode(n)
		s.addPoint("balancer_heap_by_agents", "bytes of heap", float64(n), liveHeap()-before)
		runtime.KeepAlive(node)
	}
	return s.fit()
}

func pullsByRecords() []capacity.Slope {
	s := series{against: againstAgents, fixed: "1 balancer for 8 agents, 1 service for 4 agents"}
	for _, n := range []int{800, 2400, 8000, 24000} {
		_, records := newFilledNode(n)
		var size int
		r := testing.Benchmark(func(b *testing.B) { //nolint:thelper // This is the benchmark itself.
			for b.Loop() {
				size = encodeAll(membership.Snapshot(records, membership.PullRequest{}))
			}
		})
		s.addPoint("pull_bytes_by_agents", "bytes of the answer to a balancer", float64(n), float64(size))
		s.addPoint("pull_ns_by_agents", "ns of processor time for the answer to a balancer", float64(n), float64(r.NsPerOp()))
		scope := encodeAll(membership.Snapshot(records, membership.PullRequest{Service: serviceName(1)}))
		s.addPoint("agent_pull_bytes_by_agents", "bytes of the answer to an agent", float64(n), float64(scope))
	}
	return s.fit()
}

func encodeAll(records []board.Record) int {
	size := 0
	for _, r := range records {
		if b, err := membership.EncodeRecord(r); err == nil {
			size += len(b)
		}
	}
	return size
}

func processorTimes() []capacity.Slope {
	s := series{against: againstAgents, fixed: "1 balancer for 8 agents, 1 service for 4 agents; decoding, deciding and encoding, without sealing"}
	for _, n := range []int{800, 2400, 8000, 24000} {
		x := float64(n)
		s.addPoint("heartbeat_ns_by_agents", "ns for a heartbeat and its ack", x, benchHeartbeat(n))
		s.addPoint("push_ns_by_agents", "ns for a new member record", x, benchPush(n))
		s.addPoint("digest_ns_by_agents", "ns for an equal digest", x, benchDigest(n))
		s.addPoint("beat_ns_by_agents", "ns for a tick with a heartbeat", x, benchTick(n, false))
		s.addPoint("balancer_change_ns_by_agents", "ns for the tick after a balancer's record has changed", x, benchTick(n, true))
	}
	return s.fit()
}

// sealing measures sealing and opening of control datagrams. A datagram with a wrong key also costs the opening, because
// it is refused only after its tag has been checked.
func sealing() []capacity.Slope {
	s := series{against: "bytes of payload", fixed: "AES-256-GCM tag over the whole datagram, as in internal/control"}
	aead, err := wire.NewAEAD(make([]byte, wire.KeySize), wire.PurposeControl, nil)
	if err != nil {
		panic(err)
	}
	nonce := make([]byte, aead.NonceSize())
	for _, n := range []int{40, 120, 400, 1200} {
		payload := make([]byte, n)
		res := testing.Benchmark(func(b *testing.B) { //nolint:thelper // This is the benchmark itself.
			for b.Loop() {
				tag := aead.Seal(nil, nonce, nil, payload)
				if _, err := aead.Open(nil, nonce, tag, payload); err != nil {
					b.Fatal(err)
				}
			}
		})
		s.addPoint("seal_ns_by_payload", "ns to seal and to open a datagram", float64(n), float64(res.NsPerOp()))
	}
	return s.fit()
}

// operatorAnswers measures the size of the answers that "contract apply --wait" receives from each balancer.
func operatorAnswers() []capacity.Slope {
	s := series{against: "services", fixed: "15 agents at home, 8 zones"}
	for _, services := range []int{300, 900, 3000, 9000} {
		s.addPoint("applied_bytes_by_services", "bytes of Control.Applied without a key", float64(services), appliedSize(services))
		s.addPoint("applied_key_bytes_by_services", "bytes of Control.Applied for one key", float64(services), appliedSize(1))
	}
	return s.fit()
}

func appliedSize(contracts int) float64 {
	reply := control.AppliedReply{ID: "balancer-0000"}
	for i := range contracts {
		reply.Records = append(reply.Records, control.RecordStatus{Kind: "contract", Key: serviceName(i), Revision: 1 << 20})
	}
	for i := range 15 {
		reply.Agents = append(reply.Agents, control.AgentApplied{ID: fmt.Sprintf("agent-%05d", i), Service: serviceName(i), Contract: 1 << 20, InStep: true})
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(reply); err != nil {
		panic(err)
	}
	return float64(b.Len())
}

func receive(node *membership.Node, now time.Time, payload []byte) {
	m, err := membership.Decode(payload)
	if err != nil {
		panic(err)
	}
	node.Handle(now, membership.Received{From: controltest.AddressOf(2), Message: m})
}

func encode(m membership.Message) []byte {
	b, err := membership.Encode(m)
	if err != nil {
		panic(err)
	}
	return b
}

func benchHeartbeat(n int) float64 {
	node, _ := newFilledNode(n)
	r := agentRecord(0, n, 1)
	payload := encode(membership.Heartbeat{Member: r.ID, Version: r.Version})
	now := time.Unix(1e9, 0)
	res := testing.Benchmark(func(b *testing.B) { //nolint:thelper // This is the benchmark itself.
		for b.Loop() {
			now = now.Add(time.Millisecond)
			receive(node, now, payload)
		}
	})
	return float64(res.NsPerOp())
}

func benchPush(n int) float64 {
	node, _ := newFilledNode(n)
	now := time.Unix(1e9, 0)
	seq := uint64(1)
	res := testing.Benchmark(func(b *testing.B) { //nolint:thelper // This is the benchmark itself.
		for b.Loop() {
			seq++
			now = now.Add(time.Second)
			receive(node, now, encode(membership.Push{Records: []board.Record{agentRecord(1, n, seq)}, Relayed: true}))
		}
	})
	return float64(res.NsPerOp())
}

func benchDigest(n int) float64 {
	node, _ := newFilledNode(n)
	now := time.Unix(1e9, 0)
	var digest []byte
	for digest == nil {
		now = now.Add(100 * time.Millisecond)
		for _, a := range node.Handle(now, membership.Tick{}) {
			if send, ok := a.(membership.Send); ok {
				if _, ok := send.Message.(membership.Digest); ok {
					digest = send.Payload
				}
			}
		}
	}
	res := testing.Benchmark(func(b *testing.B) { //nolint:thelper // This is the benchmark itself.
		for b.Loop() {
			receive(node, now, digest)
		}
	})
	return float64(res.NsPerOp())
}

func benchTick(n int, changed bool) float64 {
	now := time.Unix(1e9, 0)
	node, _ := newFilledNode(n)
	seq := uint64(1)
	res := testing.Benchmark(func(b *testing.B) { //nolint:thelper // This is the benchmark itself.
		for b.Loop() {
			now = now.Add(heartbeat)
			if changed {
				seq++
				r := balancerRecord(8)
				r.Version.Seq = seq
				node.Handle(now, membership.PullResult{Records: []board.Record{r}, Complete: true})
			}
			node.Handle(now, membership.Tick{})
		}
	})
	return float64(res.NsPerOp())
}
