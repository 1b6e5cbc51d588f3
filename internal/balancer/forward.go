package balancer

import (
	"context"
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// thread holds what one reader uses again for each packet.
type thread struct {
	in, out  []byte
	datagram wire.Datagram
}

// newThread returns buffers that hold one byte more than is allowed, so that a longer packet is noticed.
func newThread() *thread {
	return &thread{in: make([]byte, wire.MaxDatagram+1), out: make([]byte, 0, wire.MaxDatagram)}
}

// serveCallers forwards the packets that arrive at a service address until the socket is interrupted or closed.
func (b *Balancer) serveCallers(k *socket) {
	t := newThread()
	for {
		n, caller, err := k.conn.ReadFromUDPAddrPort(t.in[:wire.MaxPayload+1])
		switch {
		case err == nil:
			b.metrics.fromCallers.Inc()
			err = b.forward(t, k, caller, t.in[:n])
		case k.closing.Load():
			return
		default:
			err = readFailed()
		}
		if err != nil {
			b.metrics.forwardDrops.count(err)
		}
	}
}

func readFailed() error {
	time.Sleep(readRetry)
	return errReadFailed
}

// forward sends a caller's packet to the member that the steerer chooses.
func (b *Balancer) forward(t *thread, k *socket, caller netip.AddrPort, packet []byte) error {
	switch {
	case len(packet) == 0:
		return wire.ErrMalformed
	case len(packet) > wire.MaxPayload:
		return wire.ErrOversized
	}
	now := time.Now()
	s, ok := b.current(now).services[k.id]
	if !ok {
		return errUnknownService
	}
	opening := wire.Opens(packet)
	choice, ok := b.steerer.Steer(now, s.view, caller, opening)
	if !ok {
		return errNoMember
	}
	t.datagram = wire.Datagram{
		Kind:         wire.KindForward,
		Service:      k.id,
		Caller:       caller,
		Balancer:     b.address,
		Address:      k.address,
		ZoneRevision: b.zoneRevision.Load(),
		Opening:      opening,
		Payload:      packet,
	}
	out, err := b.sealer.Append(t.out[:0], &t.datagram)
	if err != nil {
		return err
	}
	if _, err := b.data.WriteToUDPAddrPort(out, choice.Member.Data()); err != nil {
		return errSendFailed
	}
	b.metrics.forwarded.Inc()
	if choice.Cached {
		b.metrics.cached.Inc()
	} else {
		b.metrics.ranked.Inc()
	}
	return nil
}

// serveReturns sends the answers of agents to callers until the data socket is interrupted.
func (b *Balancer) serveReturns(context.Context) error {
	t := newThread()
	for {
		n, from, err := b.data.ReadFromUDPAddrPort(t.in)
		switch {
		case err == nil:
			b.metrics.fromAgents.Inc()
			err = b.giveBack(t, from, t.in[:n])
		case b.stopping.Load():
			return nil
		default:
			err = readFailed()
		}
		if err != nil {
			b.metrics.returnDrops.count(err)
		}
	}
}

// giveBack sends the payload of a return datagram to the caller and learns the owner of the flow.
func (b *Balancer) giveBack(t *thread, from netip.AddrPort, packet []byte) error {
	d := &t.datagram
	if err := b.sealer.Open(d, packet); err != nil {
		return err
	}
	if d.Kind != wire.KindReturn || d.Caller.Port() == 0 || len(d.Payload) == 0 {
		return wire.ErrMalformed
	}
	s, ok := b.services.Load().services[d.Service]
	if !ok {
		return errUnknownService
	}
	now := time.Now()
	b.compareRevision(now, d, from)
	if d.Established {
		b.steerer.Learn(now, flow.NewKey(d.Caller, d.Service), d.Owner)
	}
	k := s.find(b.bound(d.Address))
	if k == nil {
		return errUnknownAddress
	}
	if _, err := k.conn.WriteToUDPAddrPort(d.Payload, d.Caller); err != nil {
		return errSendFailed
	}
	b.metrics.returned.Inc()
	return nil
}
