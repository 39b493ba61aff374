package standing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// relaysPerDomain is how many instances of a failure domain ask the witnesses; the others ask these, or one
	// another.
	relaysPerDomain = 2
	// fanOut is how many instances ask one that is not a witness.
	fanOut = 6
)

// RenewalSources returns whom an instance asks for a credit, in order, among the instances of its own failure domain and the
// witnesses. The instances form a tree by rendezvous rank, so that nobody is asked by many: the first of a failure
// domain ask witnesses, the rest the one before them in the tree. The witnesses follow as the last resort.
func RenewalSources(self string, domain, witnesses []string) []string {
	ranked := rank(domain, "relay")
	out := rank(witnesses, self)
	at := slices.Index(ranked, self)
	if at >= relaysPerDomain {
		parent := (at - relaysPerDomain) / fanOut
		out = append([]string{ranked[parent]}, out...)
	}
	return slices.DeleteFunc(out, func(id string) bool { return id == self })
}

// rank orders identities by rendezvous hashing for a purpose.
func rank(ids []string, purpose string) []string {
	out := slices.Clone(ids)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(purpose, b), weight(purpose, a)), cmp.Compare(a, b))
	})
	return out
}

func weight(purpose, id string) uint64 { return xxhash.Sum64String(purpose + "\x00" + id) }
