// Package caller implements a sample caller of customer services over HTTP/3, for tests and trials.
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
	// quicPacketBytes leaves room for the balancers' frame on a link with an MTU of 1,500 bytes.
	quicPacketBytes  = 1252
	handshakeTimeout = 5 * time.Second
	// idleTimeout is the time without received packets after which a flow counts as broken.
	idleTimeout     = 12 * time.Second
	keepAlivePeriod = 3 * time.Second
)

// session is one flow: a QUIC connection from a UDP socket of its own.
type session struct {
	socket    *net.UDPConn
	transport *quic.Transport
	conn      *quic.Conn
	client    *http3.ClientConn
	// server is the id of the backend server that answered last, or empty before the first answer.
	server string
	// requestFailed is set when a request failed without a response while the connection was still open; if the
	// connection ends later, the request counts as in progress at that time.
	requestFailed bool
	// breakRecorded is set once the flow is recorded as broken.
	breakRecorded bool
}

// dial opens a flow to a service address.
func dial(ctx context.Context, local netip.Addr, service netip.AddrPort, tlsCfg *tls.Config) (*session, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0)))
	if err != nil {
		return nil, errors.Annotate(err, "cannot open the UDP socket of a caller")
	}
	s := &session{socket: socket, transport: &quic.Transport{Conn: socket}}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	s.conn, err = s.transport.Dial(ctx, net.UDPAddrFromAddrPort(service), http3.ConfigureTLSConfig(tlsCfg), &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlivePeriod,
		InitialPacketSize:       quicPacketBytes,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		s.release()
		return nil, errors.Annotatef(err, "cannot connect to service address %s", service)
	}
	s.client = (&http3.Transport{}).NewClientConn(s.conn)
	return s, nil
}

// release closes the transport and the socket.
func (s *session) release() {
	_ = s.transport.Close()
	_ = s.socket.Close()
}

// close closes the connection without an error and releases the socket.
func (s *session) close() {
	_ = s.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	s.release()
}

// closeCause returns the error that ended the connection, or nil while it is open.
func (s *session) closeCause() error {
	if s.conn.Context().Err() == nil {
		return nil
	}
	return context.Cause(s.conn.Context())
}

// breakCause returns the error that broke the flow, or nil if the flow is open or was closed gracefully.
//
// A close with H3_NO_ERROR is graceful if the server sends it when no request is in progress, as it does after GOAWAY,
// or if the HTTP/3 client closes the connection itself after it received GOAWAY.
func (s *session) breakCause(requestInProgress bool) error {
	cause := s.closeCause()
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

// roundTrip sends a request and stores the id of the backend server that answered.
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

// isRejected reports whether the server rejected the request without processing it, as it does after GOAWAY.
func isRejected(err error) bool {
	var h3 *http3.Error
	return errors.As(err, &h3) && h3.ErrorCode == http3.ErrCodeRequestRejected
}
