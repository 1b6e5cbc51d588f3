package cmd

import (
	"context"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/settings"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// settingsCheck implements "settings check".
type settingsCheck struct {
	outputOption
	process string
	file    string
}

// settingsKind is a kind of process with the function that loads and checks its settings file.
type settingsKind struct {
	process string
	load    func(file string) error
}

func withoutResult[T any](load func(string) (T, error)) func(string) error {
	return func(file string) error {
		_, err := load(file)
		return err
	}
}

func settingsKinds() []settingsKind {
	return []settingsKind{
		{"balancer", withoutResult(settings.LoadBalancer)},
		{"agent", withoutResult(settings.LoadAgent)},
		{"operator", withoutResult(settings.LoadOperator)},
		{"standin-store", withoutResult(settings.LoadStandinStore)},
		{"standin-fabric", withoutResult(settings.LoadStandinFabric)},
		{"standin-backend", withoutResult(settings.LoadStandinBackend)},
		{"standin-caller", withoutResult(settings.LoadStandinCaller)},
	}
}

func (c *settingsCheck) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("check")
	sc.Description = "checks a settings file as a whole"
	sc.AddPositionalValue(&c.process, "PROCESS", 1, true,
		"balancer, agent, operator, standin-store, standin-fabric, standin-backend or standin-caller")
	sc.AddPositionalValue(&c.file, "FILE", 2, true, "settings file")
	c.outputOption.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast settings check balancer balancer.json
  bramleymast settings check agent agent.json --output json`
	return sc
}

func (c *settingsCheck) run(_ context.Context, e environment) int {
	var l finding.List
	c.check(&l)
	kinds := settingsKinds()
	names := make([]string, 0, len(kinds))
	var load func(string) error
	for _, k := range kinds {
		names = append(names, k.process)
		if k.process == c.process {
			load = k.load
		}
	}
	if load == nil {
		l.Addf("PROCESS", strings.Join(names, ", "), "is %q", c.process)
	}
	if e.printFindings(l) {
		return ExitBadInput
	}
	return e.printCheckResult(c.isJSON(), load(c.file), c.file+": the settings of "+c.process+" are valid")
}
