package evacuation

import (
	"maps"
	"slices"
	"time"

	"amaranthstile/internal/position"
)

// LostGrace is how long an evacuation goes on that the store lacks after it came back from an older copy. Whoever wrote
// the object writes it again; in the drill on record that took 4.5 s.
const LostGrace = 30 * time.Second

// State is what one instance knows of evacuations. The zero value knows nothing. It is not safe for concurrent use.
//
// Every present mark of the generation of the position is at the position: the store was read whole there. A present mark
// of an earlier generation is an evacuation that the store may have lost.
type State struct {
	known    bool
	position position.Position
	marks    map[string]Mark
	// generationSince is when the generation of the position was first learned of.
	generationSince time.Time
}

// Change is a change of one object that the store reports.
type Change struct {
	Domain  string
	Removed bool
}

// Known reports whether the store or another instance has told which domains are evacuated.
func (s *State) Known() bool { return s.known }

// Position returns the latest position at which the store was read.
func (s *State) Position() position.Position { return s.position }

// Set returns what other instances are told.
func (s *State) Set() Set {
	return Set{Known: s.known, Position: s.position, Marks: maps.Clone(s.marks)}
}

// Evacuated returns the evacuated domains in ascending order.
func (s *State) Evacuated() []string {
	return s.names(func(m Mark) bool { return m.Present })
}

// Lost returns the evacuated domains that the store lacks since it came back from an older copy, in ascending order.
func (s *State) Lost() []string {
	return s.names(func(m Mark) bool { return m.Present && m.At.Generation < s.position.Generation })
}

// names returns the domains with a mark for which a condition holds, in ascending order.
func (s *State) names(ok func(Mark) bool) []string {
	var out []string
	for name, m := range s.marks {
		if ok(m) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Observe takes over the whole list of evacuated domains that the store held at a position. An earlier position than the
// latest one is ignored.
func (s *State) Observe(now time.Time, at position.Position, domains []string) {
	if s.known && at.Before(s.position) {
		return
	}
	s.advance(now, at)
	present := make(map[string]bool, len(domains))
	for _, name := range domains {
		if name == "" || len(name) > maxNameBytes {
			continue
		}
		present[name] = true
		s.marks[name] = Mark{Present: true, At: at}
	}
	graceOver := now.Sub(s.generationSince) >= LostGrace
	for name, m := range s.marks {
		if m.Present && !present[name] && (m.At.Generation == at.Generation || graceOver) {
			s.marks[name] = Mark{At: at}
		}
	}
	s.prune()
}

// ObserveChanges takes over the changes that the store reports between an earlier position of this state and a later one.
// They are ignored if the store has come back from an older copy in between.
func (s *State) ObserveChanges(now time.Time, at position.Position, changes []Change) {
	if !s.known || at.Generation != s.position.Generation || !s.position.Before(at) {
		return
	}
	present := make(map[string]bool)
	for name, m := range s.marks {
		present[name] = m.Present && m.At.Generation == at.Generation
	}
	for _, c := range changes {
		present[c.Domain] = !c.Removed
		if m := s.marks[c.Domain]; c.Removed && m.Present {
			s.marks[c.Domain] = Mark{At: at} // also one that the store seemed to have lost
		}
	}
	var domains []string
	for name, is := range present {
		if is {
			domains = append(domains, name)
		}
	}
	s.Observe(now, at, domains)
}

// Merge takes over what another instance knows. The error carries StateInvalid; nothing is taken over then.
func (s *State) Merge(now time.Time, other Set) error {
	if err := other.validate(); err != nil || !other.Known {
		return err
	}
	if !s.known || s.position.Before(other.Position) {
		s.advance(now, other.Position)
	}
	for name, theirs := range other.Marks {
		if ours, ok := s.marks[name]; !ok || ours.At.Before(theirs.At) {
			s.marks[name] = theirs
		}
	}
	// the side with the latest position has read the store whole there, and would have marked what it held
	for name, m := range s.marks {
		if m.Present && m.At.Generation == s.position.Generation && m.At.Before(s.position) {
			s.marks[name] = Mark{At: s.position}
		}
	}
	s.prune()
	return nil
}

// advance moves the position forward.
func (s *State) advance(now time.Time, to position.Position) {
	if !s.known || s.position.Generation != to.Generation {
		s.generationSince = now
	}
	if s.marks == nil {
		s.marks = make(map[string]Mark)
	}
	s.known, s.position = true, to
}

// prune drops the oldest of the domains whose evacuation has ended if there are more than maxRemoved.
func (s *State) prune() {
	removed := s.names(func(m Mark) bool { return !m.Present })
	if len(removed) <= maxRemoved {
		return
	}
	slices.SortStableFunc(removed, func(a, b string) int {
		switch {
		case s.marks[a].At.Before(s.marks[b].At):
			return -1
		case s.marks[b].At.Before(s.marks[a].At):
			return 1
		}
		return 0
	})
	for _, name := range removed[:len(removed)-maxRemoved] {
		delete(s.marks, name)
	}
}
