package cmd

import (
	"context"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// availabilityTarget describes what an availability command takes out of service or brings back: zones or backend servers.
type availabilityTarget struct {
	noun     string
	argument string
	title    string
	target   func(name string) operator.Target
}

var (
	zoneTarget    = availabilityTarget{"zone", "ZONE", "an availability zone", operator.Zone}
	backendTarget = availabilityTarget{"backend", "BACKEND", "a backend server", operator.Backend}
)

// availabilityCommand implements "zone out", "zone in", "backend out" and "backend in".
type availabilityCommand struct {
	changeOptions
	kind   availabilityTarget
	out    bool
	name   string
	reason string
}

func (c *availabilityCommand) direction() string {
	if c.out {
		return "out"
	}
	return "in"
}

func (c *availabilityCommand) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand(c.direction())
	sc.Description = "brings " + c.kind.title + " back into service"
	example := strings.ToLower(c.kind.argument) + "-a"
	extra := " --wait"
	if c.out {
		sc.Description = "takes " + c.kind.title + " out of service"
		extra = " --reason \"power work\" --wait"
	}
	sc.AddPositionalValue(&c.name, c.kind.argument, 1, true, "name of "+c.kind.title)
	sc.String(&c.reason, "r", "reason", "why, for the operators who read it later")
	c.changeOptions.declare(sc)
	sc.AdditionalHelpAppend = "\nExamples:\n  bramleymast " + c.kind.noun + " " + c.direction() + " " + example + extra +
		"\n  bramleymast " + c.kind.noun + " " + c.direction() + " " + example + ` --dry-run

Exit codes: 0 accepted, 1 not accepted or not yet everywhere, 2 bad input, 3 conflict, 4 outcome unknown, 5 refused without --confirm.`
	return sc
}

type availabilityJSON struct {
	Outcome     string        `json:"verdict"`
	DryRun      bool          `json:"dry_run"`
	Target      string        `json:"target"`
	Name        string        `json:"name"`
	Out         bool          `json:"out"`
	OperationID string        `json:"operation_id"`
	Revision    uint64        `json:"revision"`
	Error       string        `json:"error,omitempty"`
	Current     stateJSON     `json:"state"`
	Losses      []lossJSON    `json:"losses,omitempty"`
	Concurrent  []lossJSON    `json:"concurrent_losses,omitempty"`
	Coverage    *coverageJSON `json:"coverage,omitempty"`
}

func (c *availabilityCommand) run(ctx context.Context, e environment) int {
	var l finding.List
	c.check(&l)
	if e.printFindings(l) {
		return ExitBadInput
	}
	op, ok := c.newOperator(e, c.dryRun)
	if !ok {
		return ExitBadInput
	}
	res := op.SetAvailability(ctx, operator.Request{
		Target: c.kind.target(c.name), Out: c.out, Reason: c.reason, Confirmed: c.confirm,
	})
	if res.Outcome() == operator.Invalid {
		e.printError(res.Cause())
		return ExitBadInput
	}
	var coverage *coverageJSON
	if res.Outcome() == operator.Accepted || res.Outcome() == operator.Unchanged {
		coverage = c.waitForCoverage(ctx, op, res.Request().Target.Key(), res.Revision())
	}
	if c.isJSON() {
		e.printJSON(availabilityJSON{
			Outcome: res.Outcome().String(), DryRun: c.dryRun, Target: c.kind.noun, Name: c.name, Out: c.out,
			OperationID: res.OperationID(), Revision: uint64(res.Revision()), Error: errorText(res.Cause()),
			Current: newStateJSON(res.Current()), Losses: newLossesJSON(res.Losses()), Concurrent: newLossesJSON(res.ConcurrentLosses()), Coverage: coverage,
		})
	} else {
		c.report(e, res)
		e.printCoverage(coverage)
	}
	if len(res.ConcurrentLosses()) > 0 {
		return ExitConflict
	}
	return changeExitCode(res.Outcome(), coverage)
}

func (c *availabilityCommand) report(e environment, res operator.AvailabilityResult) {
	what := c.kind.noun + " " + c.name
	current := res.Current()
	switch res.Outcome() {
	case operator.Accepted:
		if c.dryRun {
			e.printf("dry run: %s would be %s, nothing was written\n", what, c.direction())
		} else {
			e.printf("accepted: %s is %s at revision %d, operation %s\n", what, c.direction(), res.Revision(), res.OperationID())
		}
		if len(res.ConcurrentLosses()) > 0 {
			e.printf("another operator made a change at the same time; with both changes\n")
			e.printLosses(res.ConcurrentLosses())
			e.printf("run \"bramleymast status\", and bring one of them back if that is not intended\n")
		}
	case operator.Unchanged:
		e.printf("unchanged: %s is already %s%s\n", what, c.direction(), authorText(current))
	case operator.Conflict:
		e.printf("conflict: %s is %s%s\n", what, stateText(current.Out()), authorText(current))
		if res.MayHaveApplied() {
			e.printf("your change may have been in force before that\n")
		}
		e.printf("run the command again to set it to %s\n", c.direction())
	case operator.Unknown:
		e.printf("outcome unknown: %v\n", res.Cause())
		e.printf("run \"bramleymast %s list\" to learn it: the change is in force if operation %s is listed\n", c.kind.noun, res.OperationID())
	case operator.Refused:
		e.printf("refused, nothing changed: the change needs --confirm, because\n")
		e.printLosses(res.Losses())
	default:
		e.printf("not accepted, nothing changed: %v\n", res.Cause())
	}
}

func stateText(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// authorText returns the author and the reason of a state, as far as they are recorded.
func authorText(s operator.State) string {
	text := ""
	if s.Author() != "" {
		text += ", set by " + s.Author()
	}
	if s.Reason() != "" {
		text += " (" + s.Reason() + ")"
	}
	return text
}

type stateJSON struct {
	Name        string `json:"name"`
	Out         bool   `json:"out"`
	Revision    uint64 `json:"revision"`
	Author      string `json:"author"`
	Reason      string `json:"reason"`
	OperationID string `json:"operation_id"`
}

func newStateJSON(s operator.State) stateJSON {
	return stateJSON{s.Name(), s.Out(), uint64(s.Revision()), s.Author(), s.Reason(), s.OperationID()}
}
