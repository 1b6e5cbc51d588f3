package cmd

import (
	"context"
	"errors"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/pkg/finding"
)

// contractCheck is "contract check".
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
	if e.badInput(l) {
		return ExitBadInput
	}
	f, err := readContract(c.file)
	return e.checked(c.json(), err, c.file+": the contract of "+f.contract.Service()+" is valid")
}

// checked reports the outcome of checking a file.
func (e environment) checked(asJSON bool, err error, valid string) int {
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
		e.json(j)
	case err != nil:
		e.fail(err)
	default:
		e.printf("%s\n", valid)
	}
	if err != nil {
		return ExitBadInput
	}
	return ExitSuccess
}
