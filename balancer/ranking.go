package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthstile/membership"
)

// ranking is the rank order of a service's endpoints within each failure domain. All instances compute the same order,
// from the hashes of the backend names. A ranking is computed once per list of endpoints: views of the membership are
// immutable, and most changes keep a service's list.
type ranking struct {
	list  []membership.Candidate
	ranks []float64 // rank of each endpoint from 0, in the order of list
	// endpoints is the number of endpoints in each failure domain.
	endpoints map[string]int
}

// isFor reports whether the ranking was computed from this same slice.
func (r ranking) isFor(list []membership.Candidate) bool {
	return len(r.list) == len(list) && (len(list) == 0 || &r.list[0] == &list[0])
}

func newRanking(list []membership.Candidate) ranking {
	hashes := make([]uint64, len(list))
	order := make([]int, len(list))
	for i, c := range list {
		hashes[i], order[i] = xxhash.Sum64String(c.Backend), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(hashes[a], hashes[b]) })
	r := ranking{list: list, ranks: make([]float64, len(list)), endpoints: make(map[string]int)}
	for _, i := range order {
		domain := list[i].Instance.Domain
		r.ranks[i] = float64(r.endpoints[domain])
		r.endpoints[domain]++
	}
	return r
}
