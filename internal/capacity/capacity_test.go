package capacity_test

import (
	"bytes"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bramleymast/bramleymast/internal/capacity"
)

// Guards against a fit that hides how far the points are from the line.
func TestFit(t *testing.T) {
	s := capacity.Slope{Points: []capacity.Point{{X: 1, Y: 3}, {X: 10, Y: 21}, {X: 30, Y: 61}}}.Fit()
	assert.Assert(t, math.Abs(s.Slope-2) < 1e-9 && math.Abs(s.Intercept-1) < 1e-9 && s.Residual < 1e-9)
	s.Points[2].Y = 100
	assert.Assert(t, s.Fit().Residual > 5)
}

// Guards against slopes that were not measured as the page states: four sizes or more over a factor of 30.
func TestRecordedSlopesSpanAFactorOf30(t *testing.T) {
	s, err := capacity.Recorded()
	assert.NilError(t, err)
	for _, one := range s.All() {
		assert.Assert(t, len(one.Points) >= 4, one.Name)
		first, last := one.Points[0].X, one.Points[len(one.Points)-1].X
		assert.Assert(t, last >= 30*first, "%s: %g to %g", one.Name, first, last)
		fitted := one.Fit()
		assert.Assert(t, math.Abs(fitted.Slope-one.Slope) <= 1e-9*math.Abs(one.Slope), one.Name)
		assert.Assert(t, one.Command != "", one.Name)
	}
}

// Guards against a page that states other figures than the recorded slopes give.
// Update the page with: go test ./internal/capacity -run TestPage -update.
func TestPage(t *testing.T) {
	s, err := capacity.Recorded()
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, capacity.Write(&b, s, capacity.DesignSize()))
	golden.Assert(t, b.String(), "../../../docs/CAPACITY.md")
}

// Guards against a line that is said to break at a size at which it holds.
func TestBreaksAreAtTheLimit(t *testing.T) {
	s, err := capacity.Recorded()
	assert.NilError(t, err)
	breaks := capacity.Breaks(s, capacity.DesignSize())
	assert.Assert(t, len(breaks) > 0)
	for i, b := range breaks {
		if i > 0 {
			assert.Assert(t, b.Factor >= breaks[i-1].Factor)
		}
		for _, l := range capacity.Compute(s, capacity.DesignSize().Scale(b.Factor*1.05)) {
			if l.Role == b.Line.Role && l.Situation == b.Line.Situation && l.Quantity == b.Line.Quantity {
				assert.Assert(t, l.Misses(), "%s %s %s", l.Role, l.Situation, l.Quantity)
			}
		}
	}
}

// Guards against arithmetic that no longer rules a design out.
func TestRuledOutDesignsMissTheirLimits(t *testing.T) {
	rs := capacity.RuledOut(capacity.DesignSize())
	assert.Equal(t, rs[0].Value, 2200.0)
	assert.Equal(t, rs[1].Value, 1.1e6)
	assert.Equal(t, rs[2].Value, 2900.0)
	for _, r := range rs {
		assert.Assert(t, r.Value > 0.97*r.Limit, r.Design)
	}
}
