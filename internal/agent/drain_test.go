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

// slowServer sends the first part of a response to /long, and the rest after a receive from finish.
func slowServer(name string, started chan<- struct{}, finish <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/long" {
			_, _ = io.WriteString(w, name)
			return
		}
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		started <- struct{}{}
		select {
		case <-finish:
			_, _ = io.WriteString(w, "last")
		case <-r.Context().Done():
		}
	})
}

func (h *harness) setOut(kind board.Kind, key string, revision uint64, out bool) {
	rec := board.Record{ID: board.ID{Kind: kind, Key: key}, Version: board.Version{Seq: revision}}
	if kind == board.KindZone {
		rec.Value = board.Zone{Availability: contract.NewAvailability(out, "", "")}
	} else {
		rec.Value = board.Backend{Availability: contract.NewAvailability(out, "", "")}
	}
	h.merge(rec)
}

// waitForPhase waits until an agent's member record has the given phase.
func (h *harness) waitForPhase(id string, want board.Phase) {
	h.t.Helper()
	for range 200 {
		rec, _ := h.board.Get(board.ID{Kind: board.KindAgent, Key: id})
		if m, ok := rec.Value.(board.Agent); ok && m.Phase == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.t.Fatalf("agent %s has not reached the phase %s", id, want)
}

// longRequest starts a request and returns once the request is in progress.
func (h *harness) longRequest(started <-chan struct{}) <-chan answer {
	done := make(chan answer, 1)
	c := h.caller()
	go func() { done <- do(h.t, c, http.MethodGet, "/long", nil) }()
	<-started
	return done
}

// Guards against a drain that ends requests in progress and against new flows at a draining agent, both for a
// graceful shutdown and for a backend server that operators take out of service and put back.
func TestDrainLetsRequestsEnd(t *testing.T) {
	started, finish := make(chan struct{}, 4), make(chan struct{})
	h := newHarness(t, `{"service":"order-portal","addresses":["127.0.0.1:443"],"zones":["a"],
		"backend":{"slots":8},"cold_start":{"slots":8}}`)
	one, stopped := h.addAgent("one", slowServer("one", started, finish))
	h.waitForPhase("one", board.PhaseReady)

	longResponse := h.longRequest(started)
	h.setOut(board.KindBackend, "one", 2, true)
	h.waitForPhase("one", board.PhaseDraining)
	h.addAgent("two", slowServer("two", started, finish))
	h.waitForPhase("two", board.PhaseReady)
	assert.Equal(t, string(do(t, h.caller(), http.MethodGet, "/", nil).body), "two")
	finish <- struct{}{}
	got := <-longResponse
	assert.NilError(t, got.err)
	assert.Equal(t, string(got.body), "first last")

	h.setOut(board.KindBackend, "one", 3, false)
	h.waitForPhase("one", board.PhaseReady)
	for range 20 {
		assert.NilError(t, do(t, h.caller(), http.MethodGet, "/", nil).err)
	}

	for len(started) > 0 {
		<-started
	}
	longResponses := []<-chan answer{h.longRequest(started), h.longRequest(started), h.longRequest(started)}
	one.Drain()
	h.waitForPhase("one", board.PhaseDraining)
	assert.Equal(t, string(do(t, h.caller(), http.MethodGet, "/", nil).body), "two")
	close(finish)
	for _, response := range longResponses {
		got := <-response
		assert.NilError(t, got.err)
		assert.Equal(t, string(got.body), "first last")
	}
	<-stopped
	assert.Equal(t, testutil.ToFloat64(one.metrics.flowsCut.WithLabelValues(string(drainShutdown))), 0.0)
}

// Guards against a zone that receives or sends packets after the grace period, and against callers that get no
// notice that their flows were closed.
func TestZoneOutClosesOpenFlows(t *testing.T) {
	started := make(chan struct{}, 1)
	h := newHarness(t, `{"service":"order-portal","addresses":["127.0.0.1:443"],"zones":["a"],
		"backend":{"slots":2},"cold_start":{"slots":2},"change":{"zone_out_grace_ms":600}}`)
	one, _ := h.addAgent("one", slowServer("one", started, nil))
	h.waitForPhase("one", board.PhaseReady)
	longResponse := h.longRequest(started)
	h.setOut(board.KindZone, "a", 2, true)
	h.waitForPhase("one", board.PhaseDraining)
	assert.Assert(t, (<-longResponse).err != nil)
	assert.Equal(t, testutil.ToFloat64(one.metrics.flowsCut.WithLabelValues(string(drainZoneOut))), 1.0)
	for !one.zoneClosed.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	before := testutil.ToFloat64(one.metrics.dropped.WithLabelValues(errZoneOut.Error()))
	go func() { _ = do(t, h.caller(), http.MethodGet, "/", nil) }()
	for testutil.ToFloat64(one.metrics.dropped.WithLabelValues(errZoneOut.Error())) == before {
		time.Sleep(10 * time.Millisecond)
	}
	h.setOut(board.KindZone, "a", 3, false)
	h.waitForPhase("one", board.PhaseReady)
	assert.Equal(t, string(do(t, h.caller(), http.MethodGet, "/", nil).body), "one")
}

// Guards against a drain that ends a handshake in progress, and against a caller that continues to send requests to a
// draining agent because it received no GOAWAY.
func TestLateConnectionIsServedAndReceivesGoAway(t *testing.T) {
	tlsConfig := http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{selfSigned(t)}, MinVersion: tls.VersionTLS13})
	l, err := quic.Listen(listenUDP(t), tlsConfig, quicConfig())
	assert.NilError(t, err)
	period := newServingPeriod(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }), l.Addr())
	go func() { _ = period.server.serve() }()
	go func() { _ = period.lateServer.serve() }()
	period.startDrain()
	go func() {
		c, err := l.Accept(t.Context())
		if err == nil {
			period.dispatch(t.Context(), c)
		}
	}()
	conn, err := quic.DialAddr(t.Context(), l.Addr().String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}, nil)
	assert.NilError(t, err)
	h := &http3.Transport{}
	defer h.Close()
	client := &http.Client{Transport: h.NewClientConn(conn)}
	assert.Equal(t, string(do(t, client, http.MethodGet, "/", nil).body), "served")
	<-period.drained
	assert.Assert(t, do(t, client, http.MethodGet, "/", nil).err != nil)
}
