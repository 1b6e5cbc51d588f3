package cmd

import (
	"context"
	"fmt"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/finding"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// contractDiff implements "contract diff".
type contractDiff struct {
	operatorOptions
	service string
	from    string
	to      string
	file    string
}

func (c *contractDiff) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("diff")
	sc.Description = "shows the fields in which two revisions of a contract, or a revision and a file, differ"
	sc.AddPositionalValue(&c.service, "SERVICE", 1, true, "customer service")
	sc.String(&c.from, "", "from", "older revision; the one before the newest, or the newest with --file")
	sc.String(&c.to, "", "to", "newer revision; the newest")
	sc.String(&c.file, "f", "file", "contract file to compare with instead of --to")
	c.operatorOptions.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast contract diff orders
  bramleymast contract diff orders --from 12 --to 15
  bramleymast contract diff orders --file orders.json`
	return sc
}

type diffJSON struct {
	Service string       `json:"service"`
	From    string       `json:"from"`
	To      string       `json:"to"`
	Changes []changeJSON `json:"changes"`
}

// comparedContract is one of the two contracts in a comparison, with the name under which it is printed.
type comparedContract struct {
	name     string
	contract contract.Contract
}

func (c *contractDiff) run(ctx context.Context, e environment) int {
	var file contractFile
	if c.file != "" {
		f, err := readContractFile(c.file)
		if err != nil {
			e.printError(err)
			return ExitBadInput
		}
		file = f
	}
	s, code := c.readStoredContract(ctx, e, c.service, (*operator.Operator).ContractHistory)
	if code != ExitSuccess {
		return code
	}
	var l finding.List
	from, to := c.comparedContracts(s, file, &l)
	if e.printFindings(l) {
		return ExitBadInput
	}
	changes := contract.Diff(from.contract, to.contract)
	if c.isJSON() {
		e.printJSON(diffJSON{c.service, from.name, to.name, newChangesJSON(changes)})
		return ExitSuccess
	}
	e.printf("from %s to %s:\n", from.name, to.name)
	e.printChanges(changes)
	return ExitSuccess
}

func (c *contractDiff) comparedContracts(s operator.StoredContract, file contractFile, l *finding.List) (from, to comparedContract) {
	revisions := s.Revisions()
	newest, before := revisions[0].Revision, revisions[min(1, len(revisions)-1)].Revision
	if c.file != "" {
		if c.to != "" {
			l.Addf("--to", "--to or --file", "is given together with --file")
		}
		return contractAt(s, "--from", c.from, newest, l), comparedContract{c.file, file.contract}
	}
	return contractAt(s, "--from", c.from, before, l), contractAt(s, "--to", c.to, newest, l)
}

// contractAt returns the contract at the revision that a flag names, or at the fallback revision if the flag is empty.
// It adds a finding if the text is not a revision or the history does not have that revision.
func contractAt(s operator.StoredContract, flag, text string, fallback store.Revision, l *finding.List) comparedContract {
	revision := fallback
	if text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || n == 0 {
			l.Addf(flag, "a revision", "is %q", text)
			return comparedContract{}
		}
		revision = store.Revision(n)
	}
	found, ok := s.At(revision)
	if !ok {
		l.Addf(flag, "a revision of \"bramleymast contract history\"", "%d is not in the history", revision)
	}
	return comparedContract{fmt.Sprintf("revision %d", revision), found}
}
