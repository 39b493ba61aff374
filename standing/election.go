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
	// maxHomes bounds the homes, so that the roster stays small and changes seldom in a large fleet.
	maxHomes = 96
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
	return rank(ids, "coordinator")[0]
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
	next.Coordinators = fill(next.Coordinators, staying, maxHomes, "home")
	next.Witnesses = fill(next.Witnesses, staying, min(maxWitnesses, odd(len(staying))), "witness")
	return next
}

// odd returns the largest odd number up to n, and 0 for 0.
func odd(n int) int {
	if n > 0 && n%2 == 0 {
		return n - 1
	}
	return n
}

// SameMembers reports whether two rosters have the same members.
func SameMembers(a, b *ticket.Roster) bool {
	return a != nil && b != nil && slices.Equal(a.Coordinators, b.Coordinators) && slices.Equal(a.Witnesses, b.Witnesses)
}

// fill keeps the members that live, up to n, and fills free places.
func fill(members, live []ticket.RosterMember, n int, purpose string) []ticket.RosterMember {
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
	ranked := rank(ids, purpose)
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
