package cmd

import (
	"context"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/bramleymast/bramleymast/internal/settings"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// settingsCheck is "settings check".
type settingsCheck struct {
	outputOption
	process string
	file    string
}

// settingsOf is a process with the function that reads its settings.
type settingsOf struct {
	process string
	load    func(file string) error
}

func loading[T any](load func(string) (T, error)) func(string) error {
	return func(file string) error {
		_, err := load(file)
		return err
	}
}

func settingsKinds() []settingsOf {
	return []settingsOf{
		{"balancer", loading(settings.LoadBalancer)},
		{"agent", loading(settings.LoadAgent)},
		{"operator", loading(settings.LoadOperator)},
		{"standin-store", loading(settings.LoadStandinStore)},
		{"standin-fabric", loading(settings.LoadStandinFabric)},
		{"standin-backend", loading(settings.LoadStandinBackend)},
		{"standin-caller", loading(settings.LoadStandinCaller)},
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
	if e.badInput(l) {
		return ExitBadInput
	}
	return e.checked(c.json(), load(c.file), c.file+": the settings of "+c.process+" are valid")
}
