package backend

import (
	"sync"
	"time"
)

// Counts holds the counters of a sample backend server since it was created; a restart does not reset them.
type Counts struct {
	Requests         int `json:"requests"`
	Answered         int `json:"answered"`
	Shed             int `json:"shed"`
	Cancelled        int `json:"cancelled"`
	DeadlineExceeded int `json:"late"`
	Peak             int `json:"peak"`
	OverSlots        int `json:"over_slots"`
	ColdRequests     int `json:"cold_requests"`
	ColdPeak         int `json:"cold_peak"`
	// ColdOverload counts the requests that were shed during a cold start because the reduced slot limit was reached.
	ColdOverload int `json:"cold_overload"`
	Restarts     int `json:"restarts"`
	// Busy is the sum of the times that each request was in progress.
	Busy time.Duration `json:"busy_ns"`
	// Held is the number of responses that HoldResponses currently blocks.
	Held int `json:"held"`
	// Executed is the number of times that each write took effect, by order id.
	Executed map[string]int `json:"executed"`
}

// slotLimiter limits the requests in progress, to fewer during a cold start, and holds the counters.
type slotLimiter struct {
	mu         sync.Mutex
	slots      int
	coldSlots  int
	ramp       time.Duration
	coldSince  time.Time
	cold       bool
	inProgress int
	// busyUntil is the time up to which Busy is counted.
	busyUntil time.Time
	counts    Counts
}

// addBusyTime adds the time since busyUntil to Busy, for each request in progress; the caller holds the lock.
func (l *slotLimiter) addBusyTime(now time.Time) {
	l.counts.Busy += time.Duration(l.inProgress) * now.Sub(l.busyUntil)
	l.busyUntil = now
}

// limit returns the number of requests allowed at a time and ends a cold start whose ramp is over; the caller holds
// the lock.
func (l *slotLimiter) limit(now time.Time) int {
	if !l.cold {
		return l.slots
	}
	elapsed := now.Sub(l.coldSince)
	if elapsed >= l.ramp {
		l.cold = false
		return l.slots
	}
	return l.coldSlots + int(int64(l.slots-l.coldSlots)*int64(elapsed)/int64(l.ramp))
}

// beginColdStart reduces the limit to coldSlots, from which it rises to slots within the ramp; a ramp of 0 disables it.
func (l *slotLimiter) beginColdStart(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold = l.ramp > 0
	l.coldSince = now
}

// acquire takes a slot and reports whether one was free and whether the server is in a cold start.
func (l *slotLimiter) acquire(now time.Time) (ok, cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limit(now)
	l.counts.Requests++
	if l.cold {
		l.counts.ColdRequests++
	}
	if l.inProgress >= limit {
		l.counts.Shed++
		l.counts.OverSlots++
		if l.cold {
			l.counts.ColdOverload++
		}
		return false, l.cold
	}
	l.addBusyTime(now)
	l.inProgress++
	l.counts.Peak = max(l.counts.Peak, l.inProgress)
	if l.cold {
		l.counts.ColdPeak = max(l.counts.ColdPeak, l.inProgress)
	}
	return true, l.cold
}

// requestEnd is the way in which a request ended.
type requestEnd uint8

const (
	endAnswered requestEnd = iota
	endCancelled
	endDeadlineExceeded
)

// release frees a slot and counts how its request ended.
func (l *slotLimiter) release(now time.Time, e requestEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addBusyTime(now)
	l.inProgress--
	switch e {
	case endAnswered:
		l.counts.Answered++
	case endCancelled:
		l.counts.Cancelled++
	case endDeadlineExceeded:
		l.counts.DeadlineExceeded++
	}
}

func (l *slotLimiter) recordExecution(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts.Executed == nil {
		l.counts.Executed = make(map[string]int)
	}
	l.counts.Executed[id]++
}

func (l *slotLimiter) recordRestart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Restarts++
}
