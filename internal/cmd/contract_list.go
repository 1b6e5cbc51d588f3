package cmd

import (
	"context"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/pkg/finding"
)

// contractList implements "contract list".
type contractList struct {
	operatorOptions
}

func (c *contractList) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("list")
	sc.Description = "lists the services that have a contract"
	c.operatorOptions.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast contract list
  bramleymast contract list --output json`
	return sc
}

type listedContractJSON struct {
	Service     string   `json:"service"`
	Revision    uint64   `json:"revision"`
	Addresses   []string `json:"addresses"`
	Zones       []string `json:"zones"`
	Author      string   `json:"author"`
	Time        string   `json:"time"`
	OperationID string   `json:"operation_id"`
}

type contractListJSON struct {
	Contracts []listedContractJSON `json:"contracts"`
}

func (c *contractList) run(ctx context.Context, e environment) int {
	var l finding.List
	c.check(&l)
	if e.printFindings(l) {
		return ExitBadInput
	}
	op, ok := c.newOperator(e, false)
	if !ok {
		return ExitBadInput
	}
	all, err := op.Contracts(ctx)
	if err != nil {
		e.printError(err)
		return ExitFailure
	}
	j := contractListJSON{Contracts: []listedContractJSON{}}
	rows := [][]string{{serviceHeader, revisionHeader, "ADDRESSES", "ZONES", authorHeader, "TIME"}}
	for _, s := range all {
		v := s.Value()
		row := listedContractJSON{
			Service: s.Contract().Service(), Revision: uint64(s.Revision()), Zones: s.Contract().Zones(),
			Author: v.Author, Time: timeText(v.Time), OperationID: v.OperationID,
		}
		for _, a := range s.Contract().Addresses() {
			row.Addresses = append(row.Addresses, a.String())
		}
		j.Contracts = append(j.Contracts, row)
		rows = append(rows, []string{
			row.Service, strconv.FormatUint(row.Revision, 10), strings.Join(row.Addresses, ","),
			strings.Join(row.Zones, ","), row.Author, row.Time,
		})
	}
	if c.isJSON() {
		e.printJSON(j)
		return ExitSuccess
	}
	e.printTable(rows)
	return ExitSuccess
}
