// Package fabric is a stand-in for the platform's packet fabric: it sprays packets over the balancers.
package fabric

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Link is what happens to packets on the way from one zone to another; the zero value passes them on at once.
type Link struct {
	// Loss, Duplicate and Reorder are probabilities between 0 and 1.
	Loss      float64
	Duplicate float64
	Reorder   float64
	Delay     time.Duration
	// Jitter is the largest addition to the delay.
	Jitter time.Duration
}

// reorderDelay is how much later than its successors a reordered packet arrives.
const reorderDelay = 2 * time.Millisecond

// arrivals returns the delay of each copy of a packet that arrives.
func (l Link) arrivals(r *rand.Rand) []time.Duration {
	if l.Loss > 0 && r.Float64() < l.Loss {
		return nil
	}
	delays := []time.Duration{l.delay(r)}
	if l.Duplicate > 0 && r.Float64() < l.Duplicate {
		delays = append(delays, l.delay(r))
	}
	return delays
}

func (l Link) delay(r *rand.Rand) time.Duration {
	d := l.Delay
	if l.Jitter > 0 {
		d += time.Duration(r.Int64N(int64(l.Jitter) + 1))
	}
	if l.Reorder > 0 && r.Float64() < l.Reorder {
		d += reorderDelay
	}
	return d
}

// delayed is a packet that waits for its time of arrival.
type delayed struct {
	at   time.Time
	seq  uint64
	send func()
}

type delayHeap []delayed

func (h delayHeap) Len() int { return len(h) }
func (h delayHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h delayHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *delayHeap) Push(x any) {
	if d, ok := x.(delayed); ok {
		*h = append(*h, d)
	}
}

func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = delayed{}
	*h = old[:len(old)-1]
	return last
}

// delayLine sends packets at their time of arrival, in the order of these times.
type delayLine struct {
	mu    sync.Mutex
	queue delayHeap
	seq   uint64
	wake  chan struct{}
}

func newDelayLine() *delayLine { return &delayLine{wake: make(chan struct{}, 1)} }

func (l *delayLine) add(at time.Time, send func()) {
	l.mu.Lock()
	l.seq++
	heap.Push(&l.queue, delayed{at: at, seq: l.seq, send: send})
	first := l.queue[0].seq == l.seq
	l.mu.Unlock()
	if !first {
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// due removes the packets whose time has come and returns the time until the next one.
func (l *delayLine) due(now time.Time) (ready []delayed, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) > 0 && !l.queue[0].at.After(now) {
		if d, ok := heap.Pop(&l.queue).(delayed); ok {
			ready = append(ready, d)
		}
	}
	if len(l.queue) == 0 {
		return ready, time.Hour
	}
	return ready, l.queue[0].at.Sub(now)
}

func (l *delayLine) run(ctx context.Context) error {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		ready, wait := l.due(time.Now())
		for _, d := range ready {
			d.send()
		}
		t.Reset(wait)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-l.wake:
		}
	}
}
