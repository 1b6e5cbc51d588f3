//go:build review

package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or an event.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease with the time of its end.
type lease struct {
	ttl time.Duration
	end time.Time
}

// content is all that the store holds, so that a copy of it can be taken.
type content struct {
	items    map[string]item
	history  []item
	revision uint64
	leases   map[uint64]lease
	nextID   uint64
	copiedAt time.Time // of a copy
}

func (c content) clone() content {
	c.items, c.history, c.leases = maps.Clone(c.items), slices.Clone(c.history), maps.Clone(c.leases)
	return c
}

// store is a stand-in for the platform's store.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	content content
	changed chan struct{}
	era     uint64
	away    bool
	// drills counts how often the store has been away; calls that wait meanwhile are never answered.
	drills int
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, changed: make(chan struct{}), era: 1, content: content{items: make(map[string]item), leases: make(map[uint64]lease), revision: 1}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.transact)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, mux) }))
	}()
	go s.expire()
	return s, nil
}

// serve answers a call with the era that it belongs to. While the store is away, it answers 503.
func (s *store) serve(w http.ResponseWriter, r *http.Request, mux *http.ServeMux) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	away, era, drills := s.away, s.era, s.drills
	s.mu.Unlock()
	if away {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rec := &recorder{header: make(http.Header), code: http.StatusOK}
	mux.ServeHTTP(rec, r)
	s.mu.Lock()
	lost := s.drills != drills
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(rec.code)
	_, _ = w.Write(rec.body)
}

type recorder struct {
	header http.Header
	code   int
	body   []byte
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(code int)        { r.code = code }
func (r *recorder) Write(b []byte) (int, error) { r.body = append(r.body, b...); return len(b), nil }

// copyAll returns a copy of all that the store holds.
func (s *store) copyAll() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.content.clone()
	c.copiedAt = time.Now()
	return c
}

// leave makes the store unavailable, comeBack makes it return from a copy in the next era.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.drills++
	s.wake()
}

func (s *store) comeBack(c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content = c.clone()
	for id, l := range s.content.leases { // Those of the copy run on from there.
		l.end = l.end.Add(time.Since(c.copiedAt))
		s.content.leases[id] = l
	}
	s.away = false
	s.era++
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does and returns when the store has acknowledged it.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content.revision++
	s.write(item{Key: key, Value: value, Revision: s.content.revision})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content.revision++
	s.write(item{Key: key, Revision: s.content.revision, Deleted: true})
}

func (s *store) write(i item) {
	if i.Deleted {
		delete(s.content.items, i.Key)
	} else {
		i.Created = i.Revision
		if old, ok := s.content.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.content.items[i.Key] = i
	}
	s.content.history = append(s.content.history, i)
	s.wake()
}

// expire ends leases.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.content.leases {
			if !s.away && time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.content.leases, id)
	for key, i := range s.content.items {
		if i.Lease == id {
			s.content.revision++
			s.write(item{Key: key, Revision: s.content.revision, Deleted: true})
		}
	}
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.content.items[r.FormValue("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.content.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": items, "has-more": false, "store-revision": s.content.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("wait-ms"))
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.content.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				events = append(events, i)
			}
		}
		at, changed, away := s.content.revision, s.changed, s.away
		s.mu.Unlock()
		switch {
		case after > at:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || done || away:
			writeJSON(w, map[string]any{"events": events, "store-revision": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []item   `json:"expect"`
		Set    []item   `json:"set-keys"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expect {
		if s.content.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			writeJSON(w, map[string]any{"items": []item{}})
			return
		}
	}
	for _, i := range t.Set {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.content.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.content.revision++
	for _, i := range t.Set {
		i.Revision = s.content.revision
		s.write(i)
	}
	for _, key := range t.Remove {
		s.write(item{Key: key, Revision: s.content.revision, Deleted: true})
	}
	writeJSON(w, map[string]any{"revision": s.content.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var l struct {
		TTLMS int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content.nextID++
	ttl := time.Duration(l.TTLMS) * time.Millisecond
	s.content.leases[s.content.nextID] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": s.content.nextID, "ttl-ms": l.TTLMS})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.content.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.content.leases[id] = l
	writeJSON(w, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.content.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	writeJSON(w, map[string]any{})
}

func writeJSON(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }
