package cmd

import (
	"context"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/contract"
)

// contractHistory implements "contract history".
type contractHistory struct {
	operatorOptions
	service string
}

func (c *contractHistory) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("history")
	sc.Description = "lists the revisions of a contract, newest first, with what each changed"
	sc.AddPositionalValue(&c.service, "SERVICE", 1, true, "customer service")
	c.operatorOptions.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast contract history orders
  bramleymast contract history orders --output json`
	return sc
}

type revisionJSON struct {
	Revision    uint64       `json:"revision"`
	Author      string       `json:"author"`
	Time        string       `json:"time"`
	OperationID string       `json:"operation_id"`
	Changes     []changeJSON `json:"changes"`
}

type historyJSON struct {
	Service   string         `json:"service"`
	Revisions []revisionJSON `json:"revisions"`
}

func (c *contractHistory) run(ctx context.Context, e environment) int {
	s, code := c.readStoredContract(ctx, e, c.service, (*operator.Operator).ContractHistory)
	if code != ExitSuccess {
		return code
	}
	revisions := s.Revisions()
	j := historyJSON{Service: c.service, Revisions: []revisionJSON{}}
	rows := [][]string{{revisionHeader, "TIME", authorHeader, "OPERATION", "CHANGE"}}
	for i, r := range revisions {
		changes := changesAt(revisions, i)
		j.Revisions = append(j.Revisions, revisionJSON{
			uint64(r.Revision), r.Author, timeText(r.Time), r.OperationID, newChangesJSON(changes),
		})
		text := []string{"first known contract"}
		if i < len(revisions)-1 {
			text = nil
			for _, change := range changes {
				text = append(text, change.String())
			}
		}
		rows = append(rows, historyRows(r, text)...)
	}
	if c.isJSON() {
		e.printJSON(j)
		return ExitSuccess
	}
	e.printTable(rows)
	return ExitSuccess
}

// changesAt returns what the revision at index i changed, or nothing for the last index, whose predecessor is not known.
func changesAt(revisions []configvalue.Revision, i int) []contract.Change {
	if i == len(revisions)-1 {
		return nil
	}
	return contract.Diff(revisions[i+1].Contract, revisions[i].Contract)
}

// historyRows returns one table row for each change of a revision, and one row if there is none.
func historyRows(r configvalue.Revision, changes []string) [][]string {
	rows := [][]string{{strconv.FormatUint(uint64(r.Revision), 10), timeText(r.Time), r.Author, r.OperationID, ""}}
	for i, text := range changes {
		if i > 0 {
			rows = append(rows, []string{"", "", "", "", ""})
		}
		rows[i][4] = text
	}
	return rows
}
