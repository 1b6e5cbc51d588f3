package operator

import (
	"context"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// StoredContract is a contract with its revision and history in the store.
type StoredContract struct {
	revision store.Revision
	value    configvalue.Contract
	// earlier holds the earlier contracts that were read, newest first.
	earlier []configvalue.Revision
}

// Revision returns the store revision of the contract; 0 means that there is none.
func (s StoredContract) Revision() store.Revision { return s.revision }

// Contract returns the contract.
func (s StoredContract) Contract() contract.Contract { return s.value.Contract }

// Value returns the contract with its author, time, operation id and earlier changes.
func (s StoredContract) Value() configvalue.Contract { return s.value }

// changes returns the change in force and the earlier changes that the value lists, newest first.
func (s StoredContract) changes() []configvalue.Change {
	if s.revision == 0 {
		return nil
	}
	current := configvalue.Change{Revision: s.revision, OperationID: s.value.OperationID}
	return append([]configvalue.Change{current}, s.value.Changes...)
}

// At returns the contract that was in force at a revision, and whether it was read; revision 0 has the zero contract.
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

// isBaseReplaced reports whether the changes show that another operation has replaced revision base. It returns false when
// they do not reach back to base.
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
		return StoredContract{}, errors.Annotatef(err, "invalid value of %s in the store", e.Key)
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

// ApplyResult is the result of Apply.
type ApplyResult struct {
	outcome     Outcome
	service     string
	operationID string
	revision    store.Revision
	base        store.Revision
	cause       error
	requested   contract.Contract
	ours        []contract.Change
	theirs      []contract.Change
	baseKnown   bool
	winner      configvalue.Revision
	losses      []Loss
}

// Outcome returns the outcome of the change.
func (a ApplyResult) Outcome() Outcome { return a.outcome }

// Service returns the service of the contract.
func (a ApplyResult) Service() string { return a.service }

// OperationID returns the id of the change in the history.
func (a ApplyResult) OperationID() string { return a.operationID }

// Revision returns the revision of the requested contract in the store, or 0.
func (a ApplyResult) Revision() store.Revision { return a.revision }

// Base returns the revision that the requested contract is based on.
func (a ApplyResult) Base() store.Revision { return a.base }

// Cause returns why the change was not accepted, why its outcome is unknown or, after a conflict, why the contract in
// force or the base could not be read.
func (a ApplyResult) Cause() error { return a.cause }

// BaseKnown reports whether the history still holds the base, without which the changes of the two operators cannot be
// separated.
func (a ApplyResult) BaseKnown() bool { return a.baseKnown }

// Ours returns the changes from the base to the requested contract, or from the contract in force if the base is not known.
func (a ApplyResult) Ours() []contract.Change { return a.ours }

// Theirs returns the changes of other operators since the base; there are none if the base is not known.
func (a ApplyResult) Theirs() []contract.Change { return a.theirs }

// Winner returns the contract in force after a conflict; its revision is 0 if the store could not be read.
func (a ApplyResult) Winner() configvalue.Revision { return a.winner }

// Losses returns the capacity that services would lose by the change, which therefore needs to be confirmed.
func (a ApplyResult) Losses() []Loss { return a.losses }

// Apply replaces the contract of a service if the store still holds the revision that it is based on.
func (o *Operator) Apply(ctx context.Context, c contract.Contract, base store.Revision, confirmed bool) ApplyResult {
	a := ApplyResult{service: c.Service(), requested: c, base: base, operationID: o.cfg.NewOperationID()}
	sn, current, err := o.readService(ctx, c.Service())
	if err != nil {
		a.outcome, a.cause = NotAccepted, err
		return a
	}
	current, baseErr := o.withRevision(ctx, current, base)
	a = a.withDiffs(current)
	if current.revision != 0 && len(contract.Diff(current.Contract(), c)) == 0 {
		a.outcome, a.revision = Unchanged, current.revision
		return a
	}
	if current.revision != base {
		return a.asConflict(current, baseErr)
	}
	if a.losses = sn.losses(sn.withContract(c)); len(a.losses) > 0 && !confirmed {
		a.outcome = Refused
		return a
	}
	next := o.next(current, a.operationID, c)
	value, err := configvalue.EncodeContract(next)
	if err == nil {
		err = o.archive(ctx, current)
	}
	if err != nil {
		a.outcome, a.cause = NotAccepted, err
		return a
	}
	res := o.write(ctx, change{
		key: configvalue.ContractKey(a.service), value: value, base: base, status: contractStatus(a.operationID, base),
	})
	a.outcome, a.revision, a.cause = res.outcome, res.revision, res.cause
	if res.outcome == Accepted {
		o.prune(ctx, a.service, next.Changes)
	}
	if res.outcome != Conflict {
		return a
	}
	now, err := o.Contract(ctx, a.service)
	if err != nil {
		a.cause = err
		return a
	}
	now, err = o.withRevision(ctx, now, base)
	return a.asConflict(now, err)
}

func (o *Operator) next(current StoredContract, operationID string, c contract.Contract) configvalue.Contract {
	if current.revision == 0 {
		return configvalue.Contract{OperationID: operationID, Author: o.cfg.Author, Time: o.cfg.Now(), Contract: c}
	}
	return current.value.Next(current.revision, operationID, o.cfg.Author, o.cfg.Now(), c)
}

// asConflict returns the result of a conflict with the contract that the store holds; baseErr is the error of reading
// the base, or nil.
func (a ApplyResult) asConflict(now StoredContract, baseErr error) ApplyResult {
	a.outcome, a.cause = Conflict, baseErr
	if revisions := now.Revisions(); len(revisions) > 0 {
		a.winner = revisions[0]
	}
	return a.withDiffs(now)
}

// withDiffs sets the changes since the base: those of the requested contract and those of the contract in the store.
func (a ApplyResult) withDiffs(now StoredContract) ApplyResult {
	before, known := now.At(a.base)
	a.baseKnown = known
	if !known {
		before = now.Contract()
	}
	a.ours = contract.Diff(before, a.requested)
	a.theirs = contract.Diff(before, now.Contract())
	return a
}

// contractStatus returns a function that looks for the operation in the changes of the contract.
func contractStatus(operationID string, base store.Revision) statusFunc {
	return func(e store.Entry) (operationStatus, store.Revision) {
		s, err := storedContract(e)
		if err != nil || s.revision == 0 {
			return opUndetermined, 0
		}
		for _, c := range s.changes() {
			if c.OperationID == operationID {
				return opApplied, c.Revision
			}
		}
		if s.revision == base {
			return opPending, 0
		}
		if !s.isBaseReplaced(base) {
			return opUndetermined, 0
		}
		return opPreempted, 0
	}
}
