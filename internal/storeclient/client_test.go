package storeclient_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/bramleymast/bramleymast/internal/standin/store"
	"github.com/bramleymast/bramleymast/internal/storeclient"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// start starts a stand-in store and returns it with a client.
func start(t *testing.T) (*standin.Server, *storeclient.Client) {
	t.Helper()
	s := &standin.Server{}
	h := httptest.NewServer(s)
	c := storeclient.New(h.URL)
	t.Cleanup(func() {
		c.Close()
		h.CloseClientConnections()
		h.Close()
	})
	return s, c
}

// Guards against reporting a write that took effect as not sent.
func TestLostAnswerIsUnknownOutcome(t *testing.T) {
	s, c := start(t)
	s.SetFault(standin.Fault{LoseAnswers: 1})
	_, err := c.CompareAndSwap(t.Context(), "config/a", []byte("x"), 0, 0)
	assert.ErrorIs(t, err, store.ErrUnknownOutcome)
	e, err := c.Get(t.Context(), "config/a")
	assert.NilError(t, err)
	assert.Equal(t, string(e.Value), "x")
	_, err = c.CompareAndSwap(t.Context(), "config/a", []byte("y"), 0, 0)
	assert.ErrorIs(t, err, store.ErrConflict)
	assert.Equal(t, s.Calls()[standin.CallSwap], 2, "the client repeated a call")
}

// Guards against ErrUnavailable for a request that was sent, and against another error for one that was not sent.
func TestUnavailableOnlyWhenNotSent(t *testing.T) {
	s, c := start(t)
	s.SetFault(standin.Fault{Down: true})
	_, err := c.CompareAndSwap(t.Context(), "config/a", nil, 0, 0)
	assert.ErrorIs(t, err, store.ErrUnknownOutcome)
	closed := httptest.NewServer(s)
	closed.Close()
	_, err = storeclient.New(closed.URL).CompareAndSwap(t.Context(), "config/a", nil, 0, 0)
	assert.ErrorIs(t, err, store.ErrUnavailable)
}

// Guards against a watch that misses a change, or that does not report a compacted revision.
func TestWatchAndCompaction(t *testing.T) {
	_, c := start(t)
	r, err := c.CompareAndSwap(t.Context(), "config/a", []byte("1"), 0, 0)
	assert.NilError(t, err)
	page, err := c.Watch(t.Context(), "config/", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Entries), 1)
	assert.NilError(t, c.Delete(t.Context(), "config/a", r))
	page, err = c.Watch(t.Context(), "config/", r)
	assert.NilError(t, err)
	assert.Assert(t, page.Entries[0].Deleted)
	_, err = c.Watch(t.Context(), "config/", page.Revision+9)
	assert.ErrorIs(t, err, store.ErrCompacted)
}

// Guards against a key that remains after its lease is revoked, and against values over the size limit.
func TestLeaseAndLimit(t *testing.T) {
	_, c := start(t)
	id, err := c.Grant(t.Context(), time.Minute)
	assert.NilError(t, err)
	_, err = c.CompareAndSwap(t.Context(), "relay/a", []byte("b1"), 0, id)
	assert.NilError(t, err)
	assert.NilError(t, c.Renew(t.Context(), id))
	assert.NilError(t, c.Revoke(t.Context(), id))
	_, err = c.Get(t.Context(), "relay/a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	assert.ErrorIs(t, c.Renew(context.Background(), id), store.ErrNotFound)
	_, err = c.CompareAndSwap(t.Context(), "config/a", []byte(strings.Repeat("x", store.MaxValueBytes+1)), 0, 0)
	assert.ErrorIs(t, err, store.ErrTooLarge)
}
