package authority

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// relaysPerDomain is the number of instances in each failure domain that ask the witnesses directly. The others ask
	// an instance above them in the tree.
	relaysPerDomain = 2
	// fanOut is the largest number of instances that ask the same instance of their failure domain.
	fanOut = 6
)

// RenewalSources returns the instances that an instance asks for a relayed lease, in order. They are chosen from the
// instances of its own failure domain and the witnesses. The instances of a failure domain form a tree by rendezvous
// rank, so that no instance gets requests from many others: the first ones ask witnesses, and the others ask their
// parent in the tree. The witnesses come last, as a fallback.
func RenewalSources(self string, domain, witnesses []string) []string {
	ranked := rendezvousRank(domain, "relay")
	out := rendezvousRank(witnesses, self)
	position := slices.Index(ranked, self)
	if position >= relaysPerDomain {
		parent := (position - relaysPerDomain) / fanOut
		out = append([]string{ranked[parent]}, out...)
	}
	return slices.DeleteFunc(out, func(id string) bool { return id == self })
}

// rendezvousRank orders identities by rendezvous hashing. Each purpose gives another order.
func rendezvousRank(ids []string, purpose string) []string {
	out := slices.Clone(ids)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(purpose, b), rendezvousWeight(purpose, a)), cmp.Compare(a, b))
	})
	return out
}

func rendezvousWeight(purpose, id string) uint64 { return xxhash.Sum64String(purpose + "\x00" + id) }
