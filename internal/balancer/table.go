package balancer

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// table holds the services by id; it is never changed once it is in use.
type table struct {
	services map[flow.ServiceID]*service
	// expires is when the grace of a zone that is out ends, so the views must be made again; zero means never.
	expires time.Time
}

// service is what the data path needs of one customer service; it is never changed once it is in use.
type service struct {
	name    string
	view    *flow.View
	sockets []*socket
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

// work is what of the table must be made again.
type work struct {
	// all means the views of all services, else only those of the named ones.
	all      bool
	services map[string]struct{}
	// sockets means that service addresses are to be bound and closed.
	sockets bool
}

// pending collects work; wake has a value when there is some.
type pending struct {
	wake chan struct{}

	mu   sync.Mutex
	work work
}

func (p *pending) add(service string) {
	p.note(func(w *work) {
		if w.services == nil {
			w.services = make(map[string]struct{})
		}
		w.services[service] = struct{}{}
	})
}

func (p *pending) addAll() { p.note(func(w *work) { w.all = true }) }

func (p *pending) addSockets() { p.note(func(w *work) { w.sockets = true }) }

func (p *pending) note(f func(*work)) {
	p.mu.Lock()
	f(&p.work)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// take returns what is pending and empties it.
func (p *pending) take() work {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.work
	p.work = work{}
	return w
}

// current returns the table in use. After the end of a zone's grace it makes a new one first, so that a process
// that was paused meanwhile sends nothing by the old views.
func (b *Balancer) current(now time.Time) *table {
	t := b.services.Load()
	if t.expires.IsZero() || now.Before(t.expires) {
		return t
	}
	b.expire(now)
	return b.services.Load()
}

// nextTable returns a table with the views made again that the work names; mu must be held.
func (b *Balancer) nextTable(now time.Time, w work) *table {
	for _, r := range b.cfg.Board.Records(board.KindZone) {
		if z, ok := r.Value.(board.Zone); ok {
			b.zones.Update(now, r.ID.Key, z.Out())
		}
	}
	old := b.services.Load()
	if w.all {
		b.members.replace(b.cfg.Board.Records(board.KindAgent))
		return b.fullTable(now, old)
	}
	next := &table{services: maps.Clone(old.services), expires: old.expires}
	for name := range w.services {
		id := flow.ServiceIDOf(name)
		c, _, ok := b.cfg.Board.Contract(name)
		if !ok {
			delete(next.services, id)
			continue
		}
		view := b.cfg.Board.View(name, func(zone string) bool { return b.closed(now, next, c.ZoneOutGracePeriod(), zone) })
		next.put(old, name, view)
	}
	return next
}

func (b *Balancer) fullTable(now time.Time, old *table) *table {
	next := &table{services: make(map[flow.ServiceID]*service)}
	views := b.cfg.Board.Views(func(name, zone string) bool {
		c, _, ok := b.cfg.Board.Contract(name)
		return !ok || b.closed(now, next, c.ZoneOutGracePeriod(), zone)
	})
	for name, view := range views {
		next.put(old, name, view)
	}
	return next
}

// put adds a service with a new view and the sockets that it had.
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

// closed reports whether a zone gets no more packets, and else notes in the table when that will be.
func (b *Balancer) closed(now time.Time, t *table, grace time.Duration, zone string) bool {
	since, out := b.zones.OutSince(zone)
	if !out {
		return false
	}
	end := since.Add(grace)
	if !now.Before(end) {
		return true
	}
	if t.expires.IsZero() || end.Before(t.expires) {
		t.expires = end
	}
	return false
}
