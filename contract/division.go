package contract

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"amaranthstile/ticket"
)

// maxHomes is how many instances hold parts of one account.
const maxHomes = 3

// minBurstPerHome keeps accounts with a small burst whole: a part below it can't be leased to two instances.
const minBurstPerHome = 2

// CoordinatorShare is the part of an account that one home answers for.
type CoordinatorShare struct {
	Coordinator ticket.RosterMember
	Share       Quota
}

// Divide gives the homes of an account under a roster, each with its part. The parts add up to whole.
// The homes lie in different failure domains, picked by rendezvous hashing.
func Divide(account string, whole Quota, r *ticket.Roster) []CoordinatorShare {
	if r == nil {
		return nil
	}
	homes := pickHomes(account, r.Coordinators, wantedHomes(whole))
	parts := make([]CoordinatorShare, 0, len(homes))
	left, n := whole, Tokens(len(homes))
	for i, h := range homes {
		rest := n - Tokens(i)
		s := left
		if rest > 1 {
			tokens := whole.Burst / Token
			s.Burst = (tokens / n) * Token
			if Tokens(i) < tokens%n {
				s.Burst += Token
			}
			s.Rate = mulDiv(whole.Rate, s.Burst, whole.Burst)
		}
		left = left.minus(s)
		parts = append(parts, CoordinatorShare{Coordinator: h, Share: s})
	}
	return parts
}

func wantedHomes(whole Quota) int {
	return int(max(1, min(maxHomes, whole.Burst/Token/minBurstPerHome)))
}

// pickHomes ranks the members by rendezvous hashing and takes the first of each failure domain.
func pickHomes(account string, members []ticket.RosterMember, n int) []ticket.RosterMember {
	best := make(map[string]ranked)
	for _, m := range members {
		r := ranked{m, xxhash.Sum64String(account + "\x00" + m.ID)}
		if old, ok := best[m.Domain]; !ok || r.before(old) {
			best[m.Domain] = r
		}
	}
	all := make([]ranked, 0, len(best))
	for _, r := range best {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].before(all[j]) })
	out := make([]ticket.RosterMember, 0, n)
	for _, r := range all[:min(n, len(all))] {
		out = append(out, r.member)
	}
	return out
}

// ranked is a member with its rendezvous weight.
type ranked struct {
	member ticket.RosterMember
	weight uint64
}

func (r ranked) before(o ranked) bool {
	if r.weight != o.weight {
		return r.weight > o.weight
	}
	return r.member.ID < o.member.ID
}
