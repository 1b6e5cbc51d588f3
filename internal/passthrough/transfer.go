package passthrough

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/juju/errors"
)

const (
	// minCompressed is the size in bytes from which an encoded configuration is compressed for other processes.
	minCompressed = 4 << 10
	// maxConfig limits the size of a configuration that another process has compressed.
	maxConfig = 64 << 20
)

// compressedConfig holds the newest configuration in compressed form, since many processes fetch each version. The zero
// value is ready to use. It is safe for concurrent use.
type compressedConfig struct {
	mu       sync.Mutex
	revision uint64
	version  uint64
	value    []byte
}

// get returns the compressed value of the configuration in an entry. Two versions may have one revision, if the store has
// come back from a copy with the older one.
func (c *compressedConfig) get(e *EntryState) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.value != nil && c.revision == e.Revision && c.version == e.version {
		return c.value, nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(e.Value); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	c.revision, c.version, c.value = e.Revision, e.version, b.Bytes()
	return c.value, nil
}

// shrink leaves out the configuration of an entry if the receiver has it already, and otherwise compresses it.
func (c *compressedConfig) shrink(e *EntryState, args StateArgs) {
	if e.Revision <= args.Known && e.version <= args.KnownVersion {
		e.Value = nil // An entry that is not newer is ignored.
		return
	}
	if len(e.Value) < minCompressed {
		return
	}
	if v, err := c.get(e); err == nil {
		e.Value, e.Compressed = v, true
	}
}

// decompress returns the value of an entry.
func (e *EntryState) decompress() ([]byte, error) {
	if !e.Compressed {
		return e.Value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(e.Value))
	if err != nil {
		return nil, errors.Annotatef(err, "compressed entry %s", e.Key)
	}
	value, err := io.ReadAll(io.LimitReader(r, maxConfig))
	return value, errors.Annotatef(err, "compressed entry %s", e.Key)
}
