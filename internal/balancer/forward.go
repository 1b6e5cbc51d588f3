package balancer

import (
	"context"
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// minOpeningSize is the minimum size in bytes of a datagram that opens a flow. RFC 9000, section 14.1, requires servers
// to discard smaller ones, which limits amplification attacks with spoofed caller addresses.
const minOpeningSize = 1200

// serveCallers forwards the packets received at a service address until the socket is interrupted or closed.
func (b *Balancer) serveCallers(sock *socket) {
	w := newBatchWorker(wire.MaxPayload, b.metrics.forwarded, b.metrics.forwardDrops.sendFailed)
	handle := func(caller netip.AddrPort, packet []byte) {
		b.metrics.fromCallers.Inc()
		if err := b.forward(w, sock, caller, packet); err != nil {
			b.metrics.forwardDrops.count(err)
		}
	}
	for !sock.closing.Load() {
		if err := w.read(sock.batch, handle); err != nil && !sock.closing.Load() {
			b.metrics.forwardDrops.count(errReadFailed)
			time.Sleep(readRetryDelay)
		}
	}
}

// forward queues a caller's packet for the member that the steerer chooses.
func (b *Balancer) forward(w *batchWorker, sock *socket, caller netip.AddrPort, packet []byte) error {
	switch {
	case len(packet) == 0:
		return wire.ErrMalformed
	case len(packet) > wire.MaxPayload:
		return wire.ErrOversized
	}
	now := time.Now()
	s, ok := b.currentTable(now).services[sock.serviceID]
	if !ok {
		return errUnknownService
	}
	opening := wire.IsInitial(packet)
	if opening && len(packet) < minOpeningSize {
		return errShortOpening
	}
	choice, ok := b.steerer.Steer(now, s.view, caller, opening)
	if !ok {
		return errNoMember
	}
	w.datagram = wire.Datagram{
		Kind:         wire.KindForward,
		Service:      sock.serviceID,
		Caller:       caller,
		Balancer:     b.address,
		Address:      sock.contractAddress,
		ZoneRevision: b.zoneRevision.Load(),
		Opening:      opening,
		Payload:      packet,
	}
	out, err := b.sealer.Append(w.nextBuffer(), &w.datagram)
	if err != nil {
		return err
	}
	w.queue(b.batch, out, choice.Member.DataAddress())
	if choice.Cached {
		b.metrics.cached.Inc()
	} else {
		b.metrics.ranked.Inc()
	}
	return nil
}

// serveReturns sends the answers of agents to callers until the data socket is interrupted.
func (b *Balancer) serveReturns(context.Context) error {
	w := newBatchWorker(wire.MaxDatagram, b.metrics.returned, b.metrics.returnDrops.sendFailed)
	handle := func(from netip.AddrPort, packet []byte) {
		b.metrics.fromAgents.Inc()
		if err := b.returnToCaller(w, from, packet); err != nil {
			b.metrics.returnDrops.count(err)
		}
	}
	for !b.stopping.Load() {
		if err := w.read(b.batch, handle); err != nil && !b.stopping.Load() {
			b.metrics.returnDrops.count(errReadFailed)
			time.Sleep(readRetryDelay)
		}
	}
	return nil
}

// returnToCaller queues the payload of a return datagram for the caller and caches the owner of an established flow.
func (b *Balancer) returnToCaller(w *batchWorker, from netip.AddrPort, packet []byte) error {
	d := &w.datagram
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
	b.checkRevision(now, d, from)
	if d.Established {
		b.steerer.SetOwner(now, flow.NewKey(d.Caller, d.Service), d.Owner)
	}
	sock := s.socketFor(b.bindAddress(d.Address))
	if sock == nil {
		return errUnknownAddress
	}
	w.queue(sock.batch, d.Payload, d.Caller)
	return nil
}
