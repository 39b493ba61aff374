// Package position defines points in the history of the platform's store.
package position

// Position is a point in the history of the store.
type Position struct {
	// Generation is the generation of the store, which rises each time it comes back from an older copy, without its latest
	// writes. It then gives out the revisions of these again.
	Generation uint64 `json:"generation,omitempty"`
	// Revision is the store's revision.
	Revision uint64 `json:"revision,omitempty"`
}

// Before reports whether p comes before q in the history of the store.
func (p Position) Before(q Position) bool {
	return p.Generation < q.Generation || p.Generation == q.Generation && p.Revision < q.Revision
}
