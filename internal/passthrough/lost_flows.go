package passthrough

import (
	"context"
	"time"

	"github.com/bramleymast/bramleymast/pkg/flowrecord"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

const (
	// resetBatch flows are reset in each resetInterval, so that the resets of a host take less than a megabit a second.
	resetBatch    = 16
	resetInterval = 10 * time.Millisecond
	// crashCheckInterval is how often an agent checks whether its backend server has fallen silent.
	crashCheckInterval = 50 * time.Millisecond
)

// reset has lost flows reset at their callers.
func (fr *flowRecords) reset(l lostFlows) {
	if len(l.flows) == 0 {
		return
	}
	now := time.Now()
	for _, f := range l.flows {
		fr.lost.Put(now, f.Flow, f.Seq)
	}
	select {
	case fr.resets <- l:
	default: // Their callers get a reset when they use the flows; see refuseLost.
		fr.a.cfg.Logger.Warn("lost flows not reset at once", "flows", len(l.flows), "reason", l.reason)
	}
}

// runResets sends the resets of lost flows.
func (fr *flowRecords) runResets(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case l := <-fr.resets:
			fr.sendResets(ctx, l)
		}
	}
}

func (fr *flowRecords) sendResets(ctx context.Context, l lostFlows) {
	sent, open := 0, 0
	for i, f := range l.flows {
		if i%resetBatch == resetBatch-1 {
			wait(ctx, resetInterval)
		}
		if ctx.Err() != nil {
			return
		}
		if !fr.isLost(time.Now(), f.Flow) {
			open++
			continue
		}
		seq := f.Seq
		if l.recorded {
			seq = flowrecord.ResetSeq(f.Seq)
		}
		var buf [64]byte
		fr.a.sendToCaller(fr.a.cfg.Codec.AppendReset(buf[:0], f.Flow, seq), f.Flow)
		fr.a.metrics.count(eventRefused, l.reason)
		sent++
	}
	fr.a.cfg.Logger.Info("lost flows reset", "reason", l.reason, "flows", sent, "open_again", open)
}

// isLost reports whether a flow was lost and is not open again.
func (fr *flowRecords) isLost(now time.Time, f passthrough.FlowID) bool {
	_, ok := fr.lost.Get(now, f)
	return ok && !fr.a.admitter.HoldsFlow(now, f)
}

// refuseLost resets the flow of a caller's packet if it was lost, and reports whether it was. An opening packet uses the
// caller's port again.
func (fr *flowRecords) refuseLost(now time.Time, seg passthrough.Segment) bool {
	if fr == nil {
		return false
	}
	f := seg.Flow()
	if seg.IsOpening() {
		fr.lost.Delete(f)
		return false
	}
	seq, ok := fr.lost.Get(now, f)
	if !ok || seg.Has(passthrough.FlagReset) || !flowrecord.Covers(seq, seg.Ack()) || fr.a.admitter.HoldsFlow(now, f) {
		return false
	}
	fr.a.refuse(seg, reasonLostBefore)
	return true
}

// onDelivered records a caller's packet that was delivered to the backend server.
func (fr *flowRecords) onDelivered(now time.Time, seg passthrough.Segment) {
	if fr != nil && (seg.IsOpening() || seg.Size() > 0) {
		fr.silence.OnDelivered(now)
	}
}

// onServerPacket records a packet of the backend server.
func (fr *flowRecords) onServerPacket(now time.Time) {
	if fr != nil {
		fr.silence.OnServerPacket(now)
	}
}

// watchCrash resets the open flows of a backend server whose process has ended without a word. Their callers would lose
// the next request.
func (fr *flowRecords) watchCrash(ctx context.Context) error {
	t := time.NewTicker(crashCheckInterval)
	defer t.Stop()
	var goneAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := time.Now()
		if !goneAt.IsZero() && !fr.silence.HeardSince(goneAt) || !fr.a.backend.isReady() || !fr.silence.CheckDue(now) {
			continue
		}
		if fr.hasCrashed(ctx, now) {
			goneAt = time.Now()
			fr.onCrash(goneAt, now)
		}
	}
}

// hasCrashed checks whether the process of a silent backend server has ended.
func (fr *flowRecords) hasCrashed(ctx context.Context, since time.Time) bool {
	for i := range departureConfirmations {
		if i > 0 {
			wait(ctx, departureCheckInterval)
		}
		if !fr.a.listenerGone(ctx) || fr.silence.HeardSince(since) || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// onCrash resets the flows that were open at ended, when the process of the backend server had ended.
func (fr *flowRecords) onCrash(now, ended time.Time) {
	fr.a.admitter.SetBackendGone(now, 0)
	flows := fr.a.admitter.EndFlows(now, ended, fr.a.state.idleTimeout())
	fr.a.cfg.Logger.Warn("backend server has ended without notice", "open_flows", len(flows), "address", fr.a.cfg.Backend)
	fr.reset(lostFlows{flows: flows, reason: reasonCrashed})
}
