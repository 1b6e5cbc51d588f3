package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/bramleymast/bramleymast/internal/capacity"
	"github.com/bramleymast/bramleymast/internal/controltest"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

const (
	lossZones    = 4
	lossServices = 3
	// agentsPerBalancer is close to 7.6, the ratio of the design size.
	agentsPerBalancer = 6
	// lossMeasureTime is how long bytes are counted after an event and, for comparison, before it.
	lossMeasureTime = 3 * time.Minute
	// partitionTime is long enough for each side to finish marking the other one as unreachable.
	partitionTime = 4 * time.Minute
	// lossSettleTime is long enough for the records of the process started last to reach all others.
	lossSettleTime = 2 * time.Minute
	pollInterval   = 100 * time.Millisecond
)

// byZoneLoss measures the loss of a zone, and the healing of a network partition between two regions of two zones each.
func byZoneLoss() []capacity.Slope {
	s := series{against: againstAgents, fixed: "4 zones, 1 balancer for 6 agents, 3 services, heartbeat 2 s, 3 KB/s a node, 1% loss; bytes until 3 min later, or until views agree, above the rate of the 3 min before"}
	for _, agents := range []int{24, 72, 240, 720} {
		size := clusterSize{zones: lossZones, balancers: agents / agentsPerBalancer, agents: agents, services: lossServices}
		x := float64(agents)
		cluster := buildLossCluster(size)
		base := meanBalancerSentBytes(cluster, "")
		cluster.Run(lossMeasureTime)
		rate := (meanBalancerSentBytes(cluster, "") - base) / lossMeasureTime.Seconds()
		lost := zoneName(lossZones - 1)
		seconds, bytes := measureZoneLoss(cluster, lost, rate)
		s.addPoint("zone_lost_seconds_by_agents", "seconds until no view has a member of the lost zone that opens or holds flows", x, seconds)
		s.addPoint("zone_lost_bytes_by_agents", "bytes sent by a balancer", x, bytes)
		cluster = buildLossCluster(size)
		seconds, bytes = measurePartitionHeal(cluster, rate)
		s.addPoint("region_healed_seconds_by_agents", "seconds until all members open flows in all views", x, seconds)
		s.addPoint("region_healed_bytes_by_agents", "bytes sent by a balancer", x, bytes)
	}
	return s.fit()
}

func lossLink(_, _ *controltest.Process) controltest.Link {
	return controltest.Link{Delay: 3 * time.Millisecond, Jitter: 4 * time.Millisecond, Loss: 0.01}
}

// buildLossCluster returns a cluster whose contracts name its zones, so that its members accept flows, in steady state.
func buildLossCluster(s clusterSize) *controltest.Cluster {
	cluster := buildCluster(s)
	for i := range s.services {
		text := fmt.Sprintf(sampleContract, serviceName(i))
		for j, name := range []string{`"a"`, `"b"`, `"c"`} {
			text = strings.Replace(text, name, strconv.Quote(zoneName(j)), 1)
		}
		text = strings.Replace(text, `"zone-02"`, `"zone-02","zone-03"`, 1)
		c, _ := contract.Decode("", []byte(text))
		cluster.Store.Put(serviceName(i), board.Contract{Contract: c})
	}
	cluster.SetLink(lossLink)
	cluster.Run(lossSettleTime)
	return cluster
}

// measureZoneLoss returns the seconds until no view has a member of the lost zone that accepts or owns flows, and the
// mean number of bytes that a balancer sent above the given rate.
func measureZoneLoss(cluster *controltest.Cluster, lost string, rate float64) (seconds, bytes float64) {
	before := meanBalancerSentBytes(cluster, lost)
	for _, p := range cluster.Processes() {
		if p.Zone == lost {
			p.Stop()
		}
	}
	took := runUntilAll(cluster, lost, func(p *controltest.Process) bool {
		return allMembers(p, func(m *flow.Member) bool { return m.Zone() != lost || !m.AcceptsFlows() && !m.OwnsFlows() })
	})
	cluster.Run(max(0, lossMeasureTime-took))
	return took.Seconds(), meanBalancerSentBytes(cluster, lost) - before - rate*max(took, lossMeasureTime).Seconds()
}

// measurePartitionHeal returns the seconds from the end of a partition until all members accept and own flows in all
// views, and the mean number of bytes that a balancer sent above the given rate.
func measurePartitionHeal(cluster *controltest.Cluster, rate float64) (seconds, bytes float64) {
	inFirstRegion := func(p *controltest.Process) bool { return p.Zone < zoneName(lossZones/2) }
	cluster.SetLink(func(from, to *controltest.Process) controltest.Link {
		l := lossLink(from, to)
		if inFirstRegion(from) != inFirstRegion(to) {
			l.Loss = 1
		}
		return l
	})
	cluster.Run(partitionTime)
	before := meanBalancerSentBytes(cluster, "")
	cluster.SetLink(lossLink)
	took := runUntilAll(cluster, "", func(p *controltest.Process) bool {
		return allMembers(p, func(m *flow.Member) bool { return m.AcceptsFlows() && m.OwnsFlows() })
	})
	cluster.Run(max(0, lossMeasureTime-took))
	return took.Seconds(), meanBalancerSentBytes(cluster, "") - before - rate*max(took, lossMeasureTime).Seconds()
}

// runUntilAll runs a cluster until a condition holds at every process outside a zone, for an hour of simulated time at
// most, and returns the simulated time that has passed.
func runUntilAll(cluster *controltest.Cluster, without string, f func(*controltest.Process) bool) time.Duration {
	const limit = time.Hour
	start := cluster.Now()
	for cluster.Now()-start < limit {
		cluster.Run(pollInterval)
		if cluster.All(func(p *controltest.Process) bool { return p.Zone == without || f(p) }) {
			break
		}
	}
	return cluster.Now() - start
}

// allMembers reports whether a condition holds for each member in the views of a process: those of an agent's own
// service, or of all services with a contract for a balancer.
func allMembers(p *controltest.Process, f func(*flow.Member) bool) bool {
	services := []string{p.Service}
	if p.Service == "" {
		services = services[:0]
		for _, r := range p.Board.Records(board.KindContract) {
			services = append(services, r.ID.Key)
		}
	}
	for _, service := range services {
		v := p.Board.View(service, func(string) bool { return false })
		for _, m := range v.Members() {
			if !f(&m) {
				return false
			}
		}
	}
	return true
}

func meanBalancerSentBytes(cluster *controltest.Cluster, without string) float64 {
	var sent, count float64
	for _, p := range cluster.Processes() {
		if p.Service == "" && p.Zone != without {
			sent += float64(p.Usage.SentBytes)
			count++
		}
	}
	return sent / count
}
