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

const (
	defaultDemoDuration = 30 * time.Second
	outputTable         = "table"
	outputJSON          = "json"
)

// demoCommand runs a whole deployment in this process.
type demoCommand struct {
	parser     *flaggy.Subcommand
	deployment string
	seed       uint64
	duration   time.Duration
	output     string
	logLevel   string
}

func newDemoCommand() *demoCommand {
	c := &demoCommand{deployment: "laca-verde", seed: 1, duration: defaultDemoDuration, output: outputTable, logLevel: "off"}
	c.parser = flaggy.NewSubcommand("demo")
	c.parser.Description = "run a deployment in one process, change it while callers use it, and check the promises"
	c.parser.String(&c.deployment, "", "deployment", "laca-verde or notas")
	c.parser.UInt64(&c.seed, "", "seed", "seed of every random choice")
	c.parser.Duration(&c.duration, "", "duration", "length of the run, 20s or more")
	c.parser.String(&c.output, "", "output", "table or json")
	c.parser.String(&c.logLevel, "", "log-level", "level of the processes' own log, on the error stream")
	return c
}

func (c *demoCommand) subcommand() *flaggy.Subcommand { return c.parser }

func (c *demoCommand) run(ctx context.Context, out, errOut io.Writer) int {
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
