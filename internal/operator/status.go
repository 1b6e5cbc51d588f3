package operator

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Kind is the kind of a process.
type Kind string

// Kinds of processes.
const (
	KindBalancer Kind = "balancer"
	KindAgent    Kind = "agent"
)

// Process is a balancer or an agent as the balancers see it.
type Process struct {
	Kind    Kind
	ID      string
	Zone    string
	Service string // agents only
	// State is the process's own state, or the verdict of others on it, such as "ready" or "suspect".
	State string
	// Member reports whether it takes part: it has not left and others do not hold it dead.
	Member bool
	// InService reports whether it takes new flows unless operators have taken it or its zone out.
	InService bool
	// Control is the address of the net/rpc services of the process.
	Control netip.AddrPort
}

// Progress is the revision of one configuration key that a process has applied.
type Progress struct {
	ID      string
	Applied store.Revision
}

// StatusSource answers for the processes.
type StatusSource interface {
	// Processes returns the processes that are known to one of the balancers, the first that answers.
	Processes(ctx context.Context) ([]Process, error)
	// AppliedRecords returns the configuration as the first answering balancer has it.
	AppliedRecords(ctx context.Context) ([]AppliedRecord, error)
	// Progress asks all the balancers at once for what each, and the agents for which it is a home, have applied of
	// a configuration key; the answers are in the order of the balancers.
	Progress(ctx context.Context, balancers []netip.AddrPort, key string) []ProgressReply
	// Counters asks processes at their control addresses for their counters with a reason; the answers are in the
	// order of the processes.
	Counters(ctx context.Context, processes []netip.AddrPort) []CountersReply
}

// AppliedRecord is a contract or a state that a balancer has applied.
type AppliedRecord struct {
	// Kind is "contract", "zone" or "backend".
	Kind     string
	Name     string
	Revision store.Revision
	Out      bool
	Author   string
	Reason   string
}

// ProgressReply is what one balancer tells about a configuration key, or why it tells nothing.
type ProgressReply struct {
	Progress []Progress
	Err      error
}

func (o *Operator) processes(ctx context.Context) ([]Process, error) {
	if o.cfg.Status == nil {
		return nil, ErrNoBalancers
	}
	ps, err := o.cfg.Status.Processes(ctx)
	if err != nil {
		return nil, errors.Annotate(err, "no balancer answered")
	}
	slices.SortFunc(ps, func(a, b Process) int {
		return cmp.Or(-cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	if ps == nil {
		ps = []Process{}
	}
	return ps, nil
}

// OutdatedProcess is a process that has not applied a revision.
type OutdatedProcess struct {
	kind    Kind
	id      string
	applied store.Revision
	cause   error
}

// Kind returns the kind of the process.
func (b OutdatedProcess) Kind() Kind { return b.kind }

// ID returns the id of the process.
func (b OutdatedProcess) ID() string { return b.id }

// Applied returns the revision that it has applied.
func (b OutdatedProcess) Applied() store.Revision { return b.applied }

// Cause returns why the process gave no answer, or nil when it did.
func (b OutdatedProcess) Cause() error { return b.cause }

// Coverage says how far a revision has come.
type Coverage struct {
	balancers int
	agents    int
	behind    []OutdatedProcess
	took      time.Duration
}

// Complete reports whether the revision is in force everywhere.
func (c Coverage) Complete() bool { return len(c.behind) == 0 }

// Balancers returns how many balancers have applied the revision.
func (c Coverage) Balancers() int { return c.balancers }

// Agents returns how many agents have applied the revision.
func (c Coverage) Agents() int { return c.agents }

// Outdated returns the processes that have not.
func (c Coverage) Outdated() []OutdatedProcess { return c.behind }

// Elapsed returns how long the wait lasted.
func (c Coverage) Elapsed() time.Duration { return c.took }

// pollInterval is the time between two questions to the balancers that are behind.
const pollInterval = 500 * time.Millisecond

// Wait asks the balancers until a revision of a key is in force everywhere or the time is over.
func (o *Operator) Wait(ctx context.Context, key string, revision store.Revision, timeout time.Duration) (Coverage, error) {
	start := o.cfg.Now()
	for {
		c, err := o.coverage(ctx, key, revision)
		c.took = o.cfg.Now().Sub(start)
		if err == nil && c.Complete() {
			return c, nil
		}
		if c.took+pollInterval > timeout || o.cfg.Sleep(ctx, pollInterval) != nil {
			return c, err
		}
	}
}

// coverage asks every balancer afresh, because balancers and agents come and go during a change.
func (o *Operator) coverage(ctx context.Context, key string, revision store.Revision) (Coverage, error) {
	ps, err := o.processes(ctx)
	if err != nil {
		return Coverage{}, err
	}
	ps = slices.DeleteFunc(ps, func(p Process) bool { return !p.Member || !concerns(key, p) })
	var ids []string
	var addresses []netip.AddrPort
	for _, p := range ps {
		if p.Kind == KindBalancer {
			ids, addresses = append(ids, p.ID), append(addresses, p.Control)
		}
	}
	seen := make(map[string]Progress)
	failed := make(map[string]error)
	for i, answer := range o.cfg.Status.Progress(ctx, addresses, key) {
		if answer.Err != nil {
			failed[ids[i]] = answer.Err
		}
		for _, a := range answer.Progress {
			// An agent has several homes, and the newest answer counts.
			if seen[a.ID].Applied <= a.Applied {
				seen[a.ID] = a
			}
		}
	}
	var c Coverage
	for _, p := range ps {
		a, heard := seen[p.ID]
		c.count(p, a, heard, failed[p.ID], revision)
	}
	return c, nil
}

// concerns reports whether a process uses a key; agents have no use for the contracts of other services.
func concerns(key string, p Process) bool {
	kind, name, err := configvalue.ParseKey(key)
	return err != nil || kind != configvalue.KindContract || p.Kind == KindBalancer || p.Service == name
}

// errUnheard is the cause of an agent for which no home balancer answered.
const errUnheard = errors.ConstError("no balancer told its revision")

func (c *Coverage) count(p Process, a Progress, heard bool, failed error, revision store.Revision) {
	switch {
	case failed != nil:
		c.behind = append(c.behind, OutdatedProcess{kind: p.Kind, id: p.ID, cause: failed})
	case !heard:
		c.behind = append(c.behind, OutdatedProcess{kind: p.Kind, id: p.ID, cause: errUnheard})
	case a.Applied < revision:
		c.behind = append(c.behind, OutdatedProcess{kind: p.Kind, id: p.ID, applied: a.Applied})
	case p.Kind == KindBalancer:
		c.balancers++
	default:
		c.agents++
	}
}

// ServiceStatus is a service as its contract and the processes state it.
type ServiceStatus struct {
	contract contract.Contract
	revision store.Revision
	zones    []string
	backends []string
}

// Contract returns the contract of the service.
func (s ServiceStatus) Contract() contract.Contract { return s.contract }

// Revision returns the revision of the contract.
func (s ServiceStatus) Revision() store.Revision { return s.revision }

// Zones returns the zones in which the service runs.
func (s ServiceStatus) Zones() []string { return s.zones }

// Backends returns the ids of the backend servers in service.
func (s ServiceStatus) Backends() []string { return s.backends }

// BelowMinimum reports whether fewer backend servers are in service than the contract asks for.
func (s ServiceStatus) BelowMinimum() bool { return len(s.backends) < s.contract.MinInService() }

// Overview is the state of everything that operators see.
type Overview struct {
	services  []ServiceStatus
	zones     []State
	processes []Process
	known     []AppliedRecord
	storeErr  error
	statusErr error
}

// Services returns the services, sorted by name.
func (v Overview) Services() []ServiceStatus { return v.services }

// Zones returns the known zones.
func (v Overview) Zones() []State { return v.zones }

// Processes returns the balancers and agents.
func (v Overview) Processes() []Process { return v.processes }

// AppliedRecords returns what a balancer has applied, when the store could not be read.
func (v Overview) AppliedRecords() []AppliedRecord { return v.known }

// StoreErr returns why the configuration is not known, if so.
func (v Overview) StoreErr() error { return v.storeErr }

// StatusErr returns why the processes are not known, if so.
func (v Overview) StatusErr() error { return v.statusErr }

// Overview reads the configuration and the processes; each is shown even when the other cannot be read.
func (o *Operator) Overview(ctx context.Context) Overview {
	w, err := o.read(ctx)
	if err != nil {
		v := Overview{storeErr: err}
		if v.processes, v.statusErr = o.processes(ctx); v.statusErr == nil {
			v.known, v.statusErr = o.cfg.Status.AppliedRecords(ctx)
		}
		return v
	}
	v := Overview{processes: w.processes, statusErr: w.statusErr}
	for _, service := range w.services() {
		s := w.contracts[service]
		zones, backends := w.places(s.Contract())
		v.services = append(v.services, ServiceStatus{contract: s.Contract(), revision: s.revision, zones: zones, backends: backends})
	}
	for _, z := range w.knownZones() {
		v.zones = append(v.zones, w.state(Zone(z)))
	}
	return v
}
