package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/demo"
)

const defaultDemoDuration = 30 * time.Second

// demoCommand is "demo".
type demoCommand struct {
	deployment string
	seed       uint64
	duration   time.Duration
	output     string
	logLevel   string
}

func (c *demoCommand) declare() *flaggy.Subcommand {
	*c = demoCommand{deployment: "laca-verde", seed: 1, duration: defaultDemoDuration, output: outputTable, logLevel: "off"}
	sc := flaggy.NewSubcommand("demo")
	sc.Description = "runs a deployment in one process, changes it while callers use it, and checks the promises"
	sc.String(&c.deployment, "", "deployment", "laca-verde or notas")
	sc.UInt64(&c.seed, "", "seed", "seed of every random choice")
	sc.Duration(&c.duration, "", "duration", "length of the run, 20s or more")
	sc.String(&c.output, "", "output", "table or json")
	sc.String(&c.logLevel, "", "log-level", "level of the processes' own log, on the error stream")
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast demo
  bramleymast demo --deployment notas --seed 7 --output json

Exit codes: 0 every promise held, 1 a promise was broken or the run failed, 2 bad input.`
	return sc
}

func (c *demoCommand) run(ctx context.Context, e environment) int {
	out, errOut := e.out, e.errOut
	d, err := demo.FindDeployment(c.deployment)
	level := hclog.LevelFromString(c.logLevel)
	switch {
	case err != nil:
	case c.duration < demo.MinDuration:
		err = fmt.Errorf("--duration: is %v (allowed: %v or more)", c.duration, demo.MinDuration)
	case c.output != outputTable && c.output != outputJSON:
		err = fmt.Errorf("--output: is %q (allowed: table or json)", c.output)
	case level == hclog.NoLevel:
		err = fmt.Errorf("--log-level: is %q (allowed: trace, debug, info, warn, error or off)", c.logLevel)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitBadInput
	}
	opts := demo.Options{
		Experiment: demo.Standard(d), Seed: c.seed, Duration: c.duration, Progress: out,
		Logger: hclog.New(&hclog.LoggerOptions{Name: "demo", Level: level, Output: errOut}),
	}
	if c.output == outputJSON {
		opts.Progress = errOut
	}
	rep, err := demo.Run(ctx, opts)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailure
	}
	return c.print(rep, out, errOut)
}

// print prints the report and returns the exit code that it stands for.
func (c *demoCommand) print(rep demo.Report, out, errOut io.Writer) int {
	var err error
	if c.output == outputJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		err = e.Encode(rep)
	} else {
		err = rep.WriteTable(out)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailure
	}
	for _, p := range rep.BrokenPromises {
		_, _ = fmt.Fprintln(errOut, "broken:", p)
	}
	if len(rep.BrokenPromises) > 0 {
		return ExitFailure
	}
	return ExitSuccess
}
