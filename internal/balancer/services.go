package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// bindRetry is how often addresses that could not be bound are tried again, and records that were
// forgotten without a notice are looked for.
const bindRetry = 2 * time.Second

// table holds the services by id; it is replaced as a whole when the set of services or addresses changes.
type table struct{ services map[flow.ServiceID]*service }

// service is what the data path needs of one customer service.
type service struct {
	name    string
	sockets []*socket
	view    *flow.View
	// expires is when the grace of a zone that is out ends, so the view must be made again; zero means never.
	expires time.Time
}

// socket receives the packets of callers for one service address.
type socket struct {
	// address is the one in the contract, bound the one in use.
	address, bound netip.AddrPort
	name           string
	id             flow.ServiceID
	conn           *net.UDPConn
	closing        atomic.Bool
}

// find returns the socket bound to an address; an invalid address means the only one of the service.
func (s *service) find(bound netip.AddrPort) *socket {
	if !bound.IsValid() && len(s.sockets) == 1 {
		return s.sockets[0]
	}
	for _, k := range s.sockets {
		if k.bound == bound {
			return k
		}
	}
	return nil
}

// onChange is called by the board; it must not block.
func (b *Balancer) onChange(r board.Record) {
	if r.ID.Kind == board.KindZone {
		raise(&b.zoneRevision, r.Version.Seq)
	}
	select {
	case b.dirty <- struct{}{}:
	default:
	}
}

func raise(v *atomic.Uint64, to uint64) {
	for {
		old := v.Load()
		if old >= to || v.CompareAndSwap(old, to) {
			return
		}
	}
}

// follow keeps the table equal to the board until the context ends.
func (b *Balancer) follow(ctx context.Context, g *rungroup.Group) error {
	raise(&b.zoneRevision, b.cfg.Board.ZoneRevision())
	for {
		b.rebuild(time.Now(), g)
		timer := time.NewTimer(b.untilExpiry(time.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			b.interruptAll()
			return nil
		case <-b.dirty:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// untilExpiry returns how long the table stays valid.
func (b *Balancer) untilExpiry(now time.Time) time.Duration {
	d := bindRetry
	for _, s := range b.services.Load().services {
		if !s.expires.IsZero() {
			d = min(d, s.expires.Sub(now))
		}
	}
	return max(d, 0)
}

func (b *Balancer) interruptAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.sockets {
		k.closing.Store(true)
		interrupt(k.conn)
	}
}

// rebuild makes the table from the board; g runs the readers of new sockets.
func (b *Balancer) rebuild(now time.Time, g *rungroup.Group) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.cfg.Board.Records(board.KindZone) {
		if z, ok := r.Value.(board.Zone); ok {
			b.zones.Update(now, r.ID.Key, z.Out())
		}
	}
	contracts := b.cfg.Board.Records(board.KindContract)
	next := &table{services: make(map[flow.ServiceID]*service)}
	wanted := make(map[netip.AddrPort]string)
	for _, r := range contracts {
		if c, ok := r.Value.(board.Contract); ok {
			s := &service{name: r.ID.Key}
			s.view = b.view(now, s, c)
			next.services[s.view.Service()] = s
			b.claim(wanted, s.name, c)
		}
	}
	b.openSockets(contracts, wanted, g)
	for a, k := range b.sockets {
		if s, ok := next.services[k.id]; ok && wanted[a] == k.name {
			s.sockets = append(s.sockets, k)
		}
	}
	b.services.Store(next)
	for a, k := range b.sockets {
		if wanted[a] != k.name {
			b.closeSocket(k)
		}
	}
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

// view returns the view of a service and notes when it must be made again.
func (b *Balancer) view(now time.Time, s *service, c board.Contract) *flow.View {
	grace := c.ZoneOutGrace()
	return b.cfg.Board.View(s.name, func(zone string) bool {
		since, out := b.zones.Since(zone)
		if !out {
			return false
		}
		if end := since.Add(grace); now.Before(end) {
			if s.expires.IsZero() || end.Before(s.expires) {
				s.expires = end
			}
			return false
		}
		return true
	})
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
	k := &socket{address: listed, bound: a, name: name, id: flow.ServiceIDOf(name), conn: conn}
	b.sockets[a] = k
	delete(b.faults, a)
	for range callerReaders {
		g.Go(func(context.Context) error {
			b.serveCallers(k)
			return nil
		})
	}
	b.log.Info("service address opened", "service", name, "address", a)
}

// closeSocket closes a socket at once: packets that its readers hold leave through the data socket.
func (b *Balancer) closeSocket(k *socket) {
	k.closing.Store(true)
	_ = k.conn.Close()
	delete(b.sockets, k.bound)
	b.log.Info("service address closed", "service", k.name, "address", k.bound)
}
