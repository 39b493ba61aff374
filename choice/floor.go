package choice

import (
	"math"
	"slices"
	"strings"

	"amaranthstile/membership"
)

// ApplyFloor returns, for each endpoint of a service, whether it is in use: announced, not draining, not beside a leaving
// instance, and not ejected or kept by the floor. The floor is a share of the slots of all endpoints that
// are announced and not draining. Where too few slots would be left, the least bad of the ejected endpoints stay
// in use, ordered by badness and then by identity, so that instances with equal views keep the same ones.
//
// Whatever view it is given, the slots in use are at least the floor's share of the announced slots in this view.
func ApplyFloor(endpoints []membership.Candidate, floor float64) []bool {
	use := make([]bool, len(endpoints))
	announced, inUse := 0, 0
	var ejected []int
	for i, c := range endpoints {
		if !announcedFor(c) {
			continue
		}
		announced += c.Slots
		if c.State == membership.Ejected {
			ejected = append(ejected, i)
			continue
		}
		use[i] = true
		inUse += c.Slots
	}
	need := int(math.Ceil(floor*float64(announced) - 1e-9))
	slices.SortFunc(ejected, func(i, j int) int { return compareBadness(endpoints[i], endpoints[j]) })
	for _, i := range ejected {
		if inUse >= need {
			break
		}
		use[i] = true
		inUse += endpoints[i].Slots
	}
	return use
}

// announcedFor reports whether an endpoint counts as capacity of its service.
func announcedFor(c membership.Candidate) bool {
	return c.State != membership.Draining && !c.Instance.Leaving
}

func compareBadness(a, b membership.Candidate) int {
	if a.Badness != b.Badness {
		return a.Badness - b.Badness
	}
	if a.Instance.ID != b.Instance.ID {
		return strings.Compare(string(a.Instance.ID), string(b.Instance.ID))
	}
	return strings.Compare(a.Backend, b.Backend)
}
