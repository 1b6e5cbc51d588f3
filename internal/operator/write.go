package operator

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// A write whose answer was lost is repeated for 7.1 s plus the duration of the calls, which outlasts a restart of the store.
const (
	maxAttempts    = 8
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// operationStatus is the effect of an operation, as far as an entry of the store shows it.
type operationStatus uint8

const (
	// opPending means that the entry is still at the base of the operation, so the operation can still take effect.
	opPending operationStatus = iota
	// opApplied means that the operation took effect.
	opApplied
	// opPreempted means that another operation took effect at the base, so this one cannot take effect any more.
	opPreempted
	// opUndetermined means that the entry no longer shows which operation took effect at the base.
	opUndetermined
)

// statusFunc returns the status of an operation according to an entry, and the revision at which it took effect.
type statusFunc func(e store.Entry) (operationStatus, store.Revision)

// change is a compare-and-swap and the function that determines its status from a later entry.
type change struct {
	key    string
	value  []byte
	base   store.Revision
	status statusFunc
}

// writeResult is the result of a compare-and-swap.
type writeResult struct {
	outcome  Outcome
	revision store.Revision
	cause    error
	// unanswered is true when the answer to an attempt was lost, so that the attempt may have taken effect.
	unanswered bool
}

// write repeats a compare-and-swap until the operation or a conflicting one has taken effect, or all attempts have failed.
//
// Repeating is safe: every attempt has the same base and a key never returns to an earlier revision, so at most one
// attempt takes effect, however late it reaches the store.
func (o *Operator) write(ctx context.Context, c change) writeResult {
	unanswered := false
	var last error
	for n := range maxAttempts {
		if n > 0 {
			if err := o.cfg.Sleep(ctx, backoff(n)); err != nil {
				break
			}
		}
		revision, err := o.cfg.Store.CompareAndSwap(ctx, c.key, c.value, c.base, 0)
		switch {
		case err == nil:
			return writeResult{outcome: Accepted, revision: revision}
		case errors.Is(err, store.ErrConflict):
			if !unanswered {
				return writeResult{outcome: Conflict}
			}
		case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrTooLarge):
			if !unanswered {
				return writeResult{outcome: NotAccepted, cause: err}
			}
		default:
			unanswered = true
		}
		if res, done := o.resolve(ctx, c); done {
			return res
		}
		last = err
	}
	return writeResult{outcome: Unknown, cause: last}
}

// resolve reads the key to determine the outcome of an attempt whose answer was lost. It returns false if the
// read fails or the operation is still pending.
func (o *Operator) resolve(ctx context.Context, c change) (writeResult, bool) {
	e, err := o.cfg.Store.Get(ctx, c.key)
	if err != nil {
		return writeResult{}, false
	}
	switch status, revision := c.status(e); status {
	case opApplied:
		return writeResult{outcome: Accepted, revision: revision}, true
	case opPreempted:
		return writeResult{outcome: Conflict, unanswered: true}, true
	case opUndetermined:
		return writeResult{outcome: Unknown, cause: errors.New("the store no longer shows whether the operation took effect")}, true
	default:
		return writeResult{}, false
	}
}

func backoff(attempt int) time.Duration {
	return min(initialBackoff<<(attempt-1), maxBackoff)
}
