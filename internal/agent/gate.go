package agent

import (
	"context"
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/admission"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/placement"
)

// gate shares the limiter of the backend server between the goroutines of requests.
type gate struct {
	mu      sync.Mutex
	limiter *admission.Limiter
	waiting map[admission.ID]chan error
	timer   *time.Timer
}

func newGate(now time.Time) *gate {
	return &gate{limiter: admission.NewLimiter(now, admission.Limits{}), waiting: make(map[admission.ID]chan error)}
}

// setContract takes the limits of a contract; the first one starts the ramp.
func (g *gate) setContract(now time.Time, c contract.Contract) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := admission.Limits{
		Slots: c.Slots(), ColdSlots: c.ColdSlots(), Connections: c.Connections(), Ramp: c.Ramp(), Wait: c.MaxWait(),
	}
	first := g.limiter.Limits().Slots == 0
	g.limiter.SetLimits(l)
	if first {
		g.limiter.MarkCold(now, admission.ColdStarted)
	}
	g.settle(now, g.limiter.Advance(now))
}

// enter waits for a slot and returns the id with which to leave it.
func (g *gate) enter(ctx context.Context, deadline time.Time) (admission.ID, error) {
	g.mu.Lock()
	now := time.Now()
	d, decided := g.limiter.Acquire(now, deadline)
	if decided {
		g.mu.Unlock()
		return d.ID, d.Err
	}
	ch := make(chan error, 1)
	g.waiting[d.ID] = ch
	g.arm(now)
	g.mu.Unlock()
	select {
	case err := <-ch:
		return d.ID, err
	case <-ctx.Done():
		g.leave(d.ID, admission.Observation{})
		return d.ID, ctx.Err()
	}
}

// leave gives a slot back, or a place among the waiting requests.
func (g *gate) leave(id admission.ID, o admission.Observation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	now := time.Now()
	g.settle(now, g.limiter.Release(now, id, o))
}

// settle tells waiting requests what was decided. The caller holds the lock.
func (g *gate) settle(now time.Time, ds []admission.Decision) {
	for _, d := range ds {
		if ch, ok := g.waiting[d.ID]; ok {
			delete(g.waiting, d.ID)
			ch <- d.Err
		}
	}
	g.arm(now)
}

// arm sets the timer to the next time at which a waiting request can be decided. The caller holds the lock.
func (g *gate) arm(now time.Time) {
	next, ok := g.limiter.NextAdvance(now)
	if !ok {
		return
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	g.timer = time.AfterFunc(next.Sub(now), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		now := time.Now()
		g.settle(now, g.limiter.Advance(now))
	})
}

func (g *gate) markCold(reason admission.ColdReason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.MarkCold(time.Now(), reason)
}

func (g *gate) cold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, cold := g.limiter.Cold(time.Now())
	return cold
}

func (g *gate) coldCount(reason admission.ColdReason) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.limiter.ColdCount(reason))
}

// connect counts a new connection of a caller and reports whether the contract allows it.
func (g *gate) connect() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Connect()
}

func (g *gate) disconnect() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Disconnect()
}

// load returns the load of the agent and whether the connection limit leaves room for another flow.
func (g *gate) load(now time.Time) (l placement.Load, room bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	flows := g.limiter.Flows()
	return placement.Load{
		InProgress: uint32(g.limiter.InProgress() + g.limiter.Waiting()),
		Flows:      uint32(flows),
		Slots:      uint32(g.limiter.Slots(now)),
	}, flows < g.limiter.Limits().Connections
}
