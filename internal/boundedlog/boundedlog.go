// Package boundedlog writes log lines without ever blocking the process that logs.
package boundedlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the buffers in lines. Important lines have a buffer of their own, so that they outlive the others.
const (
	usualLines     = 2048
	importantLines = 512
	// maxBatch bounds one write in bytes.
	maxBatch = 32 << 10
	// dropReport is how often a line tells how many lines were dropped.
	dropReport = time.Second
)

// Writer hands lines to another writer in the background. A line that does not fit in the buffer is dropped and
// counted. It is safe for concurrent use.
type Writer struct {
	out       io.Writer
	usual     chan []byte
	important chan []byte
	dropped   [2]atomic.Uint64
	done      chan struct{}
	once      sync.Once
}

// New returns a writer to out; Run must be running for lines to be written.
func New(out io.Writer) *Writer {
	return &Writer{
		out: out, usual: make(chan []byte, usualLines), important: make(chan []byte, importantLines),
		done: make(chan struct{}),
	}
}

// Write takes a line of usual importance; it never fails or blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.put(w.usual, &w.dropped[0], line)
	return len(line), nil
}

// Important returns the writer of lines that are dropped last.
func (w *Writer) Important() io.Writer { return importantWriter{w} }

type importantWriter struct{ w *Writer }

func (i importantWriter) Write(line []byte) (int, error) {
	i.w.put(i.w.important, &i.w.dropped[1], line)
	return len(line), nil
}

func (w *Writer) put(c chan []byte, dropped *atomic.Uint64, line []byte) {
	select {
	case c <- bytes.Clone(line):
	default:
		dropped.Add(1)
	}
}

// Dropped returns how many usual and important lines were dropped since the start.
func (w *Writer) Dropped() (usual, important uint64) {
	return w.dropped[0].Load(), w.dropped[1].Load()
}

// Run writes lines until the context ends, and then what is still in the buffers.
func (w *Writer) Run(ctx context.Context) error {
	defer w.once.Do(func() { close(w.done) })
	var told [2]uint64
	var last time.Time
	for {
		var batch []byte
		select {
		case <-ctx.Done():
			w.flush(w.collect(nil))
			return nil
		case line := <-w.important:
			batch = w.collect(line)
		case line := <-w.usual:
			batch = w.collect(line)
		}
		usual, important := w.Dropped()
		if now := time.Now(); (usual != told[0] || important != told[1]) && now.Sub(last) >= dropReport {
			last = now
			batch = fmt.Appendf(batch, `{"@level":"warn","@message":"log lines dropped","usual":%d,"important":%d}`+"\n", usual-told[0], important-told[1])
			told = [2]uint64{usual, important}
		}
		w.flush(batch)
	}
}

// Done ends when Run has written its last line.
func (w *Writer) Done() <-chan struct{} { return w.done }

// collect appends lines that are waiting, the important ones first.
func (w *Writer) collect(batch []byte) []byte {
	for len(batch) < maxBatch {
		select {
		case line := <-w.important:
			batch = append(batch, line...)
			continue
		default:
		}
		select {
		case line := <-w.usual:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// flush ignores errors: there is no other place to report that the log cannot be written.
func (w *Writer) flush(batch []byte) {
	if len(batch) > 0 {
		_, _ = w.out.Write(batch)
	}
}
