// Package statusclient asks balancers by net/rpc what operators want to know.
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

// concurrentCalls lets a question to 2,900 balancers end within the seconds in which a change spreads, while the
// operator's host keeps few connections open.
const concurrentCalls = 64

// callTime bounds one question, so that a silent balancer does not hold up the others.
const callTime = 3 * time.Second

// statusMethod is the net/rpc method that every balancer and agent answers.
const statusMethod = "Control.Status"

// Client asks the balancers of the operator settings.
type Client struct {
	balancers []netip.AddrPort
	shared    []byte
}

var _ operator.StatusSource = (*Client)(nil)

// New returns a client for the control addresses of some balancers.
func New(balancers []netip.AddrPort, shared []byte) *Client {
	return &Client{balancers: balancers, shared: shared}
}

// Processes returns the processes that the first answering balancer knows.
func (c *Client) Processes(ctx context.Context) ([]operator.Process, error) {
	reply, err := c.status(ctx)
	ps := make([]operator.Process, 0, len(reply.Members))
	for _, m := range reply.Members {
		ps = append(ps, process(m))
	}
	return ps, err
}

// AppliedRecords returns the configuration as the first answering balancer has it.
func (c *Client) AppliedRecords(ctx context.Context) ([]operator.AppliedRecord, error) {
	reply, err := c.status(ctx)
	ks := make([]operator.AppliedRecord, 0, len(reply.Records))
	for _, r := range reply.Records {
		if r.Kind == board.KindRelay.String() {
			continue
		}
		ks = append(ks, operator.AppliedRecord{
			Kind: r.Kind, Name: r.Key, Revision: store.Revision(r.Revision), Out: r.Out, Author: r.Author, Reason: r.Reason,
		})
	}
	return ks, err
}

// status asks the balancers in the order of the settings until one answers.
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

// Progress asks all the balancers at once what they have applied of a configuration key.
func (c *Client) Progress(ctx context.Context, balancers []netip.AddrPort, key string) []operator.ProgressReply {
	return askAll(balancers, func(b netip.AddrPort, err error) operator.ProgressReply {
		if err != nil {
			return operator.ProgressReply{Err: err}
		}
		return c.applied(ctx, b, key)
	})
}

// Counters asks processes for their counters with a reason.
func (c *Client) Counters(ctx context.Context, processes []netip.AddrPort) []operator.CountersReply {
	return askAll(processes, func(p netip.AddrPort, err error) operator.CountersReply {
		if err != nil {
			return operator.CountersReply{Err: err}
		}
		return c.counters(ctx, p)
	})
}

// askAll asks concurrentCalls processes at a time; the answers are in their order.
// A process that cannot be asked is given to ask with the reason.
func askAll[A any](processes []netip.AddrPort, ask func(p netip.AddrPort, err error) A) []A {
	answers := make([]A, len(processes))
	pool, err := ants.NewPool(concurrentCalls)
	if err != nil {
		for i, p := range processes {
			answers[i] = ask(p, err)
		}
		return answers
	}
	defer pool.Release()
	var wg sync.WaitGroup
	for i, p := range processes {
		wg.Add(1)
		err := pool.Submit(func() {
			defer wg.Done()
			answers[i] = ask(p, nil)
		})
		if err != nil {
			answers[i] = ask(p, err)
			wg.Done()
		}
	}
	wg.Wait()
	return answers
}

func (c *Client) counters(ctx context.Context, process netip.AddrPort) operator.CountersReply {
	var reply control.StatusReply
	if err := c.call(ctx, process, statusMethod, control.StatusArgs{RefusalsOnly: true}, &reply); err != nil {
		return operator.CountersReply{Err: err}
	}
	a := operator.CountersReply{Counters: make([]operator.Counter, 0, len(reply.Refusals))}
	for _, n := range reply.Refusals {
		a.Counters = append(a.Counters, operator.Counter(n))
	}
	return a
}

func (c *Client) applied(ctx context.Context, balancer netip.AddrPort, key string) operator.ProgressReply {
	var reply control.AppliedReply
	if err := c.call(ctx, balancer, "Control.Applied", control.AppliedArgs{}, &reply); err != nil {
		return operator.ProgressReply{Err: err}
	}
	ps, err := progress(reply, key)
	return operator.ProgressReply{Progress: ps, Err: err}
}

func (c *Client) call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	client, err := control.Dial(ctx, to, c.shared)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	return errors.Annotatef(client.Call(ctx, method, args, reply), "%s at %s", method, to)
}

func process(m control.MemberStatus) operator.Process {
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

// progress reads the revisions of one key; an agent that holds what its balancer holds has the balancer's revision.
func progress(reply control.AppliedReply, key string) ([]operator.Progress, error) {
	kind, name, err := configvalue.ParseKey(key)
	if err != nil {
		return nil, err
	}
	names := map[configvalue.Kind]board.Kind{
		configvalue.KindContract: board.KindContract, configvalue.KindZone: board.KindZone, configvalue.KindBackend: board.KindBackend,
	}
	var own store.Revision
	for _, r := range reply.Records {
		if r.Kind == names[kind].String() && r.Key == name {
			own = store.Revision(r.Revision)
		}
	}
	all := []operator.Progress{{ID: reply.ID, Applied: own}}
	for _, a := range reply.Agents {
		p := operator.Progress{ID: a.ID}
		switch {
		case kind == configvalue.KindContract:
			p.Applied = store.Revision(a.Contract)
		case a.InStep:
			p.Applied = own
		}
		all = append(all, p)
	}
	return all, nil
}
