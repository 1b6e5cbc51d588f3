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
	// maxSpeedRatio limits the speeds between which evidence is comparable. While the speed changes, the numbers in progress
	// change with it, which looks like a knee.
	maxSpeedRatio = 1.4
	// kneeEvidence is the difference of log likelihoods that speaks against a knee. It allows for dispersion.
	kneeEvidence = 4 * dispersion
	// minLowerFits is how many fits in a row must find a lower knee, which takes longer than a change of speed to show:
	// until then the answers before and after it differ like those at different numbers in progress.
	minLowerFits = 6
)

// knee finds the number of requests in progress beyond which a server does not answer more of them in a given time. It
// is at most the number of slots, which is where it stays without evidence.
//
// For each number in progress it keeps the time spent there and the answers. A server with the knee k gives answers at a
// rate proportional to min(n, k) at the number n, and the most likely k is taken if the number of slots is unlikely.
// Time is measured in service times, so a server that becomes slow at all numbers keeps its knee.
type knee struct {
	limit int
	slots int
	// settled is the last number in progress that lasted.
	settled int
	// time and answers are decaying sums for each number of requests in progress.
	time, answers [maxLevels + 1]float64
	// serviceTime is the service time at the start of the evidence, 0 if there is none.
	serviceTime float64
	// lower is how many fits in a row have found a lower knee.
	lower int
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
	if max(serviceTime/k.serviceTime, k.serviceTime/serviceTime) > maxSpeedRatio {
		k.forget()
		k.serviceTime = serviceTime
	}
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
	k.time, k.answers, k.lower = [maxLevels + 1]float64{}, [maxLevels + 1]float64{}, 0
}

// fit looks for the knee. It returns the factor by which another knee changes the time in which slots were busy.
func (k *knee) fit() (busy float64) {
	f := math.Exp2(-float64(k.elapsed) / float64(kneeHalfLife))
	k.elapsed = 0
	total := 0.
	for n := range k.time {
		k.time[n] *= f
		k.answers[n] *= f
		total += k.answers[n]
	}
	if k.slots == 0 || total < minKneeAnswers {
		return 1
	}
	limit := k.likely()
	if limit >= k.limit {
		k.lower = 0
	} else if k.lower++; k.lower < minLowerFits {
		return 1
	}
	busy = k.busy(limit) / k.busy(k.limit)
	k.limit, k.serviceTime, k.lower = limit, k.serviceTime*busy, 0
	return busy
}

// likely returns the most likely knee, or the number of slots if the evidence does not speak against it. Hysteresis keeps
// the knee from rising as soon as evidence decays.
func (k *knee) likely() int {
	best, likelihood := k.slots, k.likelihood(k.slots)
	necessary := likelihood + kneeEvidence
	if k.limit < k.slots {
		necessary = likelihood + kneeEvidence/2
	}
	for limit := k.slots - 1; limit >= 1; limit-- {
		if l := k.likelihood(limit); l > likelihood {
			best, likelihood = limit, l
		}
	}
	if likelihood < necessary {
		return k.slots
	}
	return best
}

// likelihood returns the log likelihood of a knee, up to a constant.
func (k *knee) likelihood(limit int) float64 {
	var sum, answers float64
	for n := 1; n <= maxLevels; n++ {
		sum += k.answers[n] * math.Log(float64(min(n, limit)))
		answers += k.answers[n]
	}
	return sum - answers*math.Log(k.busy(limit))
}

// busy returns the time in which slots were busy, if the knee is at the given limit.
func (k *knee) busy(limit int) float64 {
	sum := math.SmallestNonzeroFloat64
	for n := 1; n <= maxLevels; n++ {
		sum += k.time[n] * float64(min(n, limit))
	}
	return sum
}
