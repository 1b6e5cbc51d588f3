package demo

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"
)

// Action is one change or fault of an experiment.
type Action interface {
	fmt.Stringer
	apply(ctx context.Context, w *world) error
}

// Step is an action at a time after the callers have started.
type Step struct {
	// Percent is the offset in percent of the run's duration.
	Percent int
	// After is a fixed time that is added to the offset.
	After  time.Duration
	Action Action
}

// offset returns the time of the step in a run.
func (s Step) offset(duration time.Duration) time.Duration {
	return duration*time.Duration(s.Percent)/100 + s.After
}

// Experiment describes a run: which deployment, and what happens to it at which time.
type Experiment struct {
	Deployment Deployment
	Steps      []Step
}

const (
	// zoneQuietAfter is the time after which a zone that was taken out gets no more packets.
	zoneQuietAfter = 5 * time.Second
	// drainQuietAfter is the time after which a backend server that was taken out gets no more work.
	drainQuietAfter = 2 * time.Second
)

// Standard returns the experiment of the demo command.
func Standard(d Deployment) Experiment {
	zone := d.Zones[2]
	var steps []Step
	add := func(percent int, after time.Duration, a Action) {
		steps = append(steps, Step{Percent: percent, After: after, Action: a})
	}
	add(13, 0, AddBalancer{Zone: d.Zones[len(d.Zones)-1]})
	add(20, 0, KillBalancer{Index: 1})
	for _, s := range d.Services {
		add(27, 0, DrainBackend{Service: s.name(), Index: 0})
		add(27, drainQuietAfter, CountDrainedRequests{Service: s.name(), Index: 0})
		add(33, drainQuietAfter, RestoreBackend{Service: s.name(), Index: 0})
	}
	add(34, drainQuietAfter, RestartBackend{Service: d.Services[0].name(), Index: 1})
	add(40, drainQuietAfter, TakeZoneOut{Zone: zone})
	const off = drainQuietAfter + zoneQuietAfter
	add(40, off, StopZone{Zone: zone})
	add(47, off, RestoreZone{Zone: zone})
	add(52, off, StopStore{})
	add(58, off, RestoreStore{})
	return Experiment{Deployment: d, Steps: steps}
}

// timeline returns the steps in the order of their times.
func (e Experiment) timeline(duration time.Duration) []Step {
	steps := slices.Clone(e.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.offset(duration), b.offset(duration)) })
	return steps
}
