package capacity

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/juju/errors"
)

// SweepRow is a quantity of the platform's programs, measured on the same day at several sizes of a fleet.
type SweepRow struct {
	Role     string `json:"role"`
	Quantity string `json:"quantity"`
	Unit     string `json:"unit"`
	// Middle and Busiest are the values of the median and of the busiest process, or the longest time, at each size.
	Middle  []float64 `json:"middle"`
	Busiest []float64 `json:"busiest"`
	// Power is the exponent with which the busiest grows over the measured sizes.
	Power     float64 `json:"power"`
	Mechanism string  `json:"mechanism"`
}

// Sweep holds the quantities of the platform's programs.
type Sweep struct {
	// Command says how they were measured.
	Command string `json:"command"`
	// Processes are the sizes of the fleet.
	Processes []int      `json:"processes"`
	Rows      []SweepRow `json:"rows"`
}

//go:embed sweep.json
var sweepFile []byte

// RecordedSweep returns the recorded sweep.
func RecordedSweep() (Sweep, error) {
	var s Sweep
	if err := json.Unmarshal(sweepFile, &s); err != nil {
		return Sweep{}, errors.Annotate(err, "sweep.json")
	}
	for _, r := range s.Rows {
		if len(r.Middle) != len(s.Processes) || len(r.Busiest) != len(s.Processes) {
			return Sweep{}, errors.Errorf("sweep.json: %s, %s has %d and %d values, want %d", r.Role, r.Quantity, len(r.Middle), len(r.Busiest), len(s.Processes))
		}
	}
	return s, nil
}

// maxPower limits the exponent of an extrapolation: a quantity that grows faster between three sizes is not a power law.
const maxPower = 2

// At returns the busiest value carried on to a number of processes.
func (r SweepRow) At(measured []int, processes int) float64 {
	last := len(measured) - 1
	power := min(max(r.Power, 0), maxPower)
	return r.Busiest[last] * math.Pow(float64(processes)/float64(measured[last]), power)
}

// writeSweep writes the section on the platform's programs. The extrapolation counts balancers and agents together.
func writeSweep(b *strings.Builder, s Sweep, size Size) {
	processes := size.Balancers + size.Agents
	fmt.Fprintf(b, "\n## Programs on the users' platform\n\nMeasured by %s. The last column but one carries the busiest on to %d processes by its power, of 0 to %d; it is not measured.\n\n", s.Command, processes, maxPower)
	b.WriteString("| role | quantity |")
	for _, n := range s.Processes {
		fmt.Fprintf(b, " middle / busiest at %d |", n)
	}
	fmt.Fprintf(b, " power | at %d | carried by |\n|---|---|%s---|---|---|\n", processes, strings.Repeat("---|", len(s.Processes)))
	for _, r := range s.Rows {
		fmt.Fprintf(b, "| %s | %s |", r.Role, strings.TrimSpace(r.Quantity+" "+r.Unit))
		for i := range s.Processes {
			fmt.Fprintf(b, " %s / %s |", formatNumber(r.Middle[i]), formatNumber(r.Busiest[i]))
		}
		fmt.Fprintf(b, " %s | %s | %s |\n", formatNumber(r.Power), formatNumber(r.At(s.Processes, processes)), r.Mechanism)
	}
}
