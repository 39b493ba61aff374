package sidecar

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-jump"

	"amaranthstile/membership"
)

// coordinatorOf returns the coordinator of an account: instances with the same view of the fleet choose the same one,
// and few accounts move when an instance joins or leaves.
func (q *quotas) coordinatorOf(account string) membership.ID {
	return q.currentTable().coordinatorOf(account)
}

// currentTable returns the coordinators in the present view of the fleet.
func (q *quotas) currentTable() *coordinatorTable {
	if t := q.table.Load(); t != nil && t.directory == q.instance.members.Directory() {
		return t
	}
	return q.refreshTable()
}

// coordinatorTable caches the coordinators for one view of the fleet, because ranking all instances for each request
// would take too long.
type coordinatorTable struct {
	directory    *membership.Directory
	coordinators []membership.ID // by shard
	// since is when this instance became the coordinator of each shard that it coordinates; zero if no other one has
	// counted for its accounts.
	since []time.Time
	// gainedAt is when this instance saw that it coordinates each of its shards.
	gainedAt []time.Time
	// index is the position of this instance among all that it sees, by ID.
	index int
	// relays are the instances by way of which this one calls a coordinator to which its own path is slow; see rankRelays.
	relays []membership.ID
}

func newCoordinatorTable(d *membership.Directory) *coordinatorTable {
	t := &coordinatorTable{
		directory: d, coordinators: d.ShardOwners(max(len(d.Records())/instancesPerCoordinator, 1)),
	}
	t.since, t.gainedAt = make([]time.Time, len(t.coordinators)), make([]time.Time, len(t.coordinators))
	return t
}

// shardOf returns the shard of an account. With a consistent hash, an additional shard takes over accounts from all others
// and leaves the rest where it is.
func (t *coordinatorTable) shardOf(account string) int {
	return int(jump.Hash(xxhash.Sum64String(account), len(t.coordinators)))
}

// coordinatorOf returns the coordinator of an account.
func (t *coordinatorTable) coordinatorOf(account string) membership.ID {
	return t.coordinators[t.shardOf(account)]
}

// owned reports whether an instance coordinated a shard in this table, with the same number of shards as in another one.
// The shard may be out of range, as another instance has named it.
func (t *coordinatorTable) owned(id membership.ID, shard, shards int) bool {
	return t != nil && len(t.coordinators) == shards && 0 <= shard && shard < shards && t.coordinators[shard] == id
}

// indexOf returns the position of an instance among all in a directory, by ID.
func indexOf(id membership.ID, d *membership.Directory) int {
	index := 0
	for other := range d.Records() {
		if other < id {
			index++
		}
	}
	return index
}

// relayCount is how many instances one instance uses as relays: as many as a call uses at a time. They stay the same while
// they are in the view, so that the connections to them are open when they are needed.
const relayCount = 6

// rankRelays returns the relays of an instance, preferably of other failure domains than its own: a hash chooses them, so that
// all instances of the fleet relay equally often.
func rankRelays(self membership.ID, domain string, d *membership.Directory) []membership.ID {
	type ranked struct {
		id   membership.ID
		near bool
		hash uint64
	}
	compare := func(a, b ranked) int {
		if a.near != b.near {
			return map[bool]int{false: -1, true: 1}[a.near]
		}
		return cmp.Compare(a.hash, b.hash)
	}
	best := make([]ranked, 0, relayCount+1)
	for id, r := range d.Records() {
		if id == self || r.Leaving {
			continue
		}
		x := ranked{id, r.Domain == domain, xxhash.Sum64String(string(self) + "/" + string(id))}
		if at, _ := slices.BinarySearchFunc(best, x, compare); at < relayCount {
			best = slices.Insert(best, at, x)[:min(len(best)+1, relayCount)]
		}
	}
	out := make([]membership.ID, len(best))
	for i, x := range best {
		out[i] = x.id
	}
	return out
}

// currentCoordinator returns the coordinator of the accounts of a request as this instance sees it, or the one that the
// request names if this instance is not that one or the accounts have different coordinators. A sender that has not yet
// learned that a coordinator joined or came back asks the previous one; relaying its request keeps two instances from
// counting for the same account.
func (q *quotas) currentCoordinator(request usageRequest) membership.ID {
	if request.Coordinator != q.instance.id {
		return request.Coordinator
	}
	var common membership.ID
	for account := range request.Accounts {
		coordinator := q.coordinatorOf(account)
		if common != "" && coordinator != common {
			return request.Coordinator
		}
		common = coordinator
	}
	if common == "" {
		return request.Coordinator
	}
	return common
}

// instanceCount returns how many instances this one sees, itself included.
func (q *quotas) instanceCount() int {
	return max(len(q.instance.members.Directory().Records()), 1)
}

// grantableShare returns the share of the accounts' rates that this coordinator may grant: that of the instances which
// it sees, of the most that it saw recently, since the others may be partitioned off with a coordinator of their own.
// Instances that it suspects, or that have not yet moved to it from another coordinator, may spend their own shares. The
// calling function holds the lock.
func (q *quotas) grantableShare(now time.Time) float64 {
	seen := q.instanceCount()
	trusted := float64(max(seen-q.instance.members.SuspectCount(), 1))
	return min(trusted, float64(seen)*q.takeover.Fraction(now, seen)) / float64(q.fleet.largest(now, seen))
}

// fleetSize tracks the largest number of instances that was seen recently. The zero value has seen none.
type fleetSize struct {
	span      time.Duration
	spanStart time.Time
	current   int // the most since spanStart
	previous  int // the most in the span before
}

// largest adds a number of instances and returns the largest number within the last one to two spans.
func (f *fleetSize) largest(now time.Time, seen int) int {
	if age := now.Sub(f.spanStart); age >= f.span {
		f.previous = f.current
		if age >= 2*f.span {
			f.previous = 0
		}
		f.spanStart, f.current = now, 0
	}
	f.current = max(f.current, seen)
	return max(f.current, f.previous)
}
