package demo

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"
)

// Action is a change or fault that an experiment applies.
type Action interface {
	fmt.Stringer
	apply(ctx context.Context, cl *cluster) error
}

// Step is an action at an offset from the start of the callers.
type Step struct {
	// Percent is the offset in percent of the duration of the run.
	Percent int
	// After is added to the offset.
	After  time.Duration
	Action Action
}

// offset returns the time of the step after the start of the callers.
func (s Step) offset(duration time.Duration) time.Duration {
	return duration*time.Duration(s.Percent)/100 + s.After
}

// Experiment describes a run: the deployment and the steps that are applied to it.
type Experiment struct {
	Deployment Deployment
	Steps      []Step
}

const (
	// zoneDrainTime is the time after which a zone that was taken out receives no more packets.
	zoneDrainTime = 5 * time.Second
	// backendDrainTime is the time after which a backend server that was taken out receives no more requests.
	backendDrainTime = 2 * time.Second
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
		add(27, backendDrainTime, CountDrainedRequests{Service: s.name(), Index: 0})
		add(33, backendDrainTime, RestoreBackend{Service: s.name(), Index: 0})
	}
	add(34, backendDrainTime, RestartBackend{Service: d.Services[0].name(), Index: 1})
	add(40, backendDrainTime, TakeZoneOut{Zone: zone})
	const stopOffset = backendDrainTime + zoneDrainTime
	add(40, stopOffset, StopZone{Zone: zone})
	add(47, stopOffset, RestoreZone{Zone: zone})
	add(52, stopOffset, StopStore{})
	add(58, stopOffset, RestoreStore{})
	return Experiment{Deployment: d, Steps: steps}
}

// timeline returns the steps sorted by their times.
func (e Experiment) timeline(duration time.Duration) []Step {
	steps := slices.Clone(e.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.offset(duration), b.offset(duration)) })
	return steps
}
