// Package store defines the interface to the platform's key-value store.
package store

import (
	"context"
	"fmt"
	"strconv"
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
	// ErrCompacted means that the history since the requested revision was compacted or belongs to an earlier era, so the
	// caller must list again.
	ErrCompacted = errors.ConstError("the revision is no longer kept")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = errors.ConstError("the value is over the size limit")
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Revision numbers the changes of the whole store. The revision of a key is that of its last change; 0 means that the key
// does not exist.
//
// A store that comes back from an older copy gives numbers out again. Each return begins a new era, which a revision holds
// in its upper bits, so that revisions rise all the same.
type Revision uint64

// LeaseID identifies a lease; 0 means no lease. It holds the era in which the lease was granted, as revisions do.
type LeaseID uint64

// numberBits is the size of the number in a revision or lease; the era is above it.
const numberBits = 48

// MaxEra is the highest era that a revision can hold.
const MaxEra = 1<<(64-numberBits) - 1

// NewRevision returns the revision with a number of an era, which may not exceed MaxEra.
func NewRevision(era, number uint64) Revision {
	return Revision(era<<numberBits | number&(1<<numberBits-1))
}

// Era returns the era; 0 if the store does not have eras.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number within the era.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String returns the number, after the era and a slash if there is one.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.Number(), 10)
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}

// NewLeaseID returns the ID of a lease with a number of an era.
func NewLeaseID(era, number uint64) LeaseID { return LeaseID(NewRevision(era, number)) }

// Era returns the era in which the lease was granted.
func (id LeaseID) Era() uint64 { return Revision(id).Era() }

// Number returns the number within the era.
func (id LeaseID) Number() uint64 { return Revision(id).Number() }

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
