package sidecar

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthstile/membership"
)

// homeOf returns the home of an account: every instance with the same view chooses the same, and few accounts move when an
// instance comes or goes.
func (a *allotments) homeOf(account string) membership.ID {
	d := a.instance.members.Directory()
	t := a.table.Load()
	if t == nil || t.directory != d {
		t = newHomeTable(d)
		a.table.Store(t)
	}
	return t.homes[xxhash.Sum64String(account)%uint64(len(t.homes))]
}

// homeTable holds the homes of one view of the fleet: ranking all instances takes too long for each request.
type homeTable struct {
	directory *membership.Directory
	homes     []membership.ID // by shard
}

func newHomeTable(d *membership.Directory) *homeTable {
	t := &homeTable{directory: d, homes: make([]membership.ID, max(len(d.Records())/instancesPerHome, 1))}
	for shard := range t.homes {
		t.homes[shard] = d.ShardOwner(uint64(shard))
	}
	return t
}

// presentHome is the home of the accounts of a call as this instance sees it, where they have one and the same. An instance that
// has not learned yet of a home that came or is back asks the one before, and no two may count at a time.
func (a *allotments) presentHome(call usageCall) membership.ID {
	if call.Home != a.instance.id {
		return call.Home
	}
	var home membership.ID
	for account := range call.Accounts {
		h := a.homeOf(account)
		if home != "" && h != home {
			return call.Home
		}
		home = h
	}
	if home == "" {
		return call.Home
	}
	return home
}

// instances is how many instances this one sees, itself included.
func (a *allotments) instances() int {
	return max(len(a.instance.members.Directory().Records()), 1)
}

// part is the share of the rates that this home may hand out: that of the instances it sees of those it saw of late, since the
// others may be cut off and have a home of their own, and that of those which came to it from another home. The caller holds
// the lock.
func (a *allotments) part(now time.Time) float64 {
	seen := a.instances()
	return float64(seen) / float64(a.fleet.most(now, seen)) * a.moves.Fraction(now, seen)
}

// fleetSize remembers the largest number of instances that was seen of late. The zero value remembers nothing.
type fleetSize struct {
	span    time.Duration
	began   time.Time
	current int // most since began
	before  int // most in the span before
}

// most returns the largest number seen within one to two spans.
func (f *fleetSize) most(now time.Time, seen int) int {
	if age := now.Sub(f.began); age >= f.span {
		f.before = f.current
		if age >= 2*f.span {
			f.before = 0
		}
		f.began, f.current = now, 0
	}
	f.current = max(f.current, seen)
	return max(f.current, f.before)
}
