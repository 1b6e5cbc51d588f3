package fabric

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"
)

// maxAdminBodyBytes limits the body of an admin request.
const maxAdminBodyBytes = 1 << 16

type balancerJSON struct {
	ID       string     `json:"id"`
	Zone     string     `json:"zone"`
	IP       netip.Addr `json:"ip"`
	ReadyURL string     `json:"ready_url"`
}

type linkJSON struct {
	From      string  `json:"from"`
	To        string  `json:"to"`
	Loss      float64 `json:"loss"`
	Duplicate float64 `json:"duplicate"`
	Reorder   float64 `json:"reorder"`
	DelayMS   int64   `json:"delay_ms"`
	JitterMS  int64   `json:"jitter_ms"`
}

func (l linkJSON) link() Link {
	return Link{
		Loss: l.Loss, Duplicate: l.Duplicate, Reorder: l.Reorder,
		Delay: time.Duration(l.DelayMS) * time.Millisecond, Jitter: time.Duration(l.JitterMS) * time.Millisecond,
	}
}

// AdminHandler returns the handler of the admin requests: GET /admin/counts, PUT /admin/balancers,
// DELETE /admin/balancers/{id} and PUT /admin/links.
func (f *Fabric) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(f.Counts()); err != nil {
			f.cfg.Logger.Warn("cannot write the response with the counters", "error", err)
		}
	})
	mux.HandleFunc("PUT /admin/balancers", func(w http.ResponseWriter, r *http.Request) {
		if b, ok := decode[balancerJSON](w, r); ok {
			f.AddBalancer(Balancer(b))
		}
	})
	mux.HandleFunc("DELETE /admin/balancers/{id}", func(_ http.ResponseWriter, r *http.Request) {
		f.RemoveBalancer(r.PathValue("id"))
	})
	mux.HandleFunc("PUT /admin/links", func(w http.ResponseWriter, r *http.Request) {
		if l, ok := decode[linkJSON](w, r); ok {
			f.SetLink(l.From, l.To, l.link())
		}
	})
	return mux
}

func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return v, false
	}
	return v, true
}
