package contract

import "time"

// viewSpread is how long after the first news instances may still hold an instance for alive that is gone: the longest suspicion
// of the membership (8 s) and the round of probes before it.
const viewSpread = 10 * time.Second

// Takeover is what a home knows of the move of accounts to it from another home. It is a plain state machine and not safe
// for concurrent use; the zero value knows of no move.
//
// Until an instance learns of the move it spends its own part of each account. The home therefore hands out only the parts of
// the instances that came to it, so that all together stay within the rate.
type Takeover struct {
	began   time.Time
	callers map[string]struct{}
}

// RecordCall notes the call of an instance; moved tells whether that one had another home before.
func (s *Takeover) RecordCall(now time.Time, caller string, moved bool) {
	if moved && !s.lasts(now) {
		s.began, s.callers = now, make(map[string]struct{})
	}
	if s.lasts(now) {
		s.callers[caller] = struct{}{}
	}
}

func (s *Takeover) lasts(now time.Time) bool {
	return !s.began.IsZero() && now.Sub(s.began) < viewSpread
}

// Fraction is the share of the rates that the home may hand out, of a fleet of so many instances.
func (s *Takeover) Fraction(now time.Time, instances int) float64 {
	if !s.lasts(now) {
		return 1
	}
	return min(float64(len(s.callers))/float64(max(instances, 1)), 1)
}
