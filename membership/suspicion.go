package membership

import (
	"math"
	"time"
)

// suspect starts a suspicion of a live member, or confirms an existing one. A suspicion that is local is not
// broadcast.
func (s *State) suspect(now time.Time, m *member, observer uint32, local bool) {
	if m.status == statusSuspect {
		s.confirm(now, m, observer, local)
		return
	}
	m.status = statusSuspect
	m.suspectedAt = now
	m.observers = append(m.observers[:0], observer)
	m.localOnly = local
	s.suspects[m] = struct{}{}
	m.deadline = now.Add(s.suspicionTime(m))
	s.stats.Suspected++
	s.emit(Suspected{ID: m.id})
	if !local {
		s.broadcast(now, m, observer, false)
	}
}

// confirm counts another observer of a suspicion, which shortens the time to refute. The first observer that is not
// local starts the broadcast of a local suspicion.
func (s *State) confirm(now time.Time, m *member, observer uint32, local bool) {
	if m.localOnly && !local {
		m.localOnly = false
		s.broadcast(now, m, observer, false)
	}
	if len(m.observers) > s.config.Confirmations {
		return
	}
	for _, o := range m.observers {
		if o == observer {
			return
		}
	}
	m.observers = append(m.observers, observer)
	m.deadline = m.suspectedAt.Add(s.suspicionTime(m))
	if !local {
		s.broadcast(now, m, observer, false)
	}
}

// suspicionTime returns the time that a suspected member has to refute. It decreases from SuspicionMax to
// SuspicionMin with the logarithm of the number of observers.
func (s *State) suspicionTime(m *member) time.Duration {
	if m.localOnly {
		return s.config.SuspicionMax
	}
	c := s.config
	share := math.Log(float64(len(m.observers))) / math.Log(float64(c.Confirmations+1))
	t := c.SuspicionMax - time.Duration(share*float64(c.SuspicionMax-c.SuspicionMin))
	return max(t, c.SuspicionMin)
}

// expireSuspicions fails the members that did not refute in time. The failure is broadcast unless the suspicion was
// local.
func (s *State) expireSuspicions(now time.Time) {
	for _, m := range s.sortedSuspects() {
		if now.Before(m.deadline) {
			continue
		}
		s.fail(now, m)
		if !m.localOnly {
			s.broadcast(now, m, s.selfIDHash, false)
		}
	}
}

// restore clears a suspicion, or a failure that only this instance has seen.
func (s *State) restore(now time.Time, m *member) {
	if m.status == statusFailed {
		s.revive(now, m)
	}
	m.status = statusAlive
	m.localOnly = false
	delete(s.suspects, m)
}

// Suspected returns the members that are suspected now.
func (s *State) Suspected() map[ID]bool {
	out := make(map[ID]bool, len(s.suspects))
	for m := range s.suspects {
		out[m.id] = true
	}
	return out
}

// SuspectCount returns how many members are suspected now.
func (s *State) SuspectCount() int { return len(s.suspects) }

// isolated reports whether this instance has received no message for so long that the fault may be its own.
func (s *State) isolated(now time.Time) bool {
	return now.Sub(s.lastReceived) > s.health.scale(s.config.IsolatedAfter)
}
