package quota

import "time"

// maxViewDelay is how long some instances may still consider an instance alive after the first one learned that it is
// gone: the longest suspicion timeout of the membership (8 s) plus the preceding round of probes.
const maxViewDelay = 10 * time.Second

// Takeover tracks the move of accounts to this coordinator from another one. It is a plain state machine and not safe
// for concurrent use; in the zero value, no move is under way.
//
// Until an instance learns of the move, it spends its own share of each account. Therefore the coordinator hands out
// only the shares of the instances that have called it, so that all together stay within the rate.
type Takeover struct {
	startedAt time.Time
	calledBy  map[string]struct{} // instances that have called since
	endedAt   time.Time
}

// RecordCall records a call of an instance; moved means that the accounts had another coordinator before, as far as
// that instance knows. It reports whether that began a move: what was spent until now is then not known.
func (t *Takeover) RecordCall(now time.Time, instance string, moved bool) (began bool) {
	ended := !t.endedAt.IsZero() && now.Sub(t.endedAt) < maxViewDelay // some instances call only now
	if began = moved && !ended && !t.active(now); began {
		t.Start(now)
	}
	if t.active(now) {
		t.calledBy[instance] = struct{}{}
	}
	return began
}

// Start begins a move of accounts. A coordinator calls it when it joins a fleet that was there before: it may get accounts
// of which it knows no spending, before any instance that knows the previous coordinator has called.
func (t *Takeover) Start(now time.Time) {
	*t = Takeover{startedAt: now, calledBy: make(map[string]struct{})}
}

// End ends a move: the previous coordinator has handed the accounts over.
func (t *Takeover) End(now time.Time) { *t = Takeover{endedAt: now} }

// Since returns when the move began; false if none is under way.
func (t *Takeover) Since(now time.Time) (time.Time, bool) { return t.startedAt, t.active(now) }

// active reports whether some instances may not know of the move yet.
func (t *Takeover) active(now time.Time) bool {
	return !t.startedAt.IsZero() && now.Sub(t.startedAt) < maxViewDelay
}

// Fraction returns the fraction of the rates that the coordinator may hand out, in a fleet of so many instances.
func (t *Takeover) Fraction(now time.Time, instances int) float64 {
	if !t.active(now) {
		return 1
	}
	return min(float64(len(t.calledBy))/float64(max(instances, 1)), 1)
}
