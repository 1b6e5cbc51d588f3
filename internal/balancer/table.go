package balancer

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// table holds the services by ID; it is immutable once in use.
type table struct {
	services map[flow.ServiceID]*service
	// expires is when the first grace period of an out zone ends and the views must be rebuilt; zero means never.
	expires time.Time
}

// service holds the data that forwarding needs about one customer service; it is immutable once in use.
type service struct {
	name    string
	view    *flow.View
	sockets []*socket
}

// socketFor returns the socket bound to an address, or nil. An invalid address selects the socket of a service that has
// only one.
func (s *service) socketFor(bindAddress netip.AddrPort) *socket {
	if !bindAddress.IsValid() && len(s.sockets) == 1 {
		return s.sockets[0]
	}
	for _, sock := range s.sockets {
		if sock.bindAddress == bindAddress {
			return sock
		}
	}
	return nil
}

// rebuildScope states which parts of the table must be rebuilt.
type rebuildScope struct {
	// allViews selects the views of all services; otherwise views names the services.
	allViews bool
	views    map[string]struct{}
	// sockets selects opening and closing service addresses.
	sockets bool
}

// rebuildQueue accumulates the scope of the next rebuild; wake has a value when the scope has been extended.
type rebuildQueue struct {
	wake chan struct{}

	mu    sync.Mutex
	scope rebuildScope
}

func (q *rebuildQueue) addView(service string) {
	q.update(func(scope *rebuildScope) {
		if scope.views == nil {
			scope.views = make(map[string]struct{})
		}
		scope.views[service] = struct{}{}
	})
}

func (q *rebuildQueue) addAllViews() { q.update(func(scope *rebuildScope) { scope.allViews = true }) }

func (q *rebuildQueue) addSockets() { q.update(func(scope *rebuildScope) { scope.sockets = true }) }

func (q *rebuildQueue) update(add func(*rebuildScope)) {
	q.mu.Lock()
	add(&q.scope)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take returns the pending scope and clears it.
func (q *rebuildQueue) take() rebuildScope {
	q.mu.Lock()
	defer q.mu.Unlock()
	scope := q.scope
	q.scope = rebuildScope{}
	return scope
}

// currentTable returns the table in use. If the table has expired, it is rebuilt first, so that a process that was paused
// when a grace period ended does not use outdated views.
func (b *Balancer) currentTable(now time.Time) *table {
	t := b.services.Load()
	if t.expires.IsZero() || now.Before(t.expires) {
		return t
	}
	b.rebuildExpired(now)
	return b.services.Load()
}

// buildTable returns a table with the views in scope rebuilt; mu must be held.
func (b *Balancer) buildTable(now time.Time, scope rebuildScope) *table {
	for _, r := range b.cfg.Board.Records(board.KindZone) {
		if z, ok := r.Value.(board.Zone); ok {
			b.zones.Update(now, r.ID.Key, z.Out())
		}
	}
	old := b.services.Load()
	if scope.allViews {
		b.members.replace(b.cfg.Board.Records(board.KindAgent))
		return b.buildFullTable(now, old)
	}
	next := &table{services: maps.Clone(old.services), expires: old.expires}
	for name := range scope.views {
		id := flow.ServiceIDOf(name)
		c, _, ok := b.cfg.Board.Contract(name)
		if !ok {
			delete(next.services, id)
			continue
		}
		view := b.cfg.Board.View(name, func(zone string) bool { return b.zoneClosed(now, next, c.ZoneOutGracePeriod(), zone) })
		next.put(old, name, view)
	}
	return next
}

func (b *Balancer) buildFullTable(now time.Time, old *table) *table {
	next := &table{services: make(map[flow.ServiceID]*service)}
	views := b.cfg.Board.Views(func(name, zone string) bool {
		c, _, ok := b.cfg.Board.Contract(name)
		return !ok || b.zoneClosed(now, next, c.ZoneOutGracePeriod(), zone)
	})
	for name, view := range views {
		next.put(old, name, view)
	}
	return next
}

// put adds a service with a new view and the sockets it had in the old table.
func (t *table) put(old *table, name string, view *flow.View) {
	s := &service{name: name, view: view}
	if o, ok := old.services[view.Service()]; ok {
		s.sockets = o.sockets
	}
	if t.services == nil {
		t.services = make(map[flow.ServiceID]*service)
	}
	t.services[view.Service()] = s
}

// zoneClosed reports whether the grace period of an out zone has ended, after which the zone gets no more packets. If it
// has not ended yet, the table's expiry is set to no later than its end.
func (b *Balancer) zoneClosed(now time.Time, t *table, grace time.Duration, zone string) bool {
	since, out := b.zones.OutSince(zone)
	if !out {
		return false
	}
	graceEnd := since.Add(grace)
	if !now.Before(graceEnd) {
		return true
	}
	if t.expires.IsZero() || graceEnd.Before(t.expires) {
		t.expires = graceEnd
	}
	return false
}
