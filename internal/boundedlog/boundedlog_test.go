package boundedlog_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/boundedlog"
)

// stuckWriter blocks until it is released, like a pipe that is not read.
type stuckWriter struct {
	release chan struct{}
	buf     bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.buf.Write(p)
}

// Guards against a process that blocks because its log is not read, and against dropping important lines such as refusals
// because of normal lines such as successes.
func TestStuckReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuckWriter{release: make(chan struct{})}
		w := boundedlog.New(out)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = w.Run(ctx) }()
		for i := range 10_000 {
			_, err := fmt.Fprintf(w, "usual %d\n", i)
			assert.NilError(t, err)
		}
		for i := range 100 {
			_, err := fmt.Fprintf(w.Important(), "important %d\n", i)
			assert.NilError(t, err)
		}
		synctest.Wait()
		usual, important := w.Dropped()
		assert.Assert(t, usual > 7000, "%d dropped", usual)
		assert.Equal(t, important, uint64(0))
		close(out.release)
		synctest.Wait()
		cancel()
		<-w.Done()
		text := out.buf.String()
		assert.Equal(t, strings.Count(text, "important "), 100)
		assert.Assert(t, strings.Contains(text, `"@message":"log lines dropped","usual":`))
	})
}

// Guards against losing buffered lines when a process stops.
func TestLastLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := boundedlog.New(&out)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _ = w.Write([]byte("last\n"))
		assert.NilError(t, w.Run(ctx))
		<-w.Done()
		assert.Equal(t, out.String(), "last\n")
	})
}
