package sidecar

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"amaranthstile/membership"
)

// newView returns a view of a fleet of n instances.
func newView(n int) *membership.Directory {
	records := make(map[membership.ID]*membership.Record, n)
	for k := range n {
		id := membership.ID(fmt.Sprintf("%012x", k*7919))
		records[id] = &membership.Record{ID: id, Domain: fmt.Sprintf("domain%d", k%4)}
	}
	return membership.NewDirectory(records)
}

// TestTurnsAreSharedByAllInstances counts the turns of each instance: one instance reads in each turn, and each reads its share.
func TestTurnsAreSharedByAllInstances(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 8, 78, 352} {
		view := newView(n)
		turns := make(map[membership.ID]int)
		for turn := range int64(50 * n) {
			turns[pollerOf(view, turn, nil)]++
		}
		is.Equal(len(turns), n)
		is.Equal(turns[""], 0)
		for _, count := range turns {
			is.True(count >= 10 && count <= 150) // 50 each on average
		}
	}
}

// TestStoreIsReadInTimeWithoutTheWatchers ends all watchers at once, which nobody suspects yet: another instance reads the store in the
// first half of the time in which a change has to be in force, and the rest is for passing it on.
func TestStoreIsReadInTimeWithoutTheWatchers(t *testing.T) {
	is := is.New(t)
	deadline := DefaultBounds().ConfigDeadline
	view := newView(78)
	watchers := make(map[membership.ID]bool)
	for domain := range 4 {
		for _, id := range view.SelectInstances(fmt.Sprintf("domain%d", domain), "watch", watchersPerDomain) {
			watchers[id] = true
		}
	}
	for first := range int64(5000) {
		read := false
		for turn := first; turn < first+int64(deadline/2/turnLength(deadline)); turn++ {
			read = read || !watchers[pollerOf(view, turn, nil)]
		}
		is.True(read)
	}
}

// TestTurnOfASuspectedInstanceFallsToAnother suspects the instance that a turn falls to.
func TestTurnOfASuspectedInstanceFallsToAnother(t *testing.T) {
	is := is.New(t)
	view := newView(8)
	first := pollerOf(view, 7, nil)
	second := pollerOf(view, 7, map[membership.ID]bool{first: true})
	is.True(second != first && second != "")
}
