package quota

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"amaranthstile/ticket"
)

// maxCoordinators bounds how many coordinators share one account.
const maxCoordinators = 3

// minBurstPerCoordinator is the least burst, in tokens, of a share of a divided account: a smaller share can't be
// leased to two instances. Accounts with a smaller burst are divided among fewer coordinators or not at all.
const minBurstPerCoordinator = 2

// CoordinatorShare is the share of an account that one coordinator hands out.
type CoordinatorShare struct {
	Coordinator ticket.RosterMember
	Share       Quota
}

// Divide returns the coordinators of an account under a roster, each with its share. The shares add up to total.
// The coordinators lie in different failure domains and are chosen by rendezvous hashing.
func Divide(account string, total Quota, roster *ticket.Roster) []CoordinatorShare {
	if roster == nil {
		return nil
	}
	coordinators := pickCoordinators(account, roster.Coordinators, coordinatorCount(total))
	shares := make([]CoordinatorShare, 0, len(coordinators))
	left, n := total, Tokens(len(coordinators))
	for i, c := range coordinators {
		remaining := n - Tokens(i)
		s := left
		if remaining > 1 {
			tokens := total.Burst / Token
			s.Burst = (tokens / n) * Token
			if Tokens(i) < tokens%n {
				s.Burst += Token
			}
			s.Rate = mulDiv(total.Rate, s.Burst, total.Burst)
		}
		left = left.sub(s)
		shares = append(shares, CoordinatorShare{Coordinator: c, Share: s})
	}
	return shares
}

// coordinatorCount returns how many coordinators an account is divided among.
func coordinatorCount(total Quota) int {
	return int(max(1, min(maxCoordinators, total.Burst/Token/minBurstPerCoordinator)))
}

// pickCoordinators ranks the members by rendezvous hashing and returns the n best, at most one per failure domain.
func pickCoordinators(account string, members []ticket.RosterMember, n int) []ticket.RosterMember {
	best := make(map[string]rankedMember)
	for _, m := range members {
		r := rankedMember{m, xxhash.Sum64String(account + "\x00" + m.ID)}
		if old, ok := best[m.Domain]; !ok || r.ranksBefore(old) {
			best[m.Domain] = r
		}
	}
	all := make([]rankedMember, 0, len(best))
	for _, r := range best {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ranksBefore(all[j]) })
	out := make([]ticket.RosterMember, 0, n)
	for _, r := range all[:min(n, len(all))] {
		out = append(out, r.member)
	}
	return out
}

// rankedMember is a member with its rendezvous weight.
type rankedMember struct {
	member ticket.RosterMember
	weight uint64
}

func (r rankedMember) ranksBefore(o rankedMember) bool {
	if r.weight != o.weight {
		return r.weight > o.weight
	}
	return r.member.ID < o.member.ID
}
