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

// Intervals at which the table is updated without a board change.
const (
	// bindRetryInterval is the time between attempts to bind addresses that could not be bound.
	bindRetryInterval = 2 * time.Second
	// fullRebuildInterval is the interval at which all views are rebuilt, because the board does not report expired
	// records.
	fullRebuildInterval = 10 * time.Second
)

// socket receives packets of callers at one service address.
type socket struct {
	// contractAddress is the address in the contract; bindAddress is the one the socket is bound to.
	contractAddress, bindAddress netip.AddrPort
	service                      string
	serviceID                    flow.ServiceID
	conn                         *net.UDPConn
	batch                        *batchConn
	closing                      atomic.Bool
}

func storeMax(v *atomic.Uint64, to uint64) {
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
		storeMax(&b.zoneRevision, r.Version.Seq)
		b.rebuilds.addAllViews()
	case board.ZoneReachability:
		b.rebuilds.addAllViews()
	case board.Contract:
		b.rebuilds.addView(r.ID.Key)
		b.rebuilds.addSockets()
	case board.Agent:
		b.members.add(r.ID.Key, v.Service, r.Version.Epoch)
		b.rebuilds.addView(v.Service)
	case board.Backend:
		if a, ok := b.cfg.Board.Get(board.ID{Kind: board.KindAgent, Key: r.ID.Key}); ok {
			b.onChange(a)
		}
	}
}

// watchBoard rebuilds the table after board changes until the context ends.
func (b *Balancer) watchBoard(ctx context.Context, g *rungroup.Group) error {
	storeMax(&b.zoneRevision, b.cfg.Board.ZoneRevision())
	b.rebuilds.addAllViews()
	b.rebuilds.addSockets()
	full := time.NewTicker(fullRebuildInterval)
	defer full.Stop()
	for {
		b.rebuild(time.Now(), g)
		timer := time.NewTimer(b.untilExpiry(time.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			b.interruptSockets()
			return nil
		case <-b.rebuilds.wake:
		case <-timer.C:
			b.rebuildExpired(time.Now())
			b.rebuilds.addSockets()
		case <-full.C:
			b.rebuilds.addAllViews()
		}
		timer.Stop()
	}
}

// untilExpiry returns the time until the table expires, and at most bindRetryInterval.
func (b *Balancer) untilExpiry(now time.Time) time.Duration {
	d := bindRetryInterval
	if expires := b.services.Load().expires; !expires.IsZero() {
		d = min(d, expires.Sub(now))
	}
	return max(d, 0)
}

// rebuildExpired rebuilds all views if the grace period of a zone has ended.
func (b *Balancer) rebuildExpired(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if expires := b.services.Load().expires; expires.IsZero() || now.Before(expires) {
		return
	}
	scope := b.rebuilds.take()
	if scope.sockets {
		b.rebuilds.addSockets()
	}
	scope.allViews = true
	b.services.Store(b.buildTable(now, scope))
}

func (b *Balancer) interruptSockets() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sock := range b.sockets {
		sock.closing.Store(true)
		interrupt(sock.conn)
	}
}

// rebuild rebuilds the pending parts of the table from the board; g runs the readers of new sockets.
func (b *Balancer) rebuild(now time.Time, g *rungroup.Group) {
	b.mu.Lock()
	defer b.mu.Unlock()
	scope := b.rebuilds.take()
	next := b.buildTable(now, scope)
	if scope.sockets {
		b.reconcileSockets(next, g)
	}
	b.services.Store(next)
	if scope.sockets {
		b.closeUnused(next)
	}
}

// reconcileSockets binds the addresses of the contracts on the board and assigns the sockets to the services of a table.
func (b *Balancer) reconcileSockets(next *table, g *rungroup.Group) {
	contracts := b.cfg.Board.Records(board.KindContract)
	owners := make(map[netip.AddrPort]string)
	for _, r := range contracts {
		if c, ok := r.Value.(board.Contract); ok {
			b.assignAddresses(owners, r.ID.Key, c)
		}
	}
	b.openSockets(contracts, owners, g)
	b.assignSockets(next, owners)
}

// closeUnused closes the sockets that no service of the table uses.
func (b *Balancer) closeUnused(t *table) {
	for _, sock := range b.sockets {
		if s, ok := t.services[sock.serviceID]; !ok || !slices.Contains(s.sockets, sock) {
			b.closeSocket(sock)
		}
	}
}

// assignSockets sets the sockets of each service. It copies a service before a change, because the table in use shares
// it.
func (b *Balancer) assignSockets(t *table, owners map[netip.AddrPort]string) {
	sockets := make(map[flow.ServiceID][]*socket)
	for a, sock := range b.sockets {
		if owners[a] == sock.service {
			sockets[sock.serviceID] = append(sockets[sock.serviceID], sock)
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
	return len(a) == len(b) && !slices.ContainsFunc(a, func(sock *socket) bool { return !slices.Contains(b, sock) })
}

func (b *Balancer) openSockets(contracts []board.Record, owners map[netip.AddrPort]string, g *rungroup.Group) {
	for _, r := range contracts {
		c, ok := r.Value.(board.Contract)
		if !ok {
			continue
		}
		for _, a := range c.Addresses() {
			if owners[b.bindAddress(a)] == r.ID.Key {
				b.openSocket(b.bindAddress(a), a, r.ID.Key, g)
			}
		}
	}
}

// assignAddresses assigns the addresses of a contract to its service. If two contracts name the same address, the service
// with the open socket keeps it, or else the first service by name gets it, so that a wrong contract cannot redirect
// packets to another service.
func (b *Balancer) assignAddresses(owners map[netip.AddrPort]string, name string, c board.Contract) {
	for _, a := range c.Addresses() {
		a = b.bindAddress(a)
		owner, assigned := owners[a]
		if assigned && owner != name {
			b.logFault(a, "address is in two contracts: "+owner+", "+name)
		}
		sock, open := b.sockets[a]
		if !assigned || open && sock.service == name {
			owners[a] = name
		}
	}
}

// logFault logs a fault of a service address unless it was the last one logged for it.
func (b *Balancer) logFault(a netip.AddrPort, fault string) {
	if b.loggedFaults[a] != fault {
		b.loggedFaults[a] = fault
		b.log.Error("service address fault", "address", a, "fault", fault)
	}
}

// bindAddress returns the address to bind for an address in a contract.
func (b *Balancer) bindAddress(a netip.AddrPort) netip.AddrPort {
	if a.IsValid() && b.cfg.BindIP.IsValid() {
		return netip.AddrPortFrom(b.cfg.BindIP, a.Port())
	}
	return a
}

// openSocket opens the socket of a service address unless the service has it already.
func (b *Balancer) openSocket(a, contractAddress netip.AddrPort, name string, g *rungroup.Group) {
	old, ok := b.sockets[a]
	if ok && old.service == name {
		return
	}
	if ok {
		b.closeSocket(old)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		b.metrics.bindFailures.Inc()
		b.logFault(a, err.Error())
		return
	}
	b.growBuffer(conn)
	sock := &socket{contractAddress: contractAddress, bindAddress: a, service: name, serviceID: flow.ServiceIDOf(name), conn: conn, batch: newBatchConn(conn)}
	b.sockets[a] = sock
	delete(b.loggedFaults, a)
	// Two readers of one socket would reorder the packets of a flow, and QUIC treats a packet as lost if one that was
	// sent three packets later arrives first.
	g.Go(func(context.Context) error {
		b.serveCallers(sock)
		return nil
	})
	b.log.Info("service address opened", "service", name, "address", a)
}

// closeSocket closes a socket at once. Packets that its reader has already read are sent from the data socket.
func (b *Balancer) closeSocket(sock *socket) {
	sock.closing.Store(true)
	_ = sock.conn.Close()
	delete(b.sockets, sock.bindAddress)
	b.log.Info("service address closed", "service", sock.service, "address", sock.bindAddress)
}
