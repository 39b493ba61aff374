package authority

import (
	"slices"

	"amaranthstile/ticket"
)

// Candidate is a running instance that may be on a roster.
type Candidate struct {
	ticket.RosterMember
	// Leaving reports that the instance stops soon.
	Leaving bool
}

const (
	// maxWitnesses bounds the number of witnesses. It is odd, and the witnesses are spread over as many failure domains
	// as possible.
	maxWitnesses = 7
	// maxCoordinators bounds the number of lease coordinators, so that the roster of a large fleet stays small and
	// rarely changes.
	maxCoordinators = 96
)

// RosterProposer returns the identity of the instance that proposes rosters, or "" if there is none. Instances whose
// membership views differ may get different results; the conditional write resolves the race between their proposals.
func RosterProposer(live []Candidate) string {
	var ids []string
	for _, c := range live {
		if !c.Leaving {
			ids = append(ids, c.ID)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return rendezvousRank(ids, "coordinator")[0]
}

// NextRoster returns the roster that should follow the one in force, which may be nil. Members keep their places while
// they are alive. Each free place goes to the failure domain with the fewest members, and within it to the instance
// with the highest rendezvous rank.
func NextRoster(current *ticket.Roster, live []Candidate) *ticket.Roster {
	var staying []ticket.RosterMember
	for _, c := range live {
		if !c.Leaving {
			staying = append(staying, c.RosterMember)
		}
	}
	next := &ticket.Roster{Epoch: 1}
	if current != nil {
		*next = *current
		next.Epoch++
	}
	next.Coordinators = fillPlaces(next.Coordinators, staying, maxCoordinators, "home")
	next.Witnesses = fillPlaces(next.Witnesses, staying, min(maxWitnesses, largestOdd(len(staying))), "witness")
	return next
}

// largestOdd returns the largest odd number up to n, and 0 for 0.
func largestOdd(n int) int {
	if n > 0 && n%2 == 0 {
		return n - 1
	}
	return n
}

// SameMembers reports whether two rosters have the same members.
func SameMembers(a, b *ticket.Roster) bool {
	return a != nil && b != nil && slices.Equal(a.Coordinators, b.Coordinators) && slices.Equal(a.Witnesses, b.Witnesses)
}

// fillPlaces keeps the members that are alive, up to n, and fills the free places. Purpose seeds the rendezvous rank,
// so that each role has its own order of instances.
func fillPlaces(members, live []ticket.RosterMember, n int, purpose string) []ticket.RosterMember {
	byID := make(map[string]ticket.RosterMember, len(live))
	ids := make([]string, 0, len(live))
	for _, m := range live {
		byID[m.ID] = m
		ids = append(ids, m.ID)
	}
	var out []ticket.RosterMember
	chosen := make(map[string]bool)
	perDomain := make(map[string]int)
	add := func(m ticket.RosterMember) {
		out = append(out, m)
		chosen[m.ID] = true
		perDomain[m.Domain]++
	}
	for _, m := range members {
		if current, ok := byID[m.ID]; ok && len(out) < n {
			add(current)
		}
	}
	ranked := rendezvousRank(ids, purpose)
	for len(out) < n {
		best := ""
		for _, id := range ranked {
			if !chosen[id] && (best == "" || perDomain[byID[id].Domain] < perDomain[byID[best].Domain]) {
				best = id
			}
		}
		if best == "" {
			break
		}
		add(byID[best])
	}
	slices.SortFunc(out, func(a, b ticket.RosterMember) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}
