package cmd

import (
	"context"
	"errors"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/pkg/finding"
)

// contractCheck implements "contract check".
type contractCheck struct {
	outputOption
	file string
}

func (c *contractCheck) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("check")
	sc.Description = "checks a contract file as a whole without reading the store"
	sc.AddPositionalValue(&c.file, "FILE", 1, true, "contract file")
	c.outputOption.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast contract check orders.json
  bramleymast contract check orders.json --output json`
	return sc
}

type findingJSON struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Path    string `json:"path"`
	Message string `json:"message"`
	Allowed string `json:"allowed"`
}

type checkJSON struct {
	Valid    bool          `json:"valid"`
	Findings []findingJSON `json:"findings"`
}

func (c *contractCheck) run(_ context.Context, e environment) int {
	var l finding.List
	c.check(&l)
	if e.printFindings(l) {
		return ExitBadInput
	}
	f, err := readContractFile(c.file)
	return e.printCheckResult(c.isJSON(), err, c.file+": the contract of "+f.contract.Service()+" is valid")
}

// printCheckResult prints the result of checking a file and returns the exit code.
func (e environment) printCheckResult(asJSON bool, err error, valid string) int {
	var found *finding.Error
	isFindings := errors.As(err, &found)
	switch {
	case asJSON && (err == nil || isFindings):
		j := checkJSON{Valid: err == nil, Findings: []findingJSON{}}
		if isFindings {
			for _, f := range found.Findings() {
				j.Findings = append(j.Findings, findingJSON{f.File(), f.Line(), f.Path(), f.Message(), f.Allowed()})
			}
		}
		e.printJSON(j)
	case err != nil:
		e.printError(err)
	default:
		e.printf("%s\n", valid)
	}
	if err != nil {
		return ExitBadInput
	}
	return ExitSuccess
}
