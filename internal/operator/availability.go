package operator

import (
	"context"
	"maps"
	"slices"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/pkg/finding"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Target is the zone or the backend server that a command takes out or brings back.
type Target struct {
	kind configvalue.Kind
	name string
}

// Zone returns the target for an availability zone.
func Zone(name string) Target { return Target{kind: configvalue.KindZone, name: name} }

// Backend returns the target for a backend server, which is named by the id of its agent.
func Backend(id string) Target { return Target{kind: configvalue.KindBackend, name: id} }

// Name returns the zone or the id of the backend server.
func (t Target) Name() string { return t.name }

// KindName returns "zone" or "backend".
func (t Target) KindName() string {
	if t.kind == configvalue.KindZone {
		return "zone"
	}
	return "backend"
}

// Key returns the key of the target's state in the store.
func (t Target) Key() string {
	if t.kind == configvalue.KindZone {
		return configvalue.ZoneKey(t.name)
	}
	return configvalue.BackendKey(t.name)
}

// Request is what an operator asks for a target.
type Request struct {
	Target    Target
	Out       bool
	Reason    string
	Confirmed bool
}

// AvailabilityResult is the outcome of SetAvailability.
type AvailabilityResult struct {
	verdict     Outcome
	request     Request
	operationID string
	revision    store.Revision
	current     State
	cause       error
	overridden  bool
	losses      []Loss
	concurrent  []Loss
}

// Outcome returns how the change ended.
func (s AvailabilityResult) Outcome() Outcome { return s.verdict }

// Request returns what was asked.
func (s AvailabilityResult) Request() Request { return s.request }

// OperationID returns the id of the change.
func (s AvailabilityResult) OperationID() string { return s.operationID }

// Revision returns the revision that holds the asked state, or 0.
func (s AvailabilityResult) Revision() store.Revision { return s.revision }

// Current returns the state that is already there or that won a conflict.
func (s AvailabilityResult) Current() State { return s.current }

// Cause returns why the change was invalid or not accepted, or why its outcome is unknown.
func (s AvailabilityResult) Cause() error { return s.cause }

// MayHaveApplied reports in a conflict that the change may have been in force until the other one replaced it.
func (s AvailabilityResult) MayHaveApplied() bool { return s.overridden }

// Losses returns what the change would take out, which needs a confirmation.
func (s AvailabilityResult) Losses() []Loss { return s.losses }

// ConcurrentLosses returns what was lost together with a change that another operator made at the same time.
func (s AvailabilityResult) ConcurrentLosses() []Loss { return s.concurrent }

// SetAvailability takes a zone or a backend server out of service or brings it back.
func (o *Operator) SetAvailability(ctx context.Context, r Request) AvailabilityResult {
	s := AvailabilityResult{request: r, operationID: o.cfg.NewOperationID()}
	w, err := o.read(ctx)
	if err != nil {
		s.verdict, s.cause = NotAccepted, err
		return s
	}
	if err := w.checkTarget(r.Target); err != nil {
		s.verdict, s.cause = Invalid, err
		return s
	}
	s.current = w.state(r.Target)
	if s.current.Out() == r.Out {
		s.verdict, s.revision = Unchanged, s.current.revision
		return s
	}
	if s.losses = w.lossesOf(r); len(s.losses) > 0 && !r.Confirmed {
		s.verdict = Refused
		return s
	}
	return o.set(ctx, w, s)
}

func (o *Operator) set(ctx context.Context, before world, s AvailabilityResult) AvailabilityResult {
	r := s.request
	value, err := configvalue.EncodeState(configvalue.State{
		OperationID: s.operationID, Author: o.cfg.Author, Reason: r.Reason, Out: r.Out,
	})
	if err != nil {
		s.verdict, s.cause = NotAccepted, err
		return s
	}
	base := s.current.revision
	done := o.write(ctx, change{key: r.Target.Key(), value: value, base: base, judge: judgeState(s.operationID, base)})
	s.verdict, s.revision, s.cause, s.overridden = done.verdict, done.revision, done.cause, done.sent
	switch {
	case done.verdict == Accepted && r.Out && !r.Confirmed:
		// The check and the write are two calls, and two operators may take out two places in between.
		if now, err := o.read(ctx); err == nil {
			s.concurrent = before.losses(now)
		}
	case done.verdict == Conflict:
		s = o.settle(ctx, s)
	}
	return s
}

// settle compares the state that won with the asked one.
func (o *Operator) settle(ctx context.Context, s AvailabilityResult) AvailabilityResult {
	e, err := o.cfg.Store.Get(ctx, s.request.Target.Key())
	if err != nil {
		s.cause = err
		return s
	}
	v, err := configvalue.DecodeState(e.Value)
	if err != nil {
		s.cause = err
		return s
	}
	s.current = State{name: s.request.Target.name, revision: e.Revision, value: v}
	if v.Out == s.request.Out {
		s.verdict, s.revision = Unchanged, e.Revision
	}
	return s
}

// judgeState looks for the operation in the state, which keeps no history.
func judgeState(operationID string, base store.Revision) judge {
	return func(e store.Entry) (evidence, store.Revision) {
		v, err := configvalue.DecodeState(e.Value)
		switch {
		case err != nil || e.Deleted:
			return evidenceGone, 0
		case v.OperationID == operationID:
			return evidenceOurs, e.Revision
		case e.Revision == base:
			return evidenceNone, 0
		}
		return evidenceOther, 0
	}
}

func (w world) state(t Target) State {
	states := w.backends
	if t.kind == configvalue.KindZone {
		states = w.zones
	}
	if s, ok := states[t.name]; ok {
		return s
	}
	return State{name: t.name}
}

// checkTarget guards against a change that has no effect because of a misspelt name.
func (w world) checkTarget(t Target) error {
	known := w.knownZones()
	if t.kind == configvalue.KindBackend {
		if w.processes == nil {
			return nil
		}
		known = w.knownBackends()
	}
	if slices.Contains(known, t.name) {
		return nil
	}
	var l finding.List
	l.Addf(t.KindName(), list(known), "%q is not known", t.name)
	return l.Err()
}

// lossesOf returns what a request would take out.
func (w world) lossesOf(r Request) []Loss {
	if !r.Out {
		return nil
	}
	if r.Target.kind == configvalue.KindBackend && w.processes == nil {
		return []Loss{{service: "(unknown)", message: "no balancer told which backend servers are in service: " + w.statusErr.Error()}}
	}
	next := State{name: r.Target.name, value: configvalue.State{Out: true}}
	return w.losses(w.withState(r.Target.kind, next))
}

// Zones returns the known zones with the operators' state of each.
func (o *Operator) Zones(ctx context.Context) ([]State, error) {
	w, err := o.read(ctx)
	if err != nil {
		return nil, err
	}
	var all []State
	for _, z := range w.knownZones() {
		all = append(all, w.state(Zone(z)))
	}
	return all, nil
}

// BackendState is a backend server as operators and its agent see it.
type BackendState struct {
	State
	process Process
	seen    bool
}

// Process returns what the balancers know of the agent, and whether they know it.
func (b BackendState) Process() (Process, bool) { return b.process, b.seen }

// Backends returns the known backend servers, and why the running ones are not known, if so.
func (o *Operator) Backends(ctx context.Context) (all []BackendState, statusErr, err error) {
	w, err := o.read(ctx)
	if err != nil {
		return nil, nil, err
	}
	agents := make(map[string]Process)
	for _, p := range w.processes {
		if p.Kind == KindAgent {
			agents[p.ID] = p
		}
	}
	for _, id := range w.knownBackends() {
		p, seen := agents[id]
		all = append(all, BackendState{State: w.state(Backend(id)), process: p, seen: seen})
	}
	return all, w.statusErr, nil
}

// Services returns the services that have contracts.
func (w world) services() []string { return slices.Sorted(maps.Keys(w.contracts)) }
