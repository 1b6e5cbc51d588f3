package detour

import "time"

const (
	// firstConfirmations is how many trials in a row must pass before the direct way is used again.
	firstConfirmations = 2
	// maxConfirmations limits the confirmations after relapses.
	maxConfirmations = 16
	// relapsePeriod is the time after a return to the direct way in which another loss counts as a relapse. Each relapse
	// doubles the confirmations, so that a way that passes only part of the packets is not tried again and again.
	relapsePeriod = 10 * time.Second
	// confirmationInterval is shorter than the interval between trials; more datagrams in it confirm the same trial.
	confirmationInterval = verifyInterval / 2
)

// direction is what is known of one direction between two processes; the zero value passes.
type direction struct {
	dead      bool
	changedAt time.Time
	// confirmed counts trials in a row that passed, the last one at confirmedAt; needed end the detour.
	confirmed   int
	confirmedAt time.Time
	needed      int
	// released means that the direction counts as passing because others of the zone pass, without a trial of its own.
	released bool
}

// fail records that nothing passes, and reports whether this is new.
func (d *direction) fail(now time.Time) bool {
	d.confirmed = 0
	if d.dead {
		return false
	}
	if d.needed > 0 && now.Sub(d.changedAt) < relapsePeriod {
		d.needed = min(2*d.needed, maxConfirmations)
	} else {
		d.needed = firstConfirmations
	}
	d.dead, d.changedAt, d.released = true, now, false
	return true
}

// release takes a dead direction as passing.
func (d *direction) release(now time.Time) {
	if d.dead {
		d.dead, d.changedAt, d.confirmed, d.released = false, now, 0, true
	}
}

// pass records that a trial has passed, and reports whether the direct way is used again.
func (d *direction) pass(now time.Time) bool {
	if !d.dead || now.Sub(d.confirmedAt) < confirmationInterval {
		return false
	}
	d.confirmed, d.confirmedAt = d.confirmed+1, now
	if d.confirmed < d.needed {
		return false
	}
	d.dead, d.changedAt, d.released = false, now, false
	return true
}

// canFail reports whether the direction may be taken as dead because others of the same zone are: it passes now, and no
// trial of its own has shown lately that it does.
func (d *direction) canFail(now time.Time) bool {
	return !d.dead && (d.released || d.changedAt.IsZero() || now.Sub(d.changedAt) >= relapsePeriod)
}

// miss records that a trial has not passed.
func (d *direction) miss() { d.confirmed = 0 }
