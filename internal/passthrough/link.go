package passthrough

import (
	"context"
	"net"
	"net/netip"

	"github.com/juju/errors"
)

// link is the UDP socket for datagrams between processes and the TCP listener for their calls.
type link struct {
	conn    *net.UDPConn
	calls   net.Listener
	self    netip.AddrPort
	metrics *metrics
	// filter reports whether a datagram may be sent; nil allows all.
	filter LinkFilter
	// detours is nil if all datagrams are sent directly.
	detours *detours
}

// LinkFilter reports whether a datagram between two processes may be sent. Tests use it to cut links.
type LinkFilter func(from, to netip.AddrPort) bool

// receiveBuffer holds the datagrams of about a second while the process is not scheduled.
const receiveBuffer = 4 << 20

func listenUDP(a netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Annotatef(err, "cannot listen on %s", a)
	}
	// The platform may limit the buffer; a smaller one is acceptable.
	_ = conn.SetReadBuffer(receiveBuffer)
	return conn, nil
}

func newLink(a netip.AddrPort, m *metrics) (*link, error) {
	conn, err := listenUDP(a)
	if err != nil {
		return nil, err
	}
	calls, err := net.Listen("tcp4", a.String()) //nolint:noctx // servePeers closes the listener
	if err != nil {
		return nil, errors.Annotatef(err, "cannot listen on %s", a)
	}
	return &link{conn: conn, calls: calls, self: a, metrics: m}, nil
}

// send sends a message, through a relay if there is a detour to the process.
func (l *link) send(to netip.AddrPort, m message) {
	if relay, ok := l.detours.relayTo(to); ok {
		l.metrics.count(eventDetoured, reasonNone)
		l.sendVia(relay, to, m)
		return
	}
	l.sendDirect(to, m)
}

// sendVia sends a message through a relay.
func (l *link) sendVia(through, to netip.AddrPort, m message) {
	var buf [maxMessage]byte
	l.sendDirect(through, &relay{to: to, from: l.self, datagram: m.append(buf[:0])})
}

func (l *link) sendDirect(to netip.AddrPort, m message) {
	if l.filter != nil && !l.filter(l.self, to) {
		return
	}
	var buf [maxMessage]byte
	l.metrics.send(l.conn, m.append(buf[:0]), to)
}

// readPackets reads datagrams until the context ends, and returns after the socket is closed. handle must not retain the
// slice.
func readPackets(ctx context.Context, conn *net.UDPConn, handle func(from netip.AddrPort, b []byte)) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = conn.Close()
	})
	defer func() {
		if !stop() {
			<-closed // A reader returns before the address can be used again.
		}
	}()
	buf := make([]byte, maxMessage)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return errors.Trace(err)
			}
			continue // Caused by an earlier datagram, such as one to a closed port.
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}
