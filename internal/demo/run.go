package demo

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/internal/standin/backend"
	"github.com/bramleymast/bramleymast/internal/standin/caller"
)

const (
	// MinDuration is the shortest run into which the fixed times of the standard experiment fit.
	MinDuration = 20 * time.Second
	// warmUp is the time for all cold starts to finish before the steady state is measured.
	warmUp = coldRamp + time.Second
	// finishTimeout limits the wait for the requests in progress at the end of a run.
	finishTimeout = 30 * time.Second
)

// Options configures a run.
type Options struct {
	Experiment Experiment
	Seed       uint64
	Duration   time.Duration
	// Progress receives one line for each event of the run; nil discards the lines.
	Progress io.Writer
	Logger   hclog.Logger
}

// eventLog holds the times and counts that the report needs to classify the breaks and requests of the callers; only the
// timeline writes it.
type eventLog struct {
	restarts []event
	zoneOuts []event
	// zoneRestored is the time at which the zone was brought back, or zero.
	zoneRestored          time.Time
	zoneStopped           bool
	balancerPacketsAtStop uint64
	zonePackets           uint64
	// requestsAtDrain holds the requests of each backend server at startDrainCount; requestsAfterDrain holds the number
	// that arrived from then until endDrainCount.
	requestsAtDrain    map[string]int
	requestsAfterDrain map[string]int
}

// event is the time of a change or fault of a zone or a backend server.
type event struct {
	name string
	at   time.Time
}

// run holds the state of one run of an experiment.
type run struct {
	opts       Options
	progressMu sync.Mutex
	cluster    *cluster
	started    time.Time
	tallies    []*caller.Tally
	// steadyFrom and steadyTo are the counters of each backend server at the start and the end of the steady state.
	steadyFrom, steadyTo map[string]backend.Counts
	// steadyFromTime and steadyToTime are the times at which they were read.
	steadyFromTime, steadyToTime time.Time
}

// Run runs an experiment and returns its report. The error is nil if promises were broken but the run completed.
func Run(ctx context.Context, opts Options) (Report, error) {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	g, err := rungroup.New(ctx)
	if err != nil {
		return Report{}, err
	}
	r := &run{opts: opts, started: time.Now()}
	var report Report
	g.Go(func(ctx context.Context) error {
		defer g.Stop()
		var err error
		report, err = r.run(ctx, g)
		return err
	})
	return report, g.Wait()
}

func (r *run) run(ctx context.Context, g *rungroup.Group) (Report, error) {
	d := r.opts.Experiment.Deployment
	r.progressf("start %s: %d zones, %d balancers", d.Name, len(d.Zones), initialBalancers)
	var err error
	if r.cluster, err = newCluster(g, d, r.opts.Seed, r.opts.Logger, r.progressf); err != nil {
		return Report{}, err
	}
	if err := r.cluster.startAll(ctx); err != nil {
		return Report{}, err
	}
	for i, s := range d.Services {
		r.progressf("service %s at %s: %d backend servers of %d slots", s.name(), r.cluster.net.service(i), s.Servers, s.Slots)
	}
	stop := make(chan struct{})
	callers := r.startCallers(ctx, stop)
	err = r.runTimeline(ctx)
	close(stop)
	r.progressf("callers stop after their requests in progress")
	if waitErr := r.waitForCallers(ctx, callers); err == nil {
		err = waitErr
	}
	if err != nil {
		return Report{}, err
	}
	r.cluster.pendingChanges.Wait()
	return r.report(), nil
}

func (r *run) progressf(format string, args ...any) {
	if r.opts.Progress == nil {
		return
	}
	r.progressMu.Lock()
	defer r.progressMu.Unlock()
	_, _ = fmt.Fprintf(r.opts.Progress, "%7.3fs  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// startCallers starts the callers of all services and returns the group that waits for their end.
func (r *run) startCallers(ctx context.Context, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	pool := x509.NewCertPool()
	pool.AddCert(r.cluster.certificate.Leaf)
	seeds := rand.New(rand.NewPCG(r.opts.Seed, 3))
	for i, s := range r.opts.Experiment.Deployment.Services {
		tally := &caller.Tally{}
		r.tallies = append(r.tallies, tally)
		for n := range s.Callers + s.Downloaders {
			load := s.Load
			if n >= s.Callers {
				load = s.Download
			}
			c := caller.New(caller.Config{
				Name: fmt.Sprintf("%s-caller-%d", s.name(), n+1), Service: r.cluster.net.service(i), Local: r.cluster.net.caller(),
				Kind: s.Kind, TLS: &tls.Config{RootCAs: pool, ServerName: serverName, MinVersion: tls.VersionTLS13},
				Load: load, Seed: seeds.Uint64(), Tally: tally, Logger: r.opts.Logger.Named("caller"),
			})
			wg.Go(func() { c.Run(ctx, stop) })
		}
		r.progressf("%d callers and %d downloaders use %s", s.Callers, s.Downloaders, s.name())
	}
	return &wg
}

// runTimeline applies the steps at their times and reads the counters at the bounds of the steady state.
func (r *run) runTimeline(ctx context.Context) error {
	begin := time.Now()
	if err := sleep(ctx, warmUp); err != nil {
		return err
	}
	r.steadyFrom, r.steadyFromTime = r.cluster.counts(), time.Now()
	for _, s := range r.opts.Experiment.timeline(r.opts.Duration) {
		if err := sleep(ctx, time.Until(begin.Add(s.offset(r.opts.Duration)))); err != nil {
			return err
		}
		if _, ok := s.Action.(DrainBackend); ok && r.steadyTo == nil {
			r.steadyTo, r.steadyToTime = r.cluster.counts(), time.Now()
		}
		r.progressf("%s", s.Action)
		if err := s.Action.apply(ctx, r.cluster); err != nil {
			return errors.Annotate(err, s.Action.String())
		}
	}
	if err := sleep(ctx, time.Until(begin.Add(r.opts.Duration))); err != nil {
		return err
	}
	if r.steadyTo == nil {
		r.steadyTo, r.steadyToTime = r.cluster.counts(), time.Now()
	}
	return nil
}

func (r *run) waitForCallers(ctx context.Context, wg *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-time.After(finishTimeout):
		return errors.Errorf("requests of callers are still in progress %v after the end of the run", finishTimeout)
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// counts returns the counters of each backend server.
func (cl *cluster) counts() map[string]backend.Counts {
	counts := make(map[string]backend.Counts, len(cl.hosts))
	for _, h := range cl.hosts {
		counts[h.id] = h.backend.Counts()
	}
	return counts
}
