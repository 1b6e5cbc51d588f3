package agent

import (
	"bytes"
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
	"net/http/httptest"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

const testService = "order-portal"

const plainContract = `{"service":"order-portal","addresses":["127.0.0.1:443"],"zones":["a"],
	"backend":{"slots":2},"cold_start":{"slots":2}}`

var (
	testKey  = []byte("0123456789abcdef0123456789abcdef")
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
)

// harness runs a service with its agents and a fake balancer that forwards all packets to the agent selected by
// setTarget.
type harness struct {
	t                     *testing.T
	board                 *board.Board
	mu                    sync.Mutex
	agents                []*Agent
	target                int
	dataConn, serviceConn *net.UDPConn
	sealer                *wire.Sealer
	owner                 atomic.Uint32
	control               *testControl
	incarnation           uint64
}

// testControl connects the agents of a harness without sockets.
type testControl struct {
	harness *harness
	mu      sync.Mutex
	seq     uint64
	servers map[string]*rpc.Server
	// agentIDs holds the agent IDs; the index plus one is the port of an agent's control address.
	agentIDs     []string
	disconnected bool
}

// agentControl is the Control of one agent of a harness.
type agentControl struct {
	*testControl
	id          string
	incarnation uint64
}

func (c agentControl) SetMember(v board.Value) {
	c.mu.Lock()
	c.seq++
	seq := c.seq
	member, ok := v.(board.Agent)
	if ok {
		member.ControlAddress = netip.AddrPortFrom(loopback.Addr(), uint16(1+slices.Index(c.agentIDs, c.id)))
	}
	c.mu.Unlock()
	c.harness.merge(board.Record{ID: board.ID{Kind: board.KindAgent, Key: c.id}, Version: board.Version{Epoch: c.incarnation, Seq: seq}, Value: member})
}
func (agentControl) SendLoad(Load)                 {}
func (agentControl) OnLoad(func(string, Load))     {}
func (agentControl) SendZoneStates(netip.AddrPort) {}

func (c agentControl) Register(name string, receiver any) error {
	return c.server().RegisterName(name, receiver)
}

func (c agentControl) server() *rpc.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers[c.id] == nil {
		c.servers[c.id] = rpc.NewServer()
		c.agentIDs = append(c.agentIDs, c.id)
	}
	return c.servers[c.id]
}

// Call calls a method of the agent with the given control address.
func (c agentControl) Call(_ context.Context, to netip.AddrPort, method string, args, reply any) error {
	c.mu.Lock()
	s := c.servers[c.agentIDs[to.Port()-1]]
	disconnected := c.disconnected
	c.mu.Unlock()
	if disconnected {
		return errors.New("no connection")
	}
	a, b := net.Pipe()
	go s.ServeConn(b)
	client := rpc.NewClient(a)
	defer client.Close()
	return client.Call(method, args, reply)
}

func newHarness(t *testing.T, contractJSON string) *harness {
	t.Helper()
	h := &harness{t: t, board: &board.Board{}}
	h.control = &testControl{harness: h, servers: make(map[string]*rpc.Server)}
	c, findings := contract.Decode("test", []byte(contractJSON))
	assert.NilError(t, findings.Err())
	h.merge(board.Record{ID: board.ID{Kind: board.KindContract, Key: testService}, Version: board.Version{Seq: 1}, Value: board.Contract{Contract: c}})
	h.dataConn, h.serviceConn = listenUDP(t), listenUDP(t)
	var err error
	h.sealer, err = wire.NewSealer(testKey, wire.PurposeData, 99)
	assert.NilError(t, err)
	go h.forwardToAgents()
	go h.returnToCallers()
	return h
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func (h *harness) merge(rec board.Record) {
	_, err := h.board.Merge(rec)
	assert.NilError(h.t, err)
}

func (h *harness) forwardToAgents() {
	b := make([]byte, 2048)
	for {
		n, from, err := h.serviceConn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		d := wire.Datagram{
			Kind: wire.KindForward, Service: flow.ServiceIDOf(testService), Caller: from,
			Balancer: addrPort(h.dataConn.LocalAddr()), Opening: wire.IsInitial(b[:n]), Payload: b[:n],
		}
		out, err := h.sealer.Append(nil, &d)
		if err != nil {
			return
		}
		_, _ = h.dataConn.WriteToUDPAddrPort(out, h.targetAddress())
	}
}

// targetAddress returns the data address of the agent selected by setTarget.
func (h *harness) targetAddress() netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.agents[h.target].DataAddress()
}

func (h *harness) setTarget(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.target = i
}

func (h *harness) returnToCallers() {
	b := make([]byte, 2048)
	for {
		n, _, err := h.dataConn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		var d wire.Datagram
		if h.sealer.Open(&d, b[:n]) != nil {
			continue
		}
		if d.Established {
			h.owner.Store(uint32(d.Owner))
		}
		_, _ = h.serviceConn.WriteToUDPAddrPort(d.Payload, d.Caller)
	}
}

// addAgent starts an agent with a backend server that runs the given handler. The channel is closed when Run returns.
func (h *harness) addAgent(id string, handler http.Handler) (*Agent, <-chan struct{}) {
	h.t.Helper()
	server := httptest.NewServer(handler)
	h.t.Cleanup(server.Close)
	h.incarnation++
	a, err := New(Config{
		ID: id, Zone: "a", Service: testService, DataAddress: loopback, BackendURL: server.URL,
		Certificate: selfSigned(h.t), SharedKey: testKey, Incarnation: h.incarnation,
		Board: h.board, Control: agentControl{testControl: h.control, id: id, incarnation: h.incarnation},
	})
	assert.NilError(h.t, err)
	h.mu.Lock()
	h.agents = append(h.agents, a)
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		assert.Check(h.t, a.Run(ctx))
	}()
	h.t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return a, stopped
}

// caller returns an HTTP/3 client with a flow of its own.
func (h *harness) caller() *http.Client {
	h.t.Helper()
	t := &quic.Transport{Conn: listenUDP(h.t)}
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}},
		Dial: func(ctx context.Context, _ string, tc *tls.Config, qc *quic.Config) (*quic.Conn, error) {
			return t.Dial(ctx, h.serviceConn.LocalAddr(), tc, qc)
		},
	}
	h.t.Cleanup(func() { _ = transport.Close(); _ = t.Close() })
	return &http.Client{Transport: transport}
}

// answer is a response with its body.
type answer struct {
	*http.Response
	body []byte
	err  error
}

// do sends a request and reads the response.
func do(t *testing.T, c *http.Client, method, path string, body []byte, header ...string) answer {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "https://"+testService+path, bytes.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		return answer{Response: &http.Response{}, err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{Response: resp, body: b, err: err}
}

func selfSigned(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{testService}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}
