package agent

import (
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/wire"
)

// socketBuffer is the buffer size in bytes to request for each direction of the data socket; the system may grant less.
const socketBuffer = 4 << 20

// packetConn passes the packets of the agent's own flows to quic-go without the datagram frame.
//
// The socket is a named field because quic-go would use the methods of an embedded *net.UDPConn and bypass ReadFrom.
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

// ReadFrom returns the next packet of a flow that the agent owns and the caller's address. It is called from one
// goroutine of quic-go.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(c.buffer)
		if err != nil {
			return 0, nil, err
		}
		var d wire.Datagram
		if !c.agent.receive(&d, c.buffer[:n]) {
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
	c.agent.sendToCaller(caller, p)
	return len(p), nil
}

// Close closes the socket.
func (c *packetConn) Close() error { return c.socket.Close() }

// LocalAddr returns the address of the socket.
func (c *packetConn) LocalAddr() net.Addr { return c.socket.LocalAddr() }

// SetReadBuffer does nothing, because newPacketConn sets the buffers; quic-go logs a warning if the method is missing.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, because newPacketConn sets the buffers; quic-go logs a warning if the method is missing.
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

// receive handles a received datagram and reports whether its payload belongs to a flow that the agent owns.
func (a *Agent) receive(d *wire.Datagram, b []byte) bool {
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
	a.zoneNotifier.check(time.Now(), d, a.zoneRevision.Load(), a.returnBalancers.Load())
	dec := a.steering.decide(time.Now(), d, a.state())
	switch dec.action {
	case actionDeliver:
		return true
	case actionPass:
		a.passOn(d, dec)
	case actionDrop:
		a.metrics.drop(dec.reason)
	}
	return false
}

func (a *Agent) passOn(d *wire.Datagram, dec decision) {
	if !dec.markVisited(a.shortID, &d.Visited) {
		a.metrics.drop(errAllVisited)
		return
	}
	a.metrics.passedOn.Inc()
	if err := a.conn.send(d, dec.next.DataAddress()); err != nil {
		a.cfg.Logger.Debug("cannot pass a packet on to another agent", "to", dec.next.ID(), "error", err)
	}
}

// sendToCaller sends a packet to a caller through the balancer of its return path.
func (a *Agent) sendToCaller(caller netip.AddrPort, p []byte) {
	if a.zoneClosed.Load() {
		a.metrics.drop(errZoneOut)
		return
	}
	path, ok := a.steering.flows.returnPath(time.Now(), caller, a.returnBalancers.Load())
	if !ok {
		a.metrics.drop(errNoFlow)
		return
	}
	if path.rotated {
		a.metrics.rotated.Inc()
	}
	d := wire.Datagram{
		Kind: wire.KindReturn, Service: a.service, Caller: caller, Balancer: path.balancer, Address: path.address,
		ZoneRevision: a.zoneRevision.Load(), Owner: a.shortID, Established: path.established, Payload: p,
	}
	if err := a.conn.send(&d, path.balancer); err != nil {
		// QUIC retransmits packets lost at an unreachable balancer; an error would end the connection.
		a.cfg.Logger.Debug("cannot send a packet to a balancer", "to", path.balancer, "error", err)
	}
}
