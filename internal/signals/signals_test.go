package signals_test

import (
	"context"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/signals"
)

// Guards against a shutdown that aborts the task on the first signal or ignores the second.
func TestRunDrainsOnceAndEndsOnTheSecondSignal(t *testing.T) {
	received := make(chan os.Signal, 2)
	received <- syscall.SIGTERM
	drained := make(chan struct{})
	err := signals.Run(context.Background(), received, func() { close(drained) }, func(context.Context) error {
		<-drained
		return nil
	})
	assert.NilError(t, err)

	received <- syscall.SIGTERM
	received <- syscall.SIGTERM
	blocked := make(chan struct{})
	defer close(blocked)
	drains := 0
	err = signals.Run(context.Background(), received, func() { drains++ }, func(context.Context) error {
		<-blocked
		return nil
	})
	assert.ErrorIs(t, err, signals.ErrSecondSignal)
	assert.Equal(t, drains, 1)
}
