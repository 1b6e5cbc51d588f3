package controltest

import (
	"slices"
	"time"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/membership"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// storeDelay is the simulated time between a store call and its reply.
const storeDelay = 3 * time.Millisecond

type lease struct {
	holder    *Process
	node      *membership.Node
	expiresAt time.Time
	fencing   store.Revision
}

type watch struct {
	process *Process
	node    *membership.Node
	after   store.Revision
}

// Store simulates the part of the platform's store that relays use.
type Store struct {
	// Down makes every call fail.
	Down bool
	// Unreachable reports which processes cannot reach the store; nil means none.
	Unreachable func(p *Process) bool
	// Writes and Reads count the calls, including the failed ones.
	Writes, Reads int

	cluster  *Cluster
	revision store.Revision
	entries  map[board.ID]board.Record
	leases   map[string]lease
	watches  []watch
}

// Put writes a configuration record as an operator does, and returns its revision.
func (s *Store) Put(key string, v board.Value) store.Revision {
	s.revision++
	r := board.Record{Version: board.Version{Seq: uint64(s.revision)}, Value: v}
	switch v.(type) {
	case board.Contract:
		r.ID = board.ID{Kind: board.KindContract, Key: key}
	case board.Zone:
		r.ID = board.ID{Kind: board.KindZone, Key: key}
	default:
		r.ID = board.ID{Kind: board.KindBackend, Key: key}
	}
	s.entries[r.ID] = r
	s.cluster.log("operator writes %s %s at revision %d", r.ID.Kind, key, s.revision)
	s.answerWatches()
	return s.revision
}

// PutZone takes a zone out of service or returns it to service.
func (s *Store) PutZone(zone string, out bool) store.Revision {
	return s.Put(zone, board.Zone{Availability: contract.NewAvailability(out, "ann", "test")})
}

// SetDown starts or ends an outage; pending watches fail.
func (s *Store) SetDown(down bool) {
	s.Down = down
	s.cluster.log("store down: %t", down)
	s.answerWatches()
}

func (s *Store) answerWatches() {
	pending := s.watches
	s.watches = nil
	for _, w := range pending {
		s.answer(w)
	}
}

// reply delivers the result of a call, unless the process was restarted meanwhile.
func (s *Store) reply(p *Process, e membership.Event) {
	node := p.Node
	s.cluster.after(storeDelay, func() {
		if p.Node == node {
			p.deliver(e)
		}
	})
}

func (s *Store) isUnavailable(p *Process) bool {
	return s.Down || s.Unreachable != nil && s.Unreachable(p)
}

func (s *Store) acquire(p *Process) {
	s.Writes += 2 // A grant and a compare-and-swap.
	current, ok := s.leases[p.Zone]
	switch {
	case s.isUnavailable(p):
		s.reply(p, membership.LeaseResult{Err: store.ErrUnavailable})
	case ok && current.expiresAt.After(s.cluster.now):
		s.reply(p, membership.LeaseResult{Err: store.ErrConflict})
	default:
		s.revision++
		s.leases[p.Zone] = lease{holder: p, node: p.Node, expiresAt: s.cluster.now.Add(membership.LeaseTTL), fencing: s.revision}
		s.reply(p, membership.LeaseResult{Fencing: s.revision})
	}
}

func (s *Store) renew(p *Process) {
	s.Writes++
	current := s.leases[p.Zone]
	switch {
	case s.isUnavailable(p):
		s.reply(p, membership.RenewResult{Err: store.ErrUnavailable})
	case current.holder != p || current.node != p.Node || !current.expiresAt.After(s.cluster.now):
		s.reply(p, membership.RenewResult{Err: store.ErrNotFound})
	default:
		current.expiresAt = s.cluster.now.Add(membership.LeaseTTL)
		s.leases[p.Zone] = current
		s.reply(p, membership.RenewResult{})
	}
}

func (s *Store) release(p *Process) {
	s.Writes++
	if s.leases[p.Zone].holder == p && !s.isUnavailable(p) {
		delete(s.leases, p.Zone)
	}
}

func (s *Store) stop(p *Process) {
	s.watches = slices.DeleteFunc(s.watches, func(w watch) bool {
		if w.process == p {
			s.reply(p, membership.ReadResult{Err: store.ErrUnknownOutcome})
		}
		return w.process == p
	})
}

func (s *Store) read(p *Process, after store.Revision) {
	s.Reads++
	s.answer(watch{process: p, node: p.Node, after: after})
}

// answer replies with what changed after a revision, or keeps the watch pending.
func (s *Store) answer(w watch) {
	if w.process.Node != w.node || w.process.stopped {
		return
	}
	if s.isUnavailable(w.process) {
		s.reply(w.process, membership.ReadResult{Err: store.ErrUnavailable})
		return
	}
	var records []board.Record
	for _, r := range s.entries {
		if store.Revision(r.Version.Seq) > w.after {
			records = append(records, r)
		}
	}
	if w.after > 0 && len(records) == 0 {
		s.watches = append(s.watches, w)
		return
	}
	slices.SortFunc(records, func(a, b board.Record) int { return int(a.Version.Seq) - int(b.Version.Seq) })
	s.reply(w.process, membership.ReadResult{Records: records, Revision: max(s.revision, 1)})
}

// Holder returns the process that holds the relay lease of a zone, or nil.
func (s *Store) Holder(zone string) *Process {
	l := s.leases[zone]
	if !l.expiresAt.After(s.cluster.now) || l.holder == nil || l.holder.stopped {
		return nil
	}
	return l.holder
}
