package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/internal/standin/store"
)

// AddBalancer starts a further balancer in a zone.
type AddBalancer struct{ Zone string }

// String describes the action.
func (a AddBalancer) String() string { return "add a balancer in " + a.Zone }

func (a AddBalancer) apply(ctx context.Context, w *world) error { return w.addBalancer(ctx, a.Zone) }

// KillBalancer ends a balancer without any warning.
type KillBalancer struct{ Index int }

// String describes the action.
func (a KillBalancer) String() string {
	return fmt.Sprintf("kill balancer-%d without warning", a.Index+1)
}

func (a KillBalancer) apply(_ context.Context, w *world) error {
	w.balancers[a.Index].kill()
	return nil
}

// DrainBackend takes a backend server out of service by an operator command.
type DrainBackend struct {
	Service string
	Index   int
}

// String describes the action.
func (a DrainBackend) String() string {
	return "take out backend server " + serverID(a.Service, a.Index)
}

func (a DrainBackend) apply(ctx context.Context, w *world) error {
	return w.setAvailability(ctx, operator.Backend(serverID(a.Service, a.Index)), true)
}

// CountDrainedRequests counts the requests that still arrive at a backend server that was taken out.
type CountDrainedRequests struct {
	Service string
	Index   int
}

// String describes the action.
func (a CountDrainedRequests) String() string {
	return "from now on no work may arrive at " + serverID(a.Service, a.Index)
}

func (a CountDrainedRequests) apply(_ context.Context, w *world) error {
	w.startDrainCount(serverID(a.Service, a.Index))
	return nil
}

// RestoreBackend brings a backend server back into service.
type RestoreBackend struct {
	Service string
	Index   int
}

// String describes the action.
func (a RestoreBackend) String() string {
	return "bring back backend server " + serverID(a.Service, a.Index)
}

func (a RestoreBackend) apply(ctx context.Context, w *world) error {
	w.endDrainCount(serverID(a.Service, a.Index))
	return w.setAvailability(ctx, operator.Backend(serverID(a.Service, a.Index)), false)
}

// RestartBackend restarts a backend server without warning, after which it is in cold start.
type RestartBackend struct {
	Service string
	Index   int
}

// String describes the action.
func (a RestartBackend) String() string {
	return "restart backend server " + serverID(a.Service, a.Index) + " without warning, it is cold"
}

func (a RestartBackend) apply(_ context.Context, w *world) error {
	s := w.server(serverID(a.Service, a.Index))
	w.marks.restarts = append(w.marks.restarts, mark{name: s.id, at: time.Now()})
	s.backend.Restart()
	return nil
}

// TakeZoneOut takes a zone out of service by an operator command.
type TakeZoneOut struct{ Zone string }

// String describes the action.
func (a TakeZoneOut) String() string { return "take out " + a.Zone }

func (a TakeZoneOut) apply(ctx context.Context, w *world) error {
	w.marks.zones = append(w.marks.zones, mark{name: a.Zone, at: time.Now()})
	return w.setAvailability(ctx, operator.Zone(a.Zone), true)
}

// StopZone ends the agents and backend servers of a zone and counts the packets that still arrive there.
type StopZone struct{ Zone string }

// String describes the action.
func (a StopZone) String() string {
	return "switch off the hosts of " + a.Zone + " and count packets there"
}

func (a StopZone) apply(ctx context.Context, w *world) error { return w.switchOff(ctx, a.Zone) }

// RestoreZone starts the hosts of a zone again and brings the zone back into service.
type RestoreZone struct{ Zone string }

// String describes the action.
func (a RestoreZone) String() string {
	return "switch on the hosts of " + a.Zone + " and bring it back"
}

func (a RestoreZone) apply(ctx context.Context, w *world) error {
	if err := w.switchOn(ctx, a.Zone); err != nil {
		return err
	}
	w.marks.zoneBack = time.Now()
	return w.setAvailability(ctx, operator.Zone(a.Zone), false)
}

// StopStore makes the store refuse every call.
type StopStore struct{}

// String describes the action.
func (StopStore) String() string { return "take the store down" }

func (StopStore) apply(_ context.Context, w *world) error {
	w.store.SetFault(store.Fault{Down: true})
	return nil
}

// RestoreStore makes the store answer again.
type RestoreStore struct{}

// String describes the action.
func (RestoreStore) String() string { return "bring the store up" }

func (RestoreStore) apply(_ context.Context, w *world) error {
	w.store.SetFault(store.Fault{})
	return nil
}
