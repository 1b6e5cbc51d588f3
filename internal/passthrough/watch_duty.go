package passthrough

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleymast/bramleymast/pkg/entryhost"
)

// watchDuty lets a weak balancer rely on strong ones for changes of the operator's entries, and vouches for this balancer
// while it watches the store. A nil value always watches and vouches for nothing.
type watchDuty struct {
	reliance *entryhost.Reliance
	class    entryhost.Class
	revision func() uint64
	logger   hclog.Logger
	changes  *prometheus.CounterVec
	started  time.Time
	// reconnect makes the next call to the store open a connection, because the previous one may have gone silent.
	reconnect func()
	// answeredAt is the time of the last answer of the store that was applied, in nanoseconds since the start; 0 is never.
	answeredAt atomic.Int64
	// state is the last entryhost.State.
	state  atomic.Value
	resume chan struct{} // has a value when the balancer watches again
}

// newWatchDuty returns nil without the feature, or if the capacity of the host is unknown.
func newWatchDuty(cfg BalancerConfig, revision func() uint64, m *metrics) *watchDuty {
	class := cfg.Capacity.Class()
	if !cfg.Features.Has(UnevenHosts) || class == 0 {
		return nil
	}
	now := time.Now()
	d := &watchDuty{
		reliance: entryhost.NewReliance(class, cfg.Capacity.Slack(cfg.ConfigurationBound), now), class: class, revision: revision, logger: cfg.Logger, started: now, reconnect: cfg.CloseIdleConnections, resume: make(chan struct{}, 1),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleymast_store_watch_changes_total", Help: "Decisions whether the process watches the operator's entries itself, by reason.",
		}, []string{reasonLabel}),
	}
	m.registry.MustRegister(d.changes)
	m.addGauge("bramleymast_relies_on_others", "Whether stronger balancers watch the operator's entries in place of this one: 1 if they do.", func() float64 {
		if d.relies() {
			return 1
		}
		return 0
	})
	d.logger.Info("host class", "class", int(class), "intake_ms", cfg.Capacity.Intake().Milliseconds(), "bound_ms", cfg.ConfigurationBound.Milliseconds())
	return d
}

// follow connects the duty with the follower of the operator's entries.
func (d *watchDuty) follow(f *follower) {
	if d != nil {
		f.rest, f.answered = d.rest, d.answered
	}
}

func (d *watchDuty) answered(at time.Time) {
	d.answeredAt.Store(max(int64(at.Sub(d.started)), 1))
	d.reliance.Watched(at)
}

// voucher returns the voucher of this balancer. It gets too old while the balancer relies on others.
func (d *watchDuty) voucher(now time.Time) entryhost.Voucher {
	if d == nil {
		return entryhost.Voucher{}
	}
	at := d.answeredAt.Load()
	if at == 0 {
		return entryhost.Voucher{Class: d.class, Age: entryhost.VoucherTTL}
	}
	return entryhost.Voucher{Class: d.class, Age: now.Sub(d.started) - time.Duration(at)}
}

// stamp returns the voucher of this balancer and its operator revision, for a message. The voucher is read first: it
// must not be younger than the answer that brought the revision. A nil duty vouches for nothing.
func (d *watchDuty) stamp(now time.Time, revision func() uint64) (entryhost.Voucher, uint64) {
	v := d.voucher(now)
	return v, revision()
}

// reported records the report of an agent.
func (d *watchDuty) reported(now time.Time, m *report) {
	if d != nil {
		d.reliance.Reported(now, m.hosts)
	}
}

func (d *watchDuty) relies() bool { return d != nil && d.state.Load() == entryhost.Relies }

// update decides again, and logs and counts a change.
func (d *watchDuty) update(now time.Time) entryhost.State {
	s := d.reliance.State(now, d.revision())
	if old := d.state.Swap(s); old != s {
		d.changes.WithLabelValues(string(s)).Inc()
		d.logger.Info("store watch", "relies_on_others", s == entryhost.Relies, "reason", string(s), "revision", loggedRevision(d.revision()))
	}
	return s
}

// watchTimeout returns how long the next watch of the operator's entries waits for a change.
func (d *watchDuty) watchTimeout(now time.Time, usual time.Duration) time.Duration {
	if d == nil {
		return usual
	}
	return d.reliance.WatchTimeout(now, usual, rand.Float64()) //nolint:gosec // no secret
}

// rest waits while the balancer relies on others.
func (d *watchDuty) rest(ctx context.Context) {
	rested := false
	for d.update(time.Now()) == entryhost.Relies {
		rested = true
		select {
		case <-ctx.Done():
			return
		case <-d.resume:
		}
	}
	if rested && d.reconnect != nil {
		d.reconnect()
	}
}

// tick ends the rest when it is over. A watch that waits goes on until it returns.
func (d *watchDuty) tick(now time.Time) {
	if !d.relies() || d.update(now) == entryhost.Relies {
		return
	}
	select {
	case d.resume <- struct{}{}:
	default: // It is already about to watch.
	}
}
