// Package cmd holds the command line, with one file for each command.
package cmd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/internal/settings"
	"github.com/bramleymast/bramleymast/internal/statusclient"
	"github.com/bramleymast/bramleymast/internal/storeclient"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Exit codes of the program.
const (
	ExitSuccess     = 0
	ExitFailure     = 1
	ExitBadInput    = 2
	ExitConflict    = 3
	ExitUnknown     = 4
	ExitUnconfirmed = 5
)

// command is one subcommand that can be run.
type command interface {
	// declare returns the declaration, which knows after parsing whether it was used.
	declare() *flaggy.Subcommand
	// run returns the exit code.
	run(ctx context.Context, e environment) int
}

// group is a word with further commands under it.
type group struct {
	name        string
	description string
	commands    []command
}

// environment is what commands use of the process and the outside.
type environment struct {
	out            io.Writer
	errOut         io.Writer
	now            func() time.Time
	newOperationID func() string
	pause          func(ctx context.Context, d time.Duration) error
	openStore      func(s settings.Operator) store.Store
	openStatus     func(s settings.Operator) (operator.StatusSource, error)
}

// newEnvironment returns the environment of the process.
func newEnvironment(out, errOut io.Writer) environment {
	return environment{
		out: out, errOut: errOut, now: time.Now, newOperationID: newOperationID, pause: pause,
		openStore:  func(s settings.Operator) store.Store { return storeclient.New(s.StoreURL()) },
		openStatus: openStatus,
	}
}

// operationIDSize makes a clash of two random ids in one contract's history practically impossible.
const operationIDSize = 8

func newOperationID() string {
	b := make([]byte, operationIDSize)
	_, _ = rand.Read(b) // It never fails; see crypto/rand.
	return hex.EncodeToString(b)
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func openStatus(s settings.Operator) (operator.StatusSource, error) {
	if len(s.Balancers()) == 0 {
		return nil, nil
	}
	key, err := settings.ReadSharedKey(s.SharedKeyFile())
	if err != nil {
		return nil, err
	}
	return statusclient.New(s.Balancers(), key), nil
}

// groups returns the commands of the program.
func groups() []group {
	return []group{
		{"contract", "checks, applies and shows the contracts of customer services", []command{
			&contractCheck{}, &contractApply{}, &contractShow{}, &contractList{}, &contractHistory{}, &contractDiff{},
		}},
		{"zone", "takes availability zones out of service and brings them back", []command{
			&availability{kind: zoneTarget, out: true}, &availability{kind: zoneTarget}, &zoneList{},
		}},
		{"backend", "takes backend servers out of service and brings them back", []command{
			&availability{kind: backendTarget, out: true}, &availability{kind: backendTarget}, &backendList{},
		}},
		{"settings", "checks settings files", []command{&settingsCheck{}}},
		{"standin", "runs a stand-in of the platform, for tests and trials only", []command{
			&standinStore{}, &standinFabric{}, &standinBackend{}, &standinCaller{},
		}},
	}
}

// commands returns the commands that stand alone.
func commands() []command {
	return []command{&status{}, &balancerCommand{}, &agentCommand{}, &demoCommand{}, &capacityCommand{}, &explainCommand{}}
}

// attach declares every command and returns all of them with their declarations.
func attach(p *flaggy.Parser) []declared {
	var all []declared
	for _, g := range groups() {
		parent := flaggy.NewSubcommand(g.name)
		parent.Description = g.description
		for _, c := range g.commands {
			all = append(all, declared{c, c.declare()})
			parent.AttachSubcommand(all[len(all)-1].declaration, 1)
		}
		p.AttachSubcommand(parent, 1)
	}
	for _, c := range commands() {
		all = append(all, declared{c, c.declare()})
		p.AttachSubcommand(all[len(all)-1].declaration, 1)
	}
	return all
}

type declared struct {
	command     command
	declaration *flaggy.Subcommand
}

// Main parses the arguments, runs the command and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	return execute(ctx, args, newEnvironment(out, errOut))
}

func execute(ctx context.Context, args []string, e environment) int {
	p := flaggy.NewParser("bramleymast")
	p.Description = "layer-4 load balancer that is driven by one contract for each customer service"
	p.DisableShowVersionWithVersion()
	p.ShowCompletion = false
	all := attach(p)
	if i := slices.Index(args, ""); i >= 0 { // The parser panics on an empty argument.
		_, _ = fmt.Fprintf(e.errOut, "argument %d is empty\n", i+1)
		return ExitBadInput
	}
	if err := p.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(e.errOut, err)
		return ExitBadInput
	}
	for _, d := range all {
		if d.declaration.Used {
			return d.command.run(ctx, e)
		}
	}
	p.ShowHelp()
	return ExitBadInput
}

// Run is Main with the arguments and streams of the process.
func Run(ctx context.Context) int {
	return Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
