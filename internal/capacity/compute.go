package capacity

import (
	"math"
	"time"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Assumptions behind the computation.
const (
	// changesPerReplacement are the records of one replaced host: suspect, dead, cold and ready.
	changesPerReplacement = 4
	// copiesOfChange is how often a node of a large zone receives one change: the fan-out.
	copiesOfChange = 4
	// heapToMemory is the factor between live heap and memory with the collector's default target.
	heapToMemory = 2.0
	// runtimeMemory is the program text, stacks and sockets, in MB.
	runtimeMemory = 25.0
	// loadReport is a load report on the wire in bytes, sent every 500 ms.
	loadReport = 64 + 25
	// missedAfterPush is the share of nodes that a push with fan-out 4 and 1% loss does not reach.
	missedAfterPush = 0.021
	// contactsPerSecond is how often a node exchanges digests, asked or asking.
	contactsPerSecond = 2.0 / 5
	// pullsPerSecond is the admission limit of one balancer.
	pullsPerSecond = 4.0
	// sentShare is the part of sent and received bytes that is sent, which is what the budget limits.
	sentShare = 0.5
	// ticksPerSecond is the number of events a second without messages: heartbeats, relay checks and digests.
	ticksPerSecond = 3.0
	// framePayload is a typical payload in bytes.
	framePayload = 80
	// recordsPerAgent is how many records of a balancer's heap slope come with one agent: itself,
	// an eighth of a balancer and a quarter of a contract.
	recordsPerAgent = 1.375
	mega            = 1e6
)

// needed names the slopes that the computation uses.
var needed = []string{
	"balancer_bytes_by_agents", "balancer_messages_by_agents", "agent_bytes_by_agents",
	"balancer_bytes_for_contract_by_balancers", "balancer_bytes_for_member_by_balancers", "spread_seconds_by_balancers",
	"store_writes_by_zones", "store_reads_by_changes", "store_writes_in_outage_by_zones", "store_reads_in_outage_by_zones",
	"store_writes_after_outage_by_zones", "store_reads_after_outage_by_zones",
	"balancer_heap_by_agents", "pull_bytes_by_agents", "pull_ns_by_agents", "agent_pull_bytes_by_agents",
	"heartbeat_ns_by_agents", "push_ns_by_agents", "digest_ns_by_agents", "beat_ns_by_agents", "balancer_change_ns_by_agents",
	"seal_ns_by_payload", "applied_key_bytes_by_services", "applied_bytes_by_services",
}

// Role is a kind of process.
type Role string

// Roles.
const (
	RoleBalancer Role = "balancer"
	RoleRelay    Role = "relay"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator command"
	RoleStore    Role = "store"
)

// Situation is what happens in the system.
type Situation string

// Situations.
const (
	SituationSteady     Situation = "ordinary day"
	SituationChange     Situation = "one change"
	SituationRack       Situation = "rack lost"
	SituationZoneOut    Situation = "zone out"
	SituationZoneLost   Situation = "zone lost"
	SituationOutage     Situation = "store outage of 10 min"
	SituationOutageEnds Situation = "end of the outage"
	SituationHealed     Situation = "region cut and healed"
)

// Line is one computed quantity.
type Line struct {
	Role      Role
	Situation Situation
	Quantity  string
	Unit      string
	Value     float64
	// Limit is 0 when the design page states none.
	Limit float64
	Basis string
	// NotBuilt names the mechanism to come where the line misses its limit or takes long.
	NotBuilt string
}

// Misses reports whether the value is over its limit.
func (l Line) Misses() bool { return l.Limit > 0 && l.Value > l.Limit }

// Margin returns the limit divided by the value, or 0 without a limit.
func (l Line) Margin() float64 {
	if l.Limit == 0 || l.Value == 0 {
		return 0
	}
	return l.Limit / l.Value
}

// model holds the quantities from which the lines are made.
type model struct {
	s    Slopes
	size Size
}

func (m model) agentsPerBalancer() float64 {
	return float64(m.size.Agents) / float64(max(m.size.Balancers, 1))
}

func (m model) memberChanges() float64 {
	return m.size.ReplacedPerDay * changesPerReplacement / secondsPerDay
}

func (m model) configChanges() float64 { return m.size.ChangesPerDay / secondsPerDay }

// peak returns the largest measured value. It stands for quantities that do not grow with x, because the fan-out is fixed.
func (m model) peak(name string) float64 {
	one, err := m.s.Get(name)
	if err != nil {
		return math.NaN()
	}
	var largest float64
	for _, p := range one.Points {
		largest = max(largest, p.Y)
	}
	return largest
}

func (m model) contractBytes() float64 { return m.peak("balancer_bytes_for_contract_by_balancers") }

func (m model) memberBytes() float64 { return m.peak("balancer_bytes_for_member_by_balancers") }

// steadyBytes is what a balancer sends and receives on an ordinary day.
func (m model) steadyBytes() float64 {
	return m.s.at("balancer_bytes_by_agents", m.agentsPerBalancer()) +
		m.configChanges()*m.contractBytes() + m.memberChanges()*m.memberBytes() + m.pullBytes()
}

// pullBytes is what a balancer sends and receives for the starts of processes: its own, that of
// another balancer and those of its agents.
func (m model) pullBytes() float64 {
	agents := float64(m.size.Agents)
	return m.pullLoad() * (2*m.s.at("pull_bytes_by_agents", agents) + m.agentsPerBalancer()*m.s.at("agent_pull_bytes_by_agents", agents))
}

// sampleContract stands for the contracts of a system; a contract with more addresses is larger.
const sampleContract = `{"service":"service-0000","addresses":["10.0.0.1:443","10.0.0.2:443"],"zones":["zone-a","zone-b","zone-c"],` +
	`"backend":{"slots":7},"cold_start":{"slots":2}}`

// contractValue returns the size of a contract's value in the store, with all the changes that it names, in base64.
func contractValue() float64 {
	c, _ := contract.Decode("", []byte(sampleContract))
	v := configvalue.Contract{OperationID: "0123456789abcdef", Author: "operator", Contract: c}
	for i := range configvalue.MaxHistory {
		v = v.Next(store.Revision(i+1), v.OperationID, v.Author, time.Unix(0, 0).UTC(), c)
	}
	data, err := configvalue.EncodeContract(v)
	if err != nil {
		return math.NaN()
	}
	return float64(len(data)) * 4 / 3
}

// relayBytes is what a relay reads from the store besides.
func (m model) relayBytes() float64 { return m.configChanges() * contractValue() }

// spare is what the budget leaves for a burst of changes, in sent bytes a second.
func (m model) spare() float64 {
	return max(limitBytes-m.steadyBytes()*sentShare, limitBytes*0.25)
}

// burst returns how long member records take to spread within the budget, in seconds.
func (m model) burst(records float64) float64 {
	return records * m.memberBytes() * sentShare / m.spare()
}

func (m model) balancerCore() float64 {
	agents := float64(m.size.Agents)
	beats := 1 / m.size.Heartbeat.Seconds()
	balancerShare := float64(m.size.Balancers) / float64(m.size.Balancers+m.size.Agents)
	ns := 2*m.agentsPerBalancer()*beats*m.s.at("heartbeat_ns_by_agents", agents) +
		copiesOfChange*(m.memberChanges()+m.configChanges())*m.s.at("push_ns_by_agents", agents) +
		contactsPerSecond*m.s.at("digest_ns_by_agents", agents) +
		ticksPerSecond*m.s.at("beat_ns_by_agents", agents) +
		m.memberChanges()*balancerShare*m.s.at("balancer_change_ns_by_agents", agents) +
		m.s.at("balancer_messages_by_agents", m.agentsPerBalancer())*m.s.at("seal_ns_by_payload", framePayload) +
		m.pullLoad()*m.s.at("pull_ns_by_agents", agents)
	return ns / 1e9 * 100
}

// pullLoad is how many full tables a balancer sends a second on an ordinary day.
func (m model) pullLoad() float64 {
	return m.size.ReplacedPerDay / secondsPerDay / float64(m.size.Balancers+m.size.Agents)
}

func (m model) memory() float64 {
	return m.s.at("balancer_heap_by_agents", float64(m.size.Agents))*heapToMemory/mega + runtimeMemory
}

func (m model) agentBytes() float64 {
	services := float64(max(m.size.Services, 1))
	return m.s.at("agent_bytes_by_agents", m.agentsPerBalancer()) +
		float64(m.size.CoMembers)*2*2*loadReport +
		2*loadReport*(m.memberChanges()*float64(m.size.Balancers)/float64(m.size.Balancers+m.size.Agents)+m.configChanges()/services)
}

// scopeAsAgents is the size of an agent's scope in terms of the slopes against agents.
func (m model) scopeAsAgents() float64 {
	return float64(m.size.Balancers+m.size.CoMembers+1) / recordsPerAgent
}

func (m model) agentCore() float64 {
	scope := m.scopeAsAgents()
	beats := 1 / m.size.Heartbeat.Seconds()
	loads := 4.0 * float64(m.size.CoMembers) // Two sent and two received a second for each co-member.
	records := 2 * m.memberChanges() * float64(m.size.Balancers) / float64(m.size.Balancers+m.size.Agents)
	ns := (2*beats+loads)*m.s.at("heartbeat_ns_by_agents", scope) + records*m.s.at("push_ns_by_agents", scope) +
		beats*m.s.at("beat_ns_by_agents", scope) + (4*beats+loads+records)*m.s.at("seal_ns_by_payload", framePayload)
	return ns / 1e9 * 100
}

func (m model) agentMemory() float64 {
	return m.s.at("balancer_heap_by_agents", m.scopeAsAgents())*heapToMemory/mega + runtimeMemory
}

// inForce is when the 99.9th percentile node holds a change.
func (m model) inForce() float64 { return math.Log(missedAfterPush/0.001) / contactsPerSecond }

const (
	quantityBytes  = "sent and received"
	quantitySent   = "sent, which the token bucket limits"
	quantityWrites = "writes"
	quantityReads  = "reads"
	quantitySpread = "time until member records agree"
	unitBytes      = "B/s"
	unitRate       = "1/s"
	unitSeconds    = "s"
	unitMB         = "MB"
	unitCore       = "% of a core"
	zoneVerdict    = "one verdict record for a silent zone in place of one for each member"
)

// Compute returns the lines for a size.
func Compute(s Slopes, size Size) []Line {
	m := model{s: s, size: size}
	lines := m.balancerLines()
	lines = append(lines, m.relayAndAgentLines()...)
	lines = append(lines, m.operatorLines()...)
	lines = append(lines, m.storeLines()...)
	return append(lines, m.burstLines()...)
}

func (m model) balancerLines() []Line {
	agents := float64(m.size.Agents)
	return []Line{
		{
			RoleBalancer, SituationSteady, quantityBytes, unitBytes, m.steadyBytes(), limitBytes,
			"balancer_bytes_by_agents, balancer_bytes_for_contract_by_balancers, balancer_bytes_for_member_by_balancers, pull_bytes_by_agents",
			"sums and incarnation left out of a heartbeat that repeats the last one",
		},
		{RoleBalancer, SituationSteady, quantitySent, unitBytes, m.steadyBytes() * sentShare, limitBytes, "half of the line above", ""},
		{
			RoleBalancer, SituationSteady, "processor time", unitCore, m.balancerCore(), limitCorePercent,
			"heartbeat_ns, push_ns, digest_ns, beat_ns, balancer_change_ns, pull_ns by agents; seal_ns_by_payload", "",
		},
		{RoleBalancer, SituationSteady, "memory", unitMB, m.memory(), limitMemory, "balancer_heap_by_agents, twice, and 25 MB", ""},
		{
			RoleBalancer, SituationSteady, "messages sent and received", unitRate,
			m.s.at("balancer_messages_by_agents", m.agentsPerBalancer()) + 2*copiesOfChange*(m.memberChanges()+m.configChanges()), 0,
			"balancer_messages_by_agents, fan-out for each change", "",
		},
		{RoleBalancer, SituationSteady, "state of the board in transfer", unitMB, m.s.at("pull_bytes_by_agents", agents) / mega, 0, "pull_bytes_by_agents", ""},
		{RoleBalancer, SituationChange, "bytes for a contract", "B", m.contractBytes(), 0, "balancer_bytes_for_contract_by_balancers, largest point", ""},
		{
			RoleBalancer, SituationChange, "in force at the 99.9th percentile node", unitSeconds, m.inForce(), limitInForce,
			"2.1% missed by a push at fan-out 4 and 1% loss, 0.4 exchanges a second; spread_seconds_by_balancers is the measured worst of 10", "",
		},
	}
}

func (m model) relayAndAgentLines() []Line {
	return []Line{
		{
			RoleRelay, SituationSteady, "sent and received, with the store", unitBytes, m.steadyBytes() + m.relayBytes(), limitBytes,
			"balancer, and the value of a contract that names 20 earlier changes in base64 for each change", "fewer changes named in the value of a contract",
		},
		{RoleRelay, SituationSteady, "processor time", unitCore, m.balancerCore() * 1.1, limitCorePercent, "balancer, and a tenth for decoding values", ""},
		{RoleAgent, SituationSteady, quantityBytes, unitBytes, m.agentBytes(), limitBytes, "agent_bytes_by_agents, load reports to co-members, records of balancers", ""},
		{
			RoleAgent, SituationSteady, "processor time", unitCore, m.agentCore(), limitCorePercent,
			"a balancer's heartbeat_ns, push_ns and beat_ns at the number of records in an agent's scope; seal_ns_by_payload", "",
		},
		{
			RoleAgent, SituationSteady, "memory of control", unitMB, m.agentMemory(), limitMemory,
			"balancer_heap_by_agents for the records of all balancers, twice, and 25 MB; without QUIC and requests", "",
		},
		{
			RoleAgent, SituationSteady, "state pulled at its start", unitMB, m.s.at("agent_pull_bytes_by_agents", float64(m.size.Agents)) / mega, 0,
			"agent_pull_bytes_by_agents: mostly the records of all balancers", "balancers of other zones left out of an agent's scope",
		},
	}
}

func (m model) operatorLines() []Line {
	nodes := float64(m.size.Balancers)
	key := m.s.at("applied_key_bytes_by_services", float64(m.size.Services))
	all := m.s.at("applied_bytes_by_services", float64(m.size.Services))
	return []Line{
		{RoleOperator, SituationChange, "answers to --wait for one key", unitMB, nodes * key / mega, 0, "applied_key_bytes_by_services times balancers", ""},
		{RoleOperator, SituationChange, "messages for one --wait", "calls", nodes, 0, "one call to each balancer", ""},
		{
			RoleOperator, SituationChange, "memory if all answers are kept", unitMB, nodes*key*heapToMemory/mega + runtimeMemory, 0,
			"answers for one key, twice, and 25 MB; its processor time is not measured", "",
		},
		{RoleOperator, SituationChange, "answers to --wait without a key", unitMB, nodes * all / mega, 0, "applied_bytes_by_services times balancers", ""},
		{
			RoleBalancer, SituationSteady, "with one --wait for each change", unitBytes, m.steadyBytes() + m.configChanges()*key, limitBytes,
			"steady state and applied_key_bytes_by_services", "one balancer of a zone that asks the others for --wait",
		},
	}
}

func (m model) storeLines() []Line {
	zones := float64(m.size.Zones)
	reads := m.configChanges() * zones
	return []Line{
		{RoleStore, SituationSteady, quantityWrites, unitRate, m.s.at("store_writes_by_zones", zones) + m.configChanges(), limitWrites, "store_writes_by_zones, changes", ""},
		{RoleStore, SituationSteady, quantityReads, unitRate, reads, limitReads, "one answered watch for each zone and change (store_reads_by_changes: 4 zones)", ""},
		{RoleStore, SituationOutage, "attempted writes", unitRate, m.s.at("store_writes_in_outage_by_zones", zones), limitWrites, "store_writes_in_outage_by_zones", ""},
		{RoleStore, SituationOutage, "attempted reads", unitRate, m.s.at("store_reads_in_outage_by_zones", zones), limitReads, "store_reads_in_outage_by_zones", ""},
		{RoleStore, SituationOutageEnds, "writes in 10 s", unitRate, m.s.at("store_writes_after_outage_by_zones", zones) / 10, limitWrites, "store_writes_after_outage_by_zones", ""},
		{RoleStore, SituationOutageEnds, "reads in 10 s", unitRate, m.s.at("store_reads_after_outage_by_zones", zones) / 10, limitReads, "store_reads_after_outage_by_zones", ""},
	}
}

func (m model) burstLines() []Line {
	members := float64(m.size.Balancers + m.size.Agents)
	zone := members / float64(max(m.size.Zones, 1))
	rack := float64(m.size.RackHosts)
	basis := "balancer_bytes_for_member_by_balancers, half of it sent, over what the budget leaves"
	return []Line{
		{RoleBalancer, SituationRack, quantitySpread, unitSeconds, m.burst(2 * rack), 0, basis + "; 2 records for each host", ""},
		{RoleBalancer, SituationRack, "pulls of the hosts that return, at one zone", unitSeconds, rack / (pullsPerSecond * zone * float64(m.size.Balancers) / members), 0, "4 pulls a second at each balancer", ""},
		{RoleBalancer, SituationZoneOut, "records", "records", 1, 0, "the zone's state; member records stay", ""},
		{RoleBalancer, SituationZoneLost, quantitySpread, unitSeconds, m.burst(2 * zone), 0, basis + "; 2 records for each member of the zone", zoneVerdict},
		{RoleBalancer, SituationHealed, quantitySpread, unitSeconds, m.burst(members), 0, basis + "; 1 refutation for each member", zoneVerdict},
		{RoleBalancer, SituationHealed, "configuration in force", unitSeconds, m.inForce(), limitInForce, "configuration goes before member records, and each zone's relay reads it", ""},
	}
}

// Breaking is a line and the size at which it reaches its limit.
type Breaking struct {
	Line Line
	// Factor multiplies the given size.
	Factor float64
}

// Breaks returns, for each line with a limit, the multiple of the size at which it breaks, the first one first.
// Lines that hold at 64 times the size are left out.
func Breaks(s Slopes, size Size) []Breaking {
	const largest, steps = 64.0, 40
	var out []Breaking
	for i, line := range Compute(s, size) {
		over := func(k float64) bool { return Compute(s, size.Scale(k))[i].Misses() }
		if line.Limit == 0 || !over(largest) {
			continue
		}
		low, high := 1.0/largest, largest
		for range steps {
			if mid := math.Sqrt(low * high); over(mid) {
				high = mid
			} else {
				low = mid
			}
		}
		out = append(out, Breaking{Line: line, Factor: high})
	}
	sortBreaks(out)
	return out
}
