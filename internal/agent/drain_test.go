package agent

import (
	"crypto/tls"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
)

// slowServer sends a first part of its answer and the rest once it is told to.
func slowServer(name string, begun chan<- struct{}, goOn <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/long" {
			_, _ = io.WriteString(w, name)
			return
		}
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		begun <- struct{}{}
		select {
		case <-goOn:
			_, _ = io.WriteString(w, "last")
		case <-r.Context().Done():
		}
	})
}

func (r *rig) setOut(kind board.Kind, key string, revision uint64, out bool) {
	rec := board.Record{ID: board.ID{Kind: kind, Key: key}, Version: board.Version{Seq: revision}}
	if kind == board.KindZone {
		rec.Value = board.Zone{Availability: contract.NewAvailability(out, "", "")}
	} else {
		rec.Value = board.Backend{Availability: contract.NewAvailability(out, "", "")}
	}
	r.merge(rec)
}

// phase waits for a phase of an agent's member record.
func (r *rig) phase(id string, want board.Phase) {
	r.t.Helper()
	for range 200 {
		rec, _ := r.board.Get(board.ID{Kind: board.KindAgent, Key: id})
		if m, ok := rec.Value.(board.Agent); ok && m.Phase == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatalf("agent %s has not reached the phase %s", id, want)
}

// longRequest starts a request that is in progress when it returns.
func (r *rig) longRequest(begun <-chan struct{}) <-chan answer {
	done := make(chan answer, 1)
	c := r.caller()
	go func() { done <- do(r.t, c, http.MethodGet, "/long", nil) }()
	<-begun
	return done
}

// Guards against a planned stop that cuts a request in progress, and against new flows at an agent that leaves,
// for a shutdown and for a backend server that operators take out and bring back.
func TestDrainLetsRequestsEnd(t *testing.T) {
	begun, goOn := make(chan struct{}, 4), make(chan struct{})
	r := newRig(t, `{"service":"order-portal","addresses":["127.0.0.1:443"],"zones":["a"],
		"backend":{"slots":8},"cold_start":{"slots":8}}`)
	one, stopped := r.addAgent("one", slowServer("one", begun, goOn))
	r.phase("one", board.PhaseReady)

	long := r.longRequest(begun)
	r.setOut(board.KindBackend, "one", 2, true)
	r.phase("one", board.PhaseDraining)
	r.addAgent("two", slowServer("two", begun, goOn))
	r.phase("two", board.PhaseReady)
	assert.Equal(t, string(do(t, r.caller(), http.MethodGet, "/", nil).body), "two")
	goOn <- struct{}{}
	got := <-long
	assert.NilError(t, got.err)
	assert.Equal(t, string(got.body), "first last")

	r.setOut(board.KindBackend, "one", 3, false)
	r.phase("one", board.PhaseReady)
	for range 20 {
		assert.NilError(t, do(t, r.caller(), http.MethodGet, "/", nil).err)
	}

	for len(begun) > 0 {
		<-begun
	}
	longs := []<-chan answer{r.longRequest(begun), r.longRequest(begun), r.longRequest(begun)}
	one.Drain()
	r.phase("one", board.PhaseDraining)
	assert.Equal(t, string(do(t, r.caller(), http.MethodGet, "/", nil).body), "two")
	close(goOn)
	for _, l := range longs {
		got := <-l
		assert.NilError(t, got.err)
		assert.Equal(t, string(got.body), "first last")
	}
	<-stopped
	assert.Equal(t, testutil.ToFloat64(one.metrics.cut.WithLabelValues(string(leaveShutdown))), 0.0)
}

// Guards against a zone that still takes or sends packets after the grace period, and against callers that are left
// waiting for flows that ended.
func TestZoneOutClosesWhatIsLeft(t *testing.T) {
	begun := make(chan struct{}, 1)
	r := newRig(t, `{"service":"order-portal","addresses":["127.0.0.1:443"],"zones":["a"],
		"backend":{"slots":2},"cold_start":{"slots":2},"change":{"zone_out_grace_ms":600}}`)
	one, _ := r.addAgent("one", slowServer("one", begun, nil))
	r.phase("one", board.PhaseReady)
	long := r.longRequest(begun)
	r.setOut(board.KindZone, "a", 2, true)
	r.phase("one", board.PhaseDraining)
	assert.Assert(t, (<-long).err != nil)
	assert.Equal(t, testutil.ToFloat64(one.metrics.cut.WithLabelValues(string(leaveZone))), 1.0)
	for !one.closed.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	before := testutil.ToFloat64(one.metrics.dropped.WithLabelValues(errZoneOut.Error()))
	go func() { _ = do(t, r.caller(), http.MethodGet, "/", nil) }()
	for testutil.ToFloat64(one.metrics.dropped.WithLabelValues(errZoneOut.Error())) == before {
		time.Sleep(10 * time.Millisecond)
	}
	r.setOut(board.KindZone, "a", 3, false)
	r.phase("one", board.PhaseReady)
	assert.Equal(t, string(do(t, r.caller(), http.MethodGet, "/", nil).body), "one")
}

// Guards against a handshake that a drain cuts, and against a caller that goes on sending requests to a leaving
// backend server because it was never told.
func TestLateConnectionIsServedAndToldToLeave(t *testing.T) {
	tlsConfig := http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{selfSigned(t)}, MinVersion: tls.VersionTLS13})
	l, err := quic.Listen(listenUDP(t), tlsConfig, quicConfig())
	assert.NilError(t, err)
	ten := newTenure(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }), l.Addr())
	go func() { _ = ten.server.serve() }()
	go func() { _ = ten.late.serve() }()
	ten.leave()
	go func() {
		c, err := l.Accept(t.Context())
		if err == nil {
			ten.hand(t.Context(), c)
		}
	}()
	conn, err := quic.DialAddr(t.Context(), l.Addr().String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}, nil)
	assert.NilError(t, err)
	h := &http3.Transport{}
	defer h.Close()
	client := &http.Client{Transport: h.NewClientConn(conn)}
	assert.Equal(t, string(do(t, client, http.MethodGet, "/", nil).body), "served")
	<-ten.finished
	assert.Assert(t, do(t, client, http.MethodGet, "/", nil).err != nil)
}
