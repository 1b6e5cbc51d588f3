package passthrough

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/route"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Guards against traffic between zones that grows with the size of the configuration: each process fetches each version
// from another one, and those that have a version fetch it again for a change of a zone.
// Load: 1,800 routes of some 130 bytes.
func TestFetchedConfigurationIsSmall(t *testing.T) {
	var routes strings.Builder
	for i := range 1800 {
		fmt.Fprintf(&routes, `{"host":"198.18.%d.%d","prefix":"/443/","service":"orders","kind":"safe","timeout-ms":2500,"target-latency-ms":300,"priority":2,"max-attempts":1},`, i/250, i%250)
	}
	config := []byte(routes.String())
	var decoded []byte
	layout := Layout{OperatorPrefix: "operator/", ConfigKey: "operator/config", ZonesOutPrefix: "operator/out/", DecodeConfig: func(value []byte, revision store.Revision) (*route.Table, error) {
		decoded = value
		return route.NewTable(uint64(revision), 1, 0, nil, nil), nil
	}}
	running := localState{layout: layout, logger: hclog.NewNullLogger(), changed: func() {}}
	running.apply(store.Entry{Key: layout.ConfigKey, Value: config, Revision: 7})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- servePeers(ctx, l, &running) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-served)
	})

	started := localState{layout: layout, logger: hclog.NewNullLogger(), changed: func() {}}
	f := newStateFetcher(&started, false, hclog.NewNullLogger())
	f.metrics = newMetrics("agent", gauges{})
	from := netip.MustParseAddrPort(l.Addr().String())
	first, err := fetchState(t.Context(), from, StateArgs{Compressed: true})
	assert.NilError(t, err)
	assert.Assert(t, len(first.Entries[0].Value) < len(config)/10, "%d of %d bytes", len(first.Entries[0].Value), len(config))
	decoded = nil
	assert.Assert(t, f.fetch(t.Context(), from))
	assert.Assert(t, bytes.Equal(decoded, config))

	again, err := fetchState(t.Context(), from, StateArgs{Compressed: true, Known: started.Table().Revision(), KnownVersion: started.Table().Version()})
	assert.NilError(t, err)
	assert.Equal(t, len(again.Entries[0].Value), 0)
	f.applyReply(again, from)
	assert.Equal(t, started.Table().Revision(), uint64(7))

	// A process of an earlier version asks for plain entries.
	plain, err := fetchState(t.Context(), from, StateArgs{})
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(plain.Entries[0].Value, config))
}
