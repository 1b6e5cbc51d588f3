package contract_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bramleymast/bramleymast/pkg/contract"
)

// Guards against fields whose range, type or relation to other fields is not validated.
func TestDecodeReportsEveryFinding(t *testing.T) {
	for _, name := range []string{"ranges", "types", "relations", "syntax", "empty"} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("testdata/" + name + ".json")
			assert.NilError(t, err)
			_, findings := contract.Decode(name+".json", data)
			golden.Assert(t, findings.Err().Error()+"\n", name+".golden")
		})
	}
}

// Guards against a default wait time that is longer than the deadline in the contract.
func TestDefaultsFollowTheDeadline(t *testing.T) {
	c, findings := contract.Decode("f", []byte(`{"service": "s", "addresses": ["10.0.0.1:443"], "zones": ["a"],
  "backend": {"slots": 1}, "cold_start": {"slots": 1}, "deadline_ms": 100}`))
	assert.NilError(t, findings.Err())
	assert.Equal(t, c.MaxWait(), c.Deadline())
}

// FuzzDecode guards against input that makes Decode panic, findings without a line, and contracts that change when they
// are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(orders))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, findings := contract.Decode("f", data)
		if findings.Len() > 0 {
			for _, found := range findings.All() {
				assert.Assert(t, found.Line() > 0, "no line: %s", found)
			}
			return
		}
		encoded, err := c.Encode()
		assert.NilError(t, err)
		again, findings := contract.Decode("f", encoded)
		assert.NilError(t, findings.Err())
		assert.Equal(t, len(contract.Diff(c, again)), 0)
	})
}
