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
	// recordsPerReplacement counts the member records written for one replaced host: suspect, dead, cold and ready.
	recordsPerReplacement = 4
	// copiesPerChange is how often a node of a large zone receives the same change; it equals the fan-out.
	copiesPerChange = 4
	// memoryPerHeapByte is the ratio of memory to live heap at the garbage collector's default target.
	memoryPerHeapByte = 2.0
	// baseMemory is the memory for program text, stacks and sockets, in MB.
	baseMemory = 25.0
	// loadReportBytes is the size of a load report on the wire; an agent sends one every 500 ms.
	loadReportBytes = 64 + 25
	// pushMissShare is the share of nodes that a push with a fan-out of 4 does not reach at 1% loss.
	pushMissShare = 0.021
	// heartbeatsUntilUnreachable is the number of heartbeats after which a lost zone is recorded as unreachable at the latest.
	heartbeatsUntilUnreachable = 6
	// digestExchangesPerSecond counts the digest exchanges that a node initiates or answers.
	digestExchangesPerSecond = 2.0 / 5
	// pullsPerSecond is the number of pulls that one balancer admits a second.
	pullsPerSecond = 4.0
	// sentShare is the sent part of all sent and received bytes; the byte budget limits only sent bytes.
	sentShare = 0.5
	// ticksPerSecond counts the timer events for heartbeats, relay checks and digests, without received messages.
	ticksPerSecond = 3.0
	// framePayload is the size of a typical message payload in bytes.
	framePayload = 80
	// recordsPerAgent is the number of records for each agent in the measurement of balancer_heap_by_agents:
	// the agent's own, an eighth of a balancer's and a quarter of a contract.
	recordsPerAgent = 1.375
	bytesPerMB      = 1e6
)

// requiredSlopes lists the slopes that the computation uses.
var requiredSlopes = []string{
	"balancer_bytes_by_agents", "balancer_messages_by_agents", "agent_bytes_by_agents",
	"balancer_bytes_for_contract_by_balancers", "balancer_bytes_for_member_by_balancers", "spread_seconds_by_balancers",
	"store_writes_by_zones", "store_reads_by_changes", "store_writes_in_outage_by_zones", "store_reads_in_outage_by_zones",
	"store_writes_after_outage_by_zones", "store_reads_after_outage_by_zones",
	"balancer_heap_by_agents", "pull_bytes_by_agents", "pull_ns_by_agents", "agent_pull_bytes_by_agents",
	"heartbeat_ns_by_agents", "push_ns_by_agents", "digest_ns_by_agents", "beat_ns_by_agents", "balancer_change_ns_by_agents",
	"seal_ns_by_payload", "applied_key_bytes_by_services", "applied_bytes_by_services",
	"zone_lost_seconds_by_agents", "zone_lost_bytes_by_agents", "region_healed_seconds_by_agents", "region_healed_bytes_by_agents",
}

// Role is the kind of process that a line is about.
type Role string

// Roles of the computed lines.
const (
	RoleBalancer Role = "balancer"
	RoleRelay    Role = "relay"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator command"
	RoleStore    Role = "store"
)

// Situation is the event or the steady state under which a quantity is computed.
type Situation string

// Situations of the computed lines.
const (
	SituationSteady          Situation = "ordinary day"
	SituationChange          Situation = "one change"
	SituationRackLost        Situation = "rack lost"
	SituationZoneOut         Situation = "zone out"
	SituationZoneLost        Situation = "zone lost"
	SituationOutage          Situation = "store outage of 10 min"
	SituationOutageEnd       Situation = "end of the outage"
	SituationPartitionHealed Situation = "region cut and healed"
)

// Line is one computed quantity with its limit; the report prints it as one table row.
type Line struct {
	Role      Role
	Situation Situation
	Quantity  string
	Unit      string
	Value     float64
	// Limit is in the same unit as Value, or 0 if the design page states none.
	Limit float64
	Basis string
	// NotImplemented names a planned mechanism for a quantity that exceeds its limit or takes long.
	NotImplemented string
}

// ExceedsLimit reports whether the line has a limit and its value exceeds it.
func (l Line) ExceedsLimit() bool { return l.Limit > 0 && l.Value > l.Limit }

// Margin returns the limit divided by the value, or 0 without a limit.
func (l Line) Margin() float64 {
	if l.Limit == 0 || l.Value == 0 {
		return 0
	}
	return l.Limit / l.Value
}

// model computes the quantities of the lines from the measured slopes and the size of a system.
type model struct {
	slopes Slopes
	size   Size
}

func (m model) agentsPerBalancer() float64 {
	return float64(m.size.Agents) / float64(max(m.size.Balancers, 1))
}

func (m model) memberChangesPerSecond() float64 {
	return m.size.ReplacedPerDay * recordsPerReplacement / secondsPerDay
}

func (m model) configChangesPerSecond() float64 { return m.size.ChangesPerDay / secondsPerDay }

// largestPoint returns the largest measured value. It is used for quantities that do not grow with x because the fan-out is fixed.
func (m model) largestPoint(name string) float64 {
	slope, err := m.slopes.Get(name)
	if err != nil {
		return math.NaN()
	}
	var largest float64
	for _, p := range slope.Points {
		largest = max(largest, p.Y)
	}
	return largest
}

func (m model) bytesPerContractChange() float64 {
	return m.largestPoint("balancer_bytes_for_contract_by_balancers")
}

func (m model) bytesPerMemberChange() float64 {
	return m.largestPoint("balancer_bytes_for_member_by_balancers")
}

// balancerBytes returns the bytes a second that a balancer sends and receives in steady state.
func (m model) balancerBytes() float64 {
	return m.slopes.at("balancer_bytes_by_agents", m.agentsPerBalancer()) +
		m.configChangesPerSecond()*m.bytesPerContractChange() + m.memberChangesPerSecond()*m.bytesPerMemberChange() + m.pullBytes()
}

// pullBytes returns the bytes a second that a balancer sends and receives because processes start: itself, another
// balancer and its agents.
func (m model) pullBytes() float64 {
	agents := float64(m.size.Agents)
	return m.pullsPerBalancer() * (2*m.slopes.at("pull_bytes_by_agents", agents) + m.agentsPerBalancer()*m.slopes.at("agent_pull_bytes_by_agents", agents))
}

// sampleContract represents the contracts of a system; a contract with more addresses is larger.
const sampleContract = `{"service":"service-0000","addresses":["10.0.0.1:443","10.0.0.2:443"],"zones":["zone-a","zone-b","zone-c"],` +
	`"backend":{"slots":7},"cold_start":{"slots":2}}`

// contractValueSize returns the size in base64 of a contract's value in the store, with the longest history that it can have.
func contractValueSize() float64 {
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

// storeReadBytes returns the bytes a second that a relay reads from the store in addition to balancerBytes.
func (m model) storeReadBytes() float64 { return m.configChangesPerSecond() * contractValueSize() }

// spareBudget returns the sent bytes a second that the byte budget leaves for a burst of changes, at least a quarter of it.
func (m model) spareBudget() float64 {
	return max(limitBytes-m.balancerBytes()*sentShare, limitBytes*0.25)
}

// burstSpreadTime returns the seconds that member records take to spread within the byte budget.
func (m model) burstSpreadTime(records float64) float64 {
	return records * m.bytesPerMemberChange() * sentShare / m.spareBudget()
}

func (m model) balancerCore() float64 {
	agents := float64(m.size.Agents)
	heartbeats := 1 / m.size.Heartbeat.Seconds()
	balancerShare := float64(m.size.Balancers) / float64(m.size.Balancers+m.size.Agents)
	ns := 2*m.agentsPerBalancer()*heartbeats*m.slopes.at("heartbeat_ns_by_agents", agents) +
		copiesPerChange*(m.memberChangesPerSecond()+m.configChangesPerSecond())*m.slopes.at("push_ns_by_agents", agents) +
		digestExchangesPerSecond*m.slopes.at("digest_ns_by_agents", agents) +
		ticksPerSecond*m.slopes.at("beat_ns_by_agents", agents) +
		m.memberChangesPerSecond()*balancerShare*m.slopes.at("balancer_change_ns_by_agents", agents) +
		m.slopes.at("balancer_messages_by_agents", m.agentsPerBalancer())*m.slopes.at("seal_ns_by_payload", framePayload) +
		m.pullsPerBalancer()*m.slopes.at("pull_ns_by_agents", agents)
	return ns / 1e9 * 100
}

// pullsPerBalancer returns how many full tables a balancer sends a second in steady state.
func (m model) pullsPerBalancer() float64 {
	return m.size.ReplacedPerDay / secondsPerDay / float64(m.size.Balancers+m.size.Agents)
}

func (m model) balancerMemory() float64 {
	return m.slopes.at("balancer_heap_by_agents", float64(m.size.Agents))*memoryPerHeapByte/bytesPerMB + baseMemory
}

func (m model) agentBytes() float64 {
	services := float64(max(m.size.Services, 1))
	return m.slopes.at("agent_bytes_by_agents", m.agentsPerBalancer()) +
		float64(m.size.CoMembers)*2*2*loadReportBytes +
		2*loadReportBytes*(m.memberChangesPerSecond()*float64(m.size.Balancers)/float64(m.size.Balancers+m.size.Agents)+m.configChangesPerSecond()/services)
}

// agentScopeInAgents returns the number of agents whose records are as many as those in the scope of one agent.
// With it, slopes measured on a balancer against the number of agents also apply to an agent.
func (m model) agentScopeInAgents() float64 {
	return float64(m.size.Balancers+m.size.CoMembers+1) / recordsPerAgent
}

func (m model) agentCore() float64 {
	scope := m.agentScopeInAgents()
	heartbeats := 1 / m.size.Heartbeat.Seconds()
	loadReports := 4.0 * float64(m.size.CoMembers) // Two sent and two received a second for each co-member.
	records := 2 * m.memberChangesPerSecond() * float64(m.size.Balancers) / float64(m.size.Balancers+m.size.Agents)
	ns := (2*heartbeats+loadReports)*m.slopes.at("heartbeat_ns_by_agents", scope) + records*m.slopes.at("push_ns_by_agents", scope) +
		heartbeats*m.slopes.at("beat_ns_by_agents", scope) + (4*heartbeats+loadReports+records)*m.slopes.at("seal_ns_by_payload", framePayload)
	return ns / 1e9 * 100
}

func (m model) agentMemory() float64 {
	return m.slopes.at("balancer_heap_by_agents", m.agentScopeInAgents())*memoryPerHeapByte/bytesPerMB + baseMemory
}

// timeUntilInForce returns the seconds until 99.9% of the nodes have a change: a push misses a few, and digests repair them.
func (m model) timeUntilInForce() float64 {
	return math.Log(pushMissShare/0.001) / digestExchangesPerSecond
}

const (
	quantityBytes      = "sent and received"
	quantitySent       = "sent, which the token bucket limits"
	quantityWrites     = "writes"
	quantityReads      = "reads"
	quantitySpread     = "time until member records agree"
	unitBytes          = "B/s"
	unitRate           = "1/s"
	unitSeconds        = "s"
	unitMB             = "MB"
	unitCore           = "% of a core"
	quantityViewsAgree = "time until all views agree"
	quantityExtraBytes = "bytes sent above its rate"
)

// Compute returns the lines for a system of a size.
func Compute(s Slopes, size Size) []Line {
	m := model{slopes: s, size: size}
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
			RoleBalancer, SituationSteady, quantityBytes, unitBytes, m.balancerBytes(), limitBytes,
			"balancer_bytes_by_agents, balancer_bytes_for_contract_by_balancers, balancer_bytes_for_member_by_balancers, pull_bytes_by_agents",
			"sums and incarnation left out of a heartbeat that repeats the last one",
		},
		{RoleBalancer, SituationSteady, quantitySent, unitBytes, m.balancerBytes() * sentShare, limitBytes, "half of the line above", ""},
		{
			RoleBalancer, SituationSteady, "processor time", unitCore, m.balancerCore(), limitCorePercent,
			"heartbeat_ns, push_ns, digest_ns, beat_ns, balancer_change_ns, pull_ns by agents; seal_ns_by_payload", "",
		},
		{RoleBalancer, SituationSteady, "memory", unitMB, m.balancerMemory(), limitMemory, "balancer_heap_by_agents, twice, and 25 MB", ""},
		{
			RoleBalancer, SituationSteady, "messages sent and received", unitRate,
			m.slopes.at("balancer_messages_by_agents", m.agentsPerBalancer()) + 2*copiesPerChange*(m.memberChangesPerSecond()+m.configChangesPerSecond()), 0,
			"balancer_messages_by_agents, fan-out for each change", "",
		},
		{RoleBalancer, SituationSteady, "state of the board in transfer", unitMB, m.slopes.at("pull_bytes_by_agents", agents) / bytesPerMB, 0, "pull_bytes_by_agents", ""},
		{RoleBalancer, SituationChange, "bytes for a contract", "B", m.bytesPerContractChange(), 0, "balancer_bytes_for_contract_by_balancers, largest point", ""},
		{
			RoleBalancer, SituationChange, "in force at the 99.9th percentile node", unitSeconds, m.timeUntilInForce(), limitInForce,
			"2.1% missed by a push at fan-out 4 and 1% loss, 0.4 exchanges a second; spread_seconds_by_balancers is the measured worst of 10", "",
		},
	}
}

func (m model) relayAndAgentLines() []Line {
	return []Line{
		{
			RoleRelay, SituationSteady, "sent and received, with the store", unitBytes, m.balancerBytes() + m.storeReadBytes(), limitBytes,
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
			RoleAgent, SituationSteady, "state pulled at its start", unitMB, m.slopes.at("agent_pull_bytes_by_agents", float64(m.size.Agents)) / bytesPerMB, 0,
			"agent_pull_bytes_by_agents: mostly the records of all balancers", "balancers of other zones left out of an agent's scope",
		},
	}
}

func (m model) operatorLines() []Line {
	balancers := float64(m.size.Balancers)
	keyBytes := m.slopes.at("applied_key_bytes_by_services", float64(m.size.Services))
	allBytes := m.slopes.at("applied_bytes_by_services", float64(m.size.Services))
	return []Line{
		{RoleOperator, SituationChange, "answers to --wait for one key", unitMB, balancers * keyBytes / bytesPerMB, 0, "applied_key_bytes_by_services times balancers", ""},
		{RoleOperator, SituationChange, "messages for one --wait", "calls", balancers, 0, "one call to each balancer", ""},
		{
			RoleOperator, SituationChange, "memory if all answers are kept", unitMB, balancers*keyBytes*memoryPerHeapByte/bytesPerMB + baseMemory, 0,
			"answers for one key, twice, and 25 MB; its processor time is not measured", "",
		},
		{RoleOperator, SituationChange, "answers to --wait without a key", unitMB, balancers * allBytes / bytesPerMB, 0, "applied_bytes_by_services times balancers", ""},
		{
			RoleBalancer, SituationSteady, "with one --wait for each change", unitBytes, m.balancerBytes() + m.configChangesPerSecond()*keyBytes, limitBytes,
			"steady state and applied_key_bytes_by_services", "one balancer of a zone that asks the others for --wait",
		},
	}
}

func (m model) storeLines() []Line {
	zones := float64(m.size.Zones)
	reads := m.configChangesPerSecond() * zones
	return []Line{
		{RoleStore, SituationSteady, quantityWrites, unitRate, m.slopes.at("store_writes_by_zones", zones) + m.configChangesPerSecond(), limitWrites, "store_writes_by_zones, changes", ""},
		{RoleStore, SituationSteady, quantityReads, unitRate, reads, limitReads, "one answered watch for each zone and change (store_reads_by_changes: 4 zones)", ""},
		{RoleStore, SituationOutage, "attempted writes", unitRate, m.slopes.at("store_writes_in_outage_by_zones", zones), limitWrites, "store_writes_in_outage_by_zones", ""},
		{RoleStore, SituationOutage, "attempted reads", unitRate, m.slopes.at("store_reads_in_outage_by_zones", zones), limitReads, "store_reads_in_outage_by_zones", ""},
		{RoleStore, SituationOutageEnd, "writes in 10 s", unitRate, m.slopes.at("store_writes_after_outage_by_zones", zones) / 10, limitWrites, "store_writes_after_outage_by_zones", ""},
		{RoleStore, SituationOutageEnd, "reads in 10 s", unitRate, m.slopes.at("store_reads_after_outage_by_zones", zones) / 10, limitReads, "store_reads_after_outage_by_zones", ""},
	}
}

func (m model) burstLines() []Line {
	members := float64(m.size.Balancers + m.size.Agents)
	membersPerZone := members / float64(max(m.size.Zones, 1))
	rackHosts := float64(m.size.RackHosts)
	basis := "balancer_bytes_for_member_by_balancers, half of it sent, over what the budget leaves"
	return []Line{
		{RoleBalancer, SituationRackLost, quantitySpread, unitSeconds, m.burstSpreadTime(2 * rackHosts), 0, basis + "; 2 records for each host", ""},
		{RoleBalancer, SituationRackLost, "pulls of the hosts that return, at one zone", unitSeconds, rackHosts / (pullsPerSecond * membersPerZone * float64(m.size.Balancers) / members), 0, "4 pulls a second at each balancer", ""},
		{RoleBalancer, SituationZoneOut, "records", "records", 1, 0, "the zone's state; member records stay", ""},
		{
			RoleBalancer, SituationZoneLost, quantityViewsAgree, unitSeconds,
			max(m.largestPoint("zone_lost_seconds_by_agents"), heartbeatsUntilUnreachable*m.size.Heartbeat.Seconds()), limitInForce,
			"one silence record for the zone, written after 6 heartbeats at the latest, or the largest point of zone_lost_seconds_by_agents (120 balancers); " +
				"a push at fan-out 8 misses 0.04% of a larger zone, which digests repair later", "",
		},
		{RoleBalancer, SituationZoneLost, quantityExtraBytes, "B", m.largestPoint("zone_lost_bytes_by_agents"), 0, "zone_lost_bytes_by_agents, largest point", ""},
		{
			RoleBalancer, SituationPartitionHealed, quantityViewsAgree, unitSeconds, m.largestPoint("region_healed_seconds_by_agents"), 0,
			"one silence record for each zone; region_healed_seconds_by_agents, largest point (120 balancers); not measured at more", "",
		},
		{RoleBalancer, SituationPartitionHealed, quantityExtraBytes, "B", m.largestPoint("region_healed_bytes_by_agents"), 0, "region_healed_bytes_by_agents, largest point", ""},
		{RoleBalancer, SituationPartitionHealed, "configuration in force", unitSeconds, m.timeUntilInForce(), limitInForce, "configuration goes before member records, and each zone's relay reads it", ""},
	}
}

// BreakingPoint is a line with the multiple of a size at which it reaches its limit.
type BreakingPoint struct {
	Line Line
	// Factor multiplies the size, as in Size.Scale.
	Factor float64
}

// BreakingPoints returns, in ascending order, the multiple of the size at which each line reaches its limit.
// Lines without a limit and lines within their limit at 64 times the size are left out.
func BreakingPoints(s Slopes, size Size) []BreakingPoint {
	const largest, steps = 64.0, 40
	var out []BreakingPoint
	for i, line := range Compute(s, size) {
		exceeds := func(k float64) bool { return Compute(s, size.Scale(k))[i].ExceedsLimit() }
		if line.Limit == 0 || !exceeds(largest) {
			continue
		}
		low, high := 1.0/largest, largest
		for range steps {
			if mid := math.Sqrt(low * high); exceeds(mid) {
				high = mid
			} else {
				low = mid
			}
		}
		out = append(out, BreakingPoint{Line: line, Factor: high})
	}
	sortBreakingPoints(out)
	return out
}
