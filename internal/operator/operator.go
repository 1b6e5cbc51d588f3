// Package operator holds what operator commands do: it changes contracts and states in the store, and asks for their effect.
//
// It does no I/O of its own and reads no clock: the store, the status source, time and operation ids come in.
package operator

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// Config says what an operator works with; Status is nil when no balancer can be asked.
type Config struct {
	Store  store.Store
	Status StatusSource
	Author string
	Now    func() time.Time
	// NewOperationID returns an id that no other operation has.
	NewOperationID func() string
	// Sleep waits, or returns an error when the context ends first.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Operator changes and reads the configuration.
type Operator struct {
	cfg Config
}

// New returns an operator.
func New(cfg Config) *Operator { return &Operator{cfg: cfg} }

// Outcome is how a change ended.
type Outcome uint8

// Verdicts on a change.
const (
	// Accepted means that the store holds the change.
	Accepted Outcome = iota + 1
	// Unchanged means that the asked state was already in the store, so nothing was written.
	Unchanged
	// Conflict means that another change won.
	Conflict
	// NotAccepted means that no write was sent, so nothing was changed.
	NotAccepted
	// Unknown means that a write was sent and its outcome could not be learned.
	Unknown
	// Refused means that the change needs a confirmation, so nothing was written.
	Refused
	// Invalid means that the change names something that does not exist, so nothing was written.
	Invalid
)

// String returns the verdict as it appears in JSON output.
func (v Outcome) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case Unchanged:
		return "unchanged"
	case Conflict:
		return "conflict"
	case NotAccepted:
		return "not_accepted"
	case Unknown:
		return "unknown"
	case Refused:
		return "refused"
	case Invalid:
		return "invalid"
	}
	return "none"
}

// ErrNoBalancers means that no balancer was given that could be asked.
const ErrNoBalancers = errors.ConstError("no balancers are given in the settings")
