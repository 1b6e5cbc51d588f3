package operator

import (
	"context"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// StoredContract is a contract with what the store knows about it.
type StoredContract struct {
	revision store.Revision
	value    configvalue.Contract
	// earlier holds the earlier contracts that were read, newest first.
	earlier []configvalue.Revision
}

// Revision returns the revision at which the contract is in the store; 0 means that there is none.
func (s StoredContract) Revision() store.Revision { return s.revision }

// Contract returns the contract.
func (s StoredContract) Contract() contract.Contract { return s.value.Contract }

// Value returns the contract with its author, time, operation id and the changes before it.
func (s StoredContract) Value() configvalue.Contract { return s.value }

// changes returns the known changes, newest first.
func (s StoredContract) changes() []configvalue.Change {
	if s.revision == 0 {
		return nil
	}
	current := configvalue.Change{Revision: s.revision, OperationID: s.value.OperationID}
	return append([]configvalue.Change{current}, s.value.Changes...)
}

// At returns the contract that was in force at a revision; the zero contract stands for revision 0.
func (s StoredContract) At(revision store.Revision) (contract.Contract, bool) {
	for _, r := range s.Revisions() {
		if r.Revision == revision {
			return r.Contract, true
		}
	}
	return contract.Contract{}, revision == 0
}

// Revisions returns the contract in force and the earlier contracts that were read, newest first.
func (s StoredContract) Revisions() []configvalue.Revision {
	if s.revision == 0 {
		return nil
	}
	return append([]configvalue.Revision{s.value.AsRevision(s.revision)}, s.earlier...)
}

// isBaseReplaced reports whether another operation replaced a base, if the changes still tell.
func (s StoredContract) isBaseReplaced(base store.Revision) bool {
	changes := s.changes()
	for i, c := range changes {
		if c.Revision == base {
			return i > 0
		}
	}
	complete := len(s.value.Changes) < configvalue.MaxHistory
	return base == 0 && complete && len(changes) > 0
}

// Contract returns the contract of a service; its revision is 0 when there is none.
func (o *Operator) Contract(ctx context.Context, service string) (StoredContract, error) {
	e, err := o.cfg.Store.Get(ctx, configvalue.ContractKey(service))
	if errors.Is(err, store.ErrNotFound) {
		return StoredContract{}, nil
	}
	if err != nil {
		return StoredContract{}, readError(err)
	}
	return storedContract(e)
}

func storedContract(e store.Entry) (StoredContract, error) {
	if e.Deleted {
		return StoredContract{}, nil
	}
	v, err := configvalue.DecodeContract(e.Value)
	if err != nil {
		return StoredContract{}, errors.Annotatef(err, "the store's value of %s", e.Key)
	}
	return StoredContract{revision: e.Revision, value: v, earlier: v.InlineHistory}, nil
}

// Contracts returns the contracts of all services, sorted by service.
func (o *Operator) Contracts(ctx context.Context) ([]StoredContract, error) {
	page, err := o.cfg.Store.List(ctx, configvalue.ContractsPrefix)
	if err != nil {
		return nil, readError(err)
	}
	all := make([]StoredContract, 0, len(page.Entries))
	for _, e := range page.Entries {
		s, err := storedContract(e)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// ApplyResult is the outcome of Apply.
type ApplyResult struct {
	verdict     Outcome
	service     string
	operationID string
	revision    store.Revision
	base        store.Revision
	cause       error
	asked       contract.Contract
	ours        []contract.Change
	theirs      []contract.Change
	baseKnown   bool
	winner      configvalue.Revision
	losses      []Loss
}

// Outcome returns how the change ended.
func (a ApplyResult) Outcome() Outcome { return a.verdict }

// Service returns the service of the contract.
func (a ApplyResult) Service() string { return a.service }

// OperationID returns the id under which the history lists the change.
func (a ApplyResult) OperationID() string { return a.operationID }

// Revision returns the revision that holds the asked contract, or 0.
func (a ApplyResult) Revision() store.Revision { return a.revision }

// Base returns the revision from which the contract was made.
func (a ApplyResult) Base() store.Revision { return a.base }

// Cause returns why the change was not accepted or its outcome is unknown.
func (a ApplyResult) Cause() error { return a.cause }

// BaseKnown reports whether the history still holds the base, without which it cannot be told who changed what.
func (a ApplyResult) BaseKnown() bool { return a.baseKnown }

// Ours returns what the contract changes in its base, or in the contract in force when the base is not known.
func (a ApplyResult) Ours() []contract.Change { return a.ours }

// Theirs returns what changed since the base in a conflict.
func (a ApplyResult) Theirs() []contract.Change { return a.theirs }

// Winner returns the newest revision in a conflict; it is 0 when the store could not be read.
func (a ApplyResult) Winner() configvalue.Revision { return a.winner }

// Losses returns what the change would take out, which needs a confirmation.
func (a ApplyResult) Losses() []Loss { return a.losses }

// Apply replaces the contract of a service if the store still has the one from which it was made.
func (o *Operator) Apply(ctx context.Context, c contract.Contract, base store.Revision, confirmed bool) ApplyResult {
	a := ApplyResult{service: c.Service(), asked: c, base: base, operationID: o.cfg.NewOperationID()}
	world, current, err := o.readFor(ctx, c.Service())
	if err != nil {
		a.verdict, a.cause = NotAccepted, err
		return a
	}
	current, baseErr := o.withRevision(ctx, current, base)
	a = a.compare(current)
	if current.revision != 0 && len(contract.Diff(current.Contract(), c)) == 0 {
		a.verdict, a.revision = Unchanged, current.revision
		return a
	}
	if current.revision != base {
		return a.lost(current, baseErr)
	}
	if a.losses = world.losses(world.withContract(c)); len(a.losses) > 0 && !confirmed {
		a.verdict = Refused
		return a
	}
	next := o.next(current, a.operationID, c)
	value, err := configvalue.EncodeContract(next)
	if err == nil {
		err = o.keep(ctx, current)
	}
	if err != nil {
		a.verdict, a.cause = NotAccepted, err
		return a
	}
	w := o.write(ctx, change{
		key: configvalue.ContractKey(a.service), value: value, base: base, judge: judgeContract(a.operationID, base),
	})
	a.verdict, a.revision, a.cause = w.verdict, w.revision, w.cause
	if w.verdict == Accepted {
		o.prune(ctx, a.service, next.Changes)
	}
	if w.verdict != Conflict {
		return a
	}
	now, err := o.Contract(ctx, a.service)
	if err != nil {
		a.cause = err
		return a
	}
	now, err = o.withRevision(ctx, now, base)
	return a.lost(now, err)
}

func (o *Operator) next(current StoredContract, operationID string, c contract.Contract) configvalue.Contract {
	if current.revision == 0 {
		return configvalue.Contract{OperationID: operationID, Author: o.cfg.Author, Time: o.cfg.Now(), Contract: c}
	}
	return current.value.Next(current.revision, operationID, o.cfg.Author, o.cfg.Now(), c)
}

// lost returns the conflict with the contract that the store has instead, and why the base could not be read, if so.
func (a ApplyResult) lost(now StoredContract, baseErr error) ApplyResult {
	a.verdict, a.cause = Conflict, baseErr
	if revisions := now.Revisions(); len(revisions) > 0 {
		a.winner = revisions[0]
	}
	return a.compare(now)
}

// compare notes both changes since the base.
func (a ApplyResult) compare(now StoredContract) ApplyResult {
	before, known := now.At(a.base)
	a.baseKnown = known
	if !known {
		before = now.Contract()
	}
	a.ours = contract.Diff(before, a.asked)
	a.theirs = contract.Diff(before, now.Contract())
	return a
}

// judgeContract looks for the operation in the contract's changes.
func judgeContract(operationID string, base store.Revision) judge {
	return func(e store.Entry) (evidence, store.Revision) {
		s, err := storedContract(e)
		if err != nil || s.revision == 0 {
			return evidenceGone, 0
		}
		for _, c := range s.changes() {
			if c.OperationID == operationID {
				return evidenceOurs, c.Revision
			}
		}
		if s.revision == base {
			return evidenceNone, 0
		}
		if !s.isBaseReplaced(base) {
			return evidenceGone, 0
		}
		return evidenceOther, 0
	}
}
