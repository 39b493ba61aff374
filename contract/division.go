package contract

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"amaranthstile/ticket"
)

// maxHomes bounds how many homes share one account.
const maxHomes = 3

// minBurstPerHome is the least burst, in tokens, of a share of a divided account: a smaller share can't be leased to
// two instances. Accounts with a smaller burst are divided among fewer homes or not at all.
const minBurstPerHome = 2

// HomeShare is the share of an account that one home hands out.
type HomeShare struct {
	Home  ticket.RosterMember
	Share Quota
}

// Divide returns the homes of an account under a roster, each with its share. The shares add up to total.
// The homes lie in different failure domains and are chosen by rendezvous hashing.
func Divide(account string, total Quota, roster *ticket.Roster) []HomeShare {
	if roster == nil {
		return nil
	}
	homes := pickHomes(account, roster.Homes, homeCount(total))
	shares := make([]HomeShare, 0, len(homes))
	left, n := total, Tokens(len(homes))
	for i, h := range homes {
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
		shares = append(shares, HomeShare{Home: h, Share: s})
	}
	return shares
}

// homeCount returns how many homes an account is divided among.
func homeCount(total Quota) int {
	return int(max(1, min(maxHomes, total.Burst/Token/minBurstPerHome)))
}

// pickHomes ranks the members by rendezvous hashing and returns the n best, at most one per failure domain.
func pickHomes(account string, members []ticket.RosterMember, n int) []ticket.RosterMember {
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
