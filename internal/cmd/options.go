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

// outputOption is the flag for the form of the output.
type outputOption struct {
	output string
}

func (o *outputOption) declare(sc *flaggy.Subcommand) {
	o.output = outputTable
	sc.String(&o.output, "o", "output", "form of the output: table or json")
}

func (o *outputOption) json() bool { return o.output == outputJSON }

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

// open returns an operator for the settings, or reports why there is none.
func (o *operatorOptions) open(e environment, dryRun bool) (*operator.Operator, bool) {
	s, err := settings.LoadOperator(o.settings)
	if err != nil {
		e.fail(err)
		return nil, false
	}
	status, err := e.openStatus(s)
	if err != nil {
		e.fail(err)
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
		Store: st, Author: s.Author(), Now: e.now, NewOperationID: e.newOperationID, Sleep: e.pause,
	}
	if status != nil {
		cfg.Status = status
	}
	return operator.New(cfg), true
}

// defaultWait is longer than the 14 s within which a change is in force everywhere.
const defaultWait = 30

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
	o.waitSeconds = strconv.Itoa(defaultWait)
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

// coverage waits for a revision if that was asked for and reports how far it has come.
func (o *changeOptions) coverage(ctx context.Context, op *operator.Operator, key string, revision store.Revision) *coverageJSON {
	if !o.wait || o.dryRun {
		return nil
	}
	seconds, _ := strconv.Atoi(o.waitSeconds)
	c, err := op.Wait(ctx, key, revision, time.Duration(seconds)*time.Second)
	return newCoverage(c, err)
}

// badInput reports the findings of the arguments, if there are any.
func (e environment) badInput(l finding.List) bool {
	if l.Len() == 0 {
		return false
	}
	e.fail(l.Err())
	return true
}

// fail writes an error.
func (e environment) fail(err error) {
	_, _ = fmt.Fprintln(e.errOut, err)
}
