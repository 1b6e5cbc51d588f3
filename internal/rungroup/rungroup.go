// Package rungroup runs tasks on an ants pool and stops them together.
package rungroup

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"
)

// Group is a set of tasks that stop together: the first that returns an error ends the others.
type Group struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	pool   *ants.Pool
	wg     sync.WaitGroup
	once   sync.Once
	err    error
}

// New returns a group whose tasks end when the context ends.
func New(ctx context.Context) (*Group, error) {
	pool, err := ants.NewPool(-1)
	if err != nil {
		return nil, errors.Annotate(err, "cannot create the worker pool")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	return &Group{ctx: ctx, cancel: cancel, pool: pool}, nil
}

// Context returns the context that ends when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a task.
func (g *Group) Go(task func(ctx context.Context) error) {
	g.wg.Add(1)
	err := g.pool.Submit(func() {
		defer g.wg.Done()
		if err := task(g.ctx); err != nil {
			g.fail(err)
		}
	})
	if err != nil {
		g.wg.Done()
		g.fail(err)
	}
}

func (g *Group) fail(err error) {
	g.once.Do(func() {
		g.err = err
		g.cancel(err)
	})
}

// Stop ends the group without an error.
func (g *Group) Stop() { g.cancel(context.Canceled) }

// Wait blocks until all tasks have returned and gives the first error.
func (g *Group) Wait() error {
	g.wg.Wait()
	g.cancel(context.Canceled)
	g.pool.Release()
	return g.err
}
