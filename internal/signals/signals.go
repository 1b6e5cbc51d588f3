// Package signals starts a graceful shutdown when the process receives a termination signal.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
)

// ErrSecondSignal means that a second signal ended the process before its graceful shutdown was complete.
const ErrSecondSignal = errors.ConstError("a second signal ended the shutdown")

// Notify returns a channel that receives SIGTERM and SIGINT, and a function that stops the delivery.
func Notify() (received <-chan os.Signal, stop func()) {
	// Two signals may arrive before the first is read.
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	return c, func() { signal.Stop(c) }
}

// Run runs a task until it returns. On the first signal it calls drain, after which the task is expected to return. On the
// second signal it returns ErrSecondSignal without waiting for the task.
func Run(ctx context.Context, received <-chan os.Signal, drain func(), task func(ctx context.Context) error) error {
	done := make(chan error, 1)
	go func() { done <- task(ctx) }()
	draining := false
	for {
		select {
		case err := <-done:
			return err
		case <-received:
			if draining {
				return ErrSecondSignal
			}
			draining = true
			drain()
		}
	}
}
