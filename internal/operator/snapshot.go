package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// State is the availability of a zone or a backend server, as operators have set it.
type State struct {
	name     string
	revision store.Revision
	value    configvalue.State
}

// Name returns the zone or the id of the backend server.
func (s State) Name() string { return s.name }

// Revision returns the store revision of the state; 0 means that no operator has set it.
func (s State) Revision() store.Revision { return s.revision }

// Out reports whether the zone or backend server is out of service.
func (s State) Out() bool { return s.value.Out }

// Author returns who set the state.
func (s State) Author() string { return s.value.Author }

// Reason returns why the state was set.
func (s State) Reason() string { return s.value.Reason }

// OperationID returns the operation that set the state.
func (s State) OperationID() string { return s.value.OperationID }

// snapshot holds the configuration and, if a balancer answered, the processes.
type snapshot struct {
	contracts map[string]StoredContract
	zones     map[string]State
	backends  map[string]State
	// processes is nil when no balancer answered.
	processes []Process
	// statusErr is the error of reading the processes, or nil.
	statusErr error
}

func newSnapshot() snapshot {
	return snapshot{contracts: map[string]StoredContract{}, zones: map[string]State{}, backends: map[string]State{}}
}

// read lists the configuration in one call and queries the processes.
func (o *Operator) read(ctx context.Context) (snapshot, error) {
	sn := newSnapshot()
	if err := o.addEntries(ctx, sn, configvalue.Prefix); err != nil {
		return snapshot{}, err
	}
	sn.processes, sn.statusErr = o.processes(ctx)
	return sn, nil
}

// readService reads what a change of one contract depends on: this contract, the states and the processes.
// It does not list all contracts, which may take some ten megabytes.
func (o *Operator) readService(ctx context.Context, service string) (snapshot, StoredContract, error) {
	current, err := o.Contract(ctx, service)
	if err != nil {
		return snapshot{}, StoredContract{}, err
	}
	sn := newSnapshot()
	for _, prefix := range []string{configvalue.ZonesPrefix, configvalue.BackendsPrefix} {
		if err := o.addEntries(ctx, sn, prefix); err != nil {
			return snapshot{}, StoredContract{}, err
		}
	}
	if current.revision != 0 {
		sn.contracts[service] = current
	}
	sn.processes, sn.statusErr = o.processes(ctx)
	return sn, current, nil
}

func (o *Operator) addEntries(ctx context.Context, sn snapshot, prefix string) error {
	page, err := o.cfg.Store.List(ctx, prefix)
	if err != nil {
		return readError(err)
	}
	for _, e := range page.Entries {
		if err := sn.add(e); err != nil {
			return err
		}
	}
	return nil
}

// readError describes a failed read. A read changes nothing, so its outcome is never reported as unknown.
func readError(err error) error {
	if errors.Is(err, store.ErrUnknownOutcome) {
		return errors.New("cannot read the configuration: the store did not answer")
	}
	return errors.Annotate(err, "cannot read the configuration")
}

func (sn snapshot) add(e store.Entry) error {
	kind, name, err := configvalue.ParseKey(e.Key)
	if err != nil || e.Deleted {
		return err
	}
	if kind == configvalue.KindContract {
		s, err := storedContract(e)
		sn.contracts[name] = s
		return err
	}
	v, err := configvalue.DecodeState(e.Value)
	if err != nil {
		return errors.Annotatef(err, "invalid value of %s in the store", e.Key)
	}
	states := sn.backends
	if kind == configvalue.KindZone {
		states = sn.zones
	}
	states[name] = State{name: name, revision: e.Revision, value: v}
	return nil
}

func (sn snapshot) withContract(c contract.Contract) snapshot {
	sn.contracts = maps.Clone(sn.contracts)
	sn.contracts[c.Service()] = StoredContract{revision: sn.contracts[c.Service()].revision, value: configvalue.Contract{Contract: c}}
	return sn
}

func (sn snapshot) withState(kind configvalue.Kind, s State) snapshot {
	if kind == configvalue.KindZone {
		sn.zones = maps.Clone(sn.zones)
		sn.zones[s.name] = s
		return sn
	}
	sn.backends = maps.Clone(sn.backends)
	sn.backends[s.name] = s
	return sn
}

// knownZones returns the zones of all contracts and processes, and those whose state an operator has set.
func (sn snapshot) knownZones() []string {
	known := make(map[string]bool)
	for _, s := range sn.contracts {
		for _, z := range s.Contract().Zones() {
			known[z] = true
		}
	}
	for _, p := range sn.processes {
		known[p.Zone] = true
	}
	for z := range sn.zones {
		known[z] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// knownBackends returns the backend servers that have an agent or whose state an operator has set.
func (sn snapshot) knownBackends() []string {
	known := make(map[string]bool)
	for _, p := range sn.processes {
		if p.Kind == KindAgent {
			known[p.ID] = true
		}
	}
	for id := range sn.backends {
		known[id] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// zonesAndBackends returns the zones in which a service runs, and its backend servers in service. If the processes are
// not known, a service counts as running in each zone of its contract that is not out of service.
func (sn snapshot) zonesAndBackends(c contract.Contract) (zones, backends []string) {
	for _, z := range c.Zones() {
		if sn.zones[z].Out() {
			continue
		}
		ids := sn.inService(c.Service(), z)
		if sn.processes == nil || len(ids) > 0 {
			zones = append(zones, z)
		}
		backends = append(backends, ids...)
	}
	return zones, backends
}

func (sn snapshot) inService(service, zone string) []string {
	var ids []string
	for _, p := range sn.processes {
		if p.Kind == KindAgent && p.Service == service && p.Zone == zone && p.InService && !sn.backends[p.ID].Out() {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// Loss is the capacity that a service would lose by a change, which is why the change needs to be confirmed.
type Loss struct {
	service string
	message string
}

// Service returns the service that loses capacity.
func (l Loss) Service() string { return l.service }

// Message describes the loss.
func (l Loss) Message() string { return l.message }

// losses returns what the services lose between two snapshots.
func (sn snapshot) losses(after snapshot) []Loss {
	var all []Loss
	for _, service := range slices.Sorted(maps.Keys(sn.contracts)) {
		if l, lost := sn.loss(service, after); lost {
			all = append(all, l)
		}
	}
	return all
}

func (sn snapshot) loss(service string, after snapshot) (Loss, bool) {
	old, next := sn.contracts[service].Contract(), after.contracts[service].Contract()
	zones, backends := sn.zonesAndBackends(old)
	zonesLeft, backendsLeft := after.zonesAndBackends(next)
	minInService := next.MinInService()
	switch {
	case len(zones) > 0 && len(zonesLeft) == 0:
		return Loss{service, fmt.Sprintf("runs in zone %s and would run nowhere", formatNames(zones))}, true
	case len(backendsLeft) < len(backends) && len(backendsLeft) < minInService:
		return Loss{service, fmt.Sprintf("has %d backend servers in service and would have %d, fewer than min_backends_in_service %d; lost: %s",
			len(backends), len(backendsLeft), minInService, formatNames(difference(backends, backendsLeft)))}, true
	}
	return Loss{}, false
}

func difference(all, kept []string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(s string) bool { return slices.Contains(kept, s) })
}

// maxListedNames is the maximum number of names in a message.
const maxListedNames = 10

func formatNames(names []string) string {
	if len(names) <= maxListedNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
}
