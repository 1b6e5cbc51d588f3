package cmd

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// zoneList implements "zone list".
type zoneList struct {
	operatorOptions
}

func (c *zoneList) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("list")
	sc.Description = "lists the availability zones that a contract or a process names"
	c.operatorOptions.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast zone list
  bramleymast zone list --output json`
	return sc
}

type zoneListJSON struct {
	Zones []stateJSON `json:"zones"`
}

func (c *zoneList) run(ctx context.Context, e environment) int {
	var l finding.List
	c.check(&l)
	if e.printFindings(l) {
		return ExitBadInput
	}
	op, ok := c.newOperator(e, false)
	if !ok {
		return ExitBadInput
	}
	zones, err := op.Zones(ctx)
	if err != nil {
		e.printError(err)
		return ExitFailure
	}
	j := zoneListJSON{Zones: []stateJSON{}}
	for _, z := range zones {
		j.Zones = append(j.Zones, newStateJSON(z))
	}
	if c.isJSON() {
		e.printJSON(j)
		return ExitSuccess
	}
	e.printTable(zoneRows(zones))
	return ExitSuccess
}

func zoneRows(zones []operator.State) [][]string {
	rows := make([][]string, 0, len(zones)+1)
	rows = append(rows, []string{"ZONE", stateHeader, revisionHeader, authorHeader, reasonHeader, "OPERATION"})
	for _, z := range zones {
		rows = append(rows, []string{
			z.Name(), stateText(z.Out()), revisionCell(z.Revision()), cell(z.Author()), cell(z.Reason()), cell(z.OperationID()),
		})
	}
	return rows
}

// backendList implements "backend list".
type backendList struct {
	operatorOptions
}

func (c *backendList) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("list")
	sc.Description = "lists the backend servers that run or that an operator has taken out"
	c.operatorOptions.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast backend list
  bramleymast backend list --output json`
	return sc
}

type backendJSON struct {
	stateJSON
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Process string `json:"process"`
}

type backendListJSON struct {
	Backends []backendJSON `json:"backends"`
	Error    string        `json:"error,omitempty"`
}

func (c *backendList) run(ctx context.Context, e environment) int {
	var l finding.List
	c.check(&l)
	if e.printFindings(l) {
		return ExitBadInput
	}
	op, ok := c.newOperator(e, false)
	if !ok {
		return ExitBadInput
	}
	backends, statusErr, err := op.Backends(ctx)
	if err != nil {
		e.printError(err)
		return ExitFailure
	}
	j := backendListJSON{Backends: []backendJSON{}, Error: errorText(statusErr)}
	rows := [][]string{{"BACKEND", serviceHeader, "ZONE", "PROCESS", stateHeader, revisionHeader, authorHeader, reasonHeader, "OPERATION"}}
	for _, b := range backends {
		p, seen := b.Process()
		if !seen {
			p.State = "not seen"
		}
		j.Backends = append(j.Backends, backendJSON{newStateJSON(b.State), p.Service, p.Zone, p.State})
		rows = append(rows, []string{
			b.Name(), cell(p.Service), cell(p.Zone), p.State, stateText(b.Out()),
			revisionCell(b.Revision()), cell(b.Author()), cell(b.Reason()), cell(b.OperationID()),
		})
	}
	code := ExitSuccess
	if statusErr != nil {
		e.printError(statusErr)
		code = ExitFailure
	}
	if c.isJSON() {
		e.printJSON(j)
		return code
	}
	e.printTable(rows)
	return code
}
