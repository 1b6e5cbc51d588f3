package caller_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/standin/backend"
	"github.com/bramleymast/bramleymast/internal/standin/caller"
	"github.com/bramleymast/bramleymast/internal/standin/fabric"
)

// service is a fixture: a fabric in front of one HTTP/3 server, which replaces the balancer and the agent.
type service struct {
	address netip.AddrPort
	backend *backend.Server
	server  *http3.Server
	tally   *caller.Tally

	mu sync.Mutex
	// intercept responds to a request and returns true, or returns false to forward it to the backend server.
	intercept func(w http.ResponseWriter, r *http.Request) bool
}

func startService(t *testing.T, kind backend.Kind) *service {
	t.Helper()
	s := &service{tally: &caller.Tally{}}
	var err error
	s.backend, err = backend.New(t.Context(), backend.Config{ID: "b1", Kind: kind, Address: "127.0.0.1:0", Slots: 4, ColdSlots: 4})
	assert.NilError(t, err)
	run(t, s.backend.Run)
	f, err := fabric.New(fabric.Config{Addresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:0")}})
	assert.NilError(t, err)
	run(t, f.Run)
	s.address = f.Addresses()[0]
	ip := netip.MustParseAddr("127.0.0.2")
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, s.address.Port())))
	assert.NilError(t, err)
	s.server = &http3.Server{Handler: s, TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certificate(t)}})}
	t.Cleanup(func() { s.server.Close(); conn.Close() })
	go func() { _ = s.server.Serve(conn) }()
	f.AddBalancer(fabric.Balancer{ID: "lb1", Zone: "a", IP: ip})
	return s
}

func run(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
}

func certificate(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{"service"}}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	intercept := s.intercept
	s.mu.Unlock()
	if intercept != nil && intercept(w, r) {
		return
	}
	out := r.Clone(r.Context())
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", s.backend.Address()
	res, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		w.Header().Set("Bramleymast-Outcome", "unknown")
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer res.Body.Close()
	w.Header().Set("X-Backend-Server", res.Header.Get("X-Backend-Server"))
	w.Header().Set("Bramleymast-Outcome", "answered")
	w.WriteHeader(res.StatusCode)
	_, _ = io.Copy(w, res.Body)
}

func (s *service) setIntercept(intercept func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.intercept = intercept
}

func (s *service) caller(t *testing.T) *caller.Caller {
	t.Helper()
	c := caller.New(caller.Config{
		Name: "c1", Service: s.address, Local: netip.MustParseAddr("127.0.0.1"), Kind: s.backend.Kind(),
		TLS: &tls.Config{InsecureSkipVerify: true, ServerName: "service"}, Tally: s.tally,
	})
	t.Cleanup(c.Close)
	return c
}

// Guards against a caller that reports a download as complete although bytes are missing or wrong.
func TestDownloadIsCheckedByteForByte(t *testing.T) {
	s := startService(t, backend.KindCatalogue)
	c := s.caller(t)
	assert.Equal(t, c.Download(t.Context(), 7, 300_000, 0), caller.Answered)
	s.setIntercept(func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Bramleymast-Outcome", "answered")
		_, _ = w.Write(make([]byte, 1000))
		return true
	})
	assert.Equal(t, c.Download(t.Context(), 7, 1000, 0), caller.Unknown)
	r := s.tally.Report()
	assert.Equal(t, r.DownloadedBytes, 300_000)
	assert.Assert(t, r.Corrupt > 0)
}

// Guards against a write that is executed again after its response was lost, which happens if the retry uses another
// ticket or idempotency key.
func TestWriteRepeatsTicketAndKeyUntilItsOutcomeIsKnown(t *testing.T) {
	s := startService(t, backend.KindOrders)
	var seen []string
	s.setIntercept(func(w http.ResponseWriter, r *http.Request) bool {
		ticket := r.Header.Get("Bramleymast-Ticket")
		seen = append(seen, ticket+" "+r.Header.Get("Idempotency-Key"))
		switch len(seen) {
		case 1:
			w.Header().Set("Bramleymast-Ticket", "t1")
			w.Header().Set("Bramleymast-Outcome", "not_run")
			w.WriteHeader(http.StatusPreconditionRequired)
			return true
		case 2:
			w.Header().Set("Bramleymast-Outcome", "unknown")
			w.WriteHeader(http.StatusGatewayTimeout)
			return true
		}
		return false
	})
	assert.Equal(t, s.caller(t).Write(t.Context(), "o1"), caller.Answered)
	assert.DeepEqual(t, seen, []string{" o1/0", "t1 o1/0", "t1 o1/0"})
	assert.DeepEqual(t, s.backend.Counts().Executed, map[string]int{"o1": 1})
	assert.DeepEqual(t, s.tally.Report().Writes, map[string]caller.Outcome{"o1": caller.Answered})
}

// Guards against a broken flow that is not recorded or is recorded twice, and against an open flow recorded as broken.
func TestBrokenFlowIsRecordedWithItsReason(t *testing.T) {
	s := startService(t, backend.KindSummaries)
	c := s.caller(t)
	assert.Equal(t, c.Read(t.Context(), "1"), caller.Answered)
	assert.Equal(t, len(s.tally.Report().Breaks), 0)
	s.setIntercept(func(_ http.ResponseWriter, r *http.Request) bool {
		// Close waits for the handlers, and the request is in progress until the connection is closed.
		go s.server.Close()
		<-r.Context().Done()
		return true
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan caller.Outcome, 1)
	go func() { done <- c.Read(ctx, "2") }()
	for len(s.tally.Report().Breaks) == 0 {
		select {
		case <-done:
			t.Fatal("the request has ended and no broken flow was recorded")
		case <-time.After(time.Millisecond):
		}
	}
	cancel()
	assert.Equal(t, <-done, caller.NotRun)
	c.Close()
	breaks := s.tally.Report().Breaks
	assert.Equal(t, len(breaks), 1)
	assert.Equal(t, breaks[0].Server, "b1")
	assert.Assert(t, breaks[0].Flow && breaks[0].Reason != "")
}
