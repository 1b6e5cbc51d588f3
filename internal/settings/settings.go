// Package settings reads the settings files of the processes and reports all findings in a file at once.
package settings

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/strictjson"
	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// errNotAllowed is returned to strictjson for a text that is not an allowed value. The finding shows the allowed values.
const errNotAllowed = errors.ConstError("not allowed")

// jsonSettings is the JSON form of settings of type T.
type jsonSettings[T any] interface {
	// settings returns the settings with defaults applied and adds findings for fields that contradict each other.
	settings(s *strictjson.Source) T
}

// decode decodes settings from JSON. Relative file names in them are relative to the directory of the settings file.
func decode[J jsonSettings[T], T any](file string, data []byte) (T, finding.List) {
	raw, source := strictjson.Decode[J](file, data)
	v := raw.settings(source)
	return v, source.Findings()
}

// load reads a settings file. The error holds all findings.
func load[J jsonSettings[T], T any](file string) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		var zero T
		return zero, errors.Annotate(err, "cannot read the settings")
	}
	v, list := decode[J, T](file, data)
	return v, list.Err()
}

// resolvePath resolves a file name relative to the directory of the settings file.
func resolvePath(settingsFile, name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(settingsFile), name)
}

// ReadSharedKey reads a shared key file: hexadecimal digits of at least 32 bytes, which may be surrounded by white space.
func ReadSharedKey(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "cannot read the shared key")
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(key) < wire.KeySize {
		return nil, errors.Errorf("%s: the shared key must be at least %d hexadecimal digits", file, 2*wire.KeySize)
	}
	return key, nil
}
