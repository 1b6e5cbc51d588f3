// Package priority orders requests that wait for a backend server while its capacity is short, and decides which
// priorities callers may still ask for.
//
// The package does no I/O and reads no clock: callers pass the time in and act on the results.
package priority

import (
	"net/netip"
	"time"
)

const (
	// maxWaiting limits the memory of a queue.
	maxWaiting = 512
	// maxPassedOver is how many requests of classes before it may pass over a waiting class. It bounds the share that a
	// class takes from those before it to a tenth.
	maxPassedOver = 9
)

// Request describes a waiting request.
type Request struct {
	// Priority is the rank of the request's route; 0 is the highest.
	Priority int
	// Caller is the address between whose requests capacity is shared.
	Caller netip.Addr
	// StartedAt is when the caller began to wait.
	StartedAt time.Time
	// HeardAt is when the caller last showed that it waits; zero means StartedAt.
	HeardAt time.Time
	// HeardBy is when a caller that still waits has shown it again; zero if it shows nothing more.
	HeardBy time.Time
	// StartBy is the last time at which the request can start and be answered within its objective. A request without
	// one, or one that is waiting for longer, is late.
	StartBy time.Time
	// ReleaseAt is when the request gets capacity whether there is any or not; zero if there is no such time.
	ReleaseAt time.Time
	// ExpiresAt is when the caller gives up; zero if it is not known.
	ExpiresAt time.Time
}

func (r *Request) late(now time.Time) bool { return !now.Before(r.StartBy) }

// silent reports whether the caller has not shown in time that it still waits.
func (r *Request) silent(now time.Time) bool { return !r.HeardBy.IsZero() && now.After(r.HeardBy) }

func (r *Request) heardAt() time.Time {
	if r.HeardAt.IsZero() {
		return r.StartedAt
	}
	return r.HeardAt
}

// Queue holds requests until there is capacity for them; the zero value is empty. It is not safe for concurrent use.
//
// Requests that can be answered within their objective go before the others, and higher priorities before lower ones. So
// a priority and whether a request is late make up its class. A class that has been passed over maxPassedOver times gets
// the next turn, except late requests with a release time, which get their capacity then. Within a class each caller has
// one request in each round. Among equal requests the one with the least time left goes first. While at least as many late requests
// wait as others, the one whose caller was heard last goes first instead: otherwise all would be answered at the last
// moment or late, or their callers would have given up. Late requests whose callers are silent go after all others, and
// get no turn out of order.
type Queue[K comparable, V any] struct {
	waiting []waiting[K, V]
	rounds  map[int]*rounds // by priority
	// passedOver counts the requests of classes before it that went first, for each class that waits.
	passedOver map[class]int
	// standing means that at least as many late requests wait as others, as of the last call of Pop.
	standing bool
}

type waiting[K comparable, V any] struct {
	Request
	key   K
	value V
	round uint64
}

// class is what orders requests of different callers.
type class struct {
	late     bool
	silent   bool // the requests are late, and their callers have probably given up
	priority int
	// released means that the requests are late and have a release time.
	released bool
}

// before reports whether requests of the class usually go before those of another one.
func (c class) before(other class) bool {
	if c.late != other.late {
		return other.late
	}
	if c.silent != other.silent {
		return other.silent
	}
	if c.priority != other.priority {
		return c.priority < other.priority
	}
	return !c.released && other.released
}

func (w *waiting[K, V]) class(now time.Time) class {
	late := w.late(now)
	return class{late: late, silent: late && w.silent(now), priority: w.Priority, released: late && !w.ReleaseAt.IsZero()}
}

// rounds shares the capacity of a priority between callers.
type rounds struct {
	// current is that of the last request that got capacity.
	current uint64
	// next holds the next round of each caller with requests in later rounds.
	next map[netip.Addr]uint64
}

// Len returns the number of waiting requests.
func (q *Queue[K, V]) Len() int { return len(q.waiting) }

// Waiting returns the number of waiting requests of a priority.
func (q *Queue[K, V]) Waiting(priority int) int {
	return q.Count(func(r Request, _ V) bool { return r.Priority == priority })
}

// Count returns the number of waiting requests that match.
func (q *Queue[K, V]) Count(match func(r Request, v V) bool) int {
	n := 0
	for i := range q.waiting {
		if match(q.waiting[i].Request, q.waiting[i].value) {
			n++
		}
	}
	return n
}

// Lowest returns the lowest priority with a waiting request, or false if there is none.
func (q *Queue[K, V]) Lowest() (int, bool) {
	lowest, ok := 0, false
	for i := range q.waiting {
		lowest, ok = max(lowest, q.waiting[i].Priority), true
	}
	return lowest, ok
}

// Get returns the value of a waiting request, which may be changed until the queue is used again, or nil.
func (q *Queue[K, V]) Get(key K) *V {
	if i := q.index(key); i >= 0 {
		return &q.waiting[i].value
	}
	return nil
}

// Push adds a request, or replaces the value of the one with the same key, whose caller has been heard again and which
// otherwise keeps its place. It returns false if the queue is full.
func (q *Queue[K, V]) Push(key K, r Request, v V) bool {
	if i := q.index(key); i >= 0 {
		w := &q.waiting[i]
		w.value, w.HeardAt, w.HeardBy = v, r.HeardAt, r.HeardBy
		return true
	}
	if len(q.waiting) >= maxWaiting {
		return false
	}
	q.waiting = append(q.waiting, waiting[K, V]{Request: r, key: key, value: v, round: q.roundsOf(r.Priority).assign(r.Caller)})
	return true
}

// Remove removes a request and returns its value, or false if it is not waiting.
func (q *Queue[K, V]) Remove(key K) (V, bool) {
	if i := q.index(key); i >= 0 {
		return q.remove(i).value, true
	}
	var none V
	return none, false
}

// Pop removes and returns the request that gets the next capacity. allowed reports whether a request may take it; nil
// allows all. A late request whose turn it is counts as one in time.
func (q *Queue[K, V]) Pop(now time.Time, allowed func(r Request, v V, late bool) bool) (K, Request, V, bool) {
	q.standing = q.isStanding(now)
	best := -1
	for i := range q.waiting {
		w := &q.waiting[i]
		if c := w.class(now); allowed != nil && !allowed(w.Request, w.value, c.late && !q.due(c)) {
			continue
		}
		if best < 0 || q.before(now, w, &q.waiting[best]) {
			best = i
		}
	}
	if best < 0 {
		var w waiting[K, V]
		return w.key, w.Request, w.value, false
	}
	w := q.remove(best)
	q.recordTurn(now, &w)
	return w.key, w.Request, w.value, true
}

// Released removes and returns the requests that are released now.
func (q *Queue[K, V]) Released(now time.Time) []V {
	return q.RemoveAll(func(r Request, _ V) bool { return !r.ReleaseAt.IsZero() && !now.Before(r.ReleaseAt) })
}

// Expired removes and returns the requests whose callers have given up.
func (q *Queue[K, V]) Expired(now time.Time) []V {
	return q.RemoveAll(func(r Request, _ V) bool { return !r.ExpiresAt.IsZero() && !now.Before(r.ExpiresAt) })
}

// RemoveAll removes and returns the requests that match.
func (q *Queue[K, V]) RemoveAll(match func(r Request, v V) bool) []V {
	var all []V
	for i := 0; i < len(q.waiting); {
		if match(q.waiting[i].Request, q.waiting[i].value) {
			all = append(all, q.remove(i).value)
		} else {
			i++
		}
	}
	return all
}

func (q *Queue[K, V]) isStanding(now time.Time) bool {
	late := 0
	for i := range q.waiting {
		if q.waiting[i].late(now) {
			late++
		}
	}
	return 2*late >= len(q.waiting)
}

// before reports whether a gets capacity before b.
func (q *Queue[K, V]) before(now time.Time, a, b *waiting[K, V]) bool {
	classA, classB := a.class(now), b.class(now)
	switch dueA, dueB := q.due(classA), q.due(classB); {
	case classA != classB && dueA != dueB:
		return dueA
	case classA != classB:
		return classA.before(classB)
	case a.round != b.round:
		return a.round < b.round
	case classA.late || q.standing:
		return a.heardAt().After(b.heardAt())
	}
	return a.StartBy.Before(b.StartBy)
}

// due reports whether a class has been passed over often enough to get the next turn.
func (q *Queue[K, V]) due(c class) bool { return q.passedOver[c] >= maxPassedOver }

// recordTurn records that a request got capacity.
func (q *Queue[K, V]) recordTurn(now time.Time, w *waiting[K, V]) {
	q.roundsOf(w.Priority).advance(w.round)
	served := w.class(now)
	delete(q.passedOver, served)
	if len(q.waiting) == 0 {
		q.rounds, q.passedOver = nil, nil // Shares do not outlast the shortage.
		return
	}
	passed := make(map[class]int)
	for i := range q.waiting {
		if c := q.waiting[i].class(now); served.before(c) && !c.released && !c.silent {
			passed[c] = q.passedOver[c] + 1
		} else if n, ok := q.passedOver[c]; ok {
			passed[c] = n
		}
	}
	q.passedOver = passed
}

func (q *Queue[K, V]) roundsOf(priority int) *rounds {
	r, ok := q.rounds[priority]
	if !ok {
		r = &rounds{next: make(map[netip.Addr]uint64)}
		if q.rounds == nil {
			q.rounds = make(map[int]*rounds)
		}
		q.rounds[priority] = r
	}
	return r
}

func (q *Queue[K, V]) index(key K) int {
	for i := range q.waiting {
		if q.waiting[i].key == key {
			return i
		}
	}
	return -1
}

func (q *Queue[K, V]) remove(i int) waiting[K, V] {
	w := q.waiting[i]
	last := len(q.waiting) - 1
	copy(q.waiting[i:], q.waiting[i+1:])
	q.waiting[last] = waiting[K, V]{}
	q.waiting = q.waiting[:last]
	return w
}

// assign returns the round of a caller's next request.
func (r *rounds) assign(caller netip.Addr) uint64 {
	round := max(r.current, r.next[caller])
	r.next[caller] = round + 1
	return round
}

// advance records that a request of a round got capacity.
func (r *rounds) advance(round uint64) {
	if round <= r.current {
		return
	}
	r.current = round
	for c, next := range r.next {
		if next <= round {
			delete(r.next, c)
		}
	}
}
