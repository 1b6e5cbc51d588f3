package cmd

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// printf writes formatted text to the output stream.
func (e environment) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.out, format, args...)
}

// printJSON writes a value as indented JSON.
func (e environment) printJSON(v any) {
	enc := json.NewEncoder(e.out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// printTable writes rows in aligned columns; the first row is the header.
func (e environment) printTable(rows [][]string) {
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

// Column headers shared by several tables.
const (
	authorHeader   = "AUTHOR"
	serviceHeader  = "SERVICE"
	revisionHeader = "REVISION"
	stateHeader    = "STATE"
	reasonHeader   = "REASON"
)

// emptyCell is printed in place of an empty table cell.
const emptyCell = "-"

func cell(s string) string {
	if s == "" {
		return emptyCell
	}
	return s
}

func revisionCell(r store.Revision) string {
	if r == 0 {
		return emptyCell
	}
	return strconv.FormatUint(uint64(r), 10)
}

func timeText(t time.Time) string { return t.UTC().Format(time.RFC3339) }

type changeJSON struct {
	Path   string `json:"path"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func newChangesJSON(changes []contract.Change) []changeJSON {
	all := make([]changeJSON, 0, len(changes))
	for _, c := range changes {
		all = append(all, changeJSON{c.Path(), c.Before(), c.After()})
	}
	return all
}

type lossJSON struct {
	Service string `json:"service"`
	Message string `json:"message"`
}

func newLossesJSON(losses []operator.Loss) []lossJSON {
	all := make([]lossJSON, 0, len(losses))
	for _, l := range losses {
		all = append(all, lossJSON{l.Service(), l.Message()})
	}
	return all
}

func (e environment) printLosses(losses []operator.Loss) {
	for _, l := range losses {
		e.printf("  %s %s\n", l.Service(), l.Message())
	}
}

func (e environment) printChanges(changes []contract.Change) {
	if len(changes) == 0 {
		e.printf("  nothing\n")
	}
	for _, c := range changes {
		e.printf("  %s\n", c)
	}
}

type outdatedJSON struct {
	Kind    string `json:"kind"`
	ID      string `json:"id"`
	Applied uint64 `json:"applied_revision"`
	Error   string `json:"error,omitempty"`
}

type coverageJSON struct {
	Complete  bool           `json:"complete"`
	Balancers int            `json:"balancers"`
	Agents    int            `json:"agents"`
	TookMS    int64          `json:"took_ms"`
	Outdated  []outdatedJSON `json:"behind"`
	Error     string         `json:"error,omitempty"`
}

func newCoverageJSON(c operator.Coverage, err error) *coverageJSON {
	j := &coverageJSON{
		Complete: err == nil && c.Complete(), Balancers: c.Balancers(), Agents: c.Agents(),
		TookMS: c.Elapsed().Milliseconds(), Outdated: []outdatedJSON{},
	}
	if err != nil {
		j.Error = err.Error()
	}
	for _, p := range c.Outdated() {
		row := outdatedJSON{Kind: string(p.Kind()), ID: p.ID(), Applied: uint64(p.Applied())}
		if p.Cause() != nil {
			row.Error = p.Cause().Error()
		}
		j.Outdated = append(j.Outdated, row)
	}
	return j
}

// printCoverage prints where a change is in force and which processes have not applied it yet.
func (e environment) printCoverage(c *coverageJSON) {
	if c == nil {
		return
	}
	if c.Complete {
		e.printf("in force everywhere: %s and %s\n", countText(c.Balancers, "balancer"), countText(c.Agents, "agent"))
		return
	}
	if c.Error != "" {
		e.printf("it is not known where the change is in force: %s\n", c.Error)
		return
	}
	e.printf("in force at %s and %s, not yet at:\n", countText(c.Balancers, "balancer"), countText(c.Agents, "agent"))
	rows := [][]string{{"  KIND", "ID", "APPLIED", "ERROR"}}
	for _, p := range c.Outdated {
		rows = append(rows, []string{"  " + p.Kind, p.ID, revisionCell(store.Revision(p.Applied)), cell(p.Error)})
	}
	e.printTable(rows)
}

// countText returns a number with its noun in the singular or plural.
func countText(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}

// changeExitCode returns the exit code for the outcome of a change; an accepted change that is not yet everywhere is a failure.
func changeExitCode(o operator.Outcome, c *coverageJSON) int {
	switch o {
	case operator.Accepted, operator.Unchanged:
		if c != nil && !c.Complete {
			return ExitFailure
		}
		return ExitSuccess
	case operator.Conflict:
		return ExitConflict
	case operator.Unknown:
		return ExitUnknown
	case operator.Refused:
		return ExitUnconfirmed
	case operator.Invalid:
		return ExitBadInput
	default:
		return ExitFailure
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
