package backend

import (
	"context"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// holdPoint blocks downloads that have sent afterBytes or more; the zero value blocks nothing.
//
// Writes count as responses that have sent 0 bytes, so only a hold at 0 bytes blocks them.
type holdPoint struct {
	mu         sync.Mutex
	afterBytes int64
	released   chan struct{}
	held       int
}

func (h *holdPoint) set(afterBytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.afterBytes = afterBytes
	if h.released == nil {
		h.released = make(chan struct{})
	}
}

func (h *holdPoint) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released != nil {
		close(h.released)
		h.released = nil
	}
}

func (h *holdPoint) heldCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

func (h *holdPoint) addHeld(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held += n
}

// wait blocks a response that has sent afterBytes or more until the hold is released or the request is cancelled.
func (h *holdPoint) wait(ctx context.Context, sent int64, rc *http.ResponseController) error {
	h.mu.Lock()
	released, after := h.released, h.afterBytes
	h.mu.Unlock()
	if released == nil || sent < after {
		return nil
	}
	if sent > 0 {
		if err := rc.Flush(); err != nil {
			return errors.Trace(err)
		}
	}
	h.addHeld(1)
	defer h.addHeld(-1)
	select {
	case <-released:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
