// Package cmd implements the command line, with one file for each command.
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

// command is a subcommand that can be run, unlike a commandGroup.
type command interface {
	// declare returns the parser's declaration; its field Used is set by parsing.
	declare() *flaggy.Subcommand
	// run executes the command and returns the exit code.
	run(ctx context.Context, e environment) int
}

// commandGroup is a subcommand that only groups further subcommands, such as "contract".
type commandGroup struct {
	name        string
	description string
	commands    []command
}

// environment holds the streams, the clock and the connections that commands use; tests replace them.
type environment struct {
	out            io.Writer
	errOut         io.Writer
	now            func() time.Time
	newOperationID func() string
	sleep          func(ctx context.Context, d time.Duration) error
	openStore      func(s settings.Operator) store.Store
	openStatus     func(s settings.Operator) (operator.StatusSource, error)
}

// newEnvironment returns an environment with the real clock, store and status clients.
func newEnvironment(out, errOut io.Writer) environment {
	return environment{
		out: out, errOut: errOut, now: time.Now, newOperationID: newOperationID, sleep: sleep,
		openStore:  func(s settings.Operator) store.Store { return storeclient.New(s.StoreURL()) },
		openStatus: openStatus,
	}
}

// operationIDSize is in bytes; 64 random bits make equal ids within the history of a contract practically impossible.
const operationIDSize = 8

func newOperationID() string {
	b := make([]byte, operationIDSize)
	_, _ = rand.Read(b) // Read never returns an error; see crypto/rand.
	return hex.EncodeToString(b)
}

func sleep(ctx context.Context, d time.Duration) error {
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

// commandGroups returns the grouped commands of the program.
func commandGroups() []commandGroup {
	return []commandGroup{
		{"contract", "checks, applies and shows the contracts of customer services", []command{
			&contractCheck{}, &contractApply{}, &contractShow{}, &contractList{}, &contractHistory{}, &contractDiff{},
		}},
		{"zone", "takes availability zones out of service and brings them back", []command{
			&availabilityCommand{kind: zoneTarget, out: true}, &availabilityCommand{kind: zoneTarget}, &zoneList{},
		}},
		{"backend", "takes backend servers out of service and brings them back", []command{
			&availabilityCommand{kind: backendTarget, out: true}, &availabilityCommand{kind: backendTarget}, &backendList{},
		}},
		{"settings", "checks settings files", []command{&settingsCheck{}}},
		{"standin", "runs a stand-in of the platform, for tests and trials only", []command{
			&standinStoreCommand{}, &standinFabricCommand{}, &standinBackendCommand{}, &standinCallerCommand{},
		}},
	}
}

// topLevelCommands returns the commands that belong to no group.
func topLevelCommands() []command {
	return []command{&statusCommand{}, &balancerCommand{}, &agentCommand{}, &demoCommand{}, &capacityCommand{}, &explainCommand{}, &whereCommand{}}
}

// attachCommands declares every command to the parser and returns all of them with their declarations.
func attachCommands(p *flaggy.Parser) []declaredCommand {
	var all []declaredCommand
	for _, g := range commandGroups() {
		parent := flaggy.NewSubcommand(g.name)
		parent.Description = g.description
		for _, c := range g.commands {
			all = append(all, declaredCommand{c, c.declare()})
			parent.AttachSubcommand(all[len(all)-1].subcommand, 1)
		}
		p.AttachSubcommand(parent, 1)
	}
	for _, c := range topLevelCommands() {
		all = append(all, declaredCommand{c, c.declare()})
		p.AttachSubcommand(all[len(all)-1].subcommand, 1)
	}
	return all
}

type declaredCommand struct {
	command    command
	subcommand *flaggy.Subcommand
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
	all := attachCommands(p)
	if i := slices.Index(args, ""); i >= 0 { // The parser panics on an empty argument.
		_, _ = fmt.Fprintf(e.errOut, "argument %d is empty\n", i+1)
		return ExitBadInput
	}
	if err := p.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(e.errOut, err)
		return ExitBadInput
	}
	for _, d := range all {
		if d.subcommand.Used {
			return d.command.run(ctx, e)
		}
	}
	p.ShowHelp()
	return ExitBadInput
}

// Run calls Main with the arguments and streams of the process.
func Run(ctx context.Context) int {
	return Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
