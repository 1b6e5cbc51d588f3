package passthrough_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/passthrough"
)

// Guards against a misspelled feature that is silently off.
func TestParseFeatures(t *testing.T) {
	f, err := passthrough.ParseFeatures("flow_records,detours")
	assert.NilError(t, err)
	assert.Assert(t, f.Has(passthrough.FlowRecords) && f.Has(passthrough.Detours) && !f.Has(passthrough.RouteSplit))
	f, err = passthrough.ParseFeatures("")
	assert.NilError(t, err)
	assert.Assert(t, !f.Has(passthrough.FlowRecords))
	_, err = passthrough.ParseFeatures("flow_record")
	assert.ErrorContains(t, err, `unknown feature "flow_record"`)
}
