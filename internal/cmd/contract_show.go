package cmd

import (
	"context"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// contractShow implements "contract show".
type contractShow struct {
	operatorOptions
	service string
}

func (c *contractShow) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("show")
	sc.Description = "shows the contract of a service and its revision"
	sc.AddPositionalValue(&c.service, "SERVICE", 1, true, "customer service")
	c.operatorOptions.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast contract show orders
  bramleymast contract show orders --output json > orders.json`
	return sc
}

func (c *contractShow) run(ctx context.Context, e environment) int {
	s, code := c.readStoredContract(ctx, e, c.service, (*operator.Operator).Contract)
	if code != ExitSuccess {
		return code
	}
	if c.isJSON() {
		shown, err := newStoredContractJSON(s)
		if err != nil {
			e.printError(err)
			return ExitFailure
		}
		e.printJSON(shown)
		return ExitSuccess
	}
	v := s.Value()
	e.printTable([][]string{
		{"FIELD", "VALUE"},
		{"revision", strconv.FormatUint(uint64(s.Revision()), 10)},
		{"author", v.Author},
		{"time", timeText(v.Time)},
		{"operation", v.OperationID},
	})
	e.printf("\n")
	rows := [][]string{{"FIELD", "VALUE"}}
	for _, f := range contract.Diff(contract.Contract{}, s.Contract()) {
		rows = append(rows, []string{f.Path(), f.After()})
	}
	e.printTable(rows)
	return ExitSuccess
}

// contractReader reads the contract of a service, with or without its history.
type contractReader func(op *operator.Operator, ctx context.Context, service string) (operator.StoredContract, error)

// readStoredContract reads the contract of a service. If that fails, it prints the error and returns an exit code other than ExitSuccess.
func (o *operatorOptions) readStoredContract(ctx context.Context, e environment, service string, read contractReader) (operator.StoredContract, int) {
	var l finding.List
	o.check(&l)
	if e.printFindings(l) {
		return operator.StoredContract{}, ExitBadInput
	}
	op, ok := o.newOperator(e, false)
	if !ok {
		return operator.StoredContract{}, ExitBadInput
	}
	s, err := read(op, ctx, service)
	if err != nil {
		e.printError(err)
		return operator.StoredContract{}, ExitFailure
	}
	if s.Revision() == 0 {
		l.Addf("SERVICE", "a service of \"bramleymast contract list\"", "%q has no contract", service)
		e.printError(l.Err())
		return operator.StoredContract{}, ExitBadInput
	}
	return s, ExitSuccess
}
