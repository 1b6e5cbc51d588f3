package operator

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// dryRun is a store whose writes are checked and not made.
type dryRun struct {
	store.Store
}

// DryRun returns a store that answers a write as the real one would, without making it.
func DryRun(s store.Store) store.Store { return dryRun{Store: s} }

// CompareAndSwap checks the expected revision and returns it unchanged.
func (d dryRun) CompareAndSwap(ctx context.Context, key string, _ []byte, expected store.Revision, _ store.LeaseID) (store.Revision, error) {
	return expected, d.check(ctx, key, expected)
}

// Delete checks the expected revision.
func (d dryRun) Delete(ctx context.Context, key string, expected store.Revision) error {
	return d.check(ctx, key, expected)
}

func (d dryRun) check(ctx context.Context, key string, expected store.Revision) error {
	e, err := d.Get(ctx, key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		e = store.Entry{}
	case err != nil:
		// Nothing is ever sent, so no outcome of a dry run is unknown.
		return errors.Annotatef(store.ErrUnavailable, "%v", err)
	}
	if e.Revision != expected {
		return store.ErrConflict
	}
	return nil
}

// debug is a store whose calls are logged.
type debug struct {
	store.Store
	log hclog.Logger
}

// WithDebugLog returns a store that logs the calls that operators make.
func WithDebugLog(s store.Store, log hclog.Logger) store.Store { return debug{Store: s, log: log} }

func (d debug) Get(ctx context.Context, key string) (store.Entry, error) {
	e, err := d.Store.Get(ctx, key)
	d.log.Debug("store get", "key", key, "revision", uint64(e.Revision), "error", err)
	return e, err
}

func (d debug) List(ctx context.Context, prefix string) (store.Page, error) {
	p, err := d.Store.List(ctx, prefix)
	d.log.Debug("store list", "prefix", prefix, "entries", len(p.Entries), "revision", uint64(p.Revision), "error", err)
	return p, err
}

func (d debug) CompareAndSwap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	r, err := d.Store.CompareAndSwap(ctx, key, value, expected, lease)
	d.log.Debug("store swap", "key", key, "bytes", len(value), "expected", uint64(expected), "revision", uint64(r), "error", err)
	return r, err
}

func (d debug) Delete(ctx context.Context, key string, expected store.Revision) error {
	err := d.Store.Delete(ctx, key, expected)
	d.log.Debug("store delete", "key", key, "expected", uint64(expected), "error", err)
	return err
}
