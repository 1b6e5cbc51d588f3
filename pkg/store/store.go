// Package store defines the interface to the platform's key-value store.
package store

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of a store call.
const (
	// ErrConflict means that the key was not at the expected revision, so nothing was written.
	ErrConflict = errors.ConstError("the key has changed")
	// ErrNotFound means that the key or the lease does not exist.
	ErrNotFound = errors.ConstError("the key or lease does not exist")
	// ErrUnavailable means that the store did not process the request, so nothing was changed.
	ErrUnavailable = errors.ConstError("the store cannot be reached")
	// ErrUnknownOutcome means that the request may have been sent but got no valid answer, so it may have taken effect.
	ErrUnknownOutcome = errors.ConstError("the store did not answer, the outcome is unknown")
	// ErrCompacted means that the history since the requested revision was compacted, so the caller must list again.
	ErrCompacted = errors.ConstError("the revision is no longer kept")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = errors.ConstError("the value is over the size limit")
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Revision numbers the changes of the whole store. The revision of a key is that of its last change; 0 means that the key
// does not exist.
type Revision uint64

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// Entry is a key with its value. For a deleted key, Deleted is true and there is no value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	// Created is the revision at which the key was created; 0 if it is not known.
	Created Revision
	Deleted bool
}

// Page holds the entries of a prefix, or those that have changed, and the revision of the store.
type Page struct {
	Entries  []Entry
	Revision Revision
}

// Store is the platform's key-value store.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with a prefix, in key order.
	List(ctx context.Context, prefix string) (Page, error)
	// CompareAndSwap writes a value if the key is at the expected revision, and returns the new revision. For an
	// expected revision of 0 the key must not exist. A key written with a lease is deleted when the lease expires.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error)
	// Delete removes a key that is at the expected revision.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits until a key with the prefix has changed after the given revision, and returns the changes. It returns an
	// error when the context is done, and may return an empty page before a change.
	Watch(ctx context.Context, prefix string, after Revision) (Page, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease. It returns ErrNotFound if the lease has expired.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease immediately.
	Revoke(ctx context.Context, id LeaseID) error
}
