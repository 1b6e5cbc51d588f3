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

// Process is a balancer or an agent as a balancer reports it.
type Process struct {
	Kind    Kind
	ID      string
	Zone    string
	Service string // agents only
	// State is the phase that the process reports, such as "ready", or its liveness, such as "suspect", if it is not alive.
	State string
	// Member is false when the process has left or is dead.
	Member bool
	// InService is true when the process is alive and in a phase in which it accepts new flows. It does not depend on
	// whether operators have taken the process or its zone out of service.
	InService bool
	// Control is the net/rpc address of the process.
	Control netip.AddrPort
}

// Progress is the revision of a configuration key that a process has applied.
type Progress struct {
	ID      string
	Applied store.Revision
}

// StatusSource reads the state of the balancers and agents.
type StatusSource interface {
	// Processes returns the processes that the first answering balancer reports.
	Processes(ctx context.Context) ([]Process, error)
	// AppliedRecords returns the configuration that the first answering balancer has applied.
	AppliedRecords(ctx context.Context) ([]AppliedRecord, error)
	// Progress queries all balancers concurrently for the revisions of a configuration key that they and the agents
	// that report to them have applied. The replies are in the order of the balancers.
	Progress(ctx context.Context, balancers []netip.AddrPort, key string) []ProgressReply
	// Counters queries processes at their control addresses for their counters that have a reason. The replies are in
	// the order of the processes.
	Counters(ctx context.Context, processes []netip.AddrPort) []CountersReply
}

// AppliedRecord is a contract or an availability state that a balancer has applied.
type AppliedRecord struct {
	// Kind is "contract", "zone" or "backend".
	Kind     string
	Name     string
	Revision store.Revision
	Out      bool
	Author   string
	Reason   string
}

// ProgressReply is the reply of one balancer about a configuration key, or the error of the query.
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
func (p OutdatedProcess) Kind() Kind { return p.kind }

// ID returns the id of the process.
func (p OutdatedProcess) ID() string { return p.id }

// Applied returns the newest revision that the process has applied.
func (p OutdatedProcess) Applied() store.Revision { return p.applied }

// Cause returns why the applied revision is not known, or nil when it is.
func (p OutdatedProcess) Cause() error { return p.cause }

// Coverage holds how many processes have applied a revision, and which have not.
type Coverage struct {
	balancers int
	agents    int
	outdated  []OutdatedProcess
	elapsed   time.Duration
}

// Complete reports whether the revision is in force everywhere.
func (c Coverage) Complete() bool { return len(c.outdated) == 0 }

// Balancers returns how many balancers have applied the revision.
func (c Coverage) Balancers() int { return c.balancers }

// Agents returns how many agents have applied the revision.
func (c Coverage) Agents() int { return c.agents }

// Outdated returns the processes that have not applied the revision.
func (c Coverage) Outdated() []OutdatedProcess { return c.outdated }

// Elapsed returns the duration of the wait.
func (c Coverage) Elapsed() time.Duration { return c.elapsed }

// pollInterval is the time between two queries of the balancers.
const pollInterval = 500 * time.Millisecond

// Wait polls the balancers until a revision of a key is in force everywhere or the timeout has passed.
func (o *Operator) Wait(ctx context.Context, key string, revision store.Revision, timeout time.Duration) (Coverage, error) {
	start := o.cfg.Now()
	for {
		c, err := o.coverage(ctx, key, revision)
		c.elapsed = o.cfg.Now().Sub(start)
		if err == nil && c.Complete() {
			return c, nil
		}
		if c.elapsed+pollInterval > timeout || o.cfg.Sleep(ctx, pollInterval) != nil {
			return c, err
		}
	}
}

// coverage queries all current balancers, because balancers and agents may start and stop during a change.
func (o *Operator) coverage(ctx context.Context, key string, revision store.Revision) (Coverage, error) {
	ps, err := o.processes(ctx)
	if err != nil {
		return Coverage{}, err
	}
	ps = slices.DeleteFunc(ps, func(p Process) bool { return !p.Member || !usesKey(key, p) })
	var ids []string
	var addresses []netip.AddrPort
	for _, p := range ps {
		if p.Kind == KindBalancer {
			ids, addresses = append(ids, p.ID), append(addresses, p.Control)
		}
	}
	reported := make(map[string]Progress)
	failed := make(map[string]error)
	for i, reply := range o.cfg.Status.Progress(ctx, addresses, key) {
		if reply.Err != nil {
			failed[ids[i]] = reply.Err
		}
		for _, a := range reply.Progress {
			// An agent reports to several balancers, and the newest revision counts.
			if reported[a.ID].Applied <= a.Applied {
				reported[a.ID] = a
			}
		}
	}
	var c Coverage
	for _, p := range ps {
		a, ok := reported[p.ID]
		c.add(p, a, ok, failed[p.ID], revision)
	}
	return c, nil
}

// usesKey reports whether a process applies a key. Agents do not apply the contracts of other services.
func usesKey(key string, p Process) bool {
	kind, name, err := configvalue.ParseKey(key)
	return err != nil || kind != configvalue.KindContract || p.Kind == KindBalancer || p.Service == name
}

// errNotReported is the cause of an agent whose revision no balancer has reported.
const errNotReported = errors.ConstError("no balancer reported its revision")

func (c *Coverage) add(p Process, a Progress, reported bool, failed error, revision store.Revision) {
	switch {
	case failed != nil:
		c.outdated = append(c.outdated, OutdatedProcess{kind: p.Kind, id: p.ID, cause: failed})
	case !reported:
		c.outdated = append(c.outdated, OutdatedProcess{kind: p.Kind, id: p.ID, cause: errNotReported})
	case a.Applied < revision:
		c.outdated = append(c.outdated, OutdatedProcess{kind: p.Kind, id: p.ID, applied: a.Applied})
	case p.Kind == KindBalancer:
		c.balancers++
	default:
		c.agents++
	}
}

// ServiceStatus holds the contract of a service and where the service runs.
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

// BelowMinimum reports whether fewer backend servers are in service than the contract requires.
func (s ServiceStatus) BelowMinimum() bool { return len(s.backends) < s.contract.MinInService() }

// Overview holds the state of the services, zones and processes.
type Overview struct {
	services       []ServiceStatus
	zones          []State
	processes      []Process
	appliedRecords []AppliedRecord
	storeErr       error
	statusErr      error
}

// Services returns the services, sorted by name.
func (v Overview) Services() []ServiceStatus { return v.services }

// Zones returns the known zones.
func (v Overview) Zones() []State { return v.zones }

// Processes returns the balancers and agents.
func (v Overview) Processes() []Process { return v.processes }

// AppliedRecords returns the configuration that a balancer has applied; it is set when the store could not be read.
func (v Overview) AppliedRecords() []AppliedRecord { return v.appliedRecords }

// StoreErr returns the error of reading the configuration, or nil.
func (v Overview) StoreErr() error { return v.storeErr }

// StatusErr returns the error of reading the processes, or nil.
func (v Overview) StatusErr() error { return v.statusErr }

// Overview reads the configuration and the processes. It returns each of them even if the other cannot be read.
func (o *Operator) Overview(ctx context.Context) Overview {
	sn, err := o.read(ctx)
	if err != nil {
		v := Overview{storeErr: err}
		if v.processes, v.statusErr = o.processes(ctx); v.statusErr == nil {
			v.appliedRecords, v.statusErr = o.cfg.Status.AppliedRecords(ctx)
		}
		return v
	}
	v := Overview{processes: sn.processes, statusErr: sn.statusErr}
	for _, service := range sn.services() {
		s := sn.contracts[service]
		zones, backends := sn.zonesAndBackends(s.Contract())
		v.services = append(v.services, ServiceStatus{contract: s.Contract(), revision: s.revision, zones: zones, backends: backends})
	}
	for _, z := range sn.knownZones() {
		v.zones = append(v.zones, sn.state(Zone(z)))
	}
	return v
}
