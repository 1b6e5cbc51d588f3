package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/internal/standin/store"
)

// AddBalancer starts another balancer in a zone.
type AddBalancer struct{ Zone string }

// String returns the progress message of the action.
func (a AddBalancer) String() string { return "add a balancer in " + a.Zone }

func (a AddBalancer) apply(ctx context.Context, cl *cluster) error {
	return cl.addBalancer(ctx, a.Zone)
}

// KillBalancer stops a balancer without a graceful shutdown.
type KillBalancer struct{ Index int }

// String returns the progress message of the action.
func (a KillBalancer) String() string {
	return fmt.Sprintf("kill balancer-%d without warning", a.Index+1)
}

func (a KillBalancer) apply(_ context.Context, cl *cluster) error {
	cl.balancers[a.Index].kill()
	return nil
}

// DrainBackend takes a backend server out of service by an operator command.
type DrainBackend struct {
	Service string
	Index   int
}

// String returns the progress message of the action.
func (a DrainBackend) String() string {
	return "take out backend server " + serverID(a.Service, a.Index)
}

func (a DrainBackend) apply(ctx context.Context, cl *cluster) error {
	return cl.setAvailability(ctx, operator.Backend(serverID(a.Service, a.Index)), true)
}

// CountDrainedRequests starts to count the requests that still arrive at a backend server that was taken out.
type CountDrainedRequests struct {
	Service string
	Index   int
}

// String returns the progress message of the action.
func (a CountDrainedRequests) String() string {
	return "from now on no work may arrive at " + serverID(a.Service, a.Index)
}

func (a CountDrainedRequests) apply(_ context.Context, cl *cluster) error {
	cl.startDrainCount(serverID(a.Service, a.Index))
	return nil
}

// RestoreBackend ends the count of CountDrainedRequests and brings a backend server back into service.
type RestoreBackend struct {
	Service string
	Index   int
}

// String returns the progress message of the action.
func (a RestoreBackend) String() string {
	return "bring back backend server " + serverID(a.Service, a.Index)
}

func (a RestoreBackend) apply(ctx context.Context, cl *cluster) error {
	cl.endDrainCount(serverID(a.Service, a.Index))
	return cl.setAvailability(ctx, operator.Backend(serverID(a.Service, a.Index)), false)
}

// RestartBackend restarts a backend server without a graceful shutdown; the server begins with a cold start.
type RestartBackend struct {
	Service string
	Index   int
}

// String returns the progress message of the action.
func (a RestartBackend) String() string {
	return "restart backend server " + serverID(a.Service, a.Index) + " without warning, it is cold"
}

func (a RestartBackend) apply(_ context.Context, cl *cluster) error {
	h := cl.hostByID(serverID(a.Service, a.Index))
	cl.events.restarts = append(cl.events.restarts, event{name: h.id, at: time.Now()})
	h.backend.Restart()
	return nil
}

// TakeZoneOut takes a zone out of service by an operator command.
type TakeZoneOut struct{ Zone string }

// String returns the progress message of the action.
func (a TakeZoneOut) String() string { return "take out " + a.Zone }

func (a TakeZoneOut) apply(ctx context.Context, cl *cluster) error {
	cl.events.zoneOuts = append(cl.events.zoneOuts, event{name: a.Zone, at: time.Now()})
	return cl.setAvailability(ctx, operator.Zone(a.Zone), true)
}

// StopZone stops the agents and backend servers of a zone and counts the packets that still arrive in the zone.
type StopZone struct{ Zone string }

// String returns the progress message of the action.
func (a StopZone) String() string {
	return "switch off the hosts of " + a.Zone + " and count packets there"
}

func (a StopZone) apply(ctx context.Context, cl *cluster) error { return cl.stopZone(ctx, a.Zone) }

// RestoreZone starts the hosts of a zone again and brings the zone back into service.
type RestoreZone struct{ Zone string }

// String returns the progress message of the action.
func (a RestoreZone) String() string {
	return "switch on the hosts of " + a.Zone + " and bring it back"
}

func (a RestoreZone) apply(ctx context.Context, cl *cluster) error {
	if err := cl.startZone(ctx, a.Zone); err != nil {
		return err
	}
	cl.events.zoneRestored = time.Now()
	return cl.setAvailability(ctx, operator.Zone(a.Zone), false)
}

// StopStore makes the store fail every call.
type StopStore struct{}

// String returns the progress message of the action.
func (StopStore) String() string { return "take the store down" }

func (StopStore) apply(_ context.Context, cl *cluster) error {
	cl.store.SetFault(store.Fault{Down: true})
	return nil
}

// RestoreStore makes the store available again.
type RestoreStore struct{}

// String returns the progress message of the action.
func (RestoreStore) String() string { return "bring the store up" }

func (RestoreStore) apply(_ context.Context, cl *cluster) error {
	cl.store.SetFault(store.Fault{})
	return nil
}
