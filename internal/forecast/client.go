package forecast

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
	// answerTimeout limits the time until a balancer has answered.
	answerTimeout = 2 * time.Second
	// shownAgents is how many agents of a service Answer.Write shows, so that the answer fits a screen.
	shownAgents = 10
	// maxAnswer limits the size of an answer, which has some 400 bytes for each agent.
	maxAnswer = 16 << 20
)

// Question asks where a new flow would go.
type Question struct {
	// Address is the service address of the flow.
	Address string
	// From is the caller's address, with or without a port; empty means any caller.
	From string
	// Zone is the availability zone from which the flow is sent; empty means that of the balancer.
	Zone string
}

// Ask asks the balancer that serves metrics at the given address.
func Ask(ctx context.Context, balancer netip.AddrPort, q Question) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: balancer.String(), Path: Path}
	query := url.Values{"address": {q.Address}}
	for name, value := range map[string]string{"from": q.From, "zone": q.Zone} {
		if value != "" {
			query.Set(name, value)
		}
	}
	u.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Answer{}, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{}, errors.Annotatef(err, "cannot reach the balancer at %s", balancer)
	}
	defer func() { _ = resp.Body.Close() }() // The body was only read.
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return Answer{}, errors.Annotatef(err, "cannot read the answer of %s", balancer)
	}
	return decode(balancer, resp.StatusCode, body)
}

func decode(balancer netip.AddrPort, status int, body []byte) (Answer, error) {
	if status != http.StatusOK {
		var e errorJSON
		if json.Unmarshal(body, &e) != nil || e.Error == "" {
			return Answer{}, errors.Errorf("%s answers with status %d; it serves no placements", balancer, status)
		}
		if status == http.StatusServiceUnavailable {
			return Answer{}, errors.Errorf("%s: %s", balancer, e.Error)
		}
		return Answer{}, errors.Annotatef(ErrBadQuestion, "%s: %s", balancer, e.Error)
	}
	var a Answer
	err := json.Unmarshal(body, &a)
	return a, errors.Annotatef(err, "cannot decode the answer of %s", balancer)
}

// Write writes the answer as text, with the best ten agents of each service.
func (a Answer) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "balancer %s in zone %s, configuration at revision %d\n", a.Balancer, a.Zone, a.Revision)
	fmt.Fprintf(&b, "route    %s%s, objective %s%s\n", a.Route.Address, priorityText(a.Route.Priority), millisecondsText(a.Route.ObjectiveMS), splitText(a.Route.Split))
	fmt.Fprintf(&b, "flow     %s%s\n", a.Flow, ownerText(a.Owner))
	if c := a.Choice; c != nil {
		fmt.Fprintf(&b, "goes to  %s of %s: %s\n", c.Agent, c.Service, c.Reason)
		fmt.Fprintf(&b, "then     %s\n", listText(c.Alternatives))
	} else {
		fmt.Fprintf(&b, "refused  %s\n", a.Refusal)
	}
	for _, s := range a.Services {
		s.write(&b)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Trace(err)
}

var (
	allColumns = []string{
		"AGENT", "ADDRESS", "ZONE", "EXPECTED", "WAIT", "WAY", "IN PROGRESS", "FLOWS", "LIMIT", "SERVICE TIME", "FAILS", "REPORT",
	}
	rankColumns = allColumns[:3]
)

func (s Service) write(b *strings.Builder) {
	fmt.Fprintf(b, "\nservice %s: %s\n", s.Name, s.Room)
	tw := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	columns := allColumns
	if s.ByRank {
		columns = rankColumns
	}
	_, _ = fmt.Fprintln(tw, strings.Join(columns, "\t"))
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
			_, _ = fmt.Fprintln(tw, strings.Join(a.cells()[:len(columns)], "\t"))
		}
	}
	_ = tw.Flush() // A strings.Builder takes all.
	fmt.Fprintf(b, "%d of %d agents that accept flows\n", shown, usable)
	for _, reason := range slices.Sorted(maps.Keys(excluded)) {
		fmt.Fprintf(b, "excluded: %d, %s\n", excluded[reason], reason)
	}
}

func (a Agent) cells() []string {
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

func priorityText(priority int) string {
	if priority == 0 {
		return ""
	}
	return ", priority " + strconv.Itoa(priority)
}

func millisecondsText(ms int64) string {
	if ms == 0 {
		return "none"
	}
	return strconv.FormatInt(ms, 10) + " ms"
}

func splitText(split []Share) string {
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
