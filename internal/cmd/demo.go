package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/demo"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

const defaultDemoDuration = 30 * time.Second

// demoCommand implements "bramleymast demo".
type demoCommand struct {
	outputOption
	deployment string
	seed       uint64
	duration   time.Duration
	logLevel   string
}

func (c *demoCommand) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("demo")
	sc.Description = "runs a deployment in one process, changes it while callers use it, and checks the promises"
	c.deployment, c.seed, c.duration, c.logLevel = "laca-verde", 1, defaultDemoDuration, "off"
	sc.String(&c.deployment, "", "deployment", "laca-verde or notas")
	sc.UInt64(&c.seed, "", "seed", "seed of the random choices")
	sc.Duration(&c.duration, "", "duration", "length of the run, 20s or more")
	sc.String(&c.logLevel, "", "log-level", "least severe level of the processes' own log lines, on the error stream")
	c.outputOption.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast demo
  bramleymast demo --deployment notas --seed 7 --output json

Exit codes: 0 every promise held, 1 a promise was broken or the run failed, 2 bad input.`
	return sc
}

func (c *demoCommand) run(ctx context.Context, e environment) int {
	var l finding.List
	d, err := demo.FindDeployment(c.deployment)
	if err != nil {
		l.Addf("--deployment", "laca-verde or notas", "is %q", c.deployment)
	}
	if c.duration < demo.MinDuration {
		l.Addf("--duration", demo.MinDuration.String()+" or more", "is %v", c.duration)
	}
	level := hclog.LevelFromString(c.logLevel)
	if level == hclog.NoLevel {
		l.Addf("--log-level", "trace, debug, info, warn, error or off", "is %q", c.logLevel)
	}
	c.check(&l)
	if e.printFindings(l) {
		return ExitBadInput
	}
	opts := demo.Options{
		Experiment: demo.Standard(d), Seed: c.seed, Duration: c.duration, Progress: e.out,
		Logger: hclog.New(&hclog.LoggerOptions{Name: "demo", Level: level, Output: e.errOut}),
	}
	if c.isJSON() {
		opts.Progress = e.errOut
	}
	rep, err := demo.Run(ctx, opts)
	if err != nil {
		e.printError(err)
		return ExitFailure
	}
	return c.print(rep, e)
}

// print prints the report and returns ExitFailure if the report lists a broken promise.
func (c *demoCommand) print(rep demo.Report, e environment) int {
	write := rep.WriteTable
	if c.isJSON() {
		write = rep.WriteJSON
	}
	if err := write(e.out); err != nil {
		e.printError(err)
		return ExitFailure
	}
	for _, p := range rep.BrokenPromises {
		_, _ = fmt.Fprintln(e.errOut, "broken:", p)
	}
	if len(rep.BrokenPromises) > 0 {
		return ExitFailure
	}
	return ExitSuccess
}
