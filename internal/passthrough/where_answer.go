package passthrough

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

const (
	// whereTimeout limits the time until a balancer has answered.
	whereTimeout = 2 * time.Second
	// shownAgents is how many agents of a service WhereAnswer.Write shows, so that the answer fits a screen.
	shownAgents = 10
	// maxWhereAnswer limits the size of an answer, which has some 400 bytes for each agent.
	maxWhereAnswer = 16 << 20
)

const errNotIPv4 = errors.ConstError("not an IPv4 address")

// ErrBadWhere means that a balancer does not accept the question, such as one about an unknown route.
const ErrBadWhere = errors.ConstError("the question cannot be answered")

// WhereQuestion asks where a new flow would go.
type WhereQuestion struct {
	// Address is the service address of the flow.
	Address string
	// From is the caller's address, with or without a port; empty means any caller.
	From string
	// Zone is the availability zone from which the flow is sent; empty means that of the balancer.
	Zone string
}

// WhereAnswer is where a new flow would go, according to a balancer.
type WhereAnswer struct{ reply whereJSON }

// AskWhere asks the balancer that serves metrics at the given address.
func AskWhere(ctx context.Context, balancer netip.AddrPort, q WhereQuestion) (WhereAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: balancer.String(), Path: wherePath}
	query := url.Values{"address": {q.Address}}
	for name, value := range map[string]string{"from": q.From, "zone": q.Zone} {
		if value != "" {
			query.Set(name, value)
		}
	}
	u.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return WhereAnswer{}, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return WhereAnswer{}, errors.Annotatef(err, "cannot reach the balancer at %s", balancer)
	}
	defer func() { _ = resp.Body.Close() }() // The body was only read.
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhereAnswer))
	if err != nil {
		return WhereAnswer{}, errors.Annotatef(err, "cannot read the answer of %s", balancer)
	}
	return decodeWhere(balancer, resp.StatusCode, body)
}

func decodeWhere(balancer netip.AddrPort, status int, body []byte) (WhereAnswer, error) {
	if status != http.StatusOK {
		var e whereErrorJSON
		if json.Unmarshal(body, &e) != nil || e.Error == "" {
			return WhereAnswer{}, errors.Errorf("%s answers with status %d; it serves no placements", balancer, status)
		}
		if status == http.StatusServiceUnavailable {
			return WhereAnswer{}, errors.Errorf("%s: %s", balancer, e.Error)
		}
		return WhereAnswer{}, errors.Annotatef(ErrBadWhere, "%s: %s", balancer, e.Error)
	}
	var a WhereAnswer
	err := json.Unmarshal(body, &a.reply)
	return a, errors.Annotatef(err, "cannot decode the answer of %s", balancer)
}

// MarshalJSON encodes the whole answer.
func (a WhereAnswer) MarshalJSON() ([]byte, error) { return json.Marshal(a.reply) }

// Write writes the answer as text, with the best ten agents of each service.
func (a WhereAnswer) Write(w io.Writer) error {
	r := a.reply
	var b strings.Builder
	fmt.Fprintf(&b, "balancer %s in zone %s, configuration at revision %d\n", r.Balancer, r.Zone, r.Revision)
	fmt.Fprintf(&b, "route    %s, priority %d, objective %s%s\n", r.Route.Address, r.Route.Priority, millisecondsText(r.Route.ObjectiveMS), splitText(r.Route.Split))
	fmt.Fprintf(&b, "flow     %s%s\n", r.Flow, ownerText(r.Owner))
	if c := r.Choice; c != nil {
		fmt.Fprintf(&b, "goes to  %s of %s: %s\n", c.Agent, c.Service, c.Reason)
		fmt.Fprintf(&b, "then     %s\n", listText(c.Alternatives))
	} else {
		fmt.Fprintf(&b, "refused  %s\n", r.Refusal)
	}
	for _, s := range r.Services {
		s.write(&b)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Trace(err)
}

func (s whereServiceJSON) write(b *strings.Builder) {
	fmt.Fprintf(b, "\nservice %s: %s\n", s.Service, s.Room)
	tw := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "AGENT\tADDRESS\tZONE\tEXPECTED\tWAIT\tWAY\tIN PROGRESS\tFLOWS\tLIMIT\tSERVICE TIME\tFAILS\tREPORT")
	usable, shown := 0, 0
	excluded := make(map[string]int)
	for _, a := range s.Agents {
		if a.Excluded != "" {
			excluded[a.Excluded]++
			continue
		}
		usable++
		if shown < shownAgents {
			shown++
			_, _ = fmt.Fprintln(tw, strings.Join(a.cells(), "\t"))
		}
	}
	_ = tw.Flush() // A strings.Builder takes all.
	fmt.Fprintf(b, "%d of %d agents that accept flows\n", shown, usable)
	for _, reason := range slices.Sorted(maps.Keys(excluded)) {
		fmt.Fprintf(b, "excluded: %d, %s\n", excluded[reason], reason)
	}
}

func (a whereAgentJSON) cells() []string {
	expected, wait, way, service, limit, age := "-", "-", "-", "-", strconv.Itoa(a.Slots), "never"
	if a.ExpectedMS != nil {
		expected, wait, way = tenths(*a.ExpectedMS), tenths(a.QueueMS), tenths(a.WayMS)
	}
	if a.ServiceMS > 0 {
		service = tenths(a.ServiceMS)
	}
	if a.Limit > 0 {
		limit = strconv.Itoa(a.Limit) + "/" + limit
	}
	if a.ReportAgeMS != nil {
		age = fmt.Sprintf("%d ms ago", *a.ReportAgeMS)
	}
	return []string{
		a.ID, a.Agent, a.Zone, expected, wait, way, fmt.Sprintf("%d+%d", a.InProgress, a.Placed), strconv.Itoa(a.Flows), limit, service,
		fmt.Sprintf("%d%%", a.FailurePercent), age,
	}
}

func tenths(ms float64) string { return strconv.FormatFloat(ms, 'f', 1, 64) + " ms" }

func millisecondsText(ms int64) string {
	if ms == 0 {
		return "none"
	}
	return strconv.FormatInt(ms, 10) + " ms"
}

func splitText(split []shareJSON) string {
	if len(split) == 0 {
		return ""
	}
	shares := make([]string, 0, len(split))
	for _, s := range split {
		shares = append(shares, fmt.Sprintf("%s %g", s.Service, s.Weight))
	}
	return ", split " + strings.Join(shares, ", ")
}

func ownerText(owner string) string {
	if owner == "" {
		return ""
	}
	return ", open at " + owner
}

func listText(items []string) string {
	if len(items) == 0 {
		return "no other agent"
	}
	return strings.Join(items, ", ")
}
