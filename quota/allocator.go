package quota

import (
	"slices"
	"time"

	"amaranthstile/ticket"
)

// Allocator computes the share of each account that an instance may hand out as a coordinator.
//
// A share may be reduced at once, but it may grow only when no instance acts on an earlier configuration any more.
// Therefore every replaced configuration still counts for a while, and so does every pending one. If the largest shares
// that any of these configurations gives to each coordinator fit into the account's quota together, only the newest
// configuration counts: no mix of them can then exceed the quota.
type Allocator struct {
	self           string
	settleTime     time.Duration // how long some instance may act on a replaced configuration
	lookup         func(account string) AccountQuotas
	rosters        []rosterPeriod // newest first
	pending        []*ticket.Roster
	changedQuotas  map[string][]quotaPeriod // by account that changed recently, newest first
	unchangedSince time.Duration            // since when the accounts not in changedQuotas have had a single quota
}

// rosterPeriod is the time in which instances may act on a roster.
type rosterPeriod struct {
	roster    *ticket.Roster
	soleSince time.Duration // when the earlier rosters stopped counting
	expires   time.Duration // when it stops counting, set once it is replaced
}

// quotaPeriod is the time in which instances may act on a quota of an account; its times are as in rosterPeriod.
type quotaPeriod struct {
	quota              Quota
	soleSince, expires time.Duration
}

// AccountQuotas are the quotas of an account that some instance may act on; a zero Quota means that there is no
// account.
type AccountQuotas struct {
	// Strict is the smallest of the others; this instance acts on it.
	Strict Quota
	// InForce is the quota of the configuration in force.
	InForce Quota
	// Pending are the quotas of changes that may have been accepted since.
	Pending []Quota
}

// NewAllocator returns the allocator of the instance self. No instance acts on a configuration any more once settleTime
// has passed since it was replaced. The lookup function returns the current quotas of an account.
func NewAllocator(self string, now, settleTime time.Duration, lookup func(account string) AccountQuotas) *Allocator {
	return &Allocator{self: self, settleTime: settleTime, lookup: lookup, unchangedSince: now, changedQuotas: make(map[string][]quotaPeriod)}
}

// SetRoster sets the roster in force and the pending rosters.
func (a *Allocator) SetRoster(now time.Duration, r *ticket.Roster, pending []*ticket.Roster) {
	a.pending = pending
	if r == nil || (len(a.rosters) > 0 && a.rosters[0].roster.Epoch >= r.Epoch) {
		return
	}
	until := now + a.settleTime
	if len(a.rosters) > 0 {
		a.rosters[0].expires = until
	} else if r.Epoch > 1 {
		a.rosters = []rosterPeriod{{roster: &ticket.Roster{}, expires: until}} // the earlier roster is not known
	} else {
		until = now
	}
	a.rosters = append([]rosterPeriod{{roster: r, soleSince: until}}, a.rosters...)
}

// RecordChange records that the quota in force of an account changed just now.
func (a *Allocator) RecordChange(now time.Duration, account string, before, after Quota) {
	if before == after {
		return
	}
	soleSince := now
	periods := a.changedQuotas[account]
	if len(periods) == 0 {
		periods = []quotaPeriod{{quota: before}}
	}
	if len(periods) > 1 || !before.IsZero() {
		soleSince = now + a.settleTime
	}
	periods[0].expires = now + a.settleTime
	a.changedQuotas[account] = append([]quotaPeriod{{quota: after, soleSince: soleSince}}, periods...)
}

// Allocation is what an instance may hand out of an account.
type Allocation struct {
	// Total is the quota of the whole account, Share the part that this instance hands out.
	Total, Share Quota
	// Since is the time since which Share has been the same.
	Since time.Duration
}

// Allocation returns what this instance may hand out of the account.
func (a *Allocator) Allocation(now time.Duration, account string) Allocation {
	a.dropExpired(now, account)
	quotas := a.lookup(account)
	total := quotas.Strict
	if total.IsZero() || len(a.rosters) == 0 {
		return Allocation{Total: total, Since: now}
	}
	share, isNewest := a.allowedShare(account, quotas)
	since := now
	if isNewest {
		since = max(a.rosters[0].soleSince, a.unchangedSince)
		if periods := a.changedQuotas[account]; len(periods) > 0 {
			since = max(since, periods[0].soleSince)
		}
		since = min(since, now)
	}
	return Allocation{Total: total, Share: share, Since: since}
}

// allowedShare returns this instance's share and whether it is the one under the newest configuration. Otherwise it is
// the smallest rate and the smallest burst under any configuration that counts.
func (a *Allocator) allowedShare(account string, quotas AccountQuotas) (Quota, bool) {
	total := quotas.Strict
	newest := a.ownShare(account, total, a.rosters[0].roster)
	largest := make(map[string]Quota)
	smallest := newest
	anyUnknown := false
	for _, q := range a.possibleQuotas(account, quotas) {
		for _, r := range a.possibleRosters() {
			anyUnknown = anyUnknown || (r.Epoch == 0)
			for _, p := range Divide(account, q, r) {
				largest[p.Coordinator.ID] = largest[p.Coordinator.ID].max(p.Share)
			}
			smallest = smallest.min(a.ownShare(account, q, r))
		}
	}
	var sum Quota
	for _, s := range largest {
		sum = sum.add(s)
	}
	if sum.Fits(total) && !anyUnknown {
		return newest, true
	}
	return smallest, false
}

// possibleQuotas returns the quotas of an account that some instance may act on.
func (a *Allocator) possibleQuotas(account string, quotas AccountQuotas) []Quota {
	out := append([]Quota{quotas.Strict, quotas.InForce}, quotas.Pending...)
	for _, p := range a.changedQuotas[account] {
		out = append(out, p.quota)
	}
	return slices.DeleteFunc(out, Quota.IsZero)
}

// possibleRosters returns the rosters that some instance may act on.
func (a *Allocator) possibleRosters() []*ticket.Roster {
	out := append([]*ticket.Roster(nil), a.pending...)
	for _, r := range a.rosters {
		out = append(out, r.roster)
	}
	return out
}

// ownShare returns the share of this instance under a roster; zero if it is no coordinator of the account.
func (a *Allocator) ownShare(account string, total Quota, r *ticket.Roster) Quota {
	for _, p := range Divide(account, total, r) {
		if p.Coordinator.ID == a.self {
			return p.Share
		}
	}
	return Quota{}
}

// dropExpired removes configurations that no instance acts on any more.
func (a *Allocator) dropExpired(now time.Duration, account string) {
	for len(a.rosters) > 1 && a.rosters[len(a.rosters)-1].expires <= now {
		a.rosters = a.rosters[:len(a.rosters)-1]
	}
	periods := a.changedQuotas[account]
	for len(periods) > 1 && periods[len(periods)-1].expires <= now {
		periods = periods[:len(periods)-1]
	}
	switch len(periods) {
	case 0:
	case 1:
		a.unchangedSince = max(a.unchangedSince, periods[0].soleSince)
		delete(a.changedQuotas, account)
	default:
		a.changedQuotas[account] = periods
	}
}
