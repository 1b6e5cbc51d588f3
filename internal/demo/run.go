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
	// MinDuration leaves room for the fixed times of the standard experiment.
	MinDuration = 20 * time.Second
	// warmUp lets every backend server finish its cold start before anything is compared.
	warmUp = coldRamp + time.Second
	// finishTimeout bounds how long requests in progress may take at the end of a run.
	finishTimeout = 30 * time.Second
)

// Options configure a run.
type Options struct {
	Experiment Experiment
	Seed       uint64
	Duration   time.Duration
	// Progress receives the log of the run, one line for each event.
	Progress io.Writer
	Logger   hclog.Logger
}

// marks are the times and counts that a run needs to judge what the callers saw; only the timeline writes them.
type marks struct {
	restarts []mark
	zones    []mark
	// zoneBack is when the zone was brought back, or zero.
	zoneBack      time.Time
	zoneOff       bool
	zonePacketsAt uint64
	zonePackets   uint64
	// drainedAt holds the requests of a watched backend server, drainedLate those that arrived while it was watched.
	drainedAt   map[string]int
	drainedLate map[string]int
}

// mark is a time at which something happened to a zone or a backend server.
type mark struct {
	name string
	at   time.Time
}

// run is one run of an experiment.
type run struct {
	opts    Options
	sayMu   sync.Mutex
	world   *world
	started time.Time
	tallies []*caller.Tally
	// steadyFrom and steadyTo hold the counts of each backend server around the steady state.
	steadyFrom, steadyTo map[string]backend.Counts
	// steadySince and steadyUntil are the times at which they were counted.
	steadySince, steadyUntil time.Time
}

// Run runs an experiment and returns its report.
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
	r.say("start %s: %d zones, %d balancers", d.Name, len(d.Zones), firstBalancers)
	var err error
	if r.world, err = newWorld(g, d, r.opts.Seed, r.opts.Logger, r.say); err != nil {
		return Report{}, err
	}
	if err := r.world.startAll(ctx); err != nil {
		return Report{}, err
	}
	for i, s := range d.Services {
		r.say("service %s at %s: %d backend servers of %d slots", s.name(), r.world.net.service(i), s.Servers, s.Slots)
	}
	stop := make(chan struct{})
	callers := r.startCallers(ctx, stop)
	err = r.timeline(ctx)
	close(stop)
	r.say("callers stop after their requests in progress")
	if waitErr := r.waitFor(ctx, callers); err == nil {
		err = waitErr
	}
	if err != nil {
		return Report{}, err
	}
	r.world.waits.Wait()
	return r.report(), nil
}

func (r *run) say(format string, args ...any) {
	if r.opts.Progress == nil {
		return
	}
	r.sayMu.Lock()
	defer r.sayMu.Unlock()
	_, _ = fmt.Fprintf(r.opts.Progress, "%7.3fs  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// startCallers starts the callers of every service and returns the group that waits for them.
func (r *run) startCallers(ctx context.Context, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	pool := x509.NewCertPool()
	pool.AddCert(r.world.certificate.Leaf)
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
				Name: fmt.Sprintf("%s-caller-%d", s.name(), n+1), Service: r.world.net.service(i), Local: r.world.net.caller(),
				Kind: s.Kind, TLS: &tls.Config{RootCAs: pool, ServerName: serverName, MinVersion: tls.VersionTLS13},
				Load: load, Seed: seeds.Uint64(), Tally: tally, Logger: r.opts.Logger.Named("caller"),
			})
			wg.Go(func() { c.Run(ctx, stop) })
		}
		r.say("%d callers and %d downloaders use %s", s.Callers, s.Downloaders, s.name())
	}
	return &wg
}

// timeline applies the steps at their times.
func (r *run) timeline(ctx context.Context) error {
	begin := time.Now()
	if err := pause(ctx, warmUp); err != nil {
		return err
	}
	r.steadyFrom, r.steadySince = r.world.counts(), time.Now()
	for _, s := range r.opts.Experiment.timeline(r.opts.Duration) {
		if err := pause(ctx, time.Until(begin.Add(s.offset(r.opts.Duration)))); err != nil {
			return err
		}
		if _, ok := s.Action.(DrainBackend); ok && r.steadyTo == nil {
			r.steadyTo, r.steadyUntil = r.world.counts(), time.Now()
		}
		r.say("%s", s.Action)
		if err := s.Action.apply(ctx, r.world); err != nil {
			return errors.Annotate(err, s.Action.String())
		}
	}
	if err := pause(ctx, time.Until(begin.Add(r.opts.Duration))); err != nil {
		return err
	}
	if r.steadyTo == nil {
		r.steadyTo, r.steadyUntil = r.world.counts(), time.Now()
	}
	return nil
}

func (r *run) waitFor(ctx context.Context, wg *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-time.After(finishTimeout):
		return errors.Errorf("callers still wait for answers %v after the end of the run", finishTimeout)
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// counts returns what each backend server has counted.
func (w *world) counts() map[string]backend.Counts {
	counts := make(map[string]backend.Counts, len(w.hosts))
	for _, h := range w.hosts {
		counts[h.id] = h.backend.Counts()
	}
	return counts
}
