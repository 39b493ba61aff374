package admission

import (
	"math"
	"time"
)

const (
	// spareMemory is the time constant of the measure of spare capacity: the load of the last seconds counts.
	spareMemory = 2 * time.Second
	// minSpareShare is the share of spare slot time, beyond the slots that must stay free, from which a late request is let
	// wait whatever became of others.
	minSpareShare = 0.1
	// outcomeWeight is the weight of one late request in the share of them that were served.
	outcomeWeight = 0.2
	// minServedShare is the share of late requests that must have been served for further ones to be let wait without
	// spare capacity.
	minServedShare = 0.5
	// lateWaitShare is the share of the time that is left before its deadline that a late request may be expected to wait
	// behind others. The rest covers requests that arrive later and go before it.
	lateWaitShare = 0.5
)

// lateReserveDivisor divides the number of slots to give how many of them must stay free when a late request gets one. In
// an overload that lasts, a slot is free for moments only, and a late request in it keeps out the next one that could
// still meet its target.
const lateReserveDivisor = 4

// lateReserve returns how many slots must stay free when a late request gets one; at least one of them is usable.
func lateReserve(slots int) int {
	return min((slots+lateReserveDivisor-1)/lateReserveDivisor, slots-1)
}

// lateAdmission decides which requests may wait beyond their target, for whatever slots those leave over that can still
// meet theirs. It answers bursts of seconds: a late response is worth less, but more than none, and the slots are free
// again when the burst is over. It learns whether that holds: while most late requests are refused in the end, further
// ones are refused at once, unless there is spare capacity at present. It is a plain state machine.
type lateAdmission struct {
	spare   float64 // moving average of the share of the slot time that requests which can meet their target leave over
	at      time.Time
	refused float64 // moving average of the share of late requests that were refused in the end
}

// observeUse records that since the last call so many slots were in use for requests that could meet their target.
func (l *lateAdmission) observeUse(now time.Time, used, slots int) {
	if !l.at.IsZero() {
		weight := -math.Expm1(-now.Sub(l.at).Seconds() / spareMemory.Seconds())
		l.spare += weight * (float64(max(slots-used, 0))/float64(max(slots, 1)) - l.spare)
	}
	l.at = now
}

// observeOutcome records that a late request got a slot or was refused.
func (l *lateAdmission) observeOutcome(served bool) {
	l.refused *= 1 - outcomeWeight
	if !served {
		l.refused += outcomeWeight
	}
}

// allows reports whether a request may wait late behind some work if so much time is left to start it.
func (l *lateAdmission) allows(before, left time.Duration, slots int) bool {
	needed := float64(lateReserve(slots))/float64(max(slots, 1)) + minSpareShare
	if l.spare < needed && l.refused > 1-minServedShare {
		return false
	}
	wait := float64(before) / float64(max(slots, 1))
	return wait <= lateWaitShare*float64(left)
}
