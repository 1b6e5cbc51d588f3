package balancer

import (
	"context"
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// minOpening is the least size in bytes of a datagram that opens a flow. RFC 9000, section 14.1, has servers discard
// smaller ones, so that answers to invented callers are not much larger than what they cost.
const minOpening = 1200

// serveCallers forwards the packets that arrive at a service address until the socket is interrupted or closed.
func (b *Balancer) serveCallers(k *socket) {
	t := newThread(wire.MaxPayload, b.metrics.forwarded, b.metrics.forwardDrops.sendFailed)
	handle := func(caller netip.AddrPort, packet []byte) {
		b.metrics.fromCallers.Inc()
		if err := b.forward(t, k, caller, packet); err != nil {
			b.metrics.forwardDrops.count(err)
		}
	}
	for !k.closing.Load() {
		if err := t.read(k.batch, handle); err != nil && !k.closing.Load() {
			b.metrics.forwardDrops.count(errReadFailed)
			time.Sleep(readRetry)
		}
	}
}

// forward queues a caller's packet to the member that the steerer chooses.
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
	opening := wire.IsInitial(packet)
	if opening && len(packet) < minOpening {
		return errShortOpening
	}
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
	out, err := b.sealer.Append(t.buffer(), &t.datagram)
	if err != nil {
		return err
	}
	t.queue(b.batch, out, choice.Member.DataAddress())
	if choice.Cached {
		b.metrics.cached.Inc()
	} else {
		b.metrics.ranked.Inc()
	}
	return nil
}

// serveReturns sends the answers of agents to callers until the data socket is interrupted.
func (b *Balancer) serveReturns(context.Context) error {
	t := newThread(wire.MaxDatagram, b.metrics.returned, b.metrics.returnDrops.sendFailed)
	handle := func(from netip.AddrPort, packet []byte) {
		b.metrics.fromAgents.Inc()
		if err := b.giveBack(t, from, packet); err != nil {
			b.metrics.returnDrops.count(err)
		}
	}
	for !b.stopping.Load() {
		if err := t.read(b.batch, handle); err != nil && !b.stopping.Load() {
			b.metrics.returnDrops.count(errReadFailed)
			time.Sleep(readRetry)
		}
	}
	return nil
}

// giveBack queues the payload of a return datagram for the caller and learns the owner of the flow.
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
		b.steerer.SetOwner(now, flow.NewKey(d.Caller, d.Service), d.Owner)
	}
	k := s.find(b.bound(d.Address))
	if k == nil {
		return errUnknownAddress
	}
	t.queue(k.batch, d.Payload, d.Caller)
	return nil
}
