// Package statusclient queries balancers and agents over net/rpc for their status.
package statusclient

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/internal/control"
	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// maxConcurrentCalls limits the open connections of the operator's host. It is large enough to query 2,900 balancers
// within the seconds in which a change spreads.
const maxConcurrentCalls = 64

// callTimeout limits each call, so that a balancer that does not answer does not delay the others.
const callTimeout = 3 * time.Second

// statusMethod is the net/rpc method that every balancer and agent serves.
const statusMethod = "Control.Status"

// Client queries the status of processes, starting from the balancers in the operator settings.
type Client struct {
	balancers []netip.AddrPort
	sharedKey []byte
}

var _ operator.StatusSource = (*Client)(nil)

// New returns a client that queries balancers at their control addresses and authenticates with the shared key.
func New(balancers []netip.AddrPort, sharedKey []byte) *Client {
	return &Client{balancers: balancers, sharedKey: sharedKey}
}

// Processes returns the processes that the first answering balancer reports.
func (c *Client) Processes(ctx context.Context) ([]operator.Process, error) {
	reply, err := c.status(ctx)
	ps := make([]operator.Process, 0, len(reply.Members))
	for _, m := range reply.Members {
		ps = append(ps, processOf(m))
	}
	return ps, err
}

// AppliedRecords returns the configuration that the first answering balancer has applied.
func (c *Client) AppliedRecords(ctx context.Context) ([]operator.AppliedRecord, error) {
	reply, err := c.status(ctx)
	records := make([]operator.AppliedRecord, 0, len(reply.Records))
	for _, r := range reply.Records {
		if r.Kind == board.KindRelay.String() {
			continue
		}
		records = append(records, operator.AppliedRecord{
			Kind: r.Kind, Name: r.Key, Revision: store.Revision(r.Revision), Out: r.Out, Author: r.Author, Reason: r.Reason,
		})
	}
	return records, err
}

// status queries the balancers in the order of the settings until one answers.
func (c *Client) status(ctx context.Context) (control.StatusReply, error) {
	last := error(operator.ErrNoBalancers)
	for _, b := range c.balancers {
		var reply control.StatusReply
		if last = c.call(ctx, b, statusMethod, control.StatusArgs{}, &reply); last == nil {
			return reply, nil
		}
	}
	return control.StatusReply{}, last
}

// Progress queries balancers concurrently for the revisions of a configuration key that they and their agents have applied.
func (c *Client) Progress(ctx context.Context, balancers []netip.AddrPort, key string) []operator.ProgressReply {
	return queryAll(balancers, func(b netip.AddrPort, err error) operator.ProgressReply {
		if err != nil {
			return operator.ProgressReply{Err: err}
		}
		return c.applied(ctx, b, key)
	})
}

// Counters queries processes concurrently for their counters that have a reason.
func (c *Client) Counters(ctx context.Context, processes []netip.AddrPort) []operator.CountersReply {
	return queryAll(processes, func(p netip.AddrPort, err error) operator.CountersReply {
		if err != nil {
			return operator.CountersReply{Err: err}
		}
		return c.counters(ctx, p)
	})
}

// queryAll queries up to maxConcurrentCalls processes at a time and returns the replies in the order of the processes.
// It passes an error to query for a process for which no worker could be started.
func queryAll[R any](processes []netip.AddrPort, query func(p netip.AddrPort, err error) R) []R {
	replies := make([]R, len(processes))
	pool, err := ants.NewPool(maxConcurrentCalls)
	if err != nil {
		for i, p := range processes {
			replies[i] = query(p, err)
		}
		return replies
	}
	defer pool.Release()
	var wg sync.WaitGroup
	for i, p := range processes {
		wg.Add(1)
		err := pool.Submit(func() {
			defer wg.Done()
			replies[i] = query(p, nil)
		})
		if err != nil {
			replies[i] = query(p, err)
			wg.Done()
		}
	}
	wg.Wait()
	return replies
}

func (c *Client) counters(ctx context.Context, process netip.AddrPort) operator.CountersReply {
	var reply control.StatusReply
	if err := c.call(ctx, process, statusMethod, control.StatusArgs{RefusalsOnly: true}, &reply); err != nil {
		return operator.CountersReply{Err: err}
	}
	result := operator.CountersReply{Counters: make([]operator.Counter, 0, len(reply.Refusals))}
	for _, n := range reply.Refusals {
		result.Counters = append(result.Counters, operator.Counter(n))
	}
	return result
}

func (c *Client) applied(ctx context.Context, balancer netip.AddrPort, key string) operator.ProgressReply {
	var reply control.AppliedReply
	if err := c.call(ctx, balancer, "Control.Applied", control.AppliedArgs{}, &reply); err != nil {
		return operator.ProgressReply{Err: err}
	}
	ps, err := progressOf(reply, key)
	return operator.ProgressReply{Progress: ps, Err: err}
}

func (c *Client) call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := control.Dial(ctx, to, c.sharedKey)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	return errors.Annotatef(client.Call(ctx, method, args, reply), "%s at %s", method, to)
}

func processOf(m control.MemberStatus) operator.Process {
	alive := m.Verdict == board.Alive.String()
	left := m.Phase == board.PhaseLeft.String()
	p := operator.Process{
		Kind: operator.Kind(m.Kind), ID: m.ID, Zone: m.Zone, Service: m.Service, State: m.Phase,
		Member: m.Verdict != board.Dead.String() && !left,
	}
	switch p.Kind {
	case operator.KindAgent:
		p.InService = alive && (m.Phase == board.PhaseCold.String() || m.Phase == board.PhaseReady.String())
	case operator.KindBalancer:
		p.InService = alive && m.Phase == "serving"
	}
	if !alive {
		p.State = m.Verdict
	}
	p.Control, _ = netip.ParseAddrPort(m.Control)
	return p
}

// progressOf returns the applied revisions of a key. The balancer reports the contract revision of each agent, but for zone
// and backend states only whether the agent is in step with the balancer and thus has the same revision.
func progressOf(reply control.AppliedReply, key string) ([]operator.Progress, error) {
	kind, name, err := configvalue.ParseKey(key)
	if err != nil {
		return nil, err
	}
	boardKinds := map[configvalue.Kind]board.Kind{
		configvalue.KindContract: board.KindContract, configvalue.KindZone: board.KindZone, configvalue.KindBackend: board.KindBackend,
	}
	var balancerRevision store.Revision
	for _, r := range reply.Records {
		if r.Kind == boardKinds[kind].String() && r.Key == name {
			balancerRevision = store.Revision(r.Revision)
		}
	}
	all := []operator.Progress{{ID: reply.ID, Applied: balancerRevision}}
	for _, a := range reply.Agents {
		p := operator.Progress{ID: a.ID}
		switch {
		case kind == configvalue.KindContract:
			p.Applied = store.Revision(a.Contract)
		case a.InStep:
			p.Applied = balancerRevision
		}
		all = append(all, p)
	}
	return all, nil
}
