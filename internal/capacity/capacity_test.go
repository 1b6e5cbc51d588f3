package capacity_test

import (
	"bytes"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bramleymast/bramleymast/internal/capacity"
)

// Guards against a wrong fit, and against a residual that does not grow with the distance of a point from the line.
func TestFit(t *testing.T) {
	s := capacity.Slope{Points: []capacity.Point{{X: 1, Y: 3}, {X: 10, Y: 21}, {X: 30, Y: 61}}}.Fit()
	assert.Assert(t, math.Abs(s.Slope-2) < 1e-9 && math.Abs(s.Intercept-1) < 1e-9 && s.Residual < 1e-9)
	s.Points[2].Y = 100
	assert.Assert(t, s.Fit().Residual > 5)
}

// Guards against recorded slopes that were measured at fewer than four sizes or over a factor of less than 30.
func TestRecordedSlopesSpanAFactorOf30(t *testing.T) {
	s, err := capacity.Recorded()
	assert.NilError(t, err)
	for _, slope := range s.All() {
		assert.Assert(t, len(slope.Points) >= 4, slope.Name)
		first, last := slope.Points[0].X, slope.Points[len(slope.Points)-1].X
		assert.Assert(t, last >= 30*first, "%s: %g to %g", slope.Name, first, last)
		fitted := slope.Fit()
		assert.Assert(t, math.Abs(fitted.Slope-slope.Slope) <= 1e-9*math.Abs(slope.Slope), slope.Name)
		assert.Assert(t, slope.Command != "", slope.Name)
	}
}

// Guards against a page whose figures differ from those computed from the recorded slopes.
// Update the page with: go test ./internal/capacity -run TestPage -update.
func TestPage(t *testing.T) {
	s, err := capacity.Recorded()
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, capacity.Write(&b, s, capacity.DesignSize()))
	golden.Assert(t, b.String(), "../../../docs/CAPACITY.md")
}

// Guards against an extrapolation that makes a falling quantity vanish or grows beyond any measured law.
func TestSweepExtrapolation(t *testing.T) {
	measured := []int{30, 100, 300}
	row := capacity.SweepRow{Busiest: []float64{9, 9, 10}}
	for power, want := range map[float64]float64{-0.5: 10, 1: 100, 7: 1000} {
		row.Power = power
		assert.Assert(t, math.Abs(row.At(measured, 3000)-want) < 1e-6, "power %g", power)
	}
}

// Guards against a breaking point at which the line is still within its limit.
func TestBreakingPointsAreAtTheLimit(t *testing.T) {
	s, err := capacity.Recorded()
	assert.NilError(t, err)
	breaks := capacity.BreakingPoints(s, capacity.DesignSize())
	assert.Assert(t, len(breaks) > 0)
	for i, b := range breaks {
		if i > 0 {
			assert.Assert(t, b.Factor >= breaks[i-1].Factor)
		}
		for _, l := range capacity.Compute(s, capacity.DesignSize().Scale(b.Factor*1.05)) {
			if l.Role == b.Line.Role && l.Situation == b.Line.Situation && l.Quantity == b.Line.Quantity {
				assert.Assert(t, l.ExceedsLimit(), "%s %s %s", l.Role, l.Situation, l.Quantity)
			}
		}
	}
}

// Guards against a rejected design whose load is clearly below its limit.
func TestRejectedDesignsReachTheirLimits(t *testing.T) {
	rs := capacity.RejectedDesigns(capacity.DesignSize())
	assert.Equal(t, rs[0].Value, 2200.0)
	assert.Equal(t, rs[1].Value, 1.1e6)
	assert.Equal(t, rs[2].Value, 2900.0)
	for _, r := range rs {
		assert.Assert(t, r.Value > 0.97*r.Limit, r.Design)
	}
}
