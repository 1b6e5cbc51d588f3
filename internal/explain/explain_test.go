package explain_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bramleymast/bramleymast/internal/explain"
)

// Guards against a timeline that lacks the process that passed a flow on, shows a process state from another time, or puts
// an effect before its cause because a clock is behind.
func TestTimeline(t *testing.T) {
	data, err := os.ReadFile("testdata/fleet.log")
	assert.NilError(t, err)
	var log explain.Log
	assert.NilError(t, log.Read("fleet", bytes.NewReader(data)))
	byRequest, err := log.Timeline("1f0c6e")
	assert.NilError(t, err)
	byFlow, err := log.Timeline("100.64.0.7:40001>198.18.0.1:443")
	assert.NilError(t, err)
	assert.DeepEqual(t, byRequest, byFlow)
	var out bytes.Buffer
	assert.NilError(t, byFlow.Write(&out))
	golden.Assert(t, out.String(), "timeline.golden")
	_, err = log.Timeline("3b")
	assert.ErrorIs(t, err, explain.ErrNotFound)
}

// Guards against input that makes the command panic.
func FuzzRead(f *testing.F) {
	f.Add(`{"@message":"flow placed","@timestamp":"2026-09-01T10:00:07Z","flow":"a"}`)
	f.Fuzz(func(t *testing.T, text string) {
		var log explain.Log
		if err := log.Read("x", strings.NewReader(text)); err != nil {
			return
		}
		if timeline, err := log.Timeline("a"); err == nil {
			assert.NilError(t, timeline.Write(&bytes.Buffer{}))
		}
	})
}
