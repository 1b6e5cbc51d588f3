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

// WatchDrained counts the requests that still arrive at a backend server that was taken out.
type WatchDrained struct {
	Service string
	Index   int
}

// String describes the action.
func (a WatchDrained) String() string {
	return "from now on no work may arrive at " + serverID(a.Service, a.Index)
}

func (a WatchDrained) apply(_ context.Context, w *world) error {
	w.startDrainCount(serverID(a.Service, a.Index))
	return nil
}

// ReturnBackend brings a backend server back into service.
type ReturnBackend struct {
	Service string
	Index   int
}

// String describes the action.
func (a ReturnBackend) String() string {
	return "bring back backend server " + serverID(a.Service, a.Index)
}

func (a ReturnBackend) apply(ctx context.Context, w *world) error {
	w.endDrainCount(serverID(a.Service, a.Index))
	return w.setAvailability(ctx, operator.Backend(serverID(a.Service, a.Index)), false)
}

// RestartCold restarts a backend server without warning, after which it is in cold start.
type RestartCold struct {
	Service string
	Index   int
}

// String describes the action.
func (a RestartCold) String() string {
	return "restart backend server " + serverID(a.Service, a.Index) + " without warning, it is cold"
}

func (a RestartCold) apply(_ context.Context, w *world) error {
	s := w.server(serverID(a.Service, a.Index))
	w.marks.restarts = append(w.marks.restarts, mark{name: s.id, at: time.Now()})
	s.backend.Restart()
	return nil
}

// ZoneOut takes a zone out of service by an operator command.
type ZoneOut struct{ Zone string }

// String describes the action.
func (a ZoneOut) String() string { return "take out " + a.Zone }

func (a ZoneOut) apply(ctx context.Context, w *world) error {
	w.marks.zones = append(w.marks.zones, mark{name: a.Zone, at: time.Now()})
	return w.setAvailability(ctx, operator.Zone(a.Zone), true)
}

// ZoneOff ends the agents and backend servers of a zone and counts the packets that still arrive there.
type ZoneOff struct{ Zone string }

// String describes the action.
func (a ZoneOff) String() string {
	return "switch off the hosts of " + a.Zone + " and count packets there"
}

func (a ZoneOff) apply(ctx context.Context, w *world) error { return w.switchOff(ctx, a.Zone) }

// ZoneBack starts the hosts of a zone again and brings the zone back into service.
type ZoneBack struct{ Zone string }

// String describes the action.
func (a ZoneBack) String() string { return "switch on the hosts of " + a.Zone + " and bring it back" }

func (a ZoneBack) apply(ctx context.Context, w *world) error {
	if err := w.switchOn(ctx, a.Zone); err != nil {
		return err
	}
	w.marks.zoneBack = time.Now()
	return w.setAvailability(ctx, operator.Zone(a.Zone), false)
}

// StoreDown makes the store refuse every call.
type StoreDown struct{}

// String describes the action.
func (StoreDown) String() string { return "take the store down" }

func (StoreDown) apply(_ context.Context, w *world) error {
	w.store.SetFault(store.Fault{Down: true})
	return nil
}

// StoreUp makes the store answer again.
type StoreUp struct{}

// String describes the action.
func (StoreUp) String() string { return "bring the store up" }

func (StoreUp) apply(_ context.Context, w *world) error {
	w.store.SetFault(store.Fault{})
	return nil
}
