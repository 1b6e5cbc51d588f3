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

// ErrRefused means that the other end of a connection does not hold the shared key.
const ErrRefused = errors.ConstError("the other end does not hold the shared key")

const (
	helloSize = 16
	// maxRecord is the largest plaintext of one record in bytes.
	maxRecord = 32 << 10
	// handshakeTime bounds the exchange of nonces and the first record of a connection.
	handshakeTime = 3 * time.Second
	// serverIdle is how long a connection may stay without a call. Otherwise the connections of
	// processes that called once would use up maxConnections.
	serverIdle = time.Minute
)

// sealedConn seals every record of a TCP connection with a key for its direction and a counter as the nonce.
type sealedConn struct {
	net.Conn
	in, out               cipher.AEAD
	inCounter, outCounter uint64
	rest                  []byte
	authentic             bool
	// idle is how long Read waits for a record; 0 means for ever.
	idle time.Duration
}

// newSealedConn exchanges nonces and derives the keys of both directions.
func newSealedConn(c net.Conn, shared []byte, client bool) (*sealedConn, error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTime)); err != nil {
		return nil, errors.Trace(err)
	}
	own := make([]byte, helloSize)
	if _, err := rand.Read(own); err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := c.Write(own); err != nil {
		return nil, errors.Trace(err)
	}
	other := make([]byte, helloSize)
	if _, err := io.ReadFull(c, other); err != nil {
		return nil, errors.Trace(err)
	}
	first, second := own, other
	if !client {
		first, second = other, own
	}
	toServer, err := directionKey(shared, first, second, "client to server")
	if err != nil {
		return nil, err
	}
	toClient, err := directionKey(shared, first, second, "server to client")
	if err != nil {
		return nil, err
	}
	s := &sealedConn{Conn: c, in: toServer, out: toClient}
	if client {
		s.in, s.out = toClient, toServer
		return s, errors.Trace(c.SetDeadline(time.Time{}))
	}
	s.idle = serverIdle
	return s, nil
}

func directionKey(shared, client, server []byte, direction string) (cipher.AEAD, error) {
	context := append(append(append([]byte{}, client...), server...), direction...)
	return wire.NewAEAD(shared, wire.PurposeRPC, context)
}

// Write seals b in records of at most maxRecord bytes.
func (s *sealedConn) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		n := min(len(b), maxRecord)
		s.outCounter++
		header := binary.BigEndian.AppendUint32(nil, uint32(n+frameTag))
		record := s.out.Seal(header, frameNonce(s.outCounter), b[:n], header)
		if _, err := s.Conn.Write(record); err != nil {
			return written, err
		}
		written += n
		b = b[n:]
	}
	return written, nil
}

// Read returns plaintext of authentic records only.
func (s *sealedConn) Read(b []byte) (int, error) {
	if len(s.rest) == 0 {
		if err := s.readRecord(); err != nil {
			return 0, err
		}
	}
	n := copy(b, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func (s *sealedConn) readRecord() error {
	if s.authentic && s.idle > 0 {
		if err := s.SetReadDeadline(time.Now().Add(s.idle)); err != nil {
			return err
		}
	}
	var header [4]byte
	if _, err := io.ReadFull(s.Conn, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size <= frameTag || size > maxRecord+frameTag {
		return ErrRefused
	}
	record := make([]byte, size)
	if _, err := io.ReadFull(s.Conn, record); err != nil {
		return err
	}
	s.inCounter++
	plain, err := s.in.Open(record[:0], frameNonce(s.inCounter), record, header[:])
	if err != nil {
		return ErrRefused
	}
	s.rest = plain
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

// Dial connects to the control address of a process.
func Dial(ctx context.Context, to netip.AddrPort, shared []byte) (*Client, error) {
	d := net.Dialer{Timeout: handshakeTime}
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, errors.Annotatef(err, "cannot reach %s", to)
	}
	// A paused process accepts connections without answering, and the caller may have less time than handshakeTime.
	stop := context.AfterFunc(ctx, func() { c.Close() })
	s, err := newSealedConn(c, shared, true)
	if !stop() {
		return nil, errors.Annotatef(ctx.Err(), "cannot open a sealed connection to %s", to)
	}
	if err != nil {
		c.Close()
		return nil, errors.Annotatef(err, "cannot open a sealed connection to %s", to)
	}
	return &Client{rpc: rpc.NewClient(s)}, nil
}

// Call calls a method and waits for the answer or the end of the context.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	call := c.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends the connection.
func (c *Client) Close() error { return c.rpc.Close() }
