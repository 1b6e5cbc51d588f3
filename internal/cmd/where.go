package cmd

import (
	"context"
	"net/netip"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/forecast"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// whereCommand implements "bramleymast where".
type whereCommand struct {
	outputOption
	question forecast.Question
	balancer string
}

func (c *whereCommand) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("where")
	sc.Description = "explains where a new flow would go now, without sending it"
	sc.AddPositionalValue(&c.question.Address, "address", 1, true, "service address and port")
	sc.String(&c.balancer, "b", "balancer", "address and port at which a balancer serves its metrics (required)")
	sc.String(&c.question.From, "f", "from", "caller's address, with its port for a known flow")
	sc.String(&c.question.Zone, "z", "zone", "zone from which the flow is sent, instead of the balancer's")
	c.outputOption.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast where 198.18.0.1:443 --balancer 10.1.0.10:8167
  bramleymast where 198.18.0.1:443 --balancer 10.1.0.10:8167 --from 100.64.0.7:40001
  bramleymast where 198.18.0.1:443 --balancer 10.1.0.10:8167 --zone zone-b --output json

Exit codes: 0 it was explained, also if the flow would be refused, 1 the balancer did not answer or has no
configuration yet, 2 bad input or no route.`
	return sc
}

func (c *whereCommand) run(ctx context.Context, e environment) int {
	var l finding.List
	c.check(&l)
	balancer, err := netip.ParseAddrPort(c.balancer)
	if err != nil {
		l.Addf("--balancer", "an address with a port", "is %q", c.balancer)
	}
	if e.printFindings(l) {
		return ExitBadInput
	}
	answer, err := forecast.Ask(ctx, balancer, c.question)
	switch {
	case errors.Is(err, forecast.ErrBadQuestion):
		e.printError(err)
		return ExitBadInput
	case err != nil:
		e.printError(err)
		return ExitFailure
	case c.isJSON():
		e.printJSON(answer)
	default:
		if err := answer.Write(e.out); err != nil {
			e.printError(err)
			return ExitFailure
		}
	}
	return ExitSuccess
}
