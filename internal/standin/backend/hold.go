package backend

import (
	"context"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// hold stops downloads at a number of bytes, and writes at 0 bytes; the zero value stops none.
type hold struct {
	mu       sync.Mutex
	after    int64
	released chan struct{}
	count    int
}

func (h *hold) set(after int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.after = after
	if h.released == nil {
		h.released = make(chan struct{})
	}
}

func (h *hold) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released != nil {
		close(h.released)
		h.released = nil
	}
}

func (h *hold) waiting() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count
}

func (h *hold) add(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count += n
}

// wait blocks a response that has sent enough bytes until it is released or cancelled.
func (h *hold) wait(ctx context.Context, sent int64, f *http.ResponseController) error {
	h.mu.Lock()
	released, after := h.released, h.after
	h.mu.Unlock()
	if released == nil || sent < after {
		return nil
	}
	if sent > 0 {
		if err := f.Flush(); err != nil {
			return errors.Trace(err)
		}
	}
	h.add(1)
	defer h.add(-1)
	select {
	case <-released:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
