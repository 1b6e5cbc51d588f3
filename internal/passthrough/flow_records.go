package passthrough

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/flowrecord"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/store"
)

const (
	// flowsPrefix is the prefix of the records of open flows; the agent's ID follows. Balancers do not watch it.
	flowsPrefix = "bramleymast/flows/"
	// recordCheckInterval is how often an agent checks whether its record is due.
	recordCheckInterval = 500 * time.Millisecond
	// recordReadPeriod is how long after its start an agent tries to read the record of its earlier process. Callers have
	// given up by then.
	recordReadPeriod = 10 * time.Second
)

// Reasons for the reset of a flow that was lost with its backend server.
const (
	reasonPowerLost  = "power_lost"      // found in the record of an earlier process
	reasonRestarted  = "backend_restart" // the backend server has started again
	reasonCrashed    = "backend_crashed" // the process of the backend server has ended without a word
	reasonLostBefore = "flow_lost"       // the caller uses a flow that was reset for one of the other reasons
)

// flowRecords keeps the record of the open flows of an agent's backend server in the store, and resets the flows that were
// lost with an earlier run. Its methods do nothing on nil, which stands for a deployment without the feature.
type flowRecords struct {
	a   *Agent
	key string
	// first is the first heartbeat that the agent has received, absent is closed when there is no backend server.
	first   atomic.Pointer[BackendHeartbeat]
	absent  chan struct{}
	resets  chan lostFlows
	silence passthrough.Silence
	// lost holds the recorded sequence numbers of flows that were lost.
	lost passthrough.Table[uint32]

	// The fields below belong to run.
	policy         flowrecord.Policy
	revision       store.Revision
	lease          store.LeaseID          // of the record; 0 if this process has written none
	inherited      []passthrough.OpenFlow // of the record of an earlier process beside the same run
	inheritedUntil time.Time
}

// lostFlows are flows to be reset at their callers.
type lostFlows struct {
	flows  []passthrough.OpenFlow
	reason string
	// recorded means that the sequence numbers are those of a record.
	recorded bool
}

// maxPendingResets limits the sets of flows that wait to be reset.
const maxPendingResets = 4

func newFlowRecords(a *Agent) *flowRecords {
	return &flowRecords{a: a, key: flowsPrefix + a.cfg.ID, absent: make(chan struct{}), resets: make(chan lostFlows, maxPendingResets)}
}

// run reads the record of the earlier process of the agent and then keeps the record up to date until the context ends.
func (fr *flowRecords) run(ctx context.Context) error {
	fr.readEarlier(ctx)
	t := time.NewTicker(recordCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			fr.writeIfDue(ctx, now)
			fr.lost.Sweep(now, func(_ uint32, unused time.Duration) bool { return unused > passthrough.FlowTTL })
		}
	}
}

// readEarlier reads the record of the earlier process and resets its flows once it is certain that they were lost.
func (fr *flowRecords) readEarlier(ctx context.Context) {
	record, ok := fr.read(ctx)
	gone := false
	select {
	case <-ctx.Done():
		return
	case <-fr.a.registrar.backendSeen:
	case <-fr.absent:
		gone = true
	}
	if !ok {
		return
	}
	loss := fr.compare(record, gone)
	fr.a.cfg.Logger.Info("flow record read", "key", fr.key, "flows", len(record.Flows), "outcome", string(loss), "backend", record.Run.ID, "started_ms", record.Run.StartedMS)
	switch loss {
	case flowrecord.Lost:
		fr.reset(lostFlows{flows: record.Flows, reason: reasonPowerLost, recorded: true})
	case flowrecord.SameRun:
		fr.inherited, fr.inheritedUntil = record.Flows, time.Now().Add(fr.a.state.idleTimeout())
	case flowrecord.Uncertain, flowrecord.Foreign:
	}
}

// compare returns what became of the flows of an earlier process. gone means that nothing listens at the backend server's
// address.
func (fr *flowRecords) compare(r flowrecord.Record, gone bool) flowrecord.Loss {
	if r.Backend != fr.a.cfg.Backend {
		return flowrecord.Foreign
	}
	if gone {
		return r.CompareGone(fr.a.cfg.Service)
	}
	b := fr.first.Load()
	if b == nil {
		return flowrecord.Uncertain // Another heartbeat is being handled at the same time.
	}
	return r.Compare(fr.a.cfg.Service, flowrecord.Run{ID: b.ID, StartedMS: b.Started.UnixMilli()}, b.Seq)
}

// read reads the record of the earlier process of the agent.
func (fr *flowRecords) read(ctx context.Context) (r flowrecord.Record, ok bool) {
	delay := retryDelay
	for until := time.Now().Add(recordReadPeriod); ctx.Err() == nil && time.Now().Before(until); delay = min(2*delay, maxEntryDelay) {
		e, err := fr.a.cfg.Store.Get(ctx, fr.key)
		if errors.Is(err, store.ErrNotFound) {
			return flowrecord.Record{}, false
		}
		if err != nil {
			fr.a.cfg.Logger.Warn("flow record not read", "key", fr.key, "error", err)
			wait(ctx, jitter(delay))
			continue
		}
		fr.revision = e.Revision
		r, err := flowrecord.DecodeRecord(e.Value)
		if err != nil {
			fr.a.cfg.Logger.Warn("flow record skipped", "key", fr.key, "error", err)
		}
		return r, err == nil
	}
	return flowrecord.Record{}, false
}

// writeIfDue writes the record if the policy asks for it.
func (fr *flowRecords) writeIfDue(ctx context.Context, now time.Time) {
	run, heartbeat := fr.a.backend.lastRun()
	if run == (backendRun{}) {
		return
	}
	lease := fr.a.registrar.currentLease()
	if lease == 0 {
		return
	}
	if fr.lease != 0 && fr.lease != lease {
		fr.policy.OnExpired()
		fr.lease = 0
	}
	flows := fr.current(now, heartbeat)
	if !fr.policy.Due(now, flows) {
		return
	}
	value := flowrecord.Record{
		Service: fr.a.cfg.Service, Backend: fr.a.cfg.Backend, Run: flowrecord.Run{ID: run.ID, StartedMS: run.StartedMS}, Flows: flows,
	}.Append(nil)
	if err := fr.write(ctx, value, lease); err != nil {
		fr.policy.OnFailed(time.Now())
		fr.a.metrics.count(eventRecorded, "failed")
		fr.a.cfg.Logger.Warn("flow record not written", "key", fr.key, "flows", len(flows), "error", err, "next_ms", fr.policy.Interval().Milliseconds())
		return
	}
	fr.policy.OnWritten(time.Now(), flows, fr.revision.Number())
	fr.a.metrics.count(eventRecorded, reasonNone)
	fr.a.cfg.Logger.Info("flow record written", "key", fr.key, "flows", len(flows), "bytes", len(value), "revision", loggedRevision(fr.revision), "next_ms", fr.policy.Interval().Milliseconds())
}

// current returns the flows to record. An agent that has restarted beside the same run has not seen a packet of each yet.
func (fr *flowRecords) current(now, heartbeat time.Time) []passthrough.OpenFlow {
	flows := fr.a.admitter.KeptFlows(now, heartbeat, fr.a.state.idleTimeout())
	if now.After(fr.inheritedUntil) {
		fr.inherited = nil
	}
	if len(fr.inherited) == 0 {
		return flows
	}
	known := make(map[passthrough.FlowID]bool, len(flows))
	for _, f := range flows {
		known[f.Flow] = true
	}
	for _, f := range fr.inherited {
		if !known[f.Flow] {
			flows = append(flows, f)
		}
	}
	return flows
}

func (fr *flowRecords) write(ctx context.Context, value []byte, lease store.LeaseID) error {
	revision, err := fr.a.cfg.Store.CompareAndSwap(ctx, fr.key, value, fr.revision, lease)
	if errors.Is(err, store.ErrConflict) {
		// The record has expired, was read too late, or the answer to the last write was lost.
		old, getErr := fr.a.cfg.Store.Get(ctx, fr.key)
		if getErr != nil && !errors.Is(getErr, store.ErrNotFound) {
			return getErr
		}
		revision, err = fr.a.cfg.Store.CompareAndSwap(ctx, fr.key, value, old.Revision, lease)
	}
	if err != nil {
		return err
	}
	fr.revision, fr.lease = revision, lease
	return nil
}

// onHeartbeat records a heartbeat that has replaced old, which was received at oldAt.
func (fr *flowRecords) onHeartbeat(now time.Time, b, old BackendHeartbeat, oldAt time.Time) {
	if fr == nil {
		return
	}
	sameRun := old.run() == b.run()
	fr.silence.OnHeartbeat(now, !sameRun)
	if old.ID == "" {
		fr.first.Store(&b)
		return
	}
	if sameRun {
		return
	}
	before := flowrecord.Record{Service: old.Service, Run: flowrecord.Run{ID: old.ID, StartedMS: old.Started.UnixMilli()}}
	loss := before.Compare(b.Service, flowrecord.Run{ID: b.ID, StartedMS: b.Started.UnixMilli()}, b.Seq)
	if loss != flowrecord.Lost {
		fr.a.cfg.Logger.Info("flows of the earlier run not reset", "backend", old.ID, "outcome", string(loss))
		return
	}
	fr.reset(lostFlows{flows: fr.a.admitter.EndFlows(now, oldAt, fr.a.state.idleTimeout()), reason: reasonRestarted})
}

// onAbsent records that the agent has started without a backend server.
func (fr *flowRecords) onAbsent() {
	if fr != nil {
		close(fr.absent)
	}
}
