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
	// agentsForBalancer is close to the ratio of the design size, 7.6.
	agentsForBalancer = 6
	// lossWindow is how long bytes are counted after an event, and before it for comparison.
	lossWindow = 3 * time.Minute
	// cutTime lets each side finish its verdicts on the other.
	cutTime = 4 * time.Minute
	// lossSettle lets the records of the last start spread.
	lossSettle = 2 * time.Minute
	lossStep   = 100 * time.Millisecond
)

// byLoss measures the loss of a zone, and regions of two zones each that are cut from each other and joined again.
func byLoss() []capacity.Slope {
	s := series{against: byAgentCount, fixed: "4 zones, 1 balancer for 6 agents, 3 services, heartbeat 2 s, 3 KB/s a node, 1% loss; bytes until 3 min later, or until views agree, above the rate of the 3 min before"}
	for _, agents := range []int{24, 72, 240, 720} {
		of := size{zones: lossZones, balancers: agents / agentsForBalancer, agents: agents, services: lossServices}
		x := float64(agents)
		w := buildLoss(of)
		base := sentByBalancer(w, "")
		w.Run(lossWindow)
		rate := (sentByBalancer(w, "") - base) / lossWindow.Seconds()
		lost := zoneName(lossZones - 1)
		seconds, bytes := measureLoss(w, lost, rate)
		s.point("zone_lost_seconds_by_agents", "seconds until no view has a member of the lost zone that opens or holds flows", x, seconds)
		s.point("zone_lost_bytes_by_agents", "bytes sent by a balancer", x, bytes)
		w = buildLoss(of)
		seconds, bytes = measureHeal(w, rate)
		s.point("region_healed_seconds_by_agents", "seconds until all members open flows in all views", x, seconds)
		s.point("region_healed_bytes_by_agents", "bytes sent by a balancer", x, bytes)
	}
	return s.fit()
}

func lossLink(_, _ *controltest.Process) controltest.Link {
	return controltest.Link{Delay: 3 * time.Millisecond, Jitter: 4 * time.Millisecond, Loss: 0.01}
}

// buildLoss returns a world whose contracts name its zones, so that members open flows, after its traffic has settled.
func buildLoss(s size) *controltest.Cluster {
	w := build(s)
	for i := range s.services {
		text := fmt.Sprintf(sampleContract, serviceName(i))
		for j, name := range []string{`"a"`, `"b"`, `"c"`} {
			text = strings.Replace(text, name, strconv.Quote(zoneName(j)), 1)
		}
		text = strings.Replace(text, `"zone-02"`, `"zone-02","zone-03"`, 1)
		c, _ := contract.Decode("", []byte(text))
		w.Store.Put(serviceName(i), board.Contract{Contract: c})
	}
	w.SetLink(lossLink)
	w.Run(lossSettle)
	return w
}

// measureLoss returns the time until the members of a lost zone are out of all views, and the bytes sent by a balancer above its rate.
func measureLoss(w *controltest.Cluster, lost string, rate float64) (seconds, bytes float64) {
	before := sentByBalancer(w, lost)
	for _, p := range w.Processes() {
		if p.Zone == lost {
			p.Stop()
		}
	}
	took := until(w, lost, func(p *controltest.Process) bool {
		return allMembers(p, func(m *flow.Member) bool { return m.Zone() != lost || !m.AcceptsFlows() && !m.OwnsFlows() })
	})
	w.Run(max(0, lossWindow-took))
	return took.Seconds(), sentByBalancer(w, lost) - before - rate*max(took, lossWindow).Seconds()
}

// measureHeal returns the time from the end of a cut until all members open flows everywhere, and the bytes sent by a balancer above its rate.
func measureHeal(w *controltest.Cluster, rate float64) (seconds, bytes float64) {
	left := func(p *controltest.Process) bool { return p.Zone < zoneName(lossZones/2) }
	w.SetLink(func(from, to *controltest.Process) controltest.Link {
		l := lossLink(from, to)
		if left(from) != left(to) {
			l.Loss = 1
		}
		return l
	})
	w.Run(cutTime)
	before := sentByBalancer(w, "")
	w.SetLink(lossLink)
	took := until(w, "", func(p *controltest.Process) bool {
		return allMembers(p, func(m *flow.Member) bool { return m.AcceptsFlows() && m.OwnsFlows() })
	})
	w.Run(max(0, lossWindow-took))
	return took.Seconds(), sentByBalancer(w, "") - before - rate*max(took, lossWindow).Seconds()
}

// until runs a world until a condition holds at every process outside a zone.
func until(w *controltest.Cluster, without string, f func(*controltest.Process) bool) time.Duration {
	const limit = time.Hour
	start := w.Now()
	for w.Now()-start < limit {
		w.Run(lossStep)
		if w.All(func(p *controltest.Process) bool { return p.Zone == without || f(p) }) {
			break
		}
	}
	return w.Now() - start
}

// allMembers reports whether a condition holds for each member in the views of a process.
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

func sentByBalancer(w *controltest.Cluster, without string) float64 {
	var sent, count float64
	for _, p := range w.Processes() {
		if p.Service == "" && p.Zone != without {
			sent += float64(p.Usage.SentBytes)
			count++
		}
	}
	return sent / count
}
