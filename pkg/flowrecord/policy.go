package flowrecord

import (
	"time"

	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

const (
	// minInterval is the minimum interval between the writes of a record.
	minInterval = 4 * time.Second
	// maxInterval bounds the interval in a fleet that is too large for records to be current.
	maxInterval = 15 * time.Minute
	// storeWritesPerSecond is the rate of writes to the store, by all its clients together, above which records are
	// written at longer intervals.
	storeWritesPerSecond = 30
	// minFactor and maxFactor limit how much one write changes the interval.
	minFactor, maxFactor = 0.5, 4
	// materialShare is the part of the open flows that must be missing from the record for it to be written at once.
	materialShare = 10
	// patience is how many intervals a smaller change waits.
	patience = 4
	// movedLimit is how far a flow may advance before its entry counts as outdated. ResetSeq leaves as much again until
	// the next write.
	movedLimit = ResetTolerance
)

// Policy decides when the record of a backend server is written; the zero value has no record in the store. It is not
// safe for concurrent use.
//
// The interval follows the rate at which the whole store is written, which the store's revision shows: each agent learns
// how many write with it, without a list of agents.
type Policy struct {
	written   map[passthrough.FlowID]uint32 // sequence numbers in the store
	writtenAt time.Time
	triedAt   time.Time
	revision  uint64
	interval  time.Duration
}

// Interval returns the current minimum interval between writes.
func (p *Policy) Interval() time.Duration { return max(p.interval, minInterval) }

// Due reports whether the record must be written, given the flows that it would hold.
func (p *Policy) Due(now time.Time, open []passthrough.OpenFlow) bool {
	if !p.triedAt.IsZero() && now.Sub(p.triedAt) < p.Interval() {
		return false
	}
	missing, kept := 0, 0
	for _, f := range open {
		seq, ok := p.written[f.Flow]
		if ok {
			kept++
		}
		if !ok || f.Seq-seq > movedLimit {
			missing++
		}
	}
	if closed := len(p.written) - kept; closed > 0 && 2*closed >= len(p.written) {
		return true
	}
	if missing == 0 {
		return false
	}
	return missing*materialShare >= len(open) || now.Sub(p.writtenAt) >= patience*p.Interval()
}

// OnWritten records that the store has accepted a record at a revision of the store.
func (p *Policy) OnWritten(now time.Time, flows []passthrough.OpenFlow, revision uint64) {
	if elapsed := now.Sub(p.writtenAt).Seconds(); !p.writtenAt.IsZero() && revision > p.revision && elapsed > 0 {
		perSecond := float64(revision-p.revision) / elapsed
		p.scale(perSecond / storeWritesPerSecond)
	}
	p.writtenAt, p.triedAt, p.revision = now, now, revision
	p.written = make(map[passthrough.FlowID]uint32, len(flows))
	for _, f := range flows {
		p.written[f.Flow] = f.Seq
	}
}

// OnExpired records that the store no longer holds the record.
func (p *Policy) OnExpired() { p.written = nil }

// OnFailed records that the store has not accepted a record, or that this is not known.
func (p *Policy) OnFailed(now time.Time) {
	p.triedAt = now
	p.scale(2)
}

func (p *Policy) scale(factor float64) {
	next := time.Duration(float64(p.Interval()) * min(max(factor, minFactor), maxFactor))
	p.interval = min(max(next, minInterval), maxInterval)
}

// Loss is what a record of an earlier process tells about its flows.
type Loss string

// Losses. The text is the value of the reason key in a log line.
const (
	// Lost means that the run of the record has certainly ended, and its flows with it.
	Lost Loss = "lost"
	// SameRun means that the backend server of the record still runs.
	SameRun Loss = "same_run"
	// Uncertain means that the backend server of the record may still run.
	Uncertain Loss = "uncertain"
	// Foreign means that the record is of another backend server.
	Foreign Loss = "other_backend"
)

// CompareGone returns what becomes of the flows of a record when nothing listens at the address of its backend server.
func (r Record) CompareGone(service string) Loss {
	if r.Service != service || r.Run == (Run{}) {
		return Foreign
	}
	return Lost
}

// maxFirstSeq is the highest sequence number of a heartbeat that counts as one of the first of a run. A delayed heartbeat
// of an earlier run, most of which have sent more, does not pass for one of a new run.
const maxFirstSeq = 3

// Compare returns what becomes of the flows of a record beside a backend server at the same address whose run has sent a
// heartbeat with the given sequence number as the first one that the agent received.
//
// Two runs cannot listen at one address, so a later run shows that the recorded one has ended. An earlier start is no
// evidence: the heartbeat may be a delayed one, or the clock was set back. Neither is a recorded run without a start,
// which a heartbeat of another writer may have named.
func (r Record) Compare(service string, run Run, firstSeq uint64) Loss {
	switch {
	case r.Service != service || r.Run == (Run{}):
		return Foreign
	case r.Run == run:
		return SameRun
	case r.Run.StartedMS <= 0 || run.StartedMS <= r.Run.StartedMS || firstSeq > maxFirstSeq:
		return Uncertain
	}
	return Lost
}
