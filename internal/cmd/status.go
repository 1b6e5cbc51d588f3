package cmd

import (
	"context"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// statusCommand implements "bramleymast status".
type statusCommand struct {
	operatorOptions
	counters bool
	process  string
}

func (c *statusCommand) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("status")
	sc.Description = "shows services, availability zones, balancers and agents"
	sc.Bool(&c.counters, "c", "counters", "show the counters with a reason, summed over the balancers and agents")
	sc.String(&c.process, "p", "process", "id of the only process whose counters are shown")
	c.operatorOptions.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast status
  bramleymast status --output json
  bramleymast status --counters
  bramleymast status --counters --process orders-a1

Exit codes: 0 everything was read, 1 the store or a process did not answer; what is known is shown.`
	return sc
}

type serviceStatusJSON struct {
	Service      string   `json:"service"`
	Revision     uint64   `json:"revision"`
	Zones        []string `json:"zones"`
	Backends     []string `json:"backends_in_service"`
	MinInService int      `json:"min_backends_in_service"`
	Short        bool     `json:"short"`
}

type processJSON struct {
	Kind      string `json:"kind"`
	ID        string `json:"id"`
	Zone      string `json:"zone"`
	Service   string `json:"service"`
	State     string `json:"state"`
	InService bool   `json:"in_service"`
}

// appliedRecordJSON is a contract or an availability state that a balancer has applied; it is printed when the store cannot be read.
type appliedRecordJSON struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Out      bool   `json:"out"`
	Author   string `json:"author"`
	Reason   string `json:"reason"`
}

type statusJSON struct {
	Services       []serviceStatusJSON `json:"services"`
	Zones          []stateJSON         `json:"zones"`
	Processes      []processJSON       `json:"processes"`
	AppliedRecords []appliedRecordJSON `json:"known_to_balancer,omitempty"`
	StoreError     string              `json:"store_error,omitempty"`
	StatusError    string              `json:"status_error,omitempty"`
}

func (c *statusCommand) run(ctx context.Context, e environment) int {
	var l finding.List
	c.check(&l)
	if c.process != "" && !c.counters {
		l.Addf("--process", "--process with --counters", "is given without --counters")
	}
	if e.printFindings(l) {
		return ExitBadInput
	}
	op, ok := c.newOperator(e, false)
	if !ok {
		return ExitBadInput
	}
	if c.counters {
		return c.runCounters(ctx, e, op)
	}
	v := op.Overview(ctx)
	if c.isJSON() {
		e.printJSON(newStatusJSON(v))
	} else {
		e.printOverview(v)
	}
	code := ExitSuccess
	for _, err := range []error{v.StoreErr(), v.StatusErr()} {
		if err != nil {
			e.printError(err)
			code = ExitFailure
		}
	}
	return code
}

func newStatusJSON(v operator.Overview) statusJSON {
	j := statusJSON{
		Services: []serviceStatusJSON{}, Zones: []stateJSON{}, Processes: []processJSON{},
		StoreError: errorText(v.StoreErr()), StatusError: errorText(v.StatusErr()),
	}
	for _, s := range v.Services() {
		j.Services = append(j.Services, serviceStatusJSON{
			s.Contract().Service(), uint64(s.Revision()), nonNil(s.Zones()), nonNil(s.Backends()), s.Contract().MinInService(),
			v.StatusErr() == nil && s.BelowMinimum(),
		})
	}
	for _, z := range v.Zones() {
		j.Zones = append(j.Zones, newStateJSON(z))
	}
	for _, p := range v.Processes() {
		j.Processes = append(j.Processes, processJSON{string(p.Kind), p.ID, p.Zone, p.Service, p.State, p.InService})
	}
	for _, r := range v.AppliedRecords() {
		j.AppliedRecords = append(j.AppliedRecords, appliedRecordJSON{r.Kind, r.Name, uint64(r.Revision), r.Out, r.Author, r.Reason})
	}
	return j
}

func nonNil(s []string) []string {
	if s == nil {
		return []string{}
	}
	return s
}

func (e environment) printOverview(v operator.Overview) {
	if v.StoreErr() == nil {
		e.printServices(v)
		e.printf("\n")
		e.printTable(zoneRows(v.Zones()))
	} else if v.StatusErr() == nil {
		e.printAppliedRecords(v.AppliedRecords())
	}
	if v.StatusErr() != nil {
		return
	}
	e.printf("\n")
	rows := [][]string{{"PROCESS", "ID", "ZONE", serviceHeader, stateHeader}}
	for _, p := range v.Processes() {
		rows = append(rows, []string{string(p.Kind), p.ID, p.Zone, cell(p.Service), p.State})
	}
	e.printTable(rows)
}

// printAppliedRecords prints the records that a balancer has applied, which are shown when the store cannot be read.
func (e environment) printAppliedRecords(records []operator.AppliedRecord) {
	e.printf("The store cannot be read. A balancer has applied:\n")
	rows := make([][]string, 0, len(records)+1)
	rows = append(rows, []string{"KIND", "NAME", revisionHeader, stateHeader, authorHeader, reasonHeader})
	for _, r := range records {
		state := emptyCell
		if r.Kind != "contract" {
			state = stateText(r.Out)
		}
		rows = append(rows, []string{r.Kind, r.Name, revisionCell(r.Revision), state, cell(r.Author), cell(r.Reason)})
	}
	e.printTable(rows)
}

func (e environment) printServices(v operator.Overview) {
	rows := make([][]string, 0, len(v.Services())+1)
	rows = append(rows, []string{serviceHeader, revisionHeader, "RUNS IN", "BACKENDS", "LEAST", "NOTE"})
	for _, s := range v.Services() {
		backends, note := strconv.Itoa(len(s.Backends())), ""
		switch {
		case v.StatusErr() != nil:
			backends = "?"
		case len(s.Zones()) == 0:
			note = "runs nowhere"
		case s.BelowMinimum():
			note = "too few backend servers"
		}
		rows = append(rows, []string{
			s.Contract().Service(), revisionCell(s.Revision()), cell(strings.Join(s.Zones(), ",")),
			backends, strconv.Itoa(s.Contract().MinInService()), cell(note),
		})
	}
	e.printTable(rows)
}
