package evacuation

import (
	"amaranthstile/internal/position"
	"amaranthstile/result"
)

const (
	// maxMarks and maxNameBytes bound the set that another instance sends: far more domains than a fleet has, and more than
	// are read from the store. Longer names are ignored.
	maxMarks     = 8192
	maxNameBytes = 256
	// maxRemoved bounds the domains that are kept although their evacuation has ended. They matter only until all instances
	// know of the end.
	maxRemoved = 64
)

// Mark is the latest statement on the evacuation of one domain.
type Mark struct {
	// Present is set if the store held the object at the position, and unset if it was gone by then.
	Present bool              `json:"present,omitempty"`
	At      position.Position `json:"at"`
}

// Set is what an instance knows of evacuations, as it tells other instances.
type Set struct {
	// Known is set if the instance has learned from the store or from another instance which domains are evacuated.
	Known bool `json:"known,omitempty"`
	// Position is the latest one at which the store was read.
	Position position.Position `json:"position"`
	// Marks are the domains that are or were evacuated, by name.
	Marks map[string]Mark `json:"marks,omitempty"`
}

// validate returns an error that carries StateInvalid if a set that was received can't be what an instance knows.
func (s *Set) validate() error {
	if len(s.Marks) > maxMarks {
		return result.New(result.StateInvalid, "%d evacuated domains are more than %d", len(s.Marks), maxMarks)
	}
	for name, m := range s.Marks {
		if name == "" || len(name) > maxNameBytes {
			return result.New(result.StateInvalid, "the name of an evacuated domain has %d bytes", len(name))
		}
		if s.Position.Before(m.At) {
			return result.New(result.StateInvalid, "the evacuation of %s is later than the set", name)
		}
	}
	return nil
}
