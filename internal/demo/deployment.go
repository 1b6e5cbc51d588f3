// Package demo runs a deployment in one process, applies changes and faults while callers use it, and checks the promises
// of docs/PROMISES.md.
package demo

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/standin/backend"
	"github.com/bramleymast/bramleymast/internal/standin/caller"
	"github.com/bramleymast/bramleymast/internal/standin/fabric"
	"github.com/bramleymast/bramleymast/pkg/contract"
)

// ErrUnknownDeployment is returned by FindDeployment for a name that no deployment has.
const ErrUnknownDeployment = errors.ConstError("unknown deployment, allowed are laca-verde and notas")

const (
	// coldRamp is short enough for a cold start to begin and end within a run.
	coldRamp    = 2 * time.Second
	serviceTime = 15 * time.Millisecond
)

// Service describes one customer service of a deployment.
type Service struct {
	Kind    backend.Kind
	Servers int
	Slots   int
	// Callers is the number of callers that send the requests of Load.
	Callers int
	Load    caller.Load
	// Downloaders is the number of additional callers that only fetch long downloads.
	Downloaders int
	Download    caller.Load
}

// Deployment describes the zones and services of one user's deployment.
type Deployment struct {
	Name  string
	Zones []string
	// CallerDelay is the one-way delay between the callers and each zone.
	CallerDelay time.Duration
	Services    []Service
}

// Deployments returns the deployments of both users at their current sizes.
func Deployments() []Deployment {
	mixedLoad := caller.Load{Pause: 60 * time.Millisecond, WriteShare: 0.3, RequestsPerFlow: 12}
	readLoad := caller.Load{Pause: 60 * time.Millisecond, RequestsPerFlow: 12}
	downloadLoad := caller.Load{DownloadShare: 1, DownloadBytes: 4 << 20, DownloadRate: 1 << 20, RequestsPerFlow: 2}
	return []Deployment{{
		Name: "laca-verde", Zones: []string{"zone-a", "zone-b", "zone-c", "zone-d"},
		CallerDelay: 3 * time.Millisecond,
		Services: []Service{
			{Kind: backend.KindOrders, Servers: 7, Slots: 2, Callers: 20, Load: mixedLoad},
			{Kind: backend.KindCatalogue, Servers: 4, Slots: 2, Callers: 4, Load: readLoad, Downloaders: 3, Download: downloadLoad},
		},
	}, {
		Name: "notas", Zones: []string{"zone-a", "zone-b", "zone-c"},
		CallerDelay: 3 * time.Millisecond,
		Services: []Service{
			{Kind: backend.KindSummaries, Servers: 7, Slots: 7, Callers: 30, Load: mixedLoad},
			{Kind: backend.KindBundles, Servers: 3, Slots: 7, Callers: 6, Load: readLoad, Downloaders: 8, Download: downloadLoad},
		},
	}}
}

// FindDeployment returns the deployment with the given name, or ErrUnknownDeployment.
func FindDeployment(name string) (Deployment, error) {
	all := Deployments()
	i := slices.IndexFunc(all, func(d Deployment) bool { return d.Name == name })
	if i < 0 {
		return Deployment{}, errors.Annotatef(ErrUnknownDeployment, "%q", name)
	}
	return all[i], nil
}

// setLinkDelays sets the delay between the callers and each zone in both directions.
func (d Deployment) setLinkDelays(f *fabric.Fabric) {
	for _, z := range d.Zones {
		l := fabric.Link{Delay: d.CallerDelay}
		f.SetLink(fabric.CallerZone, z, l)
		f.SetLink(z, fabric.CallerZone, l)
	}
}

// coldSlots returns the slot limit of a server at the beginning of a cold start.
func (s Service) coldSlots() int { return max(1, s.Slots/3) }

func (s Service) name() string { return string(s.Kind) }

// contract returns the contract of the service for its zones and its service address.
func (s Service) contract(zones []string, address netip.AddrPort) (contract.Contract, error) {
	policy := "plain"
	if s.Kind.Writes() {
		policy = "ticket"
	}
	zoneList, err := json.Marshal(zones)
	if err != nil {
		return contract.Contract{}, errors.Trace(err)
	}
	text := fmt.Sprintf(`{"service":%q,"addresses":[%q],"zones":%s,
		"backend":{"slots":%d,"connections":2000},"cold_start":{"slots":%d,"ramp_ms":%d},
		"deadline_ms":5000,"wait_ms":1000,"drain_ms":60000,
		"change":{"min_backends_in_service":1,"zone_out_grace_ms":2000},"non_idempotent":%q}`,
		s.name(), address, zoneList, s.Slots, s.coldSlots(), coldRamp.Milliseconds(), policy)
	c, list := contract.Decode(s.name(), []byte(text))
	return c, list.Err()
}
