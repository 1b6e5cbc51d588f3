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
		r, err := decodeRevision(e)
		if err != nil {
			return StoredContract{}, err
		}
		known = append(known, r)
	}
	s.earlier = nil
	for _, c := range s.value.Changes {
		// A value without a change was left by an Apply that ended in a conflict, or is not pruned yet.
		i := slices.IndexFunc(known, func(r configvalue.Revision) bool { return r.Revision == c.Revision })
		if i >= 0 {
			s.earlier = append(s.earlier, known[i])
		}
	}
	return s, nil
}

// withRevision adds one earlier contract to s if the changes list it and it has not been read yet.
func (o *Operator) withRevision(ctx context.Context, s StoredContract, revision store.Revision) (StoredContract, error) {
	listed := slices.ContainsFunc(s.value.Changes, func(c configvalue.Change) bool { return c.Revision == revision })
	if _, known := s.At(revision); known || !listed {
		return s, nil
	}
	e, err := o.cfg.Store.Get(ctx, configvalue.HistoryKey(s.Contract().Service(), revision))
	if errors.Is(err, store.ErrNotFound) {
		return s, nil
	}
	if err != nil {
		return s, readError(err)
	}
	r, err := decodeRevision(e)
	if err != nil {
		return s, err
	}
	s.earlier = append(slices.Clone(s.earlier), r)
	return s, nil
}

func decodeRevision(e store.Entry) (configvalue.Revision, error) {
	r, err := configvalue.DecodeRevision(e.Value)
	return r, errors.Annotatef(err, "invalid value of %s in the store", e.Key)
}

// archive writes the contract that is about to be replaced to the history. If its value is in the first format, which
// holds the earlier contracts itself, archive writes these too.
//
// It is called before the replacement, so that no accepted contract is lost when the operator's process ends between
// the two writes. Repeating it is safe, because the contract of a revision never changes and an existing history value is
// therefore identical. If the replacement fails, the history value is a copy of the contract in force, and no change
// refers to it.
func (o *Operator) archive(ctx context.Context, current StoredContract) error {
	for _, r := range slices.Backward(current.Revisions()) {
		value, err := configvalue.EncodeRevision(r)
		if err != nil {
			return err
		}
		if err := o.writeOnce(ctx, configvalue.HistoryKey(current.Contract().Service(), r.Revision), value); err != nil {
			return errors.Annotatef(err, "cannot write revision %d to the history", r.Revision)
		}
	}
	return nil
}

// writeOnce writes a value that never changes. It repeats the write while the outcome is unknown, up to maxAttempts times.
// A conflict is a success, because the key then holds the same value.
func (o *Operator) writeOnce(ctx context.Context, key string, value []byte) error {
	var last error
	for n := range maxAttempts {
		if n > 0 {
			if err := o.cfg.Sleep(ctx, backoff(n)); err != nil {
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

// prune deletes the earlier contracts that are older than all kept changes. If a call fails, the next change of the
// contract deletes the rest.
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
		if r, err := decodeRevision(e); err == nil && r.Revision < oldest {
			_ = o.cfg.Store.Delete(ctx, e.Key, e.Revision)
		}
	}
}
