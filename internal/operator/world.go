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

// State is the operators' state of a zone or a backend server.
type State struct {
	name     string
	revision store.Revision
	value    configvalue.State
}

// Name returns the zone or the id of the backend server.
func (s State) Name() string { return s.name }

// Revision returns the revision at which the state is in the store; 0 means that no operator has set it.
func (s State) Revision() store.Revision { return s.revision }

// Out reports whether the zone or backend server is out of service.
func (s State) Out() bool { return s.value.Out }

// Author returns who set the state.
func (s State) Author() string { return s.value.Author }

// Reason returns why the state was set.
func (s State) Reason() string { return s.value.Reason }

// OperationID returns the operation that set the state.
func (s State) OperationID() string { return s.value.OperationID }

// world is the configuration and, when balancers can be asked, the backend servers.
type world struct {
	contracts map[string]StoredContract
	zones     map[string]State
	backends  map[string]State
	// processes is nil when no balancer answered.
	processes []Process
	// statusErr says why there are no processes.
	statusErr error
}

func newWorld() world {
	return world{contracts: map[string]StoredContract{}, zones: map[string]State{}, backends: map[string]State{}}
}

// read lists the configuration in one call and asks for the processes.
func (o *Operator) read(ctx context.Context) (world, error) {
	w := newWorld()
	if err := o.list(ctx, w, configvalue.Prefix); err != nil {
		return world{}, err
	}
	w.processes, w.statusErr = o.processes(ctx)
	return w, nil
}

// readFor reads what a change of one contract concerns: this contract, the states and the processes.
// The contracts of all services may be some ten megabytes.
func (o *Operator) readFor(ctx context.Context, service string) (world, StoredContract, error) {
	current, err := o.Contract(ctx, service)
	if err != nil {
		return world{}, StoredContract{}, err
	}
	w := newWorld()
	for _, prefix := range []string{configvalue.ZonesPrefix, configvalue.BackendsPrefix} {
		if err := o.list(ctx, w, prefix); err != nil {
			return world{}, StoredContract{}, err
		}
	}
	if current.revision != 0 {
		w.contracts[service] = current
	}
	w.processes, w.statusErr = o.processes(ctx)
	return w, current, nil
}

func (o *Operator) list(ctx context.Context, w world, prefix string) error {
	page, err := o.cfg.Store.List(ctx, prefix)
	if err != nil {
		return readError(err)
	}
	for _, e := range page.Entries {
		if err := w.add(e); err != nil {
			return err
		}
	}
	return nil
}

// readError describes a failed read. A read changes nothing, so it is never left open whether it took effect.
func readError(err error) error {
	if errors.Is(err, store.ErrUnknownOutcome) {
		return errors.New("cannot read the configuration: the store did not answer")
	}
	return errors.Annotate(err, "cannot read the configuration")
}

func (w world) add(e store.Entry) error {
	kind, name, err := configvalue.ParseKey(e.Key)
	if err != nil || e.Deleted {
		return err
	}
	if kind == configvalue.KindContract {
		s, err := storedContract(e)
		w.contracts[name] = s
		return err
	}
	v, err := configvalue.DecodeState(e.Value)
	if err != nil {
		return errors.Annotatef(err, "the store's value of %s", e.Key)
	}
	states := w.backends
	if kind == configvalue.KindZone {
		states = w.zones
	}
	states[name] = State{name: name, revision: e.Revision, value: v}
	return nil
}

func (w world) withContract(c contract.Contract) world {
	w.contracts = maps.Clone(w.contracts)
	w.contracts[c.Service()] = StoredContract{revision: w.contracts[c.Service()].revision, value: configvalue.Contract{Contract: c}}
	return w
}

func (w world) withState(kind configvalue.Kind, s State) world {
	if kind == configvalue.KindZone {
		w.zones = maps.Clone(w.zones)
		w.zones[s.name] = s
		return w
	}
	w.backends = maps.Clone(w.backends)
	w.backends[s.name] = s
	return w
}

// knownZones returns the zones that a contract, a process or an operator has named.
func (w world) knownZones() []string {
	known := make(map[string]bool)
	for _, s := range w.contracts {
		for _, z := range s.Contract().Zones() {
			known[z] = true
		}
	}
	for _, p := range w.processes {
		known[p.Zone] = true
	}
	for z := range w.zones {
		known[z] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// knownBackends returns the backend servers that run or that an operator has named.
func (w world) knownBackends() []string {
	known := make(map[string]bool)
	for _, p := range w.processes {
		if p.Kind == KindAgent {
			known[p.ID] = true
		}
	}
	for id := range w.backends {
		known[id] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// places returns the zones in which a service runs, and its backend servers in service.
func (w world) places(c contract.Contract) (zones, backends []string) {
	for _, z := range c.Zones() {
		if w.zones[z].Out() {
			continue
		}
		here := w.inService(c.Service(), z)
		if w.processes == nil || len(here) > 0 {
			zones = append(zones, z)
		}
		backends = append(backends, here...)
	}
	return zones, backends
}

func (w world) inService(service, zone string) []string {
	var ids []string
	for _, p := range w.processes {
		if p.Kind == KindAgent && p.Service == service && p.Zone == zone && p.InService && !w.backends[p.ID].Out() {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// Loss is what a service would lose by a change, so that the change needs a confirmation.
type Loss struct {
	service string
	message string
}

// Service returns the service that would lose something.
func (l Loss) Service() string { return l.service }

// Message says what would be lost.
func (l Loss) Message() string { return l.message }

// losses compares the world with the one after a change.
func (w world) losses(after world) []Loss {
	var all []Loss
	for _, service := range slices.Sorted(maps.Keys(w.contracts)) {
		if l, lost := w.loss(service, after); lost {
			all = append(all, l)
		}
	}
	return all
}

func (w world) loss(service string, after world) (Loss, bool) {
	old, next := w.contracts[service].Contract(), after.contracts[service].Contract()
	zones, backends := w.places(old)
	zonesLeft, backendsLeft := after.places(next)
	least := next.MinInService()
	switch {
	case len(zones) > 0 && len(zonesLeft) == 0:
		return Loss{service, fmt.Sprintf("runs in zone %s and would run nowhere", list(zones))}, true
	case len(backendsLeft) < len(backends) && len(backendsLeft) < least:
		return Loss{service, fmt.Sprintf("has %d backend servers in service and would have %d, fewer than min_backends_in_service %d; lost: %s",
			len(backends), len(backendsLeft), least, list(without(backends, backendsLeft)))}, true
	}
	return Loss{}, false
}

func without(all, kept []string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(s string) bool { return slices.Contains(kept, s) })
}

// maxNamed bounds how many names a message lists.
const maxNamed = 10

func list(names []string) string {
	if len(names) <= maxNamed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamed], ", "), len(names)-maxNamed)
}
