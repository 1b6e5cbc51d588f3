// Package caller is a sample caller of customer services over HTTP/3, for tests and trials.
package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	// quicPacketSize keeps a packet with the frame of the balancers within a 1,500-byte link.
	quicPacketSize   = 1252
	handshakeTimeout = 5 * time.Second
	// idleTimeout is after how long a flow without any answer counts as broken.
	idleTimeout     = 12 * time.Second
	keepAlivePeriod = 3 * time.Second
)

// session is one flow: a QUIC connection from a UDP socket of its own.
type session struct {
	socket    *net.UDPConn
	transport *quic.Transport
	conn      *quic.Conn
	client    *http3.ClientConn
	// server is the backend server that answered last.
	server string
	// failed is whether a request got no response while the connection seemed open: its end may be noticed later.
	failed bool
	// broken is whether the flow was recorded as broken.
	broken bool
}

// dial opens a flow to a service address.
func dial(ctx context.Context, local netip.Addr, service netip.AddrPort, tlsCfg *tls.Config) (*session, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0)))
	if err != nil {
		return nil, errors.Annotate(err, "no socket for a caller")
	}
	s := &session{socket: socket, transport: &quic.Transport{Conn: socket}}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	s.conn, err = s.transport.Dial(ctx, net.UDPAddrFromAddrPort(service), http3.ConfigureTLSConfig(tlsCfg), &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlivePeriod,
		InitialPacketSize:       quicPacketSize,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		s.release()
		return nil, errors.Annotatef(err, "no connection to service address %s", service)
	}
	s.client = (&http3.Transport{}).NewClientConn(s.conn)
	return s, nil
}

// release frees the socket.
func (s *session) release() {
	_ = s.transport.Close()
	_ = s.socket.Close()
}

// close ends the flow.
func (s *session) close() {
	_ = s.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	s.release()
}

// ended returns why the connection has ended, or nil while it is open.
func (s *session) ended() error {
	if s.conn.Context().Err() == nil {
		return nil
	}
	return context.Cause(s.conn.Context())
}

// brokenBy returns why the flow counts as broken, or nil.
//
// A server that closes without a request in progress after GOAWAY has shut down gracefully, and the HTTP/3 client
// itself closes with the same code when it has received GOAWAY.
func (s *session) brokenBy(requestInProgress bool) error {
	cause := s.ended()
	if cause == nil {
		return nil
	}
	var app *quic.ApplicationError
	graceful := errors.As(cause, &app) && app.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError)
	if graceful && (!app.Remote || !requestInProgress) {
		return nil
	}
	return cause
}

// roundTrip sends a request and notes which backend server answered.
func (s *session) roundTrip(req *http.Request, serverHeader string) (*http.Response, error) {
	res, err := s.client.RoundTrip(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if id := res.Header.Get(serverHeader); id != "" {
		s.server = id
	}
	return res, nil
}

// isRejected reports whether the server refused the request before it ran, as after GOAWAY.
func isRejected(err error) bool {
	var h3 *http3.Error
	return errors.As(err, &h3) && h3.ErrorCode == http3.ErrCodeRequestRejected
}
