// Command bramleymast-node runs the balancer or the agent for pass-through flows on the users' platform.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/boundedlog"
	"github.com/bramleymast/bramleymast/internal/passthrough"
	"github.com/bramleymast/bramleymast/internal/signals"
	"github.com/bramleymast/bramleymast/platform"
)

func main() { os.Exit(run(context.Background(), os.Args[1:])) }

// Exit codes, which are the same as those of bramleymast.
const (
	exitSuccess  = 0
	exitFailure  = 1
	exitBadInput = 2
)

// arguments holds what the command line asks for.
type arguments struct {
	role     string
	features passthrough.Features
	// metricsPort is a second port for the metrics; 0 is none.
	metricsPort uint16
}

func parseArguments(args []string) (a arguments, err error) {
	p := flaggy.NewParser("bramleymast-node")
	p.ShowHelpOnUnexpected, p.ShowVersionWithVersionFlag = false, false
	var list string
	p.AddPositionalValue(&a.role, "role", 1, true, "balancer or agent")
	p.String(&list, "", "features", "comma-separated optional features")
	p.UInt16(&a.metricsPort, "", "metrics-port", "second port at which the metrics are served")
	if err := p.ParseArgs(args); err != nil {
		return arguments{}, err
	}
	a.features, err = passthrough.ParseFeatures(list)
	return a, err
}

func run(ctx context.Context, args []string) int {
	a, err := parseArguments(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	s.SetMetricsPort(a.metricsPort)
	logger, stopLog := newLogger(ctx, s.ID())
	defer stopLog()
	var d platform.Daemon
	switch a.role {
	case "balancer":
		d, err = platform.NewBalancer(s, a.features, logger)
	case "agent":
		d, err = platform.NewAgent(s, a.features, logger)
	default:
		fmt.Fprintln(os.Stderr, "usage: bramleymast-node balancer|agent [--features NAME,...] [--metrics-port PORT]")
		return exitBadInput
	}
	if err != nil {
		logger.Error("cannot start", "error", err)
		return exitFailure
	}
	received, stop := signals.Notify()
	defer stop()
	stopReload := onReload(func() { reload(s, d, logger) })
	defer stopReload()
	logger.Info("started", "role", a.role)
	drain := func() {
		logger.Info("graceful shutdown")
		d.Drain()
	}
	if err := signals.Run(ctx, received, drain, d.Run); err != nil {
		logger.Error("stopped", "error", err)
		return exitFailure
	}
	logger.Info("stopped")
	return exitSuccess
}

// newLogger returns a logger that never blocks, and a function that flushes it.
func newLogger(ctx context.Context, id string) (logger hclog.Logger, stop func()) {
	w := boundedlog.New(os.Stdout)
	ctx, cancel := context.WithCancel(ctx)
	go func() { _ = w.Run(ctx) }() // Run always returns nil.
	important := w.Important()
	logger = hclog.New(&hclog.LoggerOptions{
		Name: "bramleymast", JSONFormat: true, Level: hclog.Info,
		Output: hclog.NewLeveledWriter(w, map[hclog.Level]io.Writer{hclog.Warn: important, hclog.Error: important}),
	})
	return logger.With("process", id), func() {
		cancel()
		<-w.Done()
	}
}

// onReload calls f after each SIGHUP, until the returned function is called.
func onReload(f func()) (stop func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	go func() {
		for range c {
			f()
		}
	}()
	return func() { signal.Stop(c) }
}

func reload(running platform.Settings, d platform.Daemon, logger hclog.Logger) {
	s, err := platform.LoadSettings()
	if err != nil {
		logger.Error("cannot reload settings, keeping the current ones", "error", err)
		return
	}
	logger.Info("settings reloaded", "restart_needed", s.Reload(d, running))
}
