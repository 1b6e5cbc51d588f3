// Package rungroup runs tasks concurrently on an ants pool and stops them together.
package rungroup

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"
)

// Group is a set of tasks with a common context. The first error of a task cancels the context.
type Group struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	pool   *ants.Pool
	wg     sync.WaitGroup
	once   sync.Once
	err    error
}

// New returns a group whose context is derived from ctx.
func New(ctx context.Context) (*Group, error) {
	pool, err := ants.NewPool(-1)
	if err != nil {
		return nil, errors.Annotate(err, "cannot create the worker pool")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	return &Group{ctx: ctx, cancel: cancel, pool: pool}, nil
}

// Context returns the context of the tasks, which ends when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a task. If the task cannot be started, the group stops with that error.
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

// Stop cancels the context of the tasks without an error.
func (g *Group) Stop() { g.cancel(context.Canceled) }

// Wait blocks until all tasks have returned, and returns the first error.
func (g *Group) Wait() error {
	g.wg.Wait()
	g.cancel(context.Canceled)
	g.pool.Release()
	return g.err
}
