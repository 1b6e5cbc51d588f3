package node_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/internal/node"
	"github.com/bramleymast/bramleymast/internal/standin/store"
	"github.com/bramleymast/bramleymast/pkg/contract"
)

// testTimeout ends a test that makes no progress; no test depends on the duration of a step.
const testTimeout = 30 * time.Second

const testService = "order-portal"

var sharedKey = []byte("0123456789abcdef0123456789abcdef")

func selfSigned(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// deployment runs a store, balancers and agents in the test process.
type deployment struct {
	t         *testing.T
	ctx       context.Context
	store     *store.Memory
	balancers []*node.Balancer
	// link holds the faults of the links to all data addresses; nil means that there are no links.
	link  *linkFaults
	host  netip.Addr
	ports [2]uint16
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	pid := os.Getpid()
	var ports [2]uint16
	for i := range ports {
		l, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		assert.NilError(t, err)
		ports[i] = l.LocalAddr().(*net.UDPAddr).AddrPort().Port()
		defer func() { assert.Check(t, l.Close()) }()
	}
	return &deployment{
		t: t, ctx: t.Context(), store: &store.Memory{}, ports: ports,
		host: netip.AddrFrom4([4]byte{127, 64 + byte(pid>>14)&63, byte(pid >> 7), 1}),
	}
}

func (d *deployment) common(id, zone string) node.CommonConfig {
	c := node.CommonConfig{
		ID: id, Zone: zone, SharedKey: sharedKey, Heartbeat: 100 * time.Millisecond,
		DataAddress: netip.AddrPortFrom(d.host, 0), ControlAddress: netip.AddrPortFrom(d.host, 0),
		HTTPAddress: netip.AddrPortFrom(d.host, 0), ControlBudget: 1 << 20,
	}
	if d.link != nil {
		c.DataAddress, c.Advertised = d.addLink()
	}
	for _, b := range d.balancers {
		c.Seeds = append(c.Seeds, b.ControlAddress())
	}
	return c
}

// addBalancer starts a balancer and returns the IP of its service addresses.
func (d *deployment) addBalancer(zone string) netip.Addr {
	d.t.Helper()
	n := len(d.balancers) + 1
	ip := d.host
	for range n {
		ip = ip.Next()
	}
	b, err := node.NewBalancer(node.BalancerConfig{
		CommonConfig: d.common(fmt.Sprintf("balancer-%d", n), zone), BindIP: ip, Store: d.store,
	})
	assert.NilError(d.t, err)
	d.balancers = append(d.balancers, b)
	d.run(b.Run)
	return ip
}

// run starts a task; at the end of the test it stops the task and waits for it.
func (d *deployment) run(task func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- task(ctx) }()
	d.t.Cleanup(func() {
		cancel()
		assert.Check(d.t, <-done)
	})
}

func (d *deployment) addAgent(id, zone string, h http.Handler) *node.Agent {
	d.t.Helper()
	s := httptest.NewServer(h)
	d.t.Cleanup(s.Close)
	a, err := node.NewAgent(node.AgentConfig{
		CommonConfig: d.common(id, zone), Service: testService, BackendURL: s.URL, Certificate: selfSigned(d.t),
	})
	assert.NilError(d.t, err)
	d.run(a.Run)
	return a
}

func (d *deployment) apply() {
	d.t.Helper()
	text := fmt.Sprintf(`{"service":%q,"addresses":["127.0.0.1:%d","127.0.0.1:%d"],"zones":["a","b"],
		"backend":{"slots":4},"cold_start":{"slots":4}}`, testService, d.ports[0], d.ports[1])
	c, findings := contract.Decode("test", []byte(text))
	assert.NilError(d.t, findings.Err())
	var v configvalue.Contract
	value, err := configvalue.EncodeContract(v.Next(0, "op", "test", time.Unix(1, 0), c))
	assert.NilError(d.t, err)
	_, err = d.store.CompareAndSwap(d.ctx, configvalue.ContractKey(testService), value, 0, 0)
	assert.NilError(d.t, err)
}

// waitReady waits until every balancer has the records of all agents and all processes are ready.
func (d *deployment) waitReady(agents []*node.Agent) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		for _, b := range d.balancers {
			v := b.Board().View(testService, func(string) bool { return false })
			if len(v.Members()) != len(agents) || !b.Ready() {
				return poll.Continue("a balancer is not ready or lacks records of agents")
			}
		}
		for _, a := range agents {
			if !a.Ready() {
				return poll.Continue("an agent is not ready")
			}
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
}

// get sends a request and returns the status, the outcome header and the body of the response.
func get(t *testing.T, at netip.AddrPort, path string) (status int, outcome, body string) {
	t.Helper()
	tr := &http3.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
		QUICConfig:      &quic.Config{DisablePathMTUDiscovery: true, InitialPacketSize: 1252},
	}
	defer tr.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+at.String()+path, http.NoBody)
	assert.NilError(t, err)
	resp, err := tr.RoundTrip(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, resp.Header.Get("Bramleymast-Outcome"), string(b)
}

// Guards against components that work alone but not together: with a contract in the store, a request through any balancer
// and service address must reach a backend server of the service, and the response must reach the caller.
func TestRequestIsServedThroughEveryBalancer(t *testing.T) {
	d := newDeployment(t)
	d.apply()
	zones := []string{"a", "b", "a"}
	addresses := make([]netip.AddrPort, 0, 2*len(zones))
	for _, zone := range zones {
		ip := d.addBalancer(zone)
		addresses = append(addresses, netip.AddrPortFrom(ip, d.ports[0]), netip.AddrPortFrom(ip, d.ports[1]))
	}
	hello := func(name string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, name) })
	}
	agents := []*node.Agent{
		d.addAgent("one", "a", hello("one")),
		d.addAgent("two", "b", hello("two")),
	}
	d.waitReady(agents)
	for _, address := range addresses {
		status, outcome, body := get(t, address, "/")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, outcome, "answered")
		assert.Assert(t, body == "one" || body == "two", body)
	}
}
