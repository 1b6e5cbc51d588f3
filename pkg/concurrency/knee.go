package concurrency

import (
	"math"
	"time"
)

const (
	// maxLevels limits the numbers of requests in progress that are distinguished; higher ones count as the highest.
	maxLevels = 64
	// kneeHalfLife is the half-life of the evidence for the knee, which changes with the server's software and host.
	kneeHalfLife = 10 * time.Second
	// minKneeAnswers is the number of answers below which the knee is not looked for.
	minKneeAnswers = 64
	// minSettleTime and settleShare are how long a number in progress must last for answers to count there, as a time and
	// as a share of the mean time between answers. Answers that arrive together belong to the number before the first.
	minSettleTime = 500 * time.Microsecond
	settleShare   = 1. / 16
	// kneeEvidence is the difference of log likelihoods from which on another knee is taken. It allows for dispersion.
	kneeEvidence = 4 * dispersion
)

// knee finds the number of requests in progress beyond which a server does not answer more of them in a given time. It
// is at most the number of slots, which is where it stays without evidence.
//
// For each number in progress it keeps the time spent there and the answers. A server with the knee k gives answers at a
// rate proportional to min(n, k) at the number n, and the most likely k is taken. Time is measured in service times, so a
// server that becomes slow at all numbers keeps its knee.
type knee struct {
	limit int
	slots int
	// settled is the last number in progress that lasted.
	settled int
	// time and answers are decaying sums for each number of requests in progress.
	time, answers [maxLevels + 1]float64
	// elapsed is the time since the sums were last decayed.
	elapsed time.Duration
}

func newKnee(slots int) knee {
	if slots > maxLevels {
		return knee{limit: slots} // The numbers in question are not distinguished.
	}
	return knee{limit: max(slots, 1), slots: slots}
}

func (k *knee) advance(d time.Duration, inProgress int, serviceTime float64) {
	inProgress = min(inProgress, maxLevels)
	k.time[inProgress] += d.Seconds() / serviceTime
	k.elapsed += d
	if d >= minSettleTime && d.Seconds() >= settleShare*serviceTime/float64(k.limit) {
		k.settled = inProgress
	}
}

func (k *knee) add(work float64) { k.answers[k.settled] += work }

// forget drops the evidence, which a change of speed makes ambiguous, and keeps the knee.
func (k *knee) forget() {
	k.time, k.answers = [maxLevels + 1]float64{}, [maxLevels + 1]float64{}
}

// fit looks for the most likely knee.
func (k *knee) fit() {
	f := math.Exp2(-float64(k.elapsed) / float64(kneeHalfLife))
	k.elapsed = 0
	total := 0.
	for n := range k.time {
		k.time[n] *= f
		k.answers[n] *= f
		total += k.answers[n]
	}
	if total < minKneeAnswers {
		return
	}
	best, likelihood := k.limit, k.likelihood(k.limit)+kneeEvidence
	for limit := 1; limit <= k.slots; limit++ {
		if l := k.likelihood(limit); l > likelihood {
			best, likelihood = limit, l
		}
	}
	k.limit = best
}

// likelihood returns the log likelihood of a knee, up to a constant.
func (k *knee) likelihood(limit int) float64 {
	var sum, answers, exposure float64
	for n := 1; n <= maxLevels; n++ {
		rate := float64(min(n, limit))
		sum += k.answers[n] * math.Log(rate)
		answers += k.answers[n]
		exposure += k.time[n] * rate
	}
	return sum - answers*math.Log(max(exposure, math.SmallestNonzeroFloat64))
}
