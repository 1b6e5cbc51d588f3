// Package operator changes contracts and availability states in the store and reports which processes have applied them.
//
// It does no I/O of its own and reads no clock: the store, the status source, the time and operation ids come from Config.
package operator

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// Config holds the dependencies of an Operator. Status is nil when the settings name no balancers.
type Config struct {
	Store  store.Store
	Status StatusSource
	Author string
	Now    func() time.Time
	// NewOperationID returns a unique operation id.
	NewOperationID func() string
	// Sleep waits for d, or returns an error when the context ends first.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Operator reads and changes the configuration.
type Operator struct {
	cfg Config
}

// New returns an operator.
func New(cfg Config) *Operator { return &Operator{cfg: cfg} }

// Outcome is the result of a change.
type Outcome uint8

// Outcomes of a change.
const (
	// Accepted means that the change took effect in the store.
	Accepted Outcome = iota + 1
	// Unchanged means that the store already held the requested value, so nothing was written.
	Unchanged
	// Conflict means that another operation changed the key first.
	Conflict
	// NotAccepted means that the change was not written, so nothing was changed.
	NotAccepted
	// Unknown means that a write was sent and its outcome could not be determined.
	Unknown
	// Refused means that the change needs to be confirmed, so nothing was written.
	Refused
	// Invalid means that the target of the change does not exist, so nothing was written.
	Invalid
)

// String returns the outcome as it appears in JSON output.
func (o Outcome) String() string {
	switch o {
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

// ErrNoBalancers is returned when the status is requested and the settings name no balancers.
const ErrNoBalancers = errors.ConstError("no balancers are given in the settings")
