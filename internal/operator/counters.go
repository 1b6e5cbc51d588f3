package operator

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"

	"github.com/bramleymast/bramleymast/pkg/finding"
)

// Counter is the number of events, such as refusals or retries, with the same reason.
type Counter struct {
	Name   string
	Reason string
	Value  float64
}

// CountersReply holds the counters of one process, or the error of the query.
type CountersReply struct {
	Counters []Counter
	Err      error
}

// FailedQuery is a process whose counters could not be read.
type FailedQuery struct {
	kind  Kind
	id    string
	cause error
}

// Kind returns the kind of the process.
func (q FailedQuery) Kind() Kind { return q.kind }

// ID returns the id of the process.
func (q FailedQuery) ID() string { return q.id }

// Cause returns the error of the query.
func (q FailedQuery) Cause() error { return q.cause }

// Counters holds the sums of the counters of several processes.
type Counters struct {
	sums     []Counter
	answered int
	failed   []FailedQuery
}

// Sums returns the counters, sorted by name and reason.
func (c Counters) Sums() []Counter { return c.sums }

// Answered returns the number of processes whose counters are in the sums.
func (c Counters) Answered() int { return c.answered }

// Failed returns the processes whose counters could not be read.
func (c Counters) Failed() []FailedQuery { return c.failed }

// Counters sums the counters of all members, or returns those of one process if id is not empty.
// An id that no balancer reports is an error with a finding.
func (o *Operator) Counters(ctx context.Context, id string) (Counters, error) {
	ps, err := o.processes(ctx)
	if err != nil {
		return Counters{}, err
	}
	known := make([]string, 0, len(ps))
	for _, p := range ps {
		known = append(known, p.ID)
	}
	if id != "" && !slices.Contains(known, id) {
		var l finding.List
		l.Addf("--process", formatNames(known), "%q is not known", id)
		return Counters{}, l.Err()
	}
	var queried []Process
	var addresses []netip.AddrPort
	for _, p := range ps {
		if p.ID == id || id == "" && p.Member {
			queried, addresses = append(queried, p), append(addresses, p.Control)
		}
	}
	return sumCounters(queried, o.cfg.Status.Counters(ctx, addresses)), nil
}

// counterKey identifies a counter across processes.
type counterKey struct {
	name, reason string
}

// sumCounters adds up the replies, which are in the order of the processes.
func sumCounters(ps []Process, replies []CountersReply) Counters {
	var c Counters
	sums := make(map[counterKey]float64)
	for i, r := range replies {
		if r.Err != nil {
			c.failed = append(c.failed, FailedQuery{kind: ps[i].Kind, id: ps[i].ID, cause: r.Err})
			continue
		}
		c.answered++
		for _, n := range r.Counters {
			sums[counterKey{n.Name, n.Reason}] += n.Value
		}
	}
	byName := func(a, b counterKey) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.reason, b.reason))
	}
	for _, key := range slices.SortedFunc(maps.Keys(sums), byName) {
		c.sums = append(c.sums, Counter{Name: key.name, Reason: key.reason, Value: sums[key]})
	}
	return c
}
