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
	first   []byte // the first batch, which Run holds while the writer blocks
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	if w.first == nil {
		w.first = bytes.Clone(p)
	}
	return w.buf.Write(p)
}

// Limits of the package: a buffer of normal lines, and one batch that is being written.
const (
	bufferedLines = 2048
	batchBytes    = 32 << 10
)

// Guards against a process that blocks because its log is not read, and against dropping important lines such as refusals
// because of normal lines such as successes.
func TestStuckReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuckWriter{release: make(chan struct{})}
		w := boundedlog.New(out)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = w.Run(ctx) }()
		const lines = 10_000
		for i := range lines {
			_, err := fmt.Fprintf(w, "usual %d\n", i)
			assert.NilError(t, err)
		}
		for i := range 100 {
			_, err := fmt.Fprintf(w.Important(), "important %d\n", i)
			assert.NilError(t, err)
		}
		synctest.Wait()
		usual, important := w.Dropped()
		assert.Equal(t, important, uint64(0))
		close(out.release)
		synctest.Wait()
		cancel()
		<-w.Done()
		text := out.buf.String()
		written, inBatch := strings.Count(text, "usual "), strings.Count(string(out.first), "usual ")
		assert.Equal(t, written+int(usual), lines, "lines written and dropped")
		assert.Assert(t, len(out.first) < batchBytes+len("usual 9999\n"), "batch of %d bytes", len(out.first))
		assert.Assert(t, written-inBatch <= bufferedLines, "%d lines kept beside the batch", written-inBatch)
		assert.Equal(t, strings.Count(text, "important "), 100)
		assert.Assert(t, strings.Contains(text, `"@message":"log lines dropped","usual":`))
	})
}

// Guards against losing buffered lines, which may be more than one batch, when a process stops.
func TestLastLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := boundedlog.New(&out)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		line := strings.Repeat("x", batchBytes/8) + "\n"
		for range 100 {
			_, _ = w.Write([]byte(line))
		}
		assert.NilError(t, w.Run(ctx))
		<-w.Done()
		assert.Equal(t, strings.Count(out.String(), line), 100)
	})
}
