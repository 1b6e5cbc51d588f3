package control

import (
	"context"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/wire"
)

// ErrRefused is returned when the remote end of a connection does not hold the shared key.
const ErrRefused = errors.ConstError("the other end does not hold the shared key")

const (
	handshakeNonceSize = 16
	// maxRecordSize is the maximum plaintext size of one record in bytes.
	maxRecordSize = 32 << 10
	// handshakeTimeout limits the exchange of nonces and the first record of a connection.
	handshakeTimeout = 3 * time.Second
	// serverIdleTimeout is how long a connection may stay without a call. Otherwise connections that were used once would
	// use up maxConnections.
	serverIdleTimeout = time.Minute
)

// sealedConn encrypts the records of a TCP connection with one key per direction and a counter as the nonce.
type sealedConn struct {
	net.Conn
	opener, sealer            cipher.AEAD
	readCounter, writeCounter uint64
	unread                    []byte
	// authentic is set when the first record has been opened, which ends the handshake deadline.
	authentic bool
	// idleTimeout is how long Read waits for a record; 0 means no limit.
	idleTimeout time.Duration
}

// newSealedConn exchanges nonces and derives the keys of both directions.
func newSealedConn(c net.Conn, sharedKey []byte, client bool) (*sealedConn, error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, errors.Trace(err)
	}
	own := make([]byte, handshakeNonceSize)
	if _, err := rand.Read(own); err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := c.Write(own); err != nil {
		return nil, errors.Trace(err)
	}
	other := make([]byte, handshakeNonceSize)
	if _, err := io.ReadFull(c, other); err != nil {
		return nil, errors.Trace(err)
	}
	first, second := own, other
	if !client {
		first, second = other, own
	}
	toServer, err := directionKey(sharedKey, first, second, "client to server")
	if err != nil {
		return nil, err
	}
	toClient, err := directionKey(sharedKey, first, second, "server to client")
	if err != nil {
		return nil, err
	}
	s := &sealedConn{Conn: c, opener: toServer, sealer: toClient}
	if client {
		s.opener, s.sealer = toClient, toServer
		return s, errors.Trace(c.SetDeadline(time.Time{}))
	}
	s.idleTimeout = serverIdleTimeout
	return s, nil
}

func directionKey(sharedKey, client, server []byte, direction string) (cipher.AEAD, error) {
	context := append(append(append([]byte{}, client...), server...), direction...)
	return wire.NewAEAD(sharedKey, wire.PurposeRPC, context)
}

// Write seals b in records of at most maxRecordSize bytes.
func (s *sealedConn) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		n := min(len(b), maxRecordSize)
		s.writeCounter++
		header := binary.BigEndian.AppendUint32(nil, uint32(n+frameTagSize))
		record := s.sealer.Seal(header, frameNonce(s.writeCounter), b[:n], header)
		if _, err := s.Conn.Write(record); err != nil {
			return written, err
		}
		written += n
		b = b[n:]
	}
	return written, nil
}

// Read returns the plaintext of authentic records only.
func (s *sealedConn) Read(b []byte) (int, error) {
	if len(s.unread) == 0 {
		if err := s.readRecord(); err != nil {
			return 0, err
		}
	}
	n := copy(b, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

func (s *sealedConn) readRecord() error {
	if s.authentic && s.idleTimeout > 0 {
		if err := s.SetReadDeadline(time.Now().Add(s.idleTimeout)); err != nil {
			return err
		}
	}
	var header [4]byte
	if _, err := io.ReadFull(s.Conn, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size <= frameTagSize || size > maxRecordSize+frameTagSize {
		return ErrRefused
	}
	record := make([]byte, size)
	if _, err := io.ReadFull(s.Conn, record); err != nil {
		return err
	}
	s.readCounter++
	plain, err := s.opener.Open(record[:0], frameNonce(s.readCounter), record, header[:])
	if err != nil {
		return ErrRefused
	}
	s.unread = plain
	if !s.authentic {
		s.authentic = true
		return s.SetDeadline(time.Time{})
	}
	return nil
}

// Client calls the net/rpc services of one process, such as Control.Status.
type Client struct {
	rpc *rpc.Client
}

// Dial opens a sealed connection to the control address of a process.
func Dial(ctx context.Context, to netip.AddrPort, sharedKey []byte) (*Client, error) {
	d := net.Dialer{Timeout: handshakeTimeout}
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, errors.Annotatef(err, "cannot reach %s", to)
	}
	// The kernel of a paused process still accepts connections, and the deadline of ctx may be below handshakeTimeout.
	stop := context.AfterFunc(ctx, func() { c.Close() })
	s, err := newSealedConn(c, sharedKey, true)
	if !stop() {
		return nil, errors.Annotatef(ctx.Err(), "cannot open a sealed connection to %s", to)
	}
	if err != nil {
		c.Close()
		return nil, errors.Annotatef(err, "cannot open a sealed connection to %s", to)
	}
	return &Client{rpc: rpc.NewClient(s)}, nil
}

// Call calls a method and waits for the reply or the end of ctx.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	call := c.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the connection.
func (c *Client) Close() error { return c.rpc.Close() }
