package operator

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// dryRunStore checks writes without making them.
type dryRunStore struct {
	store.Store
}

// DryRun returns a store that checks the expected revision of each write without making it.
func DryRun(s store.Store) store.Store { return dryRunStore{Store: s} }

// CompareAndSwap checks the expected revision and returns it unchanged.
func (d dryRunStore) CompareAndSwap(ctx context.Context, key string, _ []byte, expected store.Revision, _ store.LeaseID) (store.Revision, error) {
	return expected, d.check(ctx, key, expected)
}

// Delete checks the expected revision.
func (d dryRunStore) Delete(ctx context.Context, key string, expected store.Revision) error {
	return d.check(ctx, key, expected)
}

func (d dryRunStore) check(ctx context.Context, key string, expected store.Revision) error {
	e, err := d.Get(ctx, key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		e = store.Entry{}
	case err != nil:
		// A dry run sends no write, so its outcome is never unknown.
		return errors.Annotatef(store.ErrUnavailable, "%v", err)
	}
	if e.Revision != expected {
		return store.ErrConflict
	}
	return nil
}

// loggingStore logs the calls to a store.
type loggingStore struct {
	store.Store
	log hclog.Logger
}

// WithDebugLog returns a store that logs calls at debug level.
func WithDebugLog(s store.Store, log hclog.Logger) store.Store {
	return loggingStore{Store: s, log: log}
}

func (l loggingStore) Get(ctx context.Context, key string) (store.Entry, error) {
	e, err := l.Store.Get(ctx, key)
	l.log.Debug("store get", "key", key, "revision", uint64(e.Revision), "error", err)
	return e, err
}

func (l loggingStore) List(ctx context.Context, prefix string) (store.Page, error) {
	p, err := l.Store.List(ctx, prefix)
	l.log.Debug("store list", "prefix", prefix, "entries", len(p.Entries), "revision", uint64(p.Revision), "error", err)
	return p, err
}

func (l loggingStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	r, err := l.Store.CompareAndSwap(ctx, key, value, expected, lease)
	l.log.Debug("store swap", "key", key, "bytes", len(value), "expected", uint64(expected), "revision", uint64(r), "error", err)
	return r, err
}

func (l loggingStore) Delete(ctx context.Context, key string, expected store.Revision) error {
	err := l.Store.Delete(ctx, key, expected)
	l.log.Debug("store delete", "key", key, "expected", uint64(expected), "error", err)
	return err
}
