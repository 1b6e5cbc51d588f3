// Package capacity computes the cost of the control plane at a given size from slopes measured on the production code.
package capacity

import (
	_ "embed"
	"encoding/json"
	"math"

	"github.com/juju/errors"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a measured quantity and its linear fit over the sizes at which it was measured.
type Slope struct {
	Name string `json:"name"`
	// Unit is the unit of Y; Against says what X counts.
	Unit    string `json:"unit"`
	Against string `json:"against"`
	// Fixed lists the conditions that were the same at all points.
	Fixed     string  `json:"fixed"`
	Command   string  `json:"command"`
	Points    []Point `json:"points"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the largest distance of a point from the fit, in percent of the largest Y.
	Residual float64 `json:"residual_percent"`
}

// At returns the fitted value at x.
func (s Slope) At(x float64) float64 { return s.Intercept + s.Slope*x }

// Fit computes the least-squares line through the points.
func (s Slope) Fit() Slope {
	n := float64(len(s.Points))
	var sumX, sumY, sumXX, sumXY, maxY float64
	for _, p := range s.Points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
		maxY = max(maxY, math.Abs(p.Y))
	}
	if d := n*sumXX - sumX*sumX; d != 0 {
		s.Slope = (n*sumXY - sumX*sumY) / d
	}
	s.Intercept = (sumY - s.Slope*sumX) / max(n, 1)
	s.Residual = 0
	for _, p := range s.Points {
		if maxY > 0 {
			s.Residual = max(s.Residual, 100*math.Abs(p.Y-s.At(p.X))/maxY)
		}
	}
	return s
}

// Slopes is a set of measurements.
type Slopes struct {
	list []Slope
}

//go:embed slopes.json
var recordedJSON []byte

// Recorded returns the measurements embedded from slopes.json, after checking that every required slope is there.
func Recorded() (Slopes, error) {
	var s Slopes
	if err := json.Unmarshal(recordedJSON, &s.list); err != nil {
		return Slopes{}, errors.Annotate(err, "cannot read the recorded slopes")
	}
	for _, name := range requiredSlopes {
		if _, err := s.Get(name); err != nil {
			return Slopes{}, err
		}
	}
	return s, nil
}

// All returns the measurements in the order in which they were recorded.
func (s Slopes) All() []Slope { return s.list }

// Get returns a measurement by its name.
func (s Slopes) Get(name string) (Slope, error) {
	for _, slope := range s.list {
		if slope.Name == name {
			return slope, nil
		}
	}
	return Slope{}, errors.NotFoundf("slope %q", name)
}

// at returns the fitted value of a required slope, but at least 0. Recorded has checked that the slope exists.
func (s Slopes) at(name string, x float64) float64 {
	slope, err := s.Get(name)
	if err != nil {
		return math.NaN()
	}
	return max(slope.At(x), 0)
}
