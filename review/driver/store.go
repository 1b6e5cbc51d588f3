//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	items    map[string]item
	history  []item
	revision uint64
	leases   map[uint64]*lease
	nextID   uint64
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store {
	s := &store{changed: make(chan struct{}), items: make(map[string]item), leases: make(map[uint64]*lease), revision: 1}
	go func() {
		for ; ; time.Sleep(50 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.end) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// gate is the way of one machine to the store.
type gate struct {
	address string

	mu    sync.Mutex
	epoch int
}

// silence makes the open connections of the machine go silent for good, without a reset; new ones work.
func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
}

func (g *gate) current() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch
}

func (s *store) listen(ip string) (*gate, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	g := &gate{address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.transact)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			epoch := r.Context().Value(epochKey{})
			time.Sleep(4 * time.Millisecond)
			mux.ServeHTTP(&lossyWriter{ResponseWriter: w, lost: func() bool { return g.current() != epoch }, r: r}, r)
		}),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, epochKey{}, g.current())
		},
	}
	go server.Serve(l)
	return g, nil
}

// epochKey is the key of the epoch in which a connection was opened.
type epochKey struct{}

// hang waits until the caller gives up and aborts the connection.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// lossyWriter loses an answer if the connection has gone silent.
type lossyWriter struct {
	http.ResponseWriter
	lost func() bool
	r    *http.Request
}

func (w *lossyWriter) WriteHeader(status int) {
	if w.lost() {
		hang(w.r)
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *lossyWriter) Write(b []byte) (int, error) {
	if w.lost() {
		hang(w.r)
	}
	return w.ResponseWriter.Write(b)
}

func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// put writes a key as the operator does.
func (s *store) put(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{Key: key, Value: []byte(value), Revision: s.revision})
	return s.revision
}

func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *store) write(i item) {
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Revision
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.write(item{Key: k, Revision: s.revision, Deleted: true})
		}
	}
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.FormValue("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	items := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, r.FormValue("prefix")) {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "store-revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("wait-ms"))
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-t.C:
				expired = true
			}
		}
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"set-keys"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	status, revision := http.StatusOK, uint64(0)
	for _, e := range t.Expect {
		if s.items[e.Key].Revision != e.Revision {
			status = http.StatusPreconditionFailed
		}
	}
	for _, k := range t.Set {
		if _, ok := s.leases[k.Lease]; status == http.StatusOK && k.Lease != 0 && !ok {
			status = http.StatusNotFound
		}
	}
	if status == http.StatusOK {
		s.revision++
		revision = s.revision
		for _, k := range t.Set {
			s.write(item{Key: k.Key, Value: k.Value, Revision: revision, Lease: k.Lease})
		}
		for _, k := range t.Remove {
			s.write(item{Key: k, Revision: revision, Deleted: true})
		}
	}
	s.mu.Unlock()
	reply(w, status, map[string]any{"revision": revision, "items": []item{}})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var t struct {
		TTL int64 `json:"ttl-ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&t)
	ttl := time.Duration(t.TTL) * time.Millisecond
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": t.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.end = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, struct{}{})
}

// routeConfig is a route of the service address.
type routeConfig struct {
	port    int
	service string
	kind    string
}

func configText(version int, warmupS, warmupPerS float64, routes ...routeConfig) string {
	var rs []map[string]any
	services := map[string]bool{}
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": fmt.Sprintf("r-%d", r.port), "host": serviceIP, "prefix": fmt.Sprintf("/%d/", r.port), "kind": r.kind,
			"timeout-ms": 8000, "target-latency-ms": 500, "priority": 1, "service": r.service, "max-attempts": 2,
		})
		services[r.service] = true
	}
	var ss []map[string]any
	for s := range services {
		ss = append(ss, map[string]any{"name": s, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false, "warmup-s": warmupS, "warmup-per-s": warmupPerS})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return string(data)
}
