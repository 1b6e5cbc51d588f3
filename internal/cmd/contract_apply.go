package cmd

import (
	"context"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/finding"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// contractApply implements "contract apply".
type contractApply struct {
	changeOptions
	file string
	base string
}

func (c *contractApply) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("apply")
	sc.Description = "replaces the contract of a service, if the store still has the one from which the file was made"
	sc.AddPositionalValue(&c.file, "FILE", 1, true, "contract file, bare or as \"contract show --output json\" prints it")
	sc.String(&c.base, "b", "base", "revision from which a bare file was made; 0 for a new service")
	c.changeOptions.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast contract apply orders.json --base 0 --wait
  bramleymast contract show orders --output json > orders.json
  bramleymast contract apply orders.json --dry-run
  bramleymast contract apply orders.json --wait

Exit codes: 0 accepted, 1 not accepted or not yet everywhere, 2 bad input, 3 conflict, 4 outcome unknown, 5 refused without --confirm.`
	return sc
}

type applyJSON struct {
	Outcome     string        `json:"verdict"`
	DryRun      bool          `json:"dry_run"`
	Service     string        `json:"service"`
	OperationID string        `json:"operation_id"`
	Base        uint64        `json:"base"`
	Revision    uint64        `json:"revision"`
	Error       string        `json:"error,omitempty"`
	Ours        []changeJSON  `json:"our_changes"`
	Theirs      []changeJSON  `json:"their_changes"`
	Winner      *winnerJSON   `json:"winner,omitempty"`
	Losses      []lossJSON    `json:"losses,omitempty"`
	Coverage    *coverageJSON `json:"coverage,omitempty"`
}

type winnerJSON struct {
	Revision    uint64 `json:"revision"`
	Author      string `json:"author"`
	Time        string `json:"time"`
	OperationID string `json:"operation_id"`
}

func (c *contractApply) run(ctx context.Context, e environment) int {
	var l finding.List
	c.check(&l)
	f, err := readContractFile(c.file)
	if err != nil {
		e.printFindings(l)
		e.printError(err)
		return ExitBadInput
	}
	base := c.baseRevision(f, &l)
	if e.printFindings(l) {
		return ExitBadInput
	}
	op, ok := c.newOperator(e, c.dryRun)
	if !ok {
		return ExitBadInput
	}
	res := op.Apply(ctx, f.contract, base, c.confirm)
	var coverage *coverageJSON
	if res.Outcome() == operator.Accepted || res.Outcome() == operator.Unchanged {
		coverage = c.waitForCoverage(ctx, op, configvalue.ContractKey(res.Service()), res.Revision())
	}
	if c.isJSON() {
		e.printJSON(c.newApplyJSON(res, coverage))
	} else {
		c.report(e, res)
		e.printCoverage(coverage)
	}
	return changeExitCode(res.Outcome(), coverage)
}

// baseRevision returns the revision on which the file is based, taken from --base or else from the file.
func (c *contractApply) baseRevision(f contractFile, l *finding.List) store.Revision {
	if c.base == "" {
		if !f.hasBase {
			l.Addf("--base", "the revision that \"contract show\" prints, 0 for a new service", "is missing, and the file names no revision")
		}
		return f.base
	}
	n, err := strconv.ParseUint(c.base, 10, 64)
	if err != nil {
		l.Addf("--base", "a revision, 0 for a new service", "is %q", c.base)
	}
	if err == nil && f.hasBase && f.base != store.Revision(n) {
		l.Addf("--base", "the revision in the file, or a file without one", "is %d, but the file was made from %d", n, f.base)
	}
	return store.Revision(n)
}

func (c *contractApply) newApplyJSON(res operator.ApplyResult, coverage *coverageJSON) applyJSON {
	j := applyJSON{
		Outcome: res.Outcome().String(), DryRun: c.dryRun, Service: res.Service(), OperationID: res.OperationID(),
		Base: uint64(res.Base()), Revision: uint64(res.Revision()), Error: errorText(res.Cause()),
		Ours: newChangesJSON(res.Ours()), Theirs: newChangesJSON(res.Theirs()), Losses: newLossesJSON(res.Losses()), Coverage: coverage,
	}
	if w := res.Winner(); w.Revision != 0 {
		j.Winner = &winnerJSON{uint64(w.Revision), w.Author, timeText(w.Time), w.OperationID}
	}
	return j
}

func (c *contractApply) report(e environment, res operator.ApplyResult) {
	switch res.Outcome() {
	case operator.Accepted:
		if c.dryRun {
			e.printf("dry run: the contract of %s would be accepted, nothing was written\n", res.Service())
		} else {
			e.printf("accepted: the contract of %s is at revision %d, operation %s\n", res.Service(), res.Revision(), res.OperationID())
		}
		e.printChanges(res.Ours())
	case operator.Unchanged:
		e.printf("unchanged: the contract of %s already says so at revision %d\n", res.Service(), res.Revision())
	case operator.Conflict:
		reportConflict(e, res)
	case operator.Unknown:
		e.printf("outcome unknown: %v\n", res.Cause())
		e.printf("run \"bramleymast contract history %s\" to learn it: the change is in force if operation %s is listed\n", res.Service(), res.OperationID())
	case operator.Refused:
		e.printf("refused, nothing changed: the change needs --confirm, because\n")
		e.printLosses(res.Losses())
	default:
		e.printf("not accepted, nothing changed: %v\n", res.Cause())
	}
}

func reportConflict(e environment, res operator.ApplyResult) {
	w := res.Winner()
	if w.Revision == 0 {
		e.printf("conflict, nothing changed: the contract of %s is not at revision %d\n", res.Service(), res.Base())
		if res.Cause() != nil {
			e.printf("the other change cannot be read: %v\n", res.Cause())
		}
		return
	}
	e.printf("conflict, nothing changed: the contract of %s is at revision %d by %s at %s, not at %d\n",
		res.Service(), w.Revision, w.Author, timeText(w.Time), res.Base())
	switch {
	case res.BaseKnown():
		e.printf("changed since revision %d by others:\n", res.Base())
		e.printChanges(res.Theirs())
		e.printf("changed since revision %d by your file:\n", res.Base())
	case res.Cause() != nil:
		e.printf("revision %d cannot be read: %v; your file differs from revision %d by:\n", res.Base(), res.Cause(), w.Revision)
	default:
		e.printf("revision %d is not in the history; your file differs from revision %d by:\n", res.Base(), w.Revision)
	}
	e.printChanges(res.Ours())
	e.printf("make your change again in the output of \"bramleymast contract show %s --output json\"\n", res.Service())
}
