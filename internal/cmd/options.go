package cmd

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/internal/settings"
	"github.com/bramleymast/bramleymast/pkg/finding"
	"github.com/bramleymast/bramleymast/pkg/store"
)

const defaultOperatorSettings = "operator.json"

const (
	outputTable = "table"
	outputJSON  = "json"
)

// outputOption is the flag that selects the output format.
type outputOption struct {
	output string
}

func (o *outputOption) declare(sc *flaggy.Subcommand) {
	o.output = outputTable
	sc.String(&o.output, "o", "output", "form of the output: table or json")
}

func (o *outputOption) isJSON() bool { return o.output == outputJSON }

func (o *outputOption) check(l *finding.List) {
	if o.output != outputTable && o.output != outputJSON {
		l.Addf("--output", "table or json", "is %q", o.output)
	}
}

// operatorOptions are the flags of the commands that read the store.
type operatorOptions struct {
	outputOption
	settings string
	debug    bool
}

func (o *operatorOptions) declare(sc *flaggy.Subcommand) {
	o.settings = defaultOperatorSettings
	sc.String(&o.settings, "s", "settings", "operator settings file")
	sc.Bool(&o.debug, "", "debug", "log every call to the store")
	o.outputOption.declare(sc)
}

// newOperator returns an operator client for the settings file. If that fails, it prints the error and returns false.
func (o *operatorOptions) newOperator(e environment, dryRun bool) (*operator.Operator, bool) {
	s, err := settings.LoadOperator(o.settings)
	if err != nil {
		e.printError(err)
		return nil, false
	}
	status, err := e.openStatus(s)
	if err != nil {
		e.printError(err)
		return nil, false
	}
	st := e.openStore(s)
	if o.debug {
		st = operator.WithDebugLog(st, hclog.New(&hclog.LoggerOptions{Name: "bramleymast", Level: hclog.Debug, Output: e.errOut}))
	}
	if dryRun {
		st = operator.DryRun(st)
	}
	cfg := operator.Config{
		Store: st, Author: s.Author(), Now: e.now, NewOperationID: e.newOperationID, Sleep: e.sleep,
	}
	if status != nil {
		cfg.Status = status
	}
	return operator.New(cfg), true
}

// defaultWaitSeconds exceeds the 14 s within which a change comes into force everywhere.
const defaultWaitSeconds = 30

// changeOptions are the flags of the commands that write to the store.
type changeOptions struct {
	operatorOptions
	dryRun      bool
	confirm     bool
	wait        bool
	waitSeconds string
}

func (o *changeOptions) declare(sc *flaggy.Subcommand) {
	o.operatorOptions.declare(sc)
	o.waitSeconds = strconv.Itoa(defaultWaitSeconds)
	sc.Bool(&o.dryRun, "n", "dry-run", "check everything and write nothing")
	sc.Bool(&o.confirm, "", "confirm", "go on although a service would lose its last place or too many backend servers")
	sc.Bool(&o.wait, "w", "wait", "wait until the change is in force everywhere")
	sc.String(&o.waitSeconds, "", "wait-seconds", "how long --wait waits")
}

func (o *changeOptions) check(l *finding.List) {
	o.outputOption.check(l)
	if n, err := strconv.Atoi(o.waitSeconds); err != nil || n < 1 {
		l.Addf("--wait-seconds", "1 or more", "is %q", o.waitSeconds)
	}
}

// waitForCoverage waits until a revision is in force everywhere or --wait-seconds have passed, and returns how far the change has spread.
// Without --wait or in a dry run it returns nil.
func (o *changeOptions) waitForCoverage(ctx context.Context, op *operator.Operator, key string, revision store.Revision) *coverageJSON {
	if !o.wait || o.dryRun {
		return nil
	}
	seconds, _ := strconv.Atoi(o.waitSeconds)
	c, err := op.Wait(ctx, key, revision, time.Duration(seconds)*time.Second)
	return newCoverageJSON(c, err)
}

// printFindings prints the findings about the arguments and reports whether there are any.
func (e environment) printFindings(l finding.List) bool {
	if l.Len() == 0 {
		return false
	}
	e.printError(l.Err())
	return true
}

// printError prints an error on the error stream.
func (e environment) printError(err error) {
	_, _ = fmt.Fprintln(e.errOut, err)
}
