// Package boundedlog writes log lines in the background without blocking the process that logs.
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

// Limits of the buffers in lines. Important lines have a separate buffer, so that normal lines do not displace them.
const (
	normalLines    = 2048
	importantLines = 512
	// maxBatchBytes is the size from which no more lines are added to one write.
	maxBatchBytes = 32 << 10
	// dropReportInterval is the minimum interval between reports of dropped lines.
	dropReportInterval = time.Second
)

// Writer writes lines to another writer in the background. It drops and counts lines when the buffer is full. It is safe
// for concurrent use.
type Writer struct {
	out       io.Writer
	normal    chan []byte
	important chan []byte
	dropped   [2]atomic.Uint64 // normal and important lines
	done      chan struct{}
	closeDone sync.Once
}

// New returns a writer to out. Lines are written only while Run is running.
func New(out io.Writer) *Writer {
	return &Writer{
		out: out, normal: make(chan []byte, normalLines), important: make(chan []byte, importantLines),
		done: make(chan struct{}),
	}
}

// Write enqueues a normal line; it never fails or blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.enqueue(w.normal, &w.dropped[0], line)
	return len(line), nil
}

// Important returns the writer for important lines.
func (w *Writer) Important() io.Writer { return importantWriter{w} }

type importantWriter struct{ w *Writer }

func (i importantWriter) Write(line []byte) (int, error) {
	i.w.enqueue(i.w.important, &i.w.dropped[1], line)
	return len(line), nil
}

func (w *Writer) enqueue(c chan []byte, dropped *atomic.Uint64, line []byte) {
	select {
	case c <- bytes.Clone(line):
	default:
		dropped.Add(1)
	}
}

// Dropped returns the number of normal and important lines that were dropped since the start.
func (w *Writer) Dropped() (normal, important uint64) {
	return w.dropped[0].Load(), w.dropped[1].Load()
}

// Run writes lines until the context ends, and then writes the lines that are buffered.
func (w *Writer) Run(ctx context.Context) error {
	defer w.closeDone.Do(func() { close(w.done) })
	var reported [2]uint64
	var lastReport time.Time
	for {
		var batch []byte
		select {
		case <-ctx.Done():
			for batch := w.collect(nil); len(batch) > 0; batch = w.collect(nil) {
				w.flush(batch)
			}
			return nil
		case line := <-w.important:
			batch = w.collect(line)
		case line := <-w.normal:
			batch = w.collect(line)
		}
		normal, important := w.Dropped()
		if now := time.Now(); (normal != reported[0] || important != reported[1]) && now.Sub(lastReport) >= dropReportInterval {
			lastReport = now
			batch = fmt.Appendf(batch, `{"@level":"warn","@message":"log lines dropped","usual":%d,"important":%d}`+"\n", normal-reported[0], important-reported[1])
			reported = [2]uint64{normal, important}
		}
		w.flush(batch)
	}
}

// Done returns a channel that is closed when Run has written the last line.
func (w *Writer) Done() <-chan struct{} { return w.done }

// collect appends buffered lines to the batch, the important ones first.
func (w *Writer) collect(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.important:
			batch = append(batch, line...)
			continue
		default:
		}
		select {
		case line := <-w.normal:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// flush writes a batch. It ignores errors, because they could only be reported in the log itself.
func (w *Writer) flush(batch []byte) {
	if len(batch) > 0 {
		_, _ = w.out.Write(batch)
	}
}
