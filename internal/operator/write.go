package operator

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// A write whose answer was lost is repeated for about ten seconds, which outlasts a restart of the store.
const (
	maxAttempts  = 8
	firstPause   = 100 * time.Millisecond
	longestPause = 2 * time.Second
)

// evidence is what an entry of the store tells about an operation.
type evidence uint8

const (
	// evidenceNone means that the entry is still at the base of the operation.
	evidenceNone evidence = iota
	// evidenceOurs means that the operation took effect.
	evidenceOurs
	// evidenceOther means that another operation took effect at the base, so this one never can.
	evidenceOther
	// evidenceGone means that the entry no longer tells which operation took effect at the base.
	evidenceGone
)

// judge tells what an entry says about an operation, and the revision at which the operation took effect.
type judge func(e store.Entry) (evidence, store.Revision)

// change is one compare-and-swap.
type change struct {
	key   string
	value []byte
	base  store.Revision
	judge judge
}

// written is how a compare-and-swap ended.
type written struct {
	verdict  Outcome
	revision store.Revision
	cause    error
	// sent reports that an attempt was left without an answer.
	sent bool
}

// write repeats one compare-and-swap until the operation or another winner is seen.
//
// Repeating is safe: every attempt has the same base, a key never returns to an earlier revision, and so at most
// one attempt takes effect, however late it reaches the store.
func (o *Operator) write(ctx context.Context, c change) written {
	sent := false
	var last error
	for n := range maxAttempts {
		if n > 0 {
			if err := o.cfg.Sleep(ctx, pauseBefore(n)); err != nil {
				break
			}
		}
		revision, err := o.cfg.Store.CompareAndSwap(ctx, c.key, c.value, c.base, 0)
		switch {
		case err == nil:
			return written{verdict: Accepted, revision: revision}
		case errors.Is(err, store.ErrConflict):
			if !sent {
				return written{verdict: Conflict}
			}
		case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrTooLarge):
			if !sent {
				return written{verdict: NotAccepted, cause: err}
			}
		default:
			sent = true
		}
		if w, done := o.resolve(ctx, c); done {
			return w
		}
		last = err
	}
	return written{verdict: Unknown, cause: last}
}

// resolve reads the key, because an attempt was left without an answer.
func (o *Operator) resolve(ctx context.Context, c change) (written, bool) {
	e, err := o.cfg.Store.Get(ctx, c.key)
	if err != nil {
		return written{}, false
	}
	switch found, revision := c.judge(e); found {
	case evidenceOurs:
		return written{verdict: Accepted, revision: revision}, true
	case evidenceOther:
		return written{verdict: Conflict, sent: true}, true
	case evidenceGone:
		return written{verdict: Unknown, cause: errors.New("later changes hide which operation won")}, true
	default:
		return written{}, false
	}
}

func pauseBefore(attempt int) time.Duration {
	return min(firstPause<<(attempt-1), longestPause)
}
