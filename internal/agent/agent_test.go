package agent

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/flow"
)

// Guards against an agent that truncates, changes or does not stream a request or its response.
func TestRequestPassesThroughTheAgent(t *testing.T) {
	h := newHarness(t, plainContract)
	h.addAgent("one", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s ", r.Method, r.URL, r.Proto)
		_, _ = w.Write(b)
	}))
	body := bytes.Repeat([]byte("swatch"), 50_000)
	got := do(t, h.caller(), http.MethodPost, "/orders?x=1", body)
	assert.NilError(t, got.err)
	assert.Equal(t, got.StatusCode, http.StatusOK)
	assert.Equal(t, got.Header.Get(headerOutcome), string(outcomeAnswered))
	assert.Assert(t, bytes.Equal(got.body, append([]byte("POST /orders?x=1 HTTP/1.1 "), body...)))
	assert.Equal(t, h.owner.Load(), uint32(flow.ShortIDOf("one")))
}

// Guards against a flow that breaks because its packets reach agents that do not own it.
func TestPacketsAtOtherAgentsReachTheOwner(t *testing.T) {
	h := newHarness(t, plainContract)
	hello := func(name string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, name) })
	}
	for _, id := range []string{"one", "two", "three"} {
		h.addAgent(id, hello(id))
	}
	c := h.caller()
	var owner string
	for i := range 3 {
		got := do(t, c, http.MethodGet, "/", nil)
		assert.NilError(t, got.err)
		if i == 0 {
			owner = string(got.body)
		}
		assert.Equal(t, string(got.body), owner)
		h.setTarget((i + 1) % 3)
	}
}
