package membership

import "time"

// awareness is an instance's view of its own health: 0 is healthy. An instance that misses its own timers or
// whose probes fail without cause widens its timeouts before it accuses others.
type awareness struct {
	score int
	max   int
}

func (a *awareness) degrade() { a.score = min(a.score+1, a.max) }

func (a *awareness) improve() { a.score = max(a.score-1, 0) }

// scale scales a duration by the score.
func (a *awareness) scale(d time.Duration) time.Duration { return d * time.Duration(a.score+1) }

// lateTickIntervals is how many intervals late a tick is to count against the own health.
const lateTickIntervals = 3

// compensateForPause moves all deadlines on by a pause of this process: what did not happen while it slept is no
// evidence against others. It reports the time by which it moved them.
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
