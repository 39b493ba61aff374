package standing

import (
	"slices"

	"amaranthstile/ticket"
)

// Candidate is a running instance that may be on a roster.
type Candidate struct {
	ticket.RosterMember
	// Leaving says that it stops soon.
	Leaving bool
}

const (
	// maxWitnesses bounds the witnesses. They are an odd number, in different failure domains as far as there are some.
	maxWitnesses = 7
	// maxCoordinators bounds the homes, so that the roster stays small and changes seldom in a large fleet.
	maxCoordinators = 96
)

// RosterProposer returns the instance that proposes rosters; "" if there is none. Instances whose views differ may name
// different ones: the conditional write settles their race.
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

// NextRoster returns the roster that should follow the one in force, which may be nil. Members stay while they live;
// free places go by rendezvous rank, in turn to the failure domains that have the fewest.
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

// largestOdd returns the largest largestOdd number up to n, and 0 for 0.
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

// fillPlaces keeps the members that live, up to n, and fills free places.
func fillPlaces(members, live []ticket.RosterMember, n int, purpose string) []ticket.RosterMember {
	byID := make(map[string]ticket.RosterMember, len(live))
	ids := make([]string, 0, len(live))
	for _, m := range live {
		byID[m.ID] = m
		ids = append(ids, m.ID)
	}
	var out []ticket.RosterMember
	taken := make(map[string]bool)
	perDomain := make(map[string]int)
	add := func(m ticket.RosterMember) {
		out = append(out, m)
		taken[m.ID] = true
		perDomain[m.Domain]++
	}
	for _, m := range members {
		if now, ok := byID[m.ID]; ok && len(out) < n {
			add(now)
		}
	}
	ranked := rendezvousRank(ids, purpose)
	for len(out) < n {
		best := ""
		for _, id := range ranked {
			if !taken[id] && (best == "" || perDomain[byID[id].Domain] < perDomain[byID[best].Domain]) {
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
