package balancer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// Intervals at which the table is compared with the board without a notice.
const (
	// bindRetry is how often addresses that could not be bound are tried again.
	bindRetry = 2 * time.Second
	// fullRebuild is how often all views are made again, because the board gives no notice of forgotten records.
	fullRebuild = 10 * time.Second
)

// socket receives the packets of callers for one service address.
type socket struct {
	// address is the one in the contract, bound the one in use.
	address, bound netip.AddrPort
	name           string
	id             flow.ServiceID
	conn           *net.UDPConn
	batch          *batchConn
	closing        atomic.Bool
}

func raise(v *atomic.Uint64, to uint64) {
	for {
		old := v.Load()
		if old >= to || v.CompareAndSwap(old, to) {
			return
		}
	}
}

// onChange is called by the board; it must not block.
func (b *Balancer) onChange(r board.Record) {
	switch v := r.Value.(type) {
	case board.Zone:
		raise(&b.zoneRevision, r.Version.Seq)
		b.pending.addAll()
	case board.ZoneReachability:
		b.pending.addAll()
	case board.Contract:
		b.pending.add(r.ID.Key)
		b.pending.addSockets()
	case board.Agent:
		b.members.add(r.ID.Key, v.Service, r.Version.Epoch)
		b.pending.add(v.Service)
	case board.Backend:
		if a, ok := b.cfg.Board.Get(board.ID{Kind: board.KindAgent, Key: r.ID.Key}); ok {
			b.onChange(a)
		}
	}
}

// follow keeps the table equal to the board until the context ends.
func (b *Balancer) follow(ctx context.Context, g *rungroup.Group) error {
	raise(&b.zoneRevision, b.cfg.Board.ZoneRevision())
	b.pending.addAll()
	b.pending.addSockets()
	full := time.NewTicker(fullRebuild)
	defer full.Stop()
	for {
		b.rebuild(time.Now(), g)
		timer := time.NewTimer(b.untilExpiry(time.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			b.interruptAll()
			return nil
		case <-b.pending.wake:
		case <-timer.C:
			b.expire(time.Now())
			b.pending.addSockets()
		case <-full.C:
			b.pending.addAll()
		}
		timer.Stop()
	}
}

// untilExpiry returns how long the table stays valid.
func (b *Balancer) untilExpiry(now time.Time) time.Duration {
	d := bindRetry
	if end := b.services.Load().expires; !end.IsZero() {
		d = min(d, end.Sub(now))
	}
	return max(d, 0)
}

// expire makes all views again when the grace of a zone has ended.
func (b *Balancer) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if end := b.services.Load().expires; end.IsZero() || now.Before(end) {
		return
	}
	w := b.pending.take()
	if w.sockets {
		b.pending.addSockets()
	}
	w.all = true
	b.services.Store(b.nextTable(now, w))
}

func (b *Balancer) interruptAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.sockets {
		k.closing.Store(true)
		interrupt(k.conn)
	}
}

// rebuild makes the pending parts of the table from the board; g runs the readers of new sockets.
func (b *Balancer) rebuild(now time.Time, g *rungroup.Group) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.pending.take()
	next := b.nextTable(now, w)
	if w.sockets {
		b.reconcile(next, g)
	}
	b.services.Store(next)
	if w.sockets {
		b.closeUnused(next)
	}
}

// reconcile binds the addresses of the contracts on the board and gives them to the services of a table.
func (b *Balancer) reconcile(next *table, g *rungroup.Group) {
	contracts := b.cfg.Board.Records(board.KindContract)
	wanted := make(map[netip.AddrPort]string)
	for _, r := range contracts {
		if c, ok := r.Value.(board.Contract); ok {
			b.claim(wanted, r.ID.Key, c)
		}
	}
	b.openSockets(contracts, wanted, g)
	b.attach(next, wanted)
}

// closeUnused closes the sockets that no service of the table in use has.
func (b *Balancer) closeUnused(t *table) {
	for _, k := range b.sockets {
		if s, ok := t.services[k.id]; !ok || !slices.Contains(s.sockets, k) {
			b.closeSocket(k)
		}
	}
}

// attach gives each service its sockets. Services are shared with the table in use, so a changed one is copied.
func (b *Balancer) attach(t *table, wanted map[netip.AddrPort]string) {
	sockets := make(map[flow.ServiceID][]*socket)
	for a, k := range b.sockets {
		if wanted[a] == k.name {
			sockets[k.id] = append(sockets[k.id], k)
		}
	}
	for id, s := range t.services {
		if !sameSockets(s.sockets, sockets[id]) {
			changed := *s
			changed.sockets = sockets[id]
			t.services[id] = &changed
		}
	}
}

func sameSockets(a, b []*socket) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(k *socket) bool { return !slices.Contains(b, k) })
}

func (b *Balancer) openSockets(contracts []board.Record, wanted map[netip.AddrPort]string, g *rungroup.Group) {
	for _, r := range contracts {
		c, ok := r.Value.(board.Contract)
		if !ok {
			continue
		}
		for _, a := range c.Addresses() {
			if wanted[b.bound(a)] == r.ID.Key {
				b.openSocket(b.bound(a), a, r.ID.Key, g)
			}
		}
	}
}

// claim notes which service gets an address. When two contracts name the same one, the service that holds
// its socket keeps it, else the first by name, so that no packet changes its service by a mistaken contract.
func (b *Balancer) claim(wanted map[netip.AddrPort]string, name string, c board.Contract) {
	for _, a := range c.Addresses() {
		a = b.bound(a)
		holder, taken := wanted[a]
		if taken && holder != name {
			b.report(a, "two contracts name the same address: "+holder+", "+name)
		}
		k, open := b.sockets[a]
		if !taken || open && k.name == name {
			wanted[a] = name
		}
	}
}

// report logs a fault of a service address once.
func (b *Balancer) report(a netip.AddrPort, fault string) {
	if b.faults[a] != fault {
		b.faults[a] = fault
		b.log.Error("service address", "address", a, "fault", fault)
	}
}

// bound returns the address to bind for an address in a contract.
func (b *Balancer) bound(a netip.AddrPort) netip.AddrPort {
	if a.IsValid() && b.cfg.BindIP.IsValid() {
		return netip.AddrPortFrom(b.cfg.BindIP, a.Port())
	}
	return a
}

// openSocket binds the socket of an address for a service unless it is open.
func (b *Balancer) openSocket(a, listed netip.AddrPort, name string, g *rungroup.Group) {
	old, ok := b.sockets[a]
	if ok && old.name == name {
		return
	}
	if ok {
		b.closeSocket(old)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		b.metrics.bindFailures.Inc()
		b.report(a, err.Error())
		return
	}
	b.growBuffer(conn)
	k := &socket{address: listed, bound: a, name: name, id: flow.ServiceIDOf(name), conn: conn, batch: newBatchConn(conn)}
	b.sockets[a] = k
	delete(b.faults, a)
	// Two readers of one socket would change the order of a flow's packets, and QUIC takes a packet for lost when
	// one that was sent three later arrives first.
	g.Go(func(context.Context) error {
		b.serveCallers(k)
		return nil
	})
	b.log.Info("service address opened", "service", name, "address", a)
}

// closeSocket closes a socket at once: packets that its readers hold leave through the data socket.
func (b *Balancer) closeSocket(k *socket) {
	k.closing.Store(true)
	_ = k.conn.Close()
	delete(b.sockets, k.bound)
	b.log.Info("service address closed", "service", k.name, "address", k.bound)
}
