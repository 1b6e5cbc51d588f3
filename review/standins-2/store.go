//go:build review

package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// history is how long the store keeps its history (history-s).
const history = 20 * time.Second

// store is a stand-in of the platform's metadata store. Each process has its own listener, so that the store can treat
// processes differently.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	events   []event
	// dropped is the highest revision that is no longer in the history.
	dropped uint64
	leases  map[uint64]*lease
	nextID  uint64
	servers []*http.Server
	// silent means that the store answers nothing, silences counts how often it has fallen silent.
	silent   bool
	silences int
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type event struct {
	item
	at time.Time
}

type lease struct {
	ttl     time.Duration
	expires *time.Timer
}

func newStore() *store {
	return &store{changed: make(chan struct{}), revision: 1, items: make(map[string]item), leases: make(map[uint64]*lease)}
}

// serve listens at a free port of the address for one process and returns the address with the port.
func (s *store) serve(ip string) string {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		fail("store: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.transact)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	h := &http.Server{Handler: s.muted(mux)}
	s.servers = append(s.servers, h)
	go func() { _ = h.Serve(l) }()
	return l.Addr().String()
}

// setSilent makes the store answer nothing, or answer again. A connection on which an answer is lost returns nothing further.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if silent {
		s.silences++
	}
}

// muted drops the answers to calls that arrive while the store is silent, or that wait when it falls silent.
func (s *store) muted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state := func() (bool, int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.silent, s.silences
		}
		silent, before := state()
		answer := httptest.NewRecorder()
		if !silent {
			next.ServeHTTP(answer, r)
		}
		if silent, after := state(); silent || after != before {
			<-r.Context().Done() // The caller closes the connection.
			return
		}
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	})
}

// put writes a key as the operator does and returns the revision, which acknowledges the write.
func (s *store) put(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{Key: key, Value: []byte(value)})
	return s.revision
}

// remove deletes a key as the operator does.
func (s *store) remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{Key: key, Deleted: true})
	return s.revision
}

// has reports whether a key exists.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *store) write(i item) {
	i.Revision = s.revision
	old, known := s.items[i.Key]
	switch {
	case i.Deleted && !known:
		return
	case i.Deleted:
		delete(s.items, i.Key)
	default:
		i.Created = s.revision
		if known {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	now := time.Now()
	s.events = append(s.events, event{i, now})
	for len(s.events) > 0 && now.Sub(s.events[0].at) > history {
		s.dropped = s.events[0].Revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.FormValue("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "store-revision": revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const page = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, map[string]any{"items": items[:min(len(items), page)], "has-more": len(items) > page, "store-revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("wait-ms"))
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events, at, changed, gone := []item{}, s.revision, s.changed, after < s.dropped
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, r.FormValue("prefix")) {
				events = append(events, e.item)
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || !waiting {
			reply(w, map[string]any{"events": events, "store-revision": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
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
		if s.items[e.Key].Revision != e.Revision {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusPreconditionFailed)
			_, _ = w.Write([]byte(`{"items":[]}`))
			return
		}
	}
	for _, i := range t.Set {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, i := range t.Set {
		s.write(item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	for _, key := range t.Remove {
		s.write(item{Key: key, Deleted: true})
	}
	reply(w, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var g struct {
		TTLMS int64 `json:"ttl-ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&g)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id, ttl := s.nextID, time.Duration(g.TTLMS)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, expires: time.AfterFunc(ttl, func() { s.expire(id) })}
	reply(w, map[string]any{"lease": id, "ttl-ms": g.TTLMS})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires.Reset(l.ttl)
	reply(w, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.expire(id)
	reply(w, map[string]any{})
}

// expire ends a lease and removes its keys.
func (s *store) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.expires.Stop()
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Deleted: true})
		}
	}
}

func (s *store) close() {
	for _, h := range s.servers {
		_ = h.Close()
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
