package balancer

import (
	"math"
	"slices"
	"strings"

	"amaranthstile/membership"
)

// ApplyFloor returns, for each endpoint of a service, whether it is in use. An endpoint is in use if it is not
// draining, its instance is not leaving, and it is either not ejected or kept by the floor. The floor is a share of
// the slots of all endpoints that are announced and not draining. If the other endpoints have fewer slots than the
// floor requires, the least bad ejected endpoints stay in use. They are ordered by badness and then by identity, so
// that instances with equal views keep the same ones.
//
// For every view, the slots in use are at least the floor's share of the announced slots in that view.
func ApplyFloor(endpoints []membership.Candidate, floor float64) []bool {
	use := make([]bool, len(endpoints))
	announced, inUse := 0, 0
	var ejected []int
	for i, c := range endpoints {
		if !countsAsCapacity(c) {
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

// countsAsCapacity reports whether an endpoint counts towards the capacity of its service.
func countsAsCapacity(c membership.Candidate) bool {
	return c.State != membership.Draining && !c.Instance.Leaving
}

// compareBadness orders endpoints by badness and, if that is equal, by identity.
func compareBadness(a, b membership.Candidate) int {
	if a.Badness != b.Badness {
		return a.Badness - b.Badness
	}
	if a.Instance.ID != b.Instance.ID {
		return strings.Compare(string(a.Instance.ID), string(b.Instance.ID))
	}
	return strings.Compare(a.Backend, b.Backend)
}
