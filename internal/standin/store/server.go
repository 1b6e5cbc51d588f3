package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// Limits of HTTP requests.
const (
	// maxBodyBytes has room for a value of store.MaxValueBytes in base64 and the other fields.
	maxBodyBytes = 2 * store.MaxValueBytes
	// watchTimeout is the time after which a watch request returns without changes.
	watchTimeout = 20 * time.Second
)

type request struct {
	Key      string `json:"key,omitempty"`
	Prefix   string `json:"prefix,omitempty"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	TTLMS    int64  `json:"ttl_ms,omitempty"`
}

type entryJSON struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type response struct {
	Error    string      `json:"error,omitempty"`
	Entries  []entryJSON `json:"entries,omitempty"`
	Revision uint64      `json:"revision,omitempty"`
	Lease    uint64      `json:"lease,omitempty"`
}

type faultJSON struct {
	Down        bool   `json:"down"`
	DelayMS     int64  `json:"delay_ms"`
	LoseAnswers int    `json:"lose_answers"`
	LoseOnly    string `json:"lose_only"`
}

// Server serves a Memory as JSON over HTTP; the zero value is empty and ready to use.
//
// Store calls are POST /v1/<call>. The admin interface is PUT /admin/fault and GET /admin/calls.
type Server struct {
	Memory
}

// ServeHTTP handles store calls and admin requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/{call}", s.serveCall)
	mux.HandleFunc("PUT /admin/fault", s.serveFault)
	mux.HandleFunc("GET /admin/calls", s.serveCalls)
	mux.ServeHTTP(w, r)
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f faultJSON
	if !readBody(w, r, &f) {
		return
	}
	s.SetFault(Fault{Down: f.Down, Delay: time.Duration(f.DelayMS) * time.Millisecond, LoseAnswers: f.LoseAnswers, LoseOnly: Call(f.LoseOnly)})
}

func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) {
	writeBody(w, s.Calls())
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	var req request
	if !readBody(w, r, &req) {
		return
	}
	resp, err := s.dispatch(r.Context(), Call(r.PathValue("call")), req)
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknownOutcome) {
		// A store that is down or loses an answer closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		resp = response{Error: errorCode(err)}
	}
	writeBody(w, resp)
}

func (s *Server) dispatch(ctx context.Context, call Call, req request) (response, error) {
	revision, id := store.Revision(req.Revision), store.LeaseID(req.Lease)
	switch call {
	case CallGet:
		e, err := s.Get(ctx, req.Key)
		return pageResponse(store.Page{Entries: []store.Entry{e}}), err
	case CallList:
		page, err := s.List(ctx, req.Prefix)
		return pageResponse(page), err
	case CallSwap:
		n, err := s.CompareAndSwap(ctx, req.Key, req.Value, revision, id)
		return response{Revision: uint64(n)}, err
	case CallDelete:
		return response{}, s.Delete(ctx, req.Key, revision)
	case CallWatch:
		return s.watchWithTimeout(ctx, req.Prefix, revision)
	case CallGrant:
		n, err := s.Grant(ctx, time.Duration(req.TTLMS)*time.Millisecond)
		return response{Lease: uint64(n)}, err
	case CallRenew:
		return response{}, s.Renew(ctx, id)
	case CallRevoke:
		return response{}, s.Revoke(ctx, id)
	}
	return response{}, errors.NotFoundf("call %q", string(call))
}

// watchWithTimeout waits for changes; after watchTimeout it returns the requested revision and no entries.
func (s *Server) watchWithTimeout(ctx context.Context, prefix string, after store.Revision) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	page, err := s.Watch(ctx, prefix, after)
	if errors.Is(err, context.DeadlineExceeded) {
		return response{Revision: uint64(after)}, nil
	}
	return pageResponse(page), err
}

func pageResponse(page store.Page) response {
	resp := response{Revision: uint64(page.Revision)}
	for _, e := range page.Entries {
		resp.Entries = append(resp.Entries, entryJSON{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Deleted: e.Deleted})
	}
	return resp
}

func errorCode(err error) string {
	switch {
	case errors.Is(err, store.ErrConflict):
		return "conflict"
	case errors.Is(err, store.ErrNotFound):
		return "not_found"
	case errors.Is(err, store.ErrCompacted):
		return "compacted"
	case errors.Is(err, store.ErrTooLarge):
		return "too_large"
	}
	return err.Error()
}

func readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeBody(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		// The write failed because the connection is closed, so the client treats the outcome as unknown.
		return
	}
}
