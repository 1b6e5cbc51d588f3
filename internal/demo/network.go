package demo

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"math/big"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

const (
	// maxNetworkAttempts is the number of loopback networks that are tried.
	maxNetworkAttempts = 16
	servicePort        = 4433
	// serviceByte, balancerByte, callerByte and hostByte are the last bytes of the first address of each kind.
	serviceByte  = 1
	balancerByte = 10
	callerByte   = 100
	hostByte     = 150
	// serverName is the DNS name in the certificate of the agents.
	serverName          = "service.test"
	certificateValidity = 24 * time.Hour
)

// network is a /24 network of loopback addresses, 127.a.b.0.
type network struct{ a, b byte }

// newNetwork derives a network from the seed, process id and attempt, so that concurrent runs are unlikely to share one.
func newNetwork(seed uint64, attempt int) network {
	var buf [24]byte
	binary.BigEndian.PutUint64(buf[:8], seed)
	binary.BigEndian.PutUint64(buf[8:16], uint64(os.Getpid()))
	binary.BigEndian.PutUint64(buf[16:], uint64(attempt))
	h := xxhash.Sum64(buf[:])
	// 127.0.0.0/16 is not used, because other programs listen there.
	return network{a: 1 + byte(h%254), b: byte(h >> 8)}
}

func (n network) address(last int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.a, n.b, byte(last)})
}

// service returns the address of a service. Each service has its own port, because a balancer replaces the IP address
// with its own.
func (n network) service(i int) netip.AddrPort {
	return netip.AddrPortFrom(n.address(serviceByte+i), uint16(servicePort+i))
}

func (n network) balancer(i int) netip.Addr { return n.address(balancerByte + i) }

func (n network) host(i int) netip.Addr { return n.address(hostByte + i) }

func (n network) caller() netip.Addr { return n.address(callerByte) }

// selfSigned returns a self-signed certificate for all agents of a run.
func selfSigned() (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Trace(err)
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{serverName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, errors.Trace(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return tls.Certificate{}, errors.Trace(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, nil
}

// packetCounter counts the packets that arrive at the address of a stopped process.
type packetCounter struct {
	conn *net.UDPConn
	n    atomic.Uint64
}

func newPacketCounter(a netip.AddrPort) (*packetCounter, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Annotatef(err, "cannot listen at %s to count packets", a)
	}
	return &packetCounter{conn: conn}, nil
}

// run counts packets until the socket is closed or the context ends.
func (c *packetCounter) run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = c.conn.Close() })()
	buf := make([]byte, 1)
	for {
		if _, _, err := c.conn.ReadFromUDPAddrPort(buf); err != nil {
			return nil //nolint:nilerr // a closed socket ends the count
		}
		c.n.Add(1)
	}
}

// close closes the socket and returns the number of packets.
func (c *packetCounter) close() uint64 {
	_ = c.conn.Close()
	return c.n.Load()
}
