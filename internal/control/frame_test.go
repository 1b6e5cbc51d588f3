package control

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/store"
)

var testKey = []byte("0123456789abcdef0123456789abcdef")

// Guards against control datagrams that are accepted twice, or refused although they are new.
func TestReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.SliceOfN(rapid.Uint64Range(1, 3*windowSize), 1, 200).Draw(t, "order")
		var w replayWindow
		seen := make(map[uint64]bool)
		var highest uint64
		for _, c := range order {
			tooOld := c+windowSize <= highest
			assert.Equal(t, w.accept(c), !seen[c] && !tooOld)
			seen[c] = true
			highest = max(highest, c)
		}
	})
}

// Guards against accepting datagrams that were modified, replayed or sealed with another key.
func TestFrameRefuses(t *testing.T) {
	now := time.Unix(1, 0)
	a, err := newFramer(testKey, 1)
	assert.NilError(t, err)
	b, err := newFramer(testKey, 2)
	assert.NilError(t, err)
	d, err := a.seal([]byte("hello"))
	assert.NilError(t, err)
	for i := range d {
		bad := slices.Clone(d)
		bad[i] ^= 1
		_, err := b.open(now, bad)
		assert.Assert(t, err != nil, "byte %d", i)
	}
	payload, err := b.open(now, d)
	assert.NilError(t, err)
	assert.Equal(t, string(payload), "hello")
	_, err = b.open(now, d)
	assert.ErrorIs(t, err, errReplayed)
	other, err := newFramer([]byte("another key, another key, another"), 3)
	assert.NilError(t, err)
	d, err = other.seal([]byte("hello"))
	assert.NilError(t, err)
	_, err = b.open(now, d)
	assert.ErrorIs(t, err, errUnauthentic)
	_, err = a.seal(make([]byte, maxFrameSize))
	assert.ErrorIs(t, err, errOversized)
}

// sealedPair returns both ends of a connection with the given keys.
func sealedPair(t *testing.T, clientKey, serverKey []byte) (client, server *sealedConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	type result struct {
		conn *sealedConn
		err  error
	}
	accepted := make(chan result, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			accepted <- result{err: err}
			return
		}
		s, err := newSealedConn(c, serverKey, false)
		accepted <- result{conn: s, err: err}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	client, err = newSealedConn(c, clientKey, true)
	assert.NilError(t, err)
	r := <-accepted
	assert.NilError(t, r.err)
	t.Cleanup(func() { client.Close(); r.conn.Close() })
	return client, r.conn
}

// Guards against plaintext, or unauthenticated records, on the connections of operators and peers.
func TestSealedConn(t *testing.T) {
	client, server := sealedPair(t, testKey, testKey)
	text := make([]byte, 3*maxRecordSize+5)
	copy(text, "a long text")
	go func() { _, _ = client.Write(text) }()
	got := make([]byte, len(text))
	_, err := io.ReadFull(server, got)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, text)

	server.idleTimeout = time.Nanosecond
	_, err = server.Read(got)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "an idle connection was not closed")

	client, server = sealedPair(t, []byte("another key, another key, another"), testKey)
	_, err = client.Write([]byte("hello"))
	assert.NilError(t, err)
	_, err = server.Read(got)
	assert.Assert(t, errors.Is(err, ErrRefused), "%v", err)
}

// Guards against a store value that cannot be decoded and replaces the last valid one.
func TestUndecodableValuesAreSkipped(t *testing.T) {
	m, err := newMetrics(nil)
	assert.NilError(t, err)
	p := &Process{cfg: Config{Logger: hclog.NewNullLogger()}, metrics: m}
	state := []byte(`{"operation_id":"o","author":"ann","reason":"","out":true}`)
	records := p.decodeEntries(store.Page{Entries: []store.Entry{
		{Key: "config/zones/a", Value: state, Revision: 4},
		{Key: "config/zones/b", Value: []byte(`{"out":tru`), Revision: 5},
		{Key: "config/contracts/portal", Value: []byte(`{"contract":{}}`), Revision: 6},
		{Key: "config/contracts/portal", Deleted: true, Revision: 7},
		{Key: "config/other", Value: state, Revision: 8},
		{Key: "config/backends/x", Deleted: true, Revision: 9},
	}})
	assert.Equal(t, len(records), 2)
	assert.Equal(t, records[0].ID.Key, "a")
	assert.Equal(t, records[1].Version.Seq, uint64(9))
}

// Guards against connections that are never closed, and against closing one with an active call.
func TestIdleClientsAreClosed(t *testing.T) {
	client, server := sealedPair(t, testKey, testKey)
	to := netip.MustParseAddrPort("127.0.0.1:1")
	conn := &pooledClient{client: &Client{rpc: rpc.NewClient(client)}, usedAt: time.Now().Add(-2 * clientIdleTimeout), activeCalls: 1}
	c := &clientPool{open: map[netip.AddrPort]*pooledClient{to: conn}}
	assert.Assert(t, c.find(netip.AddrPort{}) == nil)
	assert.Equal(t, len(c.open), 1, "a connection with an active call was closed")
	c.release(to, conn, false)
	conn.usedAt = time.Now().Add(-2 * clientIdleTimeout)
	assert.Assert(t, c.find(to) == nil)
	_, err := server.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
