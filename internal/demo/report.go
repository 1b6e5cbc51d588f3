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

// clockMargin is the maximum time by which a break may be recorded before its cause.
const clockMargin = 50 * time.Millisecond

// zoneOutGracePeriod is the time after a zone was taken out within which its flows may end.
const zoneOutGracePeriod = 15 * time.Second

// Figures holds the totals of the callers and the sample backend servers.
type Figures struct {
	Requests       int `json:"requests"`
	Answered       int `json:"answered"`
	RefusedNotRun  int `json:"refused_not_run"`
	UnknownOutcome int `json:"unknown_outcome"`
	// Lost counts writes that were answered but not executed, and answers with wrong or missing bytes.
	Lost int `json:"lost"`
	// Doubled counts writes that were executed more than once.
	Doubled            int `json:"doubled"`
	FlowsBrokenPlanned int `json:"flows_broken_planned"`
	FlowsGivenUp       int `json:"flows_given_up"`
	// Imbalance is the busy time of the slots of the busiest backend server, relative to the mean.
	Imbalance        float64 `json:"imbalance"`
	ZonePacketsAfter uint64  `json:"zone_packets_after_out"`
	ColdOverload     int     `json:"cold_overload"`
}

// ServiceReport holds the figures of one customer service.
type ServiceReport struct {
	Service string `json:"service"`
	Figures
	// RanAfterRefusal counts writes that were refused as not run but were executed.
	RanAfterRefusal int `json:"ran_after_refusal"`
	// CutByRestart counts responses that ended early because their backend server was restarted.
	CutByRestart int            `json:"cut_by_restart"`
	Flows        int            `json:"flows"`
	Downloads    int            `json:"downloads"`
	OverSlots    int            `json:"over_slots"`
	Reasons      map[string]int `json:"reasons"`
	Breaks       []caller.Break `json:"breaks"`
	// RequestImbalance is the number of requests of the backend server with the most requests, relative to the mean.
	RequestImbalance float64 `json:"request_imbalance"`
	// RequestsAfterDrain counts requests that arrived at a backend server later than backendDrainTime after it was taken out.
	RequestsAfterDrain int `json:"drained_late"`
	// ZoneAnswered is the share of answered requests among those that began while the zone was out or within
	// zoneReturnPeriod after its return, without the failed requests to that zone.
	ZoneAnswered float64 `json:"zone_answered"`
	// ZoneSlowdown is the 99th percentile of the latency of the answered requests among these, without downloads, relative
	// to steady state.
	ZoneSlowdown float64 `json:"zone_slowdown"`
}

// Report is the result of a run.
type Report struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	DurationMS int64  `json:"duration_ms"`
	Figures
	Services []ServiceReport `json:"services"`
	// LateChanges lists the operator commands that were not in force everywhere in time, according to the boards of the
	// processes.
	LateChanges []string `json:"late_changes"`
	// BrokenPromises lists the promises that the run broke.
	BrokenPromises []string `json:"broken_promises"`
}

func (r *run) report() Report {
	rep := Report{
		Deployment: r.opts.Experiment.Deployment.Name, Seed: r.opts.Seed, DurationMS: r.opts.Duration.Milliseconds(),
		BrokenPromises: []string{},
	}
	for i, s := range r.opts.Experiment.Deployment.Services {
		sr := r.serviceReport(s, r.tallies[i].Report())
		rep.Services = append(rep.Services, sr)
		rep.add(sr.Figures)
	}
	rep.ZonePacketsAfter = r.cluster.events.zonePackets
	rep.LateChanges = r.cluster.lateChanges
	rep.checkPromises()
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

func (r *run) serviceReport(s Service, c caller.Report) ServiceReport {
	sr := ServiceReport{
		Service: s.name(), Flows: c.FlowsOpened, Downloads: c.Downloads, Reasons: c.Reasons, Breaks: c.Breaks,
		RequestImbalance: r.imbalance(s, requestCount),
		Figures: Figures{
			Requests: c.Requests, Answered: c.Answered, RefusedNotRun: c.NotRun, UnknownOutcome: c.Unknown,
			Lost: c.Corrupt, Imbalance: r.imbalance(s, busySeconds),
		},
	}
	executed := make(map[string]int)
	for _, h := range r.cluster.hosts {
		if h.service.Kind != s.Kind {
			continue
		}
		sr.RequestsAfterDrain += r.cluster.events.requestsAfterDrain[h.id]
		for _, b := range append(slices.Clone(h.previousBackends), h.backend) {
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
		r.classifyBreak(&sr, b)
	}
	return sr
}

// compareWrites compares the outcomes that callers received for their writes with the executions.
func (sr *ServiceReport) compareWrites(outcomes map[string]caller.Outcome, executed map[string]int) {
	for _, n := range executed {
		if n > 1 {
			sr.Doubled++
		}
	}
	for id, o := range outcomes {
		switch {
		case o == caller.Answered && executed[id] == 0:
			sr.Lost++
		case o == caller.NotRun && executed[id] > 0:
			sr.RanAfterRefusal++
		}
	}
}

// zoneReturnPeriod is the time after the return of a zone during which requests still belong to the zone change, because
// its servers start cold.
const zoneReturnPeriod = coldRamp

// compareZoneChange compares the requests during the zone change with those in steady state.
func (r *run) compareZoneChange(sr *ServiceReport, samples []caller.Sample) {
	ev := &r.cluster.events
	if len(ev.zoneOuts) == 0 || ev.zoneRestored.IsZero() {
		return
	}
	var steady, changing []time.Duration
	answered, all := 0, 0
	for _, s := range samples {
		duringChange := within(s.At, ev.zoneOuts[0].at, ev.zoneRestored.Add(zoneReturnPeriod).Sub(ev.zoneOuts[0].at))
		if duringChange && (s.Outcome == caller.Answered || r.zoneOf(s.Server) != ev.zoneOuts[0].name) {
			all++
			if s.Outcome == caller.Answered {
				answered++
			}
		}
		switch {
		case s.Download || s.Outcome != caller.Answered:
		case duringChange:
			changing = append(changing, s.Latency)
		case s.At.After(r.steadyFromTime) && s.At.Before(r.steadyToTime):
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

// percentile99 sorts the durations and returns their 99th percentile, or 0 if there are none.
func percentile99(ds []time.Duration) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[(len(ds)-1)*99/100]
}

// classifyBreak counts a break under the zone or the restart that caused it, or else as broken by a planned change.
func (r *run) classifyBreak(sr *ServiceReport, b caller.Break) {
	ev := &r.cluster.events
	for _, z := range ev.zoneOuts {
		if r.zoneOf(b.Server) == z.name && within(b.At, z.at, zoneOutGracePeriod) {
			sr.FlowsGivenUp++
			return
		}
	}
	for _, s := range ev.restarts {
		if b.Server == s.name && !b.Flow && within(b.At, s.at, time.Second) {
			sr.CutByRestart++
			return
		}
	}
	sr.FlowsBrokenPlanned++
}

func within(at, since time.Time, d time.Duration) bool {
	return at.After(since.Add(-clockMargin)) && at.Before(since.Add(d))
}

func (r *run) zoneOf(server string) string {
	for _, h := range r.cluster.hosts {
		if h.id == server {
			return h.zone
		}
	}
	return ""
}

// imbalance returns the largest load of a backend server in steady state, relative to the mean. The balancers balance the
// busy time of the slots; a count of requests gives a read of 10 ms the same weight as a long download.
func (r *run) imbalance(s Service, load func(c backend.Counts) float64) float64 {
	largest, sum := 0.0, 0.0
	for _, h := range r.cluster.hosts {
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

func busySeconds(c backend.Counts) float64 { return c.Busy.Seconds() }

func requestCount(c backend.Counts) float64 { return float64(c.Requests) }

// checkPromises adds a message for each promise that the figures show to be broken.
func (rep *Report) checkPromises() {
	check := func(broken bool, format string, args ...any) {
		if broken {
			rep.BrokenPromises = append(rep.BrokenPromises, fmt.Sprintf(format, args...))
		}
	}
	for _, s := range rep.Services {
		check(s.FlowsBrokenPlanned > 0, "promise 1: %d flows of %s were broken by planned changes", s.FlowsBrokenPlanned, s.Service)
		check(s.ColdOverload > 0, "promise 3: %d requests of %s went to a full backend server in cold start", s.ColdOverload, s.Service)
		check(s.OverSlots > s.ColdOverload, "limit of slots: %d requests of %s went to a full backend server", s.OverSlots-s.ColdOverload, s.Service)
		check(s.Lost > 0, "promise 5: %d requests of %s were lost", s.Lost, s.Service)
		check(s.RanAfterRefusal > 0, "promise 6: %d requests of %s ran after they were refused as not run", s.RanAfterRefusal, s.Service)
		check(s.Doubled > 0, "promise 7: %d writes of %s were executed more than once", s.Doubled, s.Service)
		check(s.RequestsAfterDrain > 0, "promise 8: %d requests of %s went to a backend server that was leaving", s.RequestsAfterDrain, s.Service)
		check(s.Answered == 0, "no request of %s was answered", s.Service)
	}
	for _, l := range rep.LateChanges {
		check(true, "promise 10: %s", l)
	}
	check(rep.ZonePacketsAfter > 0, "promise 4: %d packets reached a zone that was taken out", rep.ZonePacketsAfter)
}

// WriteTable writes the figures of each service as a table.
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
	_, err := fmt.Fprintf(w, "packets into the zone later than %v after it was taken out: %d\n", zoneDrainTime, rep.ZonePacketsAfter)
	return err
}

// WriteJSON writes the report as one JSON object.
func (rep Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(rep))
}
