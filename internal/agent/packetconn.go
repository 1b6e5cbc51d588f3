package agent

import (
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/wire"
)

// socketBuffer is the size in bytes asked for each direction of the data socket; the system may grant less.
const socketBuffer = 4 << 20

// packetConn gives quic-go the packets of the agent's own flows, without the frame of the datagrams.
//
// The socket is a named field: with an embedded *net.UDPConn, quic-go would use its methods and bypass ReadFrom.
type packetConn struct {
	socket *net.UDPConn
	agent  *Agent
	buffer []byte
}

func newPacketConn(socket *net.UDPConn, a *Agent) *packetConn {
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
	return &packetConn{socket: socket, agent: a, buffer: make([]byte, wire.MaxDatagram+1)}
}

// ReadFrom returns the next packet of an own flow and the caller's address; quic-go calls it from one goroutine.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(c.buffer)
		if err != nil {
			return 0, nil, err
		}
		var d wire.Datagram
		if !c.agent.inbound(&d, c.buffer[:n]) {
			continue
		}
		if len(d.Payload) > len(p) {
			c.agent.metrics.drop(wire.ErrOversized)
			continue
		}
		return copy(p, d.Payload), net.UDPAddrFromAddrPort(d.Caller), nil
	}
}

// WriteTo sends a packet to a caller through the balancer of its flow.
func (c *packetConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	u, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, errors.Errorf("%s is not a UDP address", addr)
	}
	caller := u.AddrPort()
	caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
	c.agent.outbound(caller, p)
	return len(p), nil
}

// Close closes the socket.
func (c *packetConn) Close() error { return c.socket.Close() }

// LocalAddr returns the address of the socket.
func (c *packetConn) LocalAddr() net.Addr { return c.socket.LocalAddr() }

// SetReadBuffer keeps quic-go from warning; newPacketConn has set the buffers.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer keeps quic-go from warning; newPacketConn has set the buffers.
func (c *packetConn) SetWriteBuffer(int) error { return nil }

// SetDeadline sets the deadlines of the socket.
func (c *packetConn) SetDeadline(t time.Time) error { return c.socket.SetDeadline(t) }

// SetReadDeadline sets the read deadline of the socket.
func (c *packetConn) SetReadDeadline(t time.Time) error { return c.socket.SetReadDeadline(t) }

// SetWriteDeadline sets the write deadline of the socket.
func (c *packetConn) SetWriteDeadline(t time.Time) error { return c.socket.SetWriteDeadline(t) }

// send seals a datagram and sends it to a balancer or an agent.
func (c *packetConn) send(d *wire.Datagram, to netip.AddrPort) error {
	var buffer [wire.MaxDatagram]byte
	b, err := c.agent.sealer.Append(buffer[:0], d)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.socket.WriteToUDPAddrPort(b, to)
	return err
}

// inbound decides on a received datagram and reports whether its payload belongs to an own flow.
func (a *Agent) inbound(d *wire.Datagram, b []byte) bool {
	if err := a.sealer.Open(d, b); err != nil {
		a.metrics.drop(err)
		return false
	}
	if d.Kind != wire.KindForward {
		a.metrics.drop(wire.ErrMalformed)
		return false
	}
	if d.Service != a.service {
		a.metrics.drop(errUnknownService)
		return false
	}
	a.zoneGaps.check(time.Now(), d, a.zoneRevision.Load(), a.ways.Load())
	v := a.steering.decide(time.Now(), d, a.situation())
	switch v.action {
	case actionDeliver:
		return true
	case actionPass:
		a.pass(d, v)
	case actionDrop:
		a.metrics.drop(v.reason)
	}
	return false
}

func (a *Agent) pass(d *wire.Datagram, v verdict) {
	if !v.hop(a.short, &d.Visited) {
		a.metrics.drop(errTriedAll)
		return
	}
	a.metrics.passed.Inc()
	if err := a.conn.send(d, v.next.DataAddress()); err != nil {
		a.cfg.Logger.Debug("cannot pass a packet on", "to", v.next.ID(), "error", err)
	}
}

// outbound sends a packet to a caller.
func (a *Agent) outbound(caller netip.AddrPort, p []byte) {
	if a.closed.Load() {
		a.metrics.drop(errZoneOut)
		return
	}
	r, ok := a.steering.flows.route(time.Now(), caller, a.ways.Load())
	if !ok {
		a.metrics.drop(errNoFlow)
		return
	}
	if r.rotated {
		a.metrics.rotated.Inc()
	}
	d := wire.Datagram{
		Kind: wire.KindReturn, Service: a.service, Caller: caller, Balancer: r.balancer, Address: r.address,
		ZoneRevision: a.zoneRevision.Load(), Owner: a.short, Established: r.established, Payload: p,
	}
	if err := a.conn.send(&d, r.balancer); err != nil {
		// An unreachable balancer is a lost packet, which QUIC repeats; an error would end the connection.
		a.cfg.Logger.Debug("cannot send to a balancer", "to", r.balancer, "error", err)
	}
}
