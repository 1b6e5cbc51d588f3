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

// rig is a service with its agents and one balancer that forwards to an agent of the test's choice.
type rig struct {
	t           *testing.T
	board       *board.Board
	mu          sync.Mutex
	agents      []*Agent
	target      int
	data, front *net.UDPConn
	sealer      *wire.Sealer
	owner       atomic.Uint32
	control     *testControl
	incarnation uint64
}

// testControl connects the agents of a rig without sockets.
type testControl struct {
	rig       *rig
	mu        sync.Mutex
	seq       uint64
	servers   map[string]*rpc.Server
	addresses []string
	cut       bool
}

// agentControl is the control process of one agent of a rig.
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
		member.ControlAddress = netip.AddrPortFrom(loopback.Addr(), uint16(1+slices.Index(c.addresses, c.id)))
	}
	c.mu.Unlock()
	c.rig.merge(board.Record{ID: board.ID{Kind: board.KindAgent, Key: c.id}, Version: board.Version{Epoch: c.incarnation, Seq: seq}, Value: member})
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
		c.addresses = append(c.addresses, c.id)
	}
	return c.servers[c.id]
}

// Call reaches the agent whose number is the port of the control address.
func (c agentControl) Call(_ context.Context, to netip.AddrPort, method string, args, reply any) error {
	c.mu.Lock()
	s := c.servers[c.addresses[to.Port()-1]]
	cut := c.cut
	c.mu.Unlock()
	if cut {
		return errors.New("no connection")
	}
	a, b := net.Pipe()
	go s.ServeConn(b)
	client := rpc.NewClient(a)
	defer client.Close()
	return client.Call(method, args, reply)
}

func newRig(t *testing.T, contractJSON string) *rig {
	t.Helper()
	r := &rig{t: t, board: &board.Board{}}
	r.control = &testControl{rig: r, servers: make(map[string]*rpc.Server)}
	c, findings := contract.Decode("test", []byte(contractJSON))
	assert.NilError(t, findings.Err())
	r.merge(board.Record{ID: board.ID{Kind: board.KindContract, Key: testService}, Version: board.Version{Seq: 1}, Value: board.Contract{Contract: c}})
	r.data, r.front = listenUDP(t), listenUDP(t)
	var err error
	r.sealer, err = wire.NewSealer(testKey, wire.PurposeData, 99)
	assert.NilError(t, err)
	go r.toAgents()
	go r.toCallers()
	return r
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func (r *rig) merge(rec board.Record) {
	_, err := r.board.Merge(rec)
	assert.NilError(r.t, err)
}

func (r *rig) toAgents() {
	b := make([]byte, 2048)
	for {
		n, from, err := r.front.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		d := wire.Datagram{
			Kind: wire.KindForward, Service: flow.ServiceIDOf(testService), Caller: from,
			Balancer: addrPort(r.data.LocalAddr()), Opening: wire.IsInitial(b[:n]), Payload: b[:n],
		}
		out, err := r.sealer.Append(nil, &d)
		if err != nil {
			return
		}
		_, _ = r.data.WriteToUDPAddrPort(out, r.aim())
	}
}

// aim returns the data address of the agent that gets the next packet.
func (r *rig) aim() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents[r.target].DataAddress()
}

func (r *rig) setTarget(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = i
}

func (r *rig) toCallers() {
	b := make([]byte, 2048)
	for {
		n, _, err := r.data.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		var d wire.Datagram
		if r.sealer.Open(&d, b[:n]) != nil {
			continue
		}
		if d.Established {
			r.owner.Store(uint32(d.Owner))
		}
		_, _ = r.front.WriteToUDPAddrPort(d.Payload, d.Caller)
	}
}

// addAgent starts an agent in front of a backend server with the given handler.
func (r *rig) addAgent(id string, h http.Handler) (*Agent, <-chan struct{}) {
	r.t.Helper()
	server := httptest.NewServer(h)
	r.t.Cleanup(server.Close)
	r.incarnation++
	a, err := New(Config{
		ID: id, Zone: "a", Service: testService, DataAddress: loopback, BackendURL: server.URL,
		Certificate: selfSigned(r.t), SharedKey: testKey, Incarnation: r.incarnation,
		Board: r.board, Control: agentControl{testControl: r.control, id: id, incarnation: r.incarnation},
	})
	assert.NilError(r.t, err)
	r.mu.Lock()
	r.agents = append(r.agents, a)
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		assert.Check(r.t, a.Run(ctx))
	}()
	r.t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return a, stopped
}

// caller returns an HTTP/3 client with a flow of its own.
func (r *rig) caller() *http.Client {
	r.t.Helper()
	t := &quic.Transport{Conn: listenUDP(r.t)}
	h := &http3.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}},
		Dial: func(ctx context.Context, _ string, tc *tls.Config, qc *quic.Config) (*quic.Conn, error) {
			return t.Dial(ctx, r.front.LocalAddr(), tc, qc)
		},
	}
	r.t.Cleanup(func() { _ = h.Close(); _ = t.Close() })
	return &http.Client{Transport: h}
}

// answer is a response with its whole body.
type answer struct {
	*http.Response
	body []byte
	err  error
}

// do sends a request and reads the whole response.
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
