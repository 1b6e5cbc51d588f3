// Package signals turns the signals of the operating system into a graceful shutdown.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
)

// ErrSecondSignal means that a second signal ended the process before its graceful shutdown was over.
const ErrSecondSignal = errors.ConstError("a second signal ended the shutdown")

// Notify returns a channel of the signals that stop a process, and a function that ends the delivery.
func Notify() (received <-chan os.Signal, stop func()) {
	// Two signals may come before the first is read.
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	return c, func() { signal.Stop(c) }
}

// Run runs a task until it returns. The first signal calls drain, after which the task is expected to return by
// itself; the second makes Run return ErrSecond without waiting for the task.
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
