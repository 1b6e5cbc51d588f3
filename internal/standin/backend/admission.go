package backend

import (
	"sync"
	"time"
)

// Counts is what a sample backend server has counted since it was created; restarts do not reset it.
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
	// ColdOverload counts the requests that arrived in cold start when the server was at its lower limit.
	ColdOverload int `json:"cold_overload"`
	Restarts     int `json:"restarts"`
	// Busy is the time that requests were in progress, added up over the requests.
	Busy time.Duration `json:"busy_ns"`
	// Held is how many downloads are held at this moment.
	Held int `json:"held"`
	// Executed is how often each write took effect, by its order id.
	Executed map[string]int `json:"executed"`
}

// gate holds the slots of the server, its cold start and its counts.
type gate struct {
	mu         sync.Mutex
	slots      int
	coldSlots  int
	ramp       time.Duration
	coldSince  time.Time
	cold       bool
	inProgress int
	// changed is when inProgress changed last.
	changed time.Time
	counts  Counts
}

// advance adds the time since the last change to Busy; the caller holds the lock.
func (g *gate) advance(now time.Time) {
	g.counts.Busy += time.Duration(g.inProgress) * now.Sub(g.changed)
	g.changed = now
}

// limit returns how many requests the server bears at a time; the caller holds the lock.
func (g *gate) limit(now time.Time) int {
	if !g.cold {
		return g.slots
	}
	elapsed := now.Sub(g.coldSince)
	if elapsed >= g.ramp {
		g.cold = false
		return g.slots
	}
	return g.coldSlots + int(int64(g.slots-g.coldSlots)*int64(elapsed)/int64(g.ramp))
}

// goCold starts a cold start.
func (g *gate) goCold(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold = g.ramp > 0
	g.coldSince = now
}

// enter takes a slot and reports whether there was one, and whether the server is in cold start.
func (g *gate) enter(now time.Time) (ok, cold bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.limit(now)
	g.counts.Requests++
	if g.cold {
		g.counts.ColdRequests++
	}
	if g.inProgress >= limit {
		g.counts.Shed++
		g.counts.OverSlots++
		if g.cold {
			g.counts.ColdOverload++
		}
		return false, g.cold
	}
	g.advance(now)
	g.inProgress++
	g.counts.Peak = max(g.counts.Peak, g.inProgress)
	if g.cold {
		g.counts.ColdPeak = max(g.counts.ColdPeak, g.inProgress)
	}
	return true, g.cold
}

// end is how a request ended.
type end uint8

const (
	endAnswered end = iota
	endCancelled
	endLate
)

func (g *gate) leave(now time.Time, e end) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	g.inProgress--
	switch e {
	case endAnswered:
		g.counts.Answered++
	case endCancelled:
		g.counts.Cancelled++
	case endLate:
		g.counts.DeadlineExceeded++
	}
}

func (g *gate) executed(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.counts.Executed == nil {
		g.counts.Executed = make(map[string]int)
	}
	g.counts.Executed[id]++
}

func (g *gate) restarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Restarts++
}
