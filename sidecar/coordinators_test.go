package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/membership"
	"amaranthstile/result"
)

// TestFleetSizeCountsUnseenInstancesForASpan checks that instances that are no longer seen still count for at least one
// span, so that one side of a network partition does not hand out the rates of the whole fleet.
func TestFleetSizeCountsUnseenInstancesForASpan(t *testing.T) {
	is := is.New(t)
	f := fleetSize{span: 10 * time.Second}
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	is.Equal(f.largest(at(0), 38), 38)
	is.Equal(f.largest(at(5), 1), 38)
	is.Equal(f.largest(at(12), 1), 38)
	is.Equal(f.largest(at(23), 1), 1)
	is.Equal(f.largest(at(24), 3), 3)
	is.Equal(f.largest(at(60), 2), 2) // both spans have expired since the last call
}

// TestFewAccountsMoveWhenInstancesJoin grows a fleet by one instance, which may add a shard: at most as many accounts
// move as the new shard and the new instance take over, twice over.
func TestFewAccountsMoveWhenInstancesJoin(t *testing.T) {
	const accounts = 2000
	for _, instances := range []int{31, 63, 319, 351, 2815} {
		records := make(map[membership.ID]*membership.Record)
		add := func(n int) {
			id := membership.ID(fmt.Sprint("i", n))
			records[id] = &membership.Record{ID: id}
		}
		for n := range instances {
			add(n)
		}
		before := newCoordinatorTable(membership.NewDirectory(records))
		add(instances)
		after := newCoordinatorTable(membership.NewDirectory(records))
		moved := 0
		for n := range accounts {
			if account := fmt.Sprint("account", n); before.coordinatorOf(account) != after.coordinatorOf(account) {
				moved++
			}
		}
		shards := max(len(before.coordinators), len(after.coordinators))
		if bound := 2 * accounts * (1/float64(shards) + 1/float64(instances)); float64(moved) > bound {
			t.Errorf("%d instances: %d of %d accounts moved, at most %.0f may", instances, moved, accounts, bound)
		}
	}
}

// TestMalformedTransferIsRefused hands over shards that do not exist.
func TestMalformedTransferIsRefused(t *testing.T) {
	is := is.New(t)
	self := membership.ID("a")
	table := newCoordinatorTable(membership.NewDirectory(map[membership.ID]*membership.Record{self: {ID: self}}))
	is.True(table.owned(self, 0, 1))
	for _, row := range []struct{ shard, shards int }{{-1, 1}, {1, 1}, {0, 2}, {1 << 30, 1 << 31}} {
		is.True(!table.owned(self, row.shard, row.shards))
	}
	for _, row := range []struct {
		request transferRequest
		code    result.Code
	}{
		{transferRequest{Shards: 1, Owned: map[int]int64{0: -1}}, result.OK},
		{transferRequest{Shards: 1, Owned: map[int]int64{-1: 0}}, result.MessageInvalid},
		{transferRequest{Shards: 1, Owned: map[int]int64{1: 0}}, result.MessageInvalid},
		{transferRequest{Shards: 1 << 30, Owned: map[int]int64{1 << 20: -1}}, result.MessageInvalid},
	} {
		is.Equal(result.CodeOf(row.request.validate()), row.code)
	}
}

// BenchmarkCoordinatorTable ranks the coordinators for one view of the fleet, as happens after each change of the
// membership.
func BenchmarkCoordinatorTable(b *testing.B) {
	for _, instances := range []int{352, 2800, 4891} {
		records := make(map[membership.ID]*membership.Record)
		for n := range instances {
			id := membership.ID(fmt.Sprintf("%012x", n))
			records[id] = &membership.Record{ID: id}
		}
		d := membership.NewDirectory(records)
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			for b.Loop() {
				newCoordinatorTable(d)
			}
		})
	}
}
