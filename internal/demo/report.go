package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/standin/backend"
	"github.com/bramleymast/bramleymast/internal/standin/caller"
)

// breakMargin is how much earlier than a fault's cause a caller's clock reading may lie.
const breakMargin = 50 * time.Millisecond

// zoneGrace is until when after its zone was taken out a flow may end with it.
const zoneGrace = 15 * time.Second

// Figures are what was counted at the callers and the sample backend servers.
type Figures struct {
	Requests       int `json:"requests"`
	Answered       int `json:"answered"`
	RefusedNotRun  int `json:"refused_not_run"`
	UnknownOutcome int `json:"unknown_outcome"`
	// Lost counts writes that were answered and never executed, and answers with wrong or missing bytes.
	Lost int `json:"lost"`
	// Doubled counts writes that were executed more than once.
	Doubled            int `json:"doubled"`
	FlowsBrokenPlanned int `json:"flows_broken_planned"`
	FlowsGivenUp       int `json:"flows_given_up"`
	// Imbalance is the time for which slots of the busiest backend server were in use, relative to the mean.
	Imbalance        float64 `json:"imbalance"`
	ZonePacketsAfter uint64  `json:"zone_packets_after_out"`
	ColdOverload     int     `json:"cold_overload"`
}

// ServiceReport is the figures of one customer service.
type ServiceReport struct {
	Service string `json:"service"`
	Figures
	// RanAfterRefusal counts writes that were refused as not run and yet were executed.
	RanAfterRefusal int `json:"ran_after_refusal"`
	// CutByRestart counts responses that ended with a backend server that was restarted without warning.
	CutByRestart int            `json:"cut_by_restart"`
	Flows        int            `json:"flows"`
	Downloads    int            `json:"downloads"`
	OverSlots    int            `json:"over_slots"`
	Reasons      map[string]int `json:"reasons"`
	Breaks       []caller.Break `json:"breaks"`
	// RequestImbalance is the number of requests of the backend server with most of them, relative to the mean.
	RequestImbalance float64 `json:"request_imbalance"`
	// RequestsAfterDrain counts requests that arrived at a backend server a few seconds after it was taken out.
	RequestsAfterDrain int `json:"drained_late"`
	// ZoneAnswered is the share answered of the requests that began while the zone left and returned and did not end with it.
	ZoneAnswered float64 `json:"zone_answered"`
	// ZoneSlowdown is the 99th percentile of their latency, without downloads, relative to steady state.
	ZoneSlowdown float64 `json:"zone_slowdown"`
}

// Report is the result of a run.
type Report struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	DurationMS int64  `json:"duration_ms"`
	Figures
	Services []ServiceReport `json:"services"`
	// LateChanges names the operators' changes that were not in force everywhere in time, as the processes' boards show.
	LateChanges []string `json:"late_changes"`
	// BrokenPromises names each promise that the run has broken.
	BrokenPromises []string `json:"broken_promises"`
}

func (r *run) report() Report {
	rep := Report{
		Deployment: r.opts.Experiment.Deployment.Name, Seed: r.opts.Seed, DurationMS: r.opts.Duration.Milliseconds(),
		BrokenPromises: []string{},
	}
	for i, s := range r.opts.Experiment.Deployment.Services {
		sr := r.service(s, r.tallies[i].Report())
		rep.Services = append(rep.Services, sr)
		rep.add(sr.Figures)
	}
	rep.ZonePacketsAfter = r.world.marks.zonePackets
	rep.LateChanges = r.world.late
	rep.judge()
	return rep
}

func (f *Figures) add(o Figures) {
	f.Requests += o.Requests
	f.Answered += o.Answered
	f.RefusedNotRun += o.RefusedNotRun
	f.UnknownOutcome += o.UnknownOutcome
	f.Lost += o.Lost
	f.Doubled += o.Doubled
	f.FlowsBrokenPlanned += o.FlowsBrokenPlanned
	f.FlowsGivenUp += o.FlowsGivenUp
	f.Imbalance = max(f.Imbalance, o.Imbalance)
	f.ColdOverload += o.ColdOverload
}

func (r *run) service(s Service, c caller.Report) ServiceReport {
	sr := ServiceReport{
		Service: s.name(), Flows: c.FlowsOpened, Downloads: c.Downloads, Reasons: c.Reasons, Breaks: c.Breaks,
		RequestImbalance: r.imbalance(s, requestsOf),
		Figures: Figures{
			Requests: c.Requests, Answered: c.Answered, RefusedNotRun: c.NotRun, UnknownOutcome: c.Unknown,
			Lost: c.Corrupt, Imbalance: r.imbalance(s, busyOf),
		},
	}
	executed := make(map[string]int)
	for _, h := range r.world.hosts {
		if h.service.Kind != s.Kind {
			continue
		}
		sr.RequestsAfterDrain += r.world.marks.drainedLate[h.id]
		for _, b := range append(slices.Clone(h.retired), h.backend) {
			bc := b.Counts()
			sr.ColdOverload += bc.ColdOverload
			sr.OverSlots += bc.OverSlots
			for id, n := range bc.Executed {
				executed[id] += n
			}
		}
	}
	sr.compareWrites(c.Writes, executed)
	r.compareZoneChange(&sr, c.Samples)
	for _, b := range c.Breaks {
		r.classify(&sr, b)
	}
	return sr
}

// compareWrites compares what callers were told about their writes with what was executed.
func (sr *ServiceReport) compareWrites(told map[string]caller.Outcome, executed map[string]int) {
	for _, n := range executed {
		if n > 1 {
			sr.Doubled++
		}
	}
	for id, o := range told {
		switch {
		case o == caller.Answered && executed[id] == 0:
			sr.Lost++
		case o == caller.NotRun && executed[id] > 0:
			sr.RanAfterRefusal++
		}
	}
}

// zoneReturn is how long after its return a zone still counts as returning: its servers start cold.
const zoneReturn = coldRamp

// compareZoneChange compares the requests while the zone left and returned with those in steady state.
func (r *run) compareZoneChange(sr *ServiceReport, samples []caller.Sample) {
	m := &r.world.marks
	if len(m.zones) == 0 || m.zoneBack.IsZero() {
		return
	}
	var steady, changing []time.Duration
	answered, all := 0, 0
	for _, s := range samples {
		in := within(s.At, m.zones[0].at, m.zoneBack.Add(zoneReturn).Sub(m.zones[0].at))
		if in && (s.Outcome == caller.Answered || r.zoneOf(s.Server) != m.zones[0].name) {
			all++
			if s.Outcome == caller.Answered {
				answered++
			}
		}
		switch {
		case s.Download || s.Outcome != caller.Answered:
		case in:
			changing = append(changing, s.Latency)
		case s.At.After(r.steadySince) && s.At.Before(r.steadyUntil):
			steady = append(steady, s.Latency)
		}
	}
	if all > 0 {
		sr.ZoneAnswered = float64(answered) / float64(all)
	}
	if before := percentile99(steady); before > 0 {
		sr.ZoneSlowdown = float64(percentile99(changing)) / float64(before)
	}
}

// percentile99 returns the 99th percentile, or 0 of nothing.
func percentile99(ds []time.Duration) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[(len(ds)-1)*99/100]
}

// classify finds out why a flow or a response has ended early.
func (r *run) classify(sr *ServiceReport, b caller.Break) {
	m := &r.world.marks
	for _, z := range m.zones {
		if r.zoneOf(b.Server) == z.name && within(b.At, z.at, zoneGrace) {
			sr.FlowsGivenUp++
			return
		}
	}
	for _, s := range m.restarts {
		if b.Server == s.name && !b.Flow && within(b.At, s.at, time.Second) {
			sr.CutByRestart++
			return
		}
	}
	sr.FlowsBrokenPlanned++
}

func within(at, since time.Time, d time.Duration) bool {
	return at.After(since.Add(-breakMargin)) && at.Before(since.Add(d))
}

func (r *run) zoneOf(server string) string {
	for _, h := range r.world.hosts {
		if h.id == server {
			return h.zone
		}
	}
	return ""
}

// imbalance is the largest load of a backend server in steady state, relative to the mean. The load that the design
// balances is the time for which slots were in use: a count of requests weighs a read of 10 ms like a long download.
func (r *run) imbalance(s Service, load func(c backend.Counts) float64) float64 {
	largest, sum := 0.0, 0.0
	for _, h := range r.world.hosts {
		if h.service.Kind == s.Kind {
			n := load(r.steadyTo[h.id]) - load(r.steadyFrom[h.id])
			largest = max(largest, n)
			sum += n
		}
	}
	if sum == 0 {
		return 0
	}
	return largest * float64(s.Servers) / sum
}

func busyOf(c backend.Counts) float64 { return c.Busy.Seconds() }

func requestsOf(c backend.Counts) float64 { return float64(c.Requests) }

// judge notes the promises that the figures show to be broken.
func (rep *Report) judge() {
	broken := func(is bool, format string, args ...any) {
		if is {
			rep.BrokenPromises = append(rep.BrokenPromises, fmt.Sprintf(format, args...))
		}
	}
	for _, s := range rep.Services {
		broken(s.FlowsBrokenPlanned > 0, "promise 1: %d flows of %s were broken by planned changes", s.FlowsBrokenPlanned, s.Service)
		broken(s.ColdOverload > 0, "promise 3: %d requests of %s went to a full backend server in cold start", s.ColdOverload, s.Service)
		broken(s.OverSlots > s.ColdOverload, "limit of slots: %d requests of %s went to a full backend server", s.OverSlots-s.ColdOverload, s.Service)
		broken(s.Lost > 0, "promise 5: %d requests of %s were lost", s.Lost, s.Service)
		broken(s.RanAfterRefusal > 0, "promise 6: %d requests of %s ran after they were refused as not run", s.RanAfterRefusal, s.Service)
		broken(s.Doubled > 0, "promise 7: %d writes of %s were executed more than once", s.Doubled, s.Service)
		broken(s.RequestsAfterDrain > 0, "promise 8: %d requests of %s went to a backend server that was leaving", s.RequestsAfterDrain, s.Service)
		broken(s.Answered == 0, "no request of %s was answered", s.Service)
	}
	for _, l := range rep.LateChanges {
		broken(true, "promise 10: %s", l)
	}
	broken(rep.ZonePacketsAfter > 0, "promise 4: %d packets reached a zone that was taken out", rep.ZonePacketsAfter)
}

// WriteTable prints the figures of each service.
func (rep Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, value func(s ServiceReport) any) {
		_, _ = fmt.Fprintf(tw, "%s\t", name)
		for _, s := range rep.Services {
			_, _ = fmt.Fprintf(tw, "%v\t", value(s))
		}
		_, _ = fmt.Fprintln(tw)
	}
	row("service", func(s ServiceReport) any { return s.Service })
	row("requests", func(s ServiceReport) any { return s.Requests })
	row("answered", func(s ServiceReport) any { return s.Answered })
	row("refused as not run", func(s ServiceReport) any { return s.RefusedNotRun })
	row("unknown outcome", func(s ServiceReport) any { return s.UnknownOutcome })
	row("lost", func(s ServiceReport) any { return s.Lost })
	row("doubled", func(s ServiceReport) any { return s.Doubled })
	row("flows opened", func(s ServiceReport) any { return s.Flows })
	row("flows broken by planned changes", func(s ServiceReport) any { return s.FlowsBrokenPlanned })
	row("flows given up with the zone", func(s ServiceReport) any { return s.FlowsGivenUp })
	row("downloads complete", func(s ServiceReport) any { return s.Downloads })
	row("imbalance (max/mean) of requests", func(s ServiceReport) any { return fmt.Sprintf("%.2f", s.RequestImbalance) })
	row("imbalance (max/mean) of slots in use", func(s ServiceReport) any { return fmt.Sprintf("%.2f", s.Imbalance) })
	row("requests over a server's slots", func(s ServiceReport) any { return s.OverSlots })
	row("overload while cold", func(s ServiceReport) any { return s.ColdOverload })
	row("requests to a server that was leaving", func(s ServiceReport) any { return s.RequestsAfterDrain })
	row("answered while the zone left and returned", func(s ServiceReport) any { return fmt.Sprintf("%.2f%%", 100*s.ZoneAnswered) })
	row("99th percentile then / steady", func(s ServiceReport) any { return fmt.Sprintf("%.2f", s.ZoneSlowdown) })
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "packets into the zone later than %v after it was taken out: %d\n", zoneQuietAfter, rep.ZonePacketsAfter)
	return err
}

// WriteJSON prints the report as one JSON object.
func (rep Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(rep))
}
