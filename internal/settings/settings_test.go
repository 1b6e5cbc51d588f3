package settings_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bramleymast/bramleymast/internal/settings"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

const validBalancer = `{
  "id": "b1", "zone": "a", "data_address": "127.0.0.1:0", "control_address": "127.0.0.1:0",
  "http_address": "0.0.0.0:9100", "shared_key_file": "shared.key", "store_url": "http://127.0.0.1:1"
}`

// Guards against defaults that differ from the documented ones, and against paths that depend on the working directory.
func TestBalancerDefaults(t *testing.T) {
	b, list := settings.DecodeBalancer("/etc/bramleymast/balancer.json", []byte(validBalancer))
	assert.NilError(t, list.Err())
	assert.Equal(t, b.Heartbeat(), time.Second)
	assert.Equal(t, b.ControlBudget(), 3072)
	assert.Equal(t, b.Log().Level(), hclog.Info)
	assert.Equal(t, b.Log().Format(), settings.LogText)
	assert.Equal(t, b.SharedKeyFile(), "/etc/bramleymast/shared.key")
	assert.Assert(t, !b.BindIP().IsValid())
}

// Guards against findings that are reported one at a time, without their line or without the allowed values.
func TestFindingsOfAllKinds(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	assert.NilError(t, err)
	decoders := map[string]func(string, []byte) finding.List{
		"balancer": func(f string, d []byte) finding.List { _, l := settings.DecodeBalancer(f, d); return l },
		"agent":    func(f string, d []byte) finding.List { _, l := settings.DecodeAgent(f, d); return l },
		"operator": func(f string, d []byte) finding.List { _, l := settings.DecodeOperator(f, d); return l },
		"store":    func(f string, d []byte) finding.List { _, l := settings.DecodeStandinStore(f, d); return l },
		"fabric":   func(f string, d []byte) finding.List { _, l := settings.DecodeStandinFabric(f, d); return l },
		"backend":  func(f string, d []byte) finding.List { _, l := settings.DecodeStandinBackend(f, d); return l },
		"caller":   func(f string, d []byte) finding.List { _, l := settings.DecodeStandinCaller(f, d); return l },
	}
	assert.Equal(t, len(files), len(decoders))
	for _, file := range files {
		name := filepath.Base(file[:len(file)-len(".json")])
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			list := decoders[name](name+".json", data)
			golden.Assert(t, list.Err().Error()+"\n", name+".golden")
		})
	}
}

// Guards against a key that is too short for the datagram codec.
func TestReadSharedKeyRejectsShortKey(t *testing.T) {
	file := filepath.Join(t.TempDir(), "shared.key")
	assert.NilError(t, os.WriteFile(file, []byte("00ff\n"), 0o600))
	_, err := settings.ReadSharedKey(file)
	assert.ErrorContains(t, err, "at least 64 hexadecimal digits")
}
