// Package fabric is a stand-in for the platform's packet fabric: it sends each packet to a random balancer.
package fabric

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Link describes the faults and delays of packets from one zone to another; the zero value delivers all at once.
type Link struct {
	// Loss, Duplicate and Reorder are probabilities between 0 and 1.
	Loss      float64
	Duplicate float64
	Reorder   float64
	Delay     time.Duration
	// Jitter is the maximum random addition to the delay.
	Jitter time.Duration
}

// reorderDelay is the extra delay of a reordered packet, so that packets sent shortly after it overtake it.
const reorderDelay = 2 * time.Millisecond

// arrivals returns the delay of each copy of a packet that arrives; it returns none for a lost packet.
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

// delayed is a packet that waits for its time of arrival; send delivers it.
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

// delayQueue sends packets at their times of arrival, in the order of these times.
type delayQueue struct {
	mu      sync.Mutex
	packets delayHeap
	seq     uint64
	wake    chan struct{}
}

func newDelayQueue() *delayQueue { return &delayQueue{wake: make(chan struct{}, 1)} }

func (q *delayQueue) add(at time.Time, send func()) {
	q.mu.Lock()
	q.seq++
	heap.Push(&q.packets, delayed{at: at, seq: q.seq, send: send})
	first := q.packets[0].seq == q.seq
	q.mu.Unlock()
	if !first {
		return
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// popDue removes and returns the packets that are due, and returns the time until the next one.
func (q *delayQueue) popDue(now time.Time) (ready []delayed, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.packets) > 0 && !q.packets[0].at.After(now) {
		if d, ok := heap.Pop(&q.packets).(delayed); ok {
			ready = append(ready, d)
		}
	}
	if len(q.packets) == 0 {
		return ready, time.Hour
	}
	return ready, q.packets[0].at.Sub(now)
}

func (q *delayQueue) run(ctx context.Context) error {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		ready, wait := q.popDue(time.Now())
		for _, d := range ready {
			d.send()
		}
		t.Reset(wait)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-q.wake:
		}
	}
}
