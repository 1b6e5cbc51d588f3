// Package settings reads the settings files of the processes and checks each as a whole.
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

// errNotAllowed tells strictjson that a text is not one of the allowed values.
const errNotAllowed = errors.ConstError("not allowed")

// wireType is the JSON form of settings of type T.
type wireType[T any] interface {
	// settings returns the settings with defaults applied and adds a finding for what does not fit together.
	settings(s *strictjson.Source) T
}

// decode reads settings in JSON; relative file names in them count from the directory of the settings file.
func decode[W wireType[T], T any](file string, data []byte) (T, finding.List) {
	raw, source := strictjson.Decode[W](file, data)
	v := raw.settings(source)
	return v, source.Findings()
}

// load reads a settings file; the error holds every finding.
func load[W wireType[T], T any](file string) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		var zero T
		return zero, errors.Annotate(err, "cannot read the settings")
	}
	v, list := decode[W, T](file, data)
	return v, list.Err()
}

// beside returns a file name as seen from the directory of the settings file.
func beside(settingsFile, name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(settingsFile), name)
}

// ReadSharedKey reads a shared key file: hexadecimal digits of at least 32 bytes, with white space around them.
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
