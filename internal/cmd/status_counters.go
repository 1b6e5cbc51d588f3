package cmd

import (
	"context"
	"strconv"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

type counterJSON struct {
	Name   string  `json:"name"`
	Reason string  `json:"reason"`
	Value  float64 `json:"value"`
}

type unansweredJSON struct {
	Kind  string `json:"kind"`
	ID    string `json:"id"`
	Error string `json:"error"`
}

type countersJSON struct {
	Answered    int              `json:"answered"`
	Unanswered  []unansweredJSON `json:"unanswered"`
	Counters    []counterJSON    `json:"counters"`
	StatusError string           `json:"status_error,omitempty"`
}

// runCounters implements "status --counters".
func (c *statusCommand) runCounters(ctx context.Context, e environment, op *operator.Operator) int {
	sums, err := op.Counters(ctx, c.process)
	if _, unknown := errors.AsType[*finding.Error](err); unknown {
		e.printError(err)
		return ExitBadInput
	}
	switch {
	case c.isJSON():
		e.printJSON(newCountersJSON(sums, err))
	case err == nil:
		e.printCounters(sums)
	}
	if err != nil {
		e.printError(err)
	}
	if err != nil || len(sums.Failed()) > 0 {
		return ExitFailure
	}
	return ExitSuccess
}

func newCountersJSON(c operator.Counters, err error) countersJSON {
	j := countersJSON{
		Answered: c.Answered(), Unanswered: []unansweredJSON{}, Counters: []counterJSON{}, StatusError: errorText(err),
	}
	for _, u := range c.Failed() {
		j.Unanswered = append(j.Unanswered, unansweredJSON{string(u.Kind()), u.ID(), u.Cause().Error()})
	}
	for _, n := range c.Sums() {
		j.Counters = append(j.Counters, counterJSON(n))
	}
	return j
}

// printCounters prints the counters other than 0; a balancer has a counter for every reason to drop a packet, and most are 0.
func (e environment) printCounters(c operator.Counters) {
	rows := [][]string{{"COUNTER", reasonHeader, "VALUE"}}
	for _, n := range c.Sums() {
		if n.Value != 0 {
			rows = append(rows, []string{n.Name, n.Reason, strconv.FormatFloat(n.Value, 'f', -1, 64)})
		}
	}
	e.printTable(rows)
	e.printf("\nsum over %d of %d processes\n", c.Answered(), c.Answered()+len(c.Failed()))
	if len(c.Failed()) == 0 {
		return
	}
	e.printf("no answer from:\n")
	rows = [][]string{{"  KIND", "ID", "ERROR"}}
	for _, u := range c.Failed() {
		rows = append(rows, []string{"  " + string(u.Kind()), u.ID(), u.Cause().Error()})
	}
	e.printTable(rows)
}
