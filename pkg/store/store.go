// Package store is the interface to the platform's key-value store.
package store

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of a store call.
const (
	// ErrConflict means that the key was not at the expected revision and nothing was written.
	ErrConflict = errors.ConstError("the key has changed")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.ConstError("the key does not exist")
	// ErrUnavailable means that the request was not sent, so nothing was changed.
	ErrUnavailable = errors.ConstError("the store cannot be reached")
	// ErrUnknownOutcome means that the request was sent and no answer came, so it may have taken effect.
	ErrUnknownOutcome = errors.ConstError("the store did not answer, the outcome is unknown")
	// ErrCompacted means that the history after the asked revision is no longer kept, so the caller must list again.
	ErrCompacted = errors.ConstError("the revision is no longer kept")
	// ErrTooLarge means that the value exceeds MaxValue.
	ErrTooLarge = errors.ConstError("the value is over the size limit")
)

// MaxValueBytes is the largest value in bytes.
const MaxValueBytes = 1 << 20

// Revision counts the changes of the whole store; 0 means that a key does not exist.
type Revision uint64

// LeaseID names a lease; 0 means none.
type LeaseID uint64

// Entry is one key with its value; a deleted key has no value and Deleted is true.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Deleted  bool
}

// Page is the state of a prefix at one revision.
type Page struct {
	Entries  []Entry
	Revision Revision
}

// Store is the platform's key-value store.
type Store interface {
	// Get returns the entry of a key or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with a prefix, in key order.
	List(ctx context.Context, prefix string) (Page, error)
	// CompareAndSwap writes a value if the key is at the expected revision (0: it must not exist) and returns the new one.
	// A key written under a lease is deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error)
	// Delete removes a key that is at the expected revision.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits until a key with the prefix changes after the given revision, or until the context ends.
	Watch(ctx context.Context, prefix string, after Revision) (Page, error)
	// Grant opens a lease that ends after ttl without renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease or returns ErrNotFound when it has ended.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, id LeaseID) error
}
