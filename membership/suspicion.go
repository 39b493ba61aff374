package membership

import (
	"math"
	"time"
)

// suspect begins a suspicion against a live member, or confirms it. by is the observer; local suspicions are
// kept to this instance.
func (s *State) suspect(now time.Time, m *member, by uint32, local bool) {
	if m.status == statusSuspect {
		s.confirm(now, m, by, local)
		return
	}
	m.status = statusSuspect
	m.suspectedAt = now
	m.observers = append(m.observers[:0], by)
	m.local = local
	s.suspects[m] = struct{}{}
	m.deadline = now.Add(s.suspicionTime(m))
	s.stats.Suspected++
	s.emit(Suspected{ID: m.id})
	if !local {
		s.announce(now, m, by, false)
	}
}

// confirm shortens a suspicion when another observer has it too.
func (s *State) confirm(now time.Time, m *member, by uint32, local bool) {
	if m.local && !local {
		m.local = false
		s.announce(now, m, by, false)
	}
	if len(m.observers) > s.config.Confirmations {
		return
	}
	for _, o := range m.observers {
		if o == by {
			return
		}
	}
	m.observers = append(m.observers, by)
	m.deadline = m.suspectedAt.Add(s.suspicionTime(m))
	if !local {
		s.announce(now, m, by, false)
	}
}

// suspicionTime falls from SuspicionMax to SuspicionMin with the logarithm of the number of confirmations.
func (s *State) suspicionTime(m *member) time.Duration {
	if m.local {
		return s.config.SuspicionMax
	}
	c := s.config
	share := math.Log(float64(len(m.observers))) / math.Log(float64(c.Confirmations+1))
	t := c.SuspicionMax - time.Duration(share*float64(c.SuspicionMax-c.SuspicionMin))
	return max(t, c.SuspicionMin)
}

// expireSuspicions fails the members that did not refute in time.
func (s *State) expireSuspicions(now time.Time) {
	for _, m := range s.sortedSuspects() {
		if now.Before(m.deadline) {
			continue
		}
		s.fail(now, m)
		if !m.local {
			s.announce(now, m, s.hash, false)
		}
	}
}

// restore takes back a suspicion, or a failure that only this instance saw.
func (s *State) restore(now time.Time, m *member) {
	if m.status == statusFailed {
		s.revive(now, m)
	}
	m.status = statusAlive
	m.local = false
	delete(s.suspects, m)
}

// deaf reports whether this instance has heard from nobody for so long that the fault may be its own.
func (s *State) deaf(now time.Time) bool {
	return now.Sub(s.heardAt) > s.health.widen(s.config.IsolatedAfter)
}
