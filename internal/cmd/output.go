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

// printf writes one piece of output.
func (e environment) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.out, format, args...)
}

// json writes a value in JSON.
func (e environment) json(v any) {
	enc := json.NewEncoder(e.out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// table writes rows in columns, the first row being the header.
func (e environment) table(rows [][]string) {
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

// Headers that several tables have.
const (
	authorHeader   = "AUTHOR"
	serviceHeader  = "SERVICE"
	revisionHeader = "REVISION"
	stateHeader    = "STATE"
	reasonHeader   = "REASON"
)

// none stands for an empty cell.
const none = "-"

func cell(s string) string {
	if s == "" {
		return none
	}
	return s
}

func revisionCell(r store.Revision) string {
	if r == 0 {
		return none
	}
	return strconv.FormatUint(uint64(r), 10)
}

func timeText(t time.Time) string { return t.UTC().Format(time.RFC3339) }

type changeJSON struct {
	Path   string `json:"path"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func changesJSON(changes []contract.Change) []changeJSON {
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

func lossesJSON(losses []operator.Loss) []lossJSON {
	all := make([]lossJSON, 0, len(losses))
	for _, l := range losses {
		all = append(all, lossJSON{l.Service(), l.Message()})
	}
	return all
}

func (e environment) losses(losses []operator.Loss) {
	for _, l := range losses {
		e.printf("  %s %s\n", l.Service(), l.Message())
	}
}

func (e environment) changes(changes []contract.Change) {
	if len(changes) == 0 {
		e.printf("  nothing\n")
	}
	for _, c := range changes {
		e.printf("  %s\n", c)
	}
}

type behindJSON struct {
	Kind    string `json:"kind"`
	ID      string `json:"id"`
	Applied uint64 `json:"applied_revision"`
	Error   string `json:"error,omitempty"`
}

type coverageJSON struct {
	Complete  bool         `json:"complete"`
	Balancers int          `json:"balancers"`
	Agents    int          `json:"agents"`
	TookMS    int64        `json:"took_ms"`
	Behind    []behindJSON `json:"behind"`
	Error     string       `json:"error,omitempty"`
}

func newCoverage(c operator.Coverage, err error) *coverageJSON {
	j := &coverageJSON{
		Complete: err == nil && c.Complete(), Balancers: c.Balancers(), Agents: c.Agents(),
		TookMS: c.Elapsed().Milliseconds(), Behind: []behindJSON{},
	}
	if err != nil {
		j.Error = err.Error()
	}
	for _, b := range c.Outdated() {
		row := behindJSON{Kind: string(b.Kind()), ID: b.ID(), Applied: uint64(b.Applied())}
		if b.Cause() != nil {
			row.Error = b.Cause().Error()
		}
		j.Behind = append(j.Behind, row)
	}
	return j
}

// coverage writes how far a change has come.
func (e environment) coverage(c *coverageJSON) {
	if c == nil {
		return
	}
	if c.Complete {
		e.printf("in force everywhere: %s and %s\n", count(c.Balancers, "balancer"), count(c.Agents, "agent"))
		return
	}
	if c.Error != "" {
		e.printf("it is not known where the change is in force: %s\n", c.Error)
		return
	}
	e.printf("in force at %s and %s, not yet at:\n", count(c.Balancers, "balancer"), count(c.Agents, "agent"))
	rows := [][]string{{"  KIND", "ID", "APPLIED", "ERROR"}}
	for _, b := range c.Behind {
		rows = append(rows, []string{"  " + b.Kind, b.ID, revisionCell(store.Revision(b.Applied)), cell(b.Error)})
	}
	e.table(rows)
}

// count returns a number with its noun.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}

// changeExit returns the exit code of a change.
func changeExit(v operator.Outcome, c *coverageJSON) int {
	switch v {
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
