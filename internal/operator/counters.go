package operator

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"

	"github.com/bramleymast/bramleymast/pkg/finding"
)

// Counter is how often something happened for one reason, such as a refusal or a retry.
type Counter struct {
	Name   string
	Reason string
	Value  float64
}

// CountersReply is the counters of one process, or why it tells none.
type CountersReply struct {
	Counters []Counter
	Err      error
}

// FailedQuery is a process that did not tell its counters.
type FailedQuery struct {
	kind  Kind
	id    string
	cause error
}

// Kind returns the kind of the process.
func (u FailedQuery) Kind() Kind { return u.kind }

// ID returns the id of the process.
func (u FailedQuery) ID() string { return u.id }

// Cause returns why there is no answer.
func (u FailedQuery) Cause() error { return u.cause }

// Counters is the sum of the counters of processes.
type Counters struct {
	sums       []Counter
	answered   int
	unanswered []FailedQuery
}

// Sums returns the counters, sorted by name and reason.
func (c Counters) Sums() []Counter { return c.sums }

// Answered returns how many processes told their counters.
func (c Counters) Answered() int { return c.answered }

// Failed returns the processes that did not.
func (c Counters) Failed() []FailedQuery { return c.unanswered }

// Counters sums the counters of all the processes that take part, or returns those of the process with an id.
// An id that no balancer knows is an error with a finding.
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
		l.Addf("--process", list(known), "%q is not known", id)
		return Counters{}, l.Err()
	}
	var asked []Process
	var addresses []netip.AddrPort
	for _, p := range ps {
		if p.ID == id || id == "" && p.Member {
			asked, addresses = append(asked, p), append(addresses, p.Control)
		}
	}
	return sum(asked, o.cfg.Status.Counters(ctx, addresses)), nil
}

// counterKey names a counter of several processes.
type counterKey struct {
	name, reason string
}

// sum adds the answers, which are in the order of the processes.
func sum(ps []Process, answers []CountersReply) Counters {
	var c Counters
	sums := make(map[counterKey]float64)
	for i, a := range answers {
		if a.Err != nil {
			c.unanswered = append(c.unanswered, FailedQuery{kind: ps[i].Kind, id: ps[i].ID, cause: a.Err})
			continue
		}
		c.answered++
		for _, n := range a.Counters {
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
