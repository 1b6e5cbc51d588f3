package cmd

import (
	"bytes"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against output that differs from docs/CAPACITY.md, and against invalid sizes that are accepted.
func TestCapacity(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	var out, errOut bytes.Buffer
	assert.Equal(t, Main(t.Context(), []string{"capacity"}, &out, &errOut), ExitSuccess)
	assert.Equal(t, out.String(), string(page))
	assert.Equal(t, Main(t.Context(), []string{"capacity", "--zones", "0", "--changes", "-1"}, &out, &errOut), ExitBadInput)
	assert.Equal(t, errOut.String(), "--zones: is 0 (allowed: more than 0)\n--changes: is -1 (allowed: 0 or more)\n")
}
