package concurrency

import "math"

const (
	// changeFactor is the change of speed that is looked for. Smaller ones show in the decaying evidence soon enough.
	changeFactor = 2.
	// changeEvidence is the log likelihood ratio from which on a change is taken as certain. It allows for dispersion.
	changeEvidence = 8 * dispersion
)

// change detects that a server answers at a multiple of the expected rate (CUSUM). The zero value has seen nothing.
type change struct {
	// ratio is the log likelihood ratio of the change against no change, since it was last 0.
	ratio float64
	// since is the evidence from that time on, which is that of the speed after the change.
	since speed
}

// observe adds slot-seconds, answers and the number of answers expected in that time, and reports whether the rate has
// changed by the factor.
func (c *change) observe(factor, busy, answers, expected float64) bool {
	c.ratio += answers*math.Log(factor) + expected*(1-factor)
	if c.ratio <= 0 {
		*c = change{}
		return false
	}
	c.since.busy += busy
	c.since.answers += answers
	return c.ratio >= changeEvidence
}
