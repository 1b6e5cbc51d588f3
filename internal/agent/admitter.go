package agent

import (
	"context"
	"sync"
	"time"

	"github.com/bramleymast/bramleymast/pkg/admission"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/placement"
)

// admitter synchronises access to the backend server's limiter for the goroutines that handle requests.
type admitter struct {
	mu      sync.Mutex
	limiter *admission.Limiter
	queued  map[admission.ID]chan error
	timer   *time.Timer
}

func newAdmitter(now time.Time) *admitter {
	return &admitter{limiter: admission.NewLimiter(now, admission.Limits{}), queued: make(map[admission.ID]chan error)}
}

// setContract applies the limits of a contract; the first contract starts the cold-start ramp.
func (a *admitter) setContract(now time.Time, c contract.Contract) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := admission.Limits{
		Slots: c.Slots(), ColdSlots: c.ColdSlots(), Connections: c.Connections(), Ramp: c.Ramp(), Wait: c.MaxWait(),
	}
	first := a.limiter.Limits().Slots == 0
	a.limiter.SetLimits(l)
	if first {
		a.limiter.MarkCold(now, admission.ColdStarted)
	}
	a.deliver(now, a.limiter.Advance(now))
}

// acquire waits for a slot and returns the ID to release it with.
func (a *admitter) acquire(ctx context.Context, deadline time.Time) (admission.ID, error) {
	a.mu.Lock()
	now := time.Now()
	d, decided := a.limiter.Acquire(now, deadline)
	if decided {
		a.mu.Unlock()
		return d.ID, d.Err
	}
	ch := make(chan error, 1)
	a.queued[d.ID] = ch
	a.resetTimer(now)
	a.mu.Unlock()
	select {
	case err := <-ch:
		return d.ID, err
	case <-ctx.Done():
		a.release(d.ID, admission.Observation{})
		return d.ID, ctx.Err()
	}
}

// release frees a slot, or removes a request from the wait queue.
func (a *admitter) release(id admission.ID, o admission.Observation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.queued, id)
	now := time.Now()
	a.deliver(now, a.limiter.Release(now, id, o))
}

// deliver sends decisions to the queued requests they concern. The caller holds the lock.
func (a *admitter) deliver(now time.Time, decisions []admission.Decision) {
	for _, d := range decisions {
		if ch, ok := a.queued[d.ID]; ok {
			delete(a.queued, d.ID)
			ch <- d.Err
		}
	}
	a.resetTimer(now)
}

// resetTimer sets the timer to the next time at which a queued request can be decided. The caller holds the lock.
func (a *admitter) resetTimer(now time.Time) {
	next, ok := a.limiter.NextAdvance(now)
	if !ok {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(next.Sub(now), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		now := time.Now()
		a.deliver(now, a.limiter.Advance(now))
	})
}

func (a *admitter) markCold(reason admission.ColdReason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.MarkCold(time.Now(), reason)
}

func (a *admitter) cold() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, cold := a.limiter.Cold(time.Now())
	return cold
}

func (a *admitter) coldCount(reason admission.ColdReason) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return float64(a.limiter.ColdCount(reason))
}

// connect reports whether the contract allows another connection of a caller, and counts it if so.
func (a *admitter) connect() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Connect()
}

func (a *admitter) disconnect() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.Disconnect()
}

// load returns the load of the agent and whether it is below the connection limit.
func (a *admitter) load(now time.Time) (l placement.Load, belowLimit bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	flows := a.limiter.Flows()
	return placement.Load{
		InProgress: uint32(a.limiter.InProgress() + a.limiter.Waiting()),
		Flows:      uint32(flows),
		Slots:      uint32(a.limiter.Slots(now)),
	}, flows < a.limiter.Limits().Connections
}
