package instance

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthstile/idempotency"
	"amaranthstile/membership"
)

// maxSuccessors bounds to how many instances a replica can be handed over.
const maxSuccessors = 4

// newIdempotency returns the service that runs requests with an Idempotency-Key at most once.
func (i *Instance) newIdempotency() *idempotency.Service {
	return idempotency.New(idempotency.Options{
		ID:         string(i.id),
		RPC:        i.calls,
		Address:    i.controlAddress,
		Candidates: i.replicaCandidates,
		Platform:   i.options.Platform,
		Successors: i.successors,
	})
}

func (i *Instance) controlAddress(id string) (string, bool) {
	r, ok := i.members.Directory().Record(membership.ID(id))
	if !ok {
		return "", false
	}
	return r.Control.String(), true
}

// successors returns the instances to which a replica can be handed over, the preferred ones first: the maxSuccessors
// highest-ranked of the other instances that are not leaving, by rendezvous hashing.
func (i *Instance) successors(replica string) []string {
	type ranked struct {
		id   string
		rank uint64
	}
	var all []ranked
	for id, r := range i.members.Directory().Records() {
		if !r.Leaving && string(id) != replica {
			all = append(all, ranked{string(id), xxhash.Sum64String(replica + "\x00" + string(id))})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var out []string
	for _, r := range all[:min(len(all), maxSuccessors)] {
		out = append(out, r.id)
	}
	return out
}

// replicaCandidates returns the instances that are not leaving, in random order, except that one instance of each
// failure domain comes before all others.
func (i *Instance) replicaCandidates() []string {
	var first, rest []string
	seen := make(map[string]bool)
	for _, r := range i.shuffledMembers() {
		switch {
		case r.Leaving:
		case seen[r.Domain]:
			rest = append(rest, string(r.ID))
		default:
			seen[r.Domain] = true
			first = append(first, string(r.ID))
		}
	}
	return append(first, rest...)
}

func (i *Instance) shuffledMembers() []*membership.Record {
	all := i.members.All()
	rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all
}
