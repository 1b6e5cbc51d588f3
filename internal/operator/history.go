package operator

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// ContractHistory returns the contract of a service with its earlier contracts; its revision is 0 when there is none.
func (o *Operator) ContractHistory(ctx context.Context, service string) (StoredContract, error) {
	s, err := o.Contract(ctx, service)
	if err != nil || len(s.value.Changes) == 0 {
		return s, err
	}
	page, err := o.cfg.Store.List(ctx, configvalue.ServiceHistoryPrefix(service))
	if err != nil {
		return StoredContract{}, readError(err)
	}
	known := s.value.InlineHistory
	for _, e := range page.Entries {
		r, err := revisionOf(e)
		if err != nil {
			return StoredContract{}, err
		}
		known = append(known, r)
	}
	s.earlier = nil
	for _, c := range s.value.Changes {
		// A value that no change names was left by an apply that lost, or is not pruned yet.
		i := slices.IndexFunc(known, func(r configvalue.Revision) bool { return r.Revision == c.Revision })
		if i >= 0 {
			s.earlier = append(s.earlier, known[i])
		}
	}
	return s, nil
}

// withRevision reads one earlier contract if the changes name it and it is not there yet.
func (o *Operator) withRevision(ctx context.Context, s StoredContract, revision store.Revision) (StoredContract, error) {
	named := slices.ContainsFunc(s.value.Changes, func(c configvalue.Change) bool { return c.Revision == revision })
	if _, known := s.At(revision); known || !named {
		return s, nil
	}
	e, err := o.cfg.Store.Get(ctx, configvalue.HistoryKey(s.Contract().Service(), revision))
	if errors.Is(err, store.ErrNotFound) {
		return s, nil
	}
	if err != nil {
		return s, readError(err)
	}
	r, err := revisionOf(e)
	if err != nil {
		return s, err
	}
	s.earlier = append(slices.Clone(s.earlier), r)
	return s, nil
}

func revisionOf(e store.Entry) (configvalue.Revision, error) {
	r, err := configvalue.DecodeRevision(e.Value)
	return r, errors.Annotatef(err, "the store's value of %s", e.Key)
}

// keep writes the contract that is to be replaced to the history, and the earlier ones of a value in the first form.
//
// It comes before the replacement, so that no accepted contract is lost when the operator's process ends between the
// two. A value of the history never changes, because a key has one value at a revision; so one that is there already
// is the same, and one whose replacement fails is a copy of the contract in force that no change names.
func (o *Operator) keep(ctx context.Context, current StoredContract) error {
	for _, r := range slices.Backward(current.Revisions()) {
		value, err := configvalue.EncodeRevision(r)
		if err != nil {
			return err
		}
		if err := o.create(ctx, configvalue.HistoryKey(current.Contract().Service(), r.Revision), value); err != nil {
			return errors.Annotatef(err, "cannot keep revision %d in the history", r.Revision)
		}
	}
	return nil
}

// create writes a value that never changes, and repeats that until it is certain that the store has it.
func (o *Operator) create(ctx context.Context, key string, value []byte) error {
	var last error
	for n := range maxAttempts {
		if n > 0 {
			if err := o.cfg.Sleep(ctx, pauseBefore(n)); err != nil {
				break
			}
		}
		_, last = o.cfg.Store.CompareAndSwap(ctx, key, value, 0, 0)
		if last == nil || errors.Is(last, store.ErrConflict) {
			return nil
		}
		if errors.Is(last, store.ErrUnavailable) || errors.Is(last, store.ErrTooLarge) {
			return last
		}
	}
	return last
}

// prune deletes the earlier contracts that are older than all kept changes. What a failed call leaves, the next
// change of the contract deletes.
func (o *Operator) prune(ctx context.Context, service string, kept []configvalue.Change) {
	if len(kept) < configvalue.MaxHistory {
		return
	}
	page, err := o.cfg.Store.List(ctx, configvalue.ServiceHistoryPrefix(service))
	if err != nil {
		return
	}
	oldest := kept[len(kept)-1].Revision
	for _, e := range page.Entries {
		if r, err := revisionOf(e); err == nil && r.Revision < oldest {
			_ = o.cfg.Store.Delete(ctx, e.Key, e.Revision)
		}
	}
}
