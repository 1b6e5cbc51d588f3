package configvalue_test

import (
	"encoding/base64"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/store"
)

const sample = `{"service":"portal","addresses":["10.0.0.1:443"],"zones":["a"],"backend":{"slots":2},"cold_start":{"slots":1}}`

// Guards against a codec that loses a field, so that a process that reads the store applies a wrong limit.
func TestContractRoundTrip(t *testing.T) {
	c, list := contract.Decode("", []byte(sample))
	assert.NilError(t, list.Err())
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	v := configvalue.Contract{OperationID: "op-0", Author: "ann", Time: now, Contract: c}
	for i := range configvalue.MaxHistory + 5 {
		v = v.Next(store.Revision(i+1), "op", "ben", now, c)
	}
	assert.Equal(t, len(v.Changes), configvalue.MaxHistory)
	assert.Equal(t, v.Changes[0].Revision, store.Revision(configvalue.MaxHistory+5))
	data, err := configvalue.EncodeContract(v)
	assert.NilError(t, err)
	decoded, err := configvalue.DecodeContract(data)
	assert.NilError(t, err)
	again, err := configvalue.EncodeContract(decoded)
	assert.NilError(t, err)
	assert.Equal(t, string(again), string(data))
}

// Guards against accepting values that cannot be decoded completely.
func TestDecodeRejects(t *testing.T) {
	for _, data := range []string{``, `{}`, `{"surprise":1}`, `{"contract":{"service":""}}`, `{"contract":` + sample + `} x`} {
		_, err := configvalue.DecodeContract([]byte(data))
		assert.Assert(t, err != nil, data)
	}
	_, err := configvalue.DecodeState([]byte(`{"out":"yes"}`))
	assert.ErrorContains(t, err, "cannot decode")
	_, err = configvalue.EncodeState(configvalue.State{Reason: strings.Repeat("x", store.MaxValueBytes)})
	assert.ErrorIs(t, err, store.ErrTooLarge)
}

// Guards against a configuration key that is parsed to a wrong kind or name.
func TestParseKey(t *testing.T) {
	kind, name, err := configvalue.ParseKey(configvalue.ZoneKey("zone-a"))
	assert.NilError(t, err)
	assert.Equal(t, kind, configvalue.KindZone)
	assert.Equal(t, name, "zone-a")
	_, _, err = configvalue.ParseKey("config/zones/")
	assert.ErrorIs(t, err, configvalue.ErrUnknownKey)
}

// Guards against values with which a list of 5,700 services exceeds the 64 MiB that the store's client accepts; the test
// allows 16 MiB.
func TestValueWithAllChangesIsSmall(t *testing.T) {
	c, list := contract.Decode("", []byte(`{"service":"service-0000","addresses":["10.0.0.1:443","10.0.0.2:443"],
  "zones":["zone-a","zone-b","zone-c"],"backend":{"slots":7},"cold_start":{"slots":2}}`))
	assert.NilError(t, list.Err())
	v := configvalue.Contract{OperationID: "0123456789abcdef", Author: "operator", Time: time.Unix(1767323045, 123456789).UTC(), Contract: c}
	for n := range configvalue.MaxHistory + 1 {
		data, err := configvalue.EncodeContract(v)
		assert.NilError(t, err)
		all := 5700 * base64.StdEncoding.EncodedLen(len(data))
		t.Logf("%d changes: %d bytes, %d for 5,700 services in base64", n, len(data), all)
		assert.Assert(t, all < 16<<20)
		v = v.Next(store.Revision(1000000+n), v.OperationID, v.Author, v.Time, c)
	}
}
