package membership

import "time"

// awareness is an instance's score of its own health; 0 is healthy. An instance that runs its own timers late, or
// whose probes fail without any reply from the relays, scales up its timeouts before it suspects others.
type awareness struct {
	score int
	max   int
}

func (a *awareness) degrade() { a.score = min(a.score+1, a.max) }

func (a *awareness) improve() { a.score = max(a.score-1, 0) }

// scale multiplies a duration by the score plus one.
func (a *awareness) scale(d time.Duration) time.Duration { return d * time.Duration(a.score+1) }

// lateTickIntervals is the number of tick intervals between two ticks from which the second counts as late and
// degrades the own health score.
const lateTickIntervals = 3

// compensateForPause moves all deadlines later by the length of a pause of this process, since a member that could
// not be heard during the pause has given no evidence of failure.
func (s *State) compensateForPause(now time.Time) {
	gap := now.Sub(s.lastTick)
	s.lastTick = now
	late := gap - s.config.TickInterval
	if late < (lateTickIntervals-1)*s.config.TickInterval {
		return
	}
	s.stats.LateTicks++
	s.health.degrade()
	if s.probe != nil {
		s.probe.timeout = s.probe.timeout.Add(late)
		s.probe.end = s.probe.end.Add(late)
	}
	for m := range s.suspects {
		m.deadline = m.deadline.Add(late)
		m.suspectedAt = m.suspectedAt.Add(late)
	}
	s.lastReceived = s.lastReceived.Add(late)
	s.nextProbe = s.nextProbe.Add(late)
}
