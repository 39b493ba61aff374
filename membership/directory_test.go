package membership

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// TestShardOwnersAreThoseOfEarlierVersions compares the owners with the ranking that instances of all versions use: two
// versions in one fleet must agree on the owner of a shard.
func TestShardOwnersAreThoseOfEarlierVersions(t *testing.T) {
	records := make(map[ID]*Record)
	for n := range 100 {
		id := ID(fmt.Sprintf("%012x", n*7919))
		records[id] = &Record{ID: id, Leaving: n%10 == 0}
	}
	for shard, owner := range NewDirectory(records).ShardOwners(12) {
		var want ID
		var highest uint64
		for id, r := range records {
			if rank := xxhash.Sum64String(string(id)+"\x00"+strconv.Itoa(shard)) | 1; !r.Leaving && rank > highest {
				want, highest = id, rank
			}
		}
		if owner != want {
			t.Errorf("shard %d: %s owns it, %s by the ranking", shard, owner, want)
		}
	}
}
