// Package forecast asks balancers where a new flow would go now, and why.
package forecast

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/juju/errors"
)

// Path is the path at which a balancer answers. Its query parameters are address, and optionally from (an address, or one
// with a port) and zone.
const Path = "/where"

const (
	// ErrBadQuestion means that a balancer does not accept the question, such as one about an unknown zone.
	ErrBadQuestion = errors.ConstError("the question cannot be answered")
	// ErrNoRoute means that no route has the address.
	ErrNoRoute = errors.ConstError("no route")
	// ErrNotReady means that the balancer has no configuration yet.
	ErrNotReady = errors.ConstError("the balancer has no configuration yet")
)

// BadQuestionf returns an ErrBadQuestion with a text of its own.
func BadQuestionf(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrBadQuestion)
}

// NoRoutef returns an ErrNoRoute with a text of its own.
func NoRoutef(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrNoRoute)
}

// Source decides where flows go.
type Source interface {
	// Forecast returns where a flow of a caller to a service address would go now. It sends nothing and changes no state.
	// An unspecified caller is any caller, and an empty zone is that of the balancer. The error is ErrBadQuestion,
	// ErrNoRoute or ErrNotReady.
	Forecast(caller, address netip.AddrPort, zone string) (Answer, error)
}

// Answer is where a new flow would go, according to a balancer.
type Answer struct {
	Balancer string `json:"balancer"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Route    struct {
		Address     string  `json:"address"`
		Split       []Share `json:"split"`
		Priority    int     `json:"priority"`
		ObjectiveMS int64   `json:"objective_ms"`
	} `json:"route"`
	Flow string `json:"flow"`
	// Owner is the agent that owns the flow already, if the balancer knows one.
	Owner    string    `json:"owner,omitempty"`
	Choice   *Choice   `json:"choice"`
	Refusal  string    `json:"refusal,omitempty"`
	Services []Service `json:"services"`
}

// Share is the part of the flows of a route that a service gets.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Choice is the agent that an opening packet would go to; alternatives are those it may be passed on to.
type Choice struct {
	Agent        string   `json:"agent"`
	Service      string   `json:"service"`
	Reason       string   `json:"reason"`
	Alternatives []string `json:"alternatives"`
}

// Service is one of the services of a route, with its agents in the order of the choice.
type Service struct {
	Name string `json:"service"`
	Room string `json:"room"`
	// ByRank means that the balancer knows no loads: it orders the agents by their rank for the flow, and agents pass on
	// flows that would load them beyond the mean.
	ByRank bool    `json:"by_rank,omitempty"`
	Agents []Agent `json:"agents"`
}

// Agent is an agent with what the balancer knows of it.
type Agent struct {
	ID             string   `json:"id"`
	Agent          string   `json:"agent"`
	Zone           string   `json:"zone"`
	Excluded       string   `json:"excluded,omitempty"`
	InProgress     int      `json:"in_progress"`
	Flows          int      `json:"flows"`
	Placed         int      `json:"placed_since_report"`
	Slots          int      `json:"slots"`
	Limit          int      `json:"learned_limit"`
	ServiceMS      float64  `json:"learned_service_ms"`
	FailurePercent int      `json:"failure_percent"`
	ReportAgeMS    *int64   `json:"report_age_ms"` // null if the agent has not reported
	UnansweredMS   int64    `json:"unanswered_ms"`
	ExpectedMS     *float64 `json:"expected_ms"` // null if placement is not by expected time
	QueueMS        float64  `json:"queue_ms"`
	WayMS          float64  `json:"way_ms"`
	Cost           float64  `json:"cost"`
}

type errorJSON struct {
	Error string `json:"error"`
}

// Handler answers questions about a source.
func Handler(s Source) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		a, err := answer(s, r)
		if err != nil {
			w.WriteHeader(statusOf(err))
			_ = json.NewEncoder(w).Encode(errorJSON{err.Error()}) // A client that has gone needs no answer.
			return
		}
		_ = json.NewEncoder(w).Encode(a)
	})
}

func answer(s Source, r *http.Request) (Answer, error) {
	q := r.URL.Query()
	address, err := netip.ParseAddrPort(q.Get("address"))
	if err != nil || !address.Addr().Is4() {
		return Answer{}, BadQuestionf("address: %q is not an IPv4 address with a port", q.Get("address"))
	}
	caller, ok := parseCaller(q.Get("from"))
	if !ok {
		return Answer{}, BadQuestionf("from: %q is not an IPv4 address, with or without a port", q.Get("from"))
	}
	return s.Forecast(caller, address, q.Get("zone"))
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrNoRoute):
		return http.StatusNotFound
	case errors.Is(err, ErrNotReady):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// parseCaller parses the address of a caller, with or without a port; an empty text is any caller.
func parseCaller(text string) (netip.AddrPort, bool) {
	if text == "" {
		return netip.AddrPortFrom(netip.IPv4Unspecified(), 0), true
	}
	if a, err := netip.ParseAddr(text); err == nil {
		return netip.AddrPortFrom(a, 0), a.Is4()
	}
	a, err := netip.ParseAddrPort(text)
	return a, err == nil && a.Addr().Is4()
}
