package demo

import (
	"context"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/forecast"
	"github.com/bramleymast/bramleymast/internal/standin/caller"
)

// Guards against a report that omits a broken promise: each one must be listed, and none if all are kept.
func TestEveryBrokenPromiseIsNamed(t *testing.T) {
	var sr ServiceReport
	sr.Answered = 1
	outcomes := map[string]caller.Outcome{
		"lost": caller.Answered, "kept": caller.Answered, "twice": caller.Answered,
		"ran": caller.NotRun, "refused": caller.NotRun, "unknown": caller.Unknown,
	}
	sr.compareWrites(outcomes, map[string]int{"kept": 1, "twice": 2, "ran": 1, "unknown": 1})
	assert.Equal(t, sr.Lost, 1)
	assert.Equal(t, sr.Doubled, 1)
	assert.Equal(t, sr.RanAfterRefusal, 1)
	sr.FlowsBrokenPlanned, sr.ColdOverload, sr.OverSlots, sr.RequestsAfterDrain = 1, 1, 2, 1
	rep := Report{Services: []ServiceReport{sr}, LateChanges: []string{"zone a is not in force at b-1"}}
	rep.ZonePacketsAfter = 1
	rep.checkPromises()
	for _, p := range []string{"promise 1:", "promise 3:", "promise 4:", "promise 5:", "promise 6:", "promise 7:", "promise 8:", "promise 10:", "limit of slots:"} {
		assert.Assert(t, strings.Contains(strings.Join(rep.BrokenPromises, "\n"), p), p)
	}
	kept := Report{Services: []ServiceReport{{Figures: Figures{Answered: 1}}}}
	kept.checkPromises()
	assert.Equal(t, len(kept.BrokenPromises), 0)
}

// Guards against a broken flow that is attributed to a change that did not cause it. Only flows to a zone that was taken
// out count as given up, and only from that time on; a restarted backend server explains a broken response, not a flow.
func TestBreaksAreAttributedToTheirCause(t *testing.T) {
	at := time.Unix(1000, 0)
	r := &run{cluster: &cluster{hosts: []*host{{id: "a-1", zone: "a"}, {id: "c-1", zone: "c"}}}}
	r.cluster.events = eventLog{zoneOuts: []event{{name: "c", at: at}}, restarts: []event{{name: "a-1", at: at}}}
	var sr ServiceReport
	r.classifyBreak(&sr, caller.Break{Server: "c-1", At: at.Add(time.Second), Flow: true})
	assert.Equal(t, sr.FlowsGivenUp, 1)
	r.classifyBreak(&sr, caller.Break{Server: "a-1", At: at.Add(time.Millisecond)})
	assert.Equal(t, sr.CutByRestart, 1)
	assert.Equal(t, sr.FlowsBrokenPlanned, 0)
	for _, b := range []caller.Break{
		{Server: "c-1", At: at.Add(-time.Second), Flow: true},
		{Server: "a-1", At: at.Add(time.Second), Flow: true},
		{Server: "", At: at.Add(time.Second), Flow: true},
	} {
		r.classifyBreak(&sr, b)
	}
	assert.Equal(t, sr.FlowsBrokenPlanned, 3)
}

// Guards against a standard experiment whose steps are out of order or do not fit into the shortest run.
func TestStandardTimelineFitsTheShortestRun(t *testing.T) {
	for _, d := range Deployments() {
		last := time.Duration(0)
		steps := Standard(d).timeline(MinDuration)
		for _, s := range steps {
			assert.Assert(t, s.offset(MinDuration) >= last)
			last = s.offset(MinDuration)
		}
		assert.Assert(t, last < MinDuration)
		assert.Assert(t, steps[0].offset(MinDuration) <= warmUp+time.Second)
	}
}

// forecasts reads the progress of a run and asks a balancer about each service once callers use it.
type forecasts struct {
	balancer netip.AddrPort
	services []string
	answers  []string
}

var progressAddress = regexp.MustCompile(`(serves metrics|service .*) at ([0-9.:]+[0-9])`)

func (f *forecasts) Write(line []byte) (int, error) {
	if m := progressAddress.FindSubmatch(line); m != nil && string(m[1]) == "serves metrics" {
		f.balancer = netip.MustParseAddrPort(string(m[2]))
	} else if m != nil {
		f.services = append(f.services, string(m[2]))
	}
	if !strings.Contains(string(line), StopStore{}.String()) {
		return len(line), nil
	}
	for _, s := range f.services {
		a, err := forecast.Ask(context.Background(), f.balancer, forecast.Question{Address: s})
		var text strings.Builder
		_, _ = fmt.Fprintln(&text, err)
		_ = a.Write(&text)
		f.answers = append(f.answers, text.String())
	}
	return len(line), nil
}

// Guards against flows that break and requests that are lost or run twice while a balancer is added, a balancer is killed
// and the store is down. A balancer tells meanwhile where flows would go.
func TestFlowsSurviveBalancersAndStore(t *testing.T) {
	d, err := FindDeployment("notas")
	assert.NilError(t, err)
	for i := range d.Services {
		d.Services[i].Callers, d.Services[i].Downloaders = 3, min(2, d.Services[i].Downloaders)
	}
	e := Experiment{Deployment: d, Steps: []Step{
		{Percent: 30, Action: StopStore{}},
		{Percent: 50, Action: AddBalancer{Zone: "zone-c"}},
		{Percent: 60, Action: KillBalancer{Index: 1}},
		{Percent: 80, Action: RestoreStore{}},
	}}
	var asked forecasts
	rep, err := Run(context.Background(), Options{Experiment: e, Seed: 1, Duration: 6 * time.Second, Progress: &asked})
	assert.NilError(t, err)
	assert.Assert(t, len(asked.answers) > 0)
	for _, a := range asked.answers {
		assert.Assert(t, strings.Contains(a, "goes to"), "%s", a)
	}
	for _, s := range rep.Services {
		assert.Assert(t, s.Answered > 0)
		assert.Equal(t, s.FlowsBrokenPlanned, 0, "%v", s.Breaks)
		assert.Equal(t, s.Lost+s.Doubled+s.RanAfterRefusal, 0)
	}
}
