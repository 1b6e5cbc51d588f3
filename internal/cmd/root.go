// Package cmd holds the command line, with one file for each command.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"
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

// command is one subcommand: it declares its arguments and runs after they were parsed.
type command interface {
	// subcommand returns the declaration, which knows after parsing whether it was used.
	subcommand() *flaggy.Subcommand
	// run returns the exit code.
	run(ctx context.Context, out, errOut io.Writer) int
}

// commands returns every command of the program.
func commands() []command {
	return []command{newDemoCommand()}
}

// Main parses the arguments, runs the command and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	p := flaggy.NewParser("bramleymast")
	p.Description = "layer-4 load balancer that is driven by one contract for each customer service"
	p.ShowHelpOnUnexpected = false
	all := commands()
	for _, c := range all {
		p.AttachSubcommand(c.subcommand(), 1)
	}
	if err := p.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitBadInput
	}
	for _, c := range all {
		if c.subcommand().Used {
			return c.run(ctx, out, errOut)
		}
	}
	p.ShowHelp()
	return ExitBadInput
}

// Run is Main with the arguments and streams of the process.
func Run(ctx context.Context) int {
	return Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
