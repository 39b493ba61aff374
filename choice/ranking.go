package choice

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthstile/membership"
)

// ranking is the common order of a service's endpoints within each failure domain. It is worked out once for each list: the
// views of the membership are immutable, and most changes leave a service's list as it is.
type ranking struct {
	list  []membership.Candidate
	ranks []float64 // places from 0, in the order of list
}

// of tells whether the ranking is of this very list.
func (r ranking) of(list []membership.Candidate) bool {
	return len(r.list) == len(list) && (len(list) == 0 || &r.list[0] == &list[0])
}

func newRanking(list []membership.Candidate) ranking {
	hashes := make([]uint64, len(list))
	order := make([]int, len(list))
	for n, c := range list {
		hashes[n], order[n] = xxhash.Sum64String(c.Backend), n
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(hashes[a], hashes[b]) })
	r := ranking{list: list, ranks: make([]float64, len(list))}
	next := make(map[string]float64) // by failure domain
	for _, n := range order {
		domain := list[n].Instance.Domain
		r.ranks[n] = next[domain]
		next[domain]++
	}
	return r
}

// ranksOf returns the ranks of the endpoints of a service; the caller holds the lock.
func (p *CostSelector) ranksOf(service string, list []membership.Candidate) []float64 {
	r, ok := p.rankings[service]
	if !ok || !r.of(list) {
		r = newRanking(list)
		p.rankings[service] = r
	}
	return r.ranks
}
