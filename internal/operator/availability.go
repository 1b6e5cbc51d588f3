package operator

import (
	"context"
	"maps"
	"slices"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/pkg/finding"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Target is the zone or the backend server that a command takes out of service or brings back.
type Target struct {
	kind configvalue.Kind
	name string
}

// Zone returns the target for an availability zone.
func Zone(name string) Target { return Target{kind: configvalue.KindZone, name: name} }

// Backend returns the target for a backend server, which is identified by the id of its agent.
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

// Request is a request to take a target out of service or to bring it back.
type Request struct {
	Target Target
	Out    bool
	Reason string
	// Confirmed permits a change by which services lose capacity.
	Confirmed bool
}

// AvailabilityResult is the result of SetAvailability.
type AvailabilityResult struct {
	outcome          Outcome
	request          Request
	operationID      string
	revision         store.Revision
	current          State
	cause            error
	mayHaveApplied   bool
	losses           []Loss
	concurrentLosses []Loss
}

// Outcome returns the outcome of the change.
func (s AvailabilityResult) Outcome() Outcome { return s.outcome }

// Request returns the request.
func (s AvailabilityResult) Request() Request { return s.request }

// OperationID returns the id of the change.
func (s AvailabilityResult) OperationID() string { return s.operationID }

// Revision returns the revision of the requested state in the store, or 0.
func (s AvailabilityResult) Revision() store.Revision { return s.revision }

// Current returns the state before the change or, after a conflict, the state that another operator has set.
func (s AvailabilityResult) Current() State { return s.current }

// Cause returns why the change was invalid or not accepted, why its outcome is unknown or, after a conflict, why the
// current state could not be read.
func (s AvailabilityResult) Cause() error { return s.cause }

// MayHaveApplied reports whether, in a conflict, the change may have been in force until the other one replaced it.
func (s AvailabilityResult) MayHaveApplied() bool { return s.mayHaveApplied }

// Losses returns the capacity that services would lose by the change, which therefore needs to be confirmed.
func (s AvailabilityResult) Losses() []Loss { return s.losses }

// ConcurrentLosses returns the capacity that services lost by the change together with a concurrent change of another
// operator.
func (s AvailabilityResult) ConcurrentLosses() []Loss { return s.concurrentLosses }

// SetAvailability takes a zone or a backend server out of service or brings it back.
func (o *Operator) SetAvailability(ctx context.Context, r Request) AvailabilityResult {
	s := AvailabilityResult{request: r, operationID: o.cfg.NewOperationID()}
	sn, err := o.read(ctx)
	if err != nil {
		s.outcome, s.cause = NotAccepted, err
		return s
	}
	if err := sn.checkTarget(r.Target); err != nil {
		s.outcome, s.cause = Invalid, err
		return s
	}
	s.current = sn.state(r.Target)
	if s.current.Out() == r.Out {
		s.outcome, s.revision = Unchanged, s.current.revision
		return s
	}
	if s.losses = sn.lossesOfRequest(r); len(s.losses) > 0 && !r.Confirmed {
		s.outcome = Refused
		return s
	}
	return o.writeState(ctx, sn, s)
}

func (o *Operator) writeState(ctx context.Context, before snapshot, s AvailabilityResult) AvailabilityResult {
	r := s.request
	value, err := configvalue.EncodeState(configvalue.State{
		OperationID: s.operationID, Author: o.cfg.Author, Reason: r.Reason, Out: r.Out,
	})
	if err != nil {
		s.outcome, s.cause = NotAccepted, err
		return s
	}
	base := s.current.revision
	res := o.write(ctx, change{key: r.Target.Key(), value: value, base: base, status: stateStatus(s.operationID, base)})
	s.outcome, s.revision, s.cause, s.mayHaveApplied = res.outcome, res.revision, res.cause, res.unanswered
	switch {
	case res.outcome == Accepted && r.Out && !r.Confirmed:
		// The check and the write are separate calls, so a concurrent operator may have taken out another target.
		if now, err := o.read(ctx); err == nil {
			s.concurrentLosses = before.losses(now)
		}
	case res.outcome == Conflict:
		s = o.compareWithWinner(ctx, s)
	}
	return s
}

// compareWithWinner reads the state that caused a conflict; if it has the requested availability, the outcome is
// Unchanged.
func (o *Operator) compareWithWinner(ctx context.Context, s AvailabilityResult) AvailabilityResult {
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
		s.outcome, s.revision = Unchanged, e.Revision
	}
	return s
}

// stateStatus returns a function that looks for the operation in the state, which has no history.
func stateStatus(operationID string, base store.Revision) statusFunc {
	return func(e store.Entry) (operationStatus, store.Revision) {
		v, err := configvalue.DecodeState(e.Value)
		switch {
		case err != nil || e.Deleted:
			return opUndetermined, 0
		case v.OperationID == operationID:
			return opApplied, e.Revision
		case e.Revision == base:
			return opPending, 0
		}
		return opPreempted, 0
	}
}

func (sn snapshot) state(t Target) State {
	states := sn.backends
	if t.kind == configvalue.KindZone {
		states = sn.zones
	}
	if s, ok := states[t.name]; ok {
		return s
	}
	return State{name: t.name}
}

// checkTarget rejects an unknown target: a change of a misspelt name would have no effect.
func (sn snapshot) checkTarget(t Target) error {
	known := sn.knownZones()
	if t.kind == configvalue.KindBackend {
		if sn.processes == nil {
			return nil
		}
		known = sn.knownBackends()
	}
	if slices.Contains(known, t.name) {
		return nil
	}
	var l finding.List
	l.Addf(t.KindName(), formatNames(known), "%q is not known", t.name)
	return l.Err()
}

// lossesOfRequest returns what services would lose by a request.
func (sn snapshot) lossesOfRequest(r Request) []Loss {
	if !r.Out {
		return nil
	}
	if r.Target.kind == configvalue.KindBackend && sn.processes == nil {
		return []Loss{{service: "(unknown)", message: "no balancer reported which backend servers are in service: " + sn.statusErr.Error()}}
	}
	next := State{name: r.Target.name, value: configvalue.State{Out: true}}
	return sn.losses(sn.withState(r.Target.kind, next))
}

// Zones returns the availability of the known zones.
func (o *Operator) Zones(ctx context.Context) ([]State, error) {
	sn, err := o.read(ctx)
	if err != nil {
		return nil, err
	}
	var all []State
	for _, z := range sn.knownZones() {
		all = append(all, sn.state(Zone(z)))
	}
	return all, nil
}

// BackendState is the availability of a backend server and the state of its agent.
type BackendState struct {
	State
	process Process
	known   bool
}

// Process returns the agent, and whether a balancer reported it.
func (b BackendState) Process() (Process, bool) { return b.process, b.known }

// Backends returns the known backend servers; statusErr is the error of reading the processes, or nil.
func (o *Operator) Backends(ctx context.Context) (all []BackendState, statusErr, err error) {
	sn, err := o.read(ctx)
	if err != nil {
		return nil, nil, err
	}
	agents := make(map[string]Process)
	for _, p := range sn.processes {
		if p.Kind == KindAgent {
			agents[p.ID] = p
		}
	}
	for _, id := range sn.knownBackends() {
		p, known := agents[id]
		all = append(all, BackendState{State: sn.state(Backend(id)), process: p, known: known})
	}
	return all, sn.statusErr, nil
}

// services returns the services that have contracts, sorted by name.
func (sn snapshot) services() []string { return slices.Sorted(maps.Keys(sn.contracts)) }
