package cmd

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/explain"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// explainCommand implements "bramleymast explain".
type explainCommand struct {
	outputOption
	id    string
	files []string
}

func (c *explainCommand) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("explain")
	sc.Description = "tells the story of a flow or request from the logs of several processes"
	sc.AddPositionalValue(&c.id, "id", 1, true, "flow (caller>address) or request id")
	sc.StringSlice(&c.files, "l", "log", "log file of one or more processes, may be given several times; standard input without it")
	c.outputOption.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast explain 1f0c6e --log front-1.log --log side-3.log
  cat *.log | bramleymast explain "100.64.0.7:40001>198.18.0.1:443" --output json

Exit codes: 0 the story was printed, 1 no line names the id or a file cannot be read, 2 bad input.`
	return sc
}

func (c *explainCommand) run(_ context.Context, e environment) int {
	var l finding.List
	c.check(&l)
	if e.printFindings(l) {
		return ExitBadInput
	}
	var log explain.Log
	if err := c.read(&log, os.Stdin); err != nil {
		e.printError(err)
		return ExitFailure
	}
	timeline, err := log.Timeline(c.id)
	if err != nil {
		e.printError(err)
		return ExitFailure
	}
	if c.isJSON() {
		e.printJSON(timeline)
		return ExitSuccess
	}
	if err := timeline.Write(e.out); err != nil {
		e.printError(err)
		return ExitFailure
	}
	return ExitSuccess
}

func (c *explainCommand) read(log *explain.Log, stdin io.Reader) error {
	if len(c.files) == 0 {
		return log.Read("stdin", stdin)
	}
	for _, name := range c.files {
		if err := c.readFile(log, name); err != nil {
			return err
		}
	}
	return nil
}

func (c *explainCommand) readFile(log *explain.Log, name string) error {
	f, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return errors.Annotate(err, "cannot read the log")
	}
	defer func() { _ = f.Close() }() // The file was only read.
	return log.Read(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), f)
}
