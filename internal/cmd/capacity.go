package cmd

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/capacity"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// capacityCommand implements "bramleymast capacity".
type capacityCommand struct {
	size capacity.Size
}

func (c *capacityCommand) declare() *flaggy.Subcommand {
	c.size = capacity.DesignSize()
	sc := flaggy.NewSubcommand("capacity")
	sc.Description = "computes state, messages, processor time and memory of control at a size, as Markdown"
	sc.Int(&c.size.Balancers, "", "balancers", "number of balancers")
	sc.Int(&c.size.Agents, "", "agents", "number of backend servers, each with an agent")
	sc.Int(&c.size.Services, "", "services", "number of customer services")
	sc.Int(&c.size.Zones, "", "zones", "number of availability zones")
	sc.Int(&c.size.Regions, "", "regions", "number of regions")
	sc.Float64(&c.size.ChangesPerDay, "", "changes", "changes of the configuration a day")
	sc.Float64(&c.size.ReplacedPerDay, "", "replaced", "hosts that restart, are replaced or fail a day")
	sc.Duration(&c.size.Heartbeat, "", "heartbeat", "time between two heartbeats")
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast capacity
  bramleymast capacity --balancers 5 --agents 11 --services 2 --zones 4 --regions 1 --changes 20 --replaced 1

Exit codes: 0 the page was printed, 1 it could not be computed, 2 bad input.`
	return sc
}

func (c *capacityCommand) findings() finding.List {
	var l finding.List
	counts := []struct {
		flag  string
		value float64
	}{
		{"--balancers", float64(c.size.Balancers)},
		{"--agents", float64(c.size.Agents)},
		{"--services", float64(c.size.Services)},
		{"--zones", float64(c.size.Zones)},
		{"--regions", float64(c.size.Regions)},
		{"--heartbeat", c.size.Heartbeat.Seconds()},
	}
	for _, n := range counts {
		if n.value <= 0 {
			l.Addf(n.flag, "more than 0", "is %v", n.value)
		}
	}
	if c.size.ChangesPerDay < 0 {
		l.Addf("--changes", "0 or more", "is %v", c.size.ChangesPerDay)
	}
	if c.size.ReplacedPerDay < 0 {
		l.Addf("--replaced", "0 or more", "is %v", c.size.ReplacedPerDay)
	}
	return l
}

func (c *capacityCommand) run(_ context.Context, e environment) int {
	if e.printFindings(c.findings()) {
		return ExitBadInput
	}
	slopes, err := capacity.Recorded()
	if err == nil {
		err = capacity.Write(e.out, slopes, c.size)
	}
	if err != nil {
		e.printError(err)
		return ExitFailure
	}
	return ExitSuccess
}
