package contract

import (
	"slices"
	"time"

	"amaranthstile/ticket"
)

// Allocator tells what part of each account an instance may hand out as a home.
//
// A part may be lowered at once, but raised only when nobody acts on an earlier configuration any more.
// So every configuration that was replaced counts for a while longer, and so does one that is pending. Where the
// largest parts that any of them gives to each home fit into the account together, the newest counts alone:
// then no mix of them can be too much.
type Allocator struct {
	self           string
	settleTime     time.Duration
	lookup         func(account string) AccountQuotas
	rosters        []rosterPeriod // newest first
	pending        []*ticket.Roster
	changedQuotas  map[string][]quotaPeriod // accounts that changed of late, newest first
	unchangedSince time.Duration            // from when on what is not in changed was alone in force
}

type rosterPeriod struct {
	roster    *ticket.Roster
	soleSince time.Duration // from when on it is alone in force
	expires   time.Duration // until when one that was replaced counts
}

type quotaPeriod struct {
	quota              Quota
	soleSince, expires time.Duration
}

// AccountQuotas are the rate and burst of an account that somebody may act on; the zero Quota stands for no account.
type AccountQuotas struct {
	// Strict is the least of the others, on which this instance acts.
	Strict Quota
	// InForce is the accepted one.
	InForce Quota
	// Pending are those that may have been accepted after it.
	Pending []Quota
}

// NewAllocator returns the allocator of the instance self. After wait nobody acts any more on a
// configuration that was replaced. Lookup gives an account as it is now.
func NewAllocator(self string, now, wait time.Duration, lookup func(account string) AccountQuotas) *Allocator {
	return &Allocator{self: self, settleTime: wait, lookup: lookup, unchangedSince: now, changedQuotas: make(map[string][]quotaPeriod)}
}

// SetRoster takes over the roster in force and the ones that are pending.
func (e *Allocator) SetRoster(now time.Duration, r *ticket.Roster, pending []*ticket.Roster) {
	e.pending = pending
	if r == nil || (len(e.rosters) > 0 && e.rosters[0].roster.Epoch >= r.Epoch) {
		return
	}
	until := now + e.settleTime
	if len(e.rosters) > 0 {
		e.rosters[0].expires = until
	} else if r.Epoch > 1 {
		e.rosters = []rosterPeriod{{roster: &ticket.Roster{}, expires: until}} // the one before it is not known
	} else {
		until = now
	}
	e.rosters = append([]rosterPeriod{{roster: r, soleSince: until}}, e.rosters...)
}

// RecordChange takes over that the rate and burst in force of an account changed just now.
func (e *Allocator) RecordChange(now time.Duration, account string, before, after Quota) {
	if before == after {
		return
	}
	alone := now
	list := e.changedQuotas[account]
	if len(list) == 0 {
		list = []quotaPeriod{{quota: before}}
	}
	if len(list) > 1 || !before.IsZero() {
		alone = now + e.settleTime
	}
	list[0].expires = now + e.settleTime
	e.changedQuotas[account] = append([]quotaPeriod{{quota: after, soleSince: alone}}, list...)
}

// Allocation is what an instance may hand out of an account.
type Allocation struct {
	// Total is the account's rate and burst, Share what this instance hands out.
	Total, Share Quota
	// Since tells from when on Part was the same.
	Since time.Duration
}

// Allocation returns what this instance may hand out of the account.
func (e *Allocator) Allocation(now time.Duration, account string) Allocation {
	e.dropExpired(now, account)
	wholes := e.lookup(account)
	whole := wholes.Strict
	if whole.IsZero() || len(e.rosters) == 0 {
		return Allocation{Total: whole, Since: now}
	}
	part, fixed := e.allowedShare(account, wholes)
	since := now
	if fixed {
		since = max(e.rosters[0].soleSince, e.unchangedSince)
		if list := e.changedQuotas[account]; len(list) > 0 {
			since = max(since, list[0].soleSince)
		}
		since = min(since, now)
	}
	return Allocation{Total: whole, Share: part, Since: since}
}

// allowedShare returns the part and whether it is the one that the newest configuration gives.
func (e *Allocator) allowedShare(account string, now AccountQuotas) (Quota, bool) {
	whole := now.Strict
	current := e.ownShare(account, whole, e.rosters[0].roster)
	largest := make(map[string]Quota)
	least := current
	unknown := false
	for _, w := range e.possibleQuotas(account, now) {
		for _, r := range e.possibleRosters() {
			unknown = unknown || (r.Epoch == 0)
			for _, p := range Divide(account, w, r) {
				largest[p.Home.ID] = largest[p.Home.ID].max(p.Share)
			}
			least = least.min(e.ownShare(account, w, r))
		}
	}
	var sum Quota
	for _, s := range largest {
		sum = sum.add(s)
	}
	if sum.Fits(whole) && !unknown {
		return current, true
	}
	return least, false
}

// possibleQuotas returns the rates and bursts of an account that somebody may act on.
func (e *Allocator) possibleQuotas(account string, now AccountQuotas) []Quota {
	out := append([]Quota{now.Strict, now.InForce}, now.Pending...)
	for _, w := range e.changedQuotas[account] {
		out = append(out, w.quota)
	}
	return slices.DeleteFunc(out, Quota.IsZero)
}

// possibleRosters returns the rosters that somebody may act on.
func (e *Allocator) possibleRosters() []*ticket.Roster {
	out := append([]*ticket.Roster(nil), e.pending...)
	for _, r := range e.rosters {
		out = append(out, r.roster)
	}
	return out
}

func (e *Allocator) ownShare(account string, whole Quota, r *ticket.Roster) Quota {
	for _, p := range Divide(account, whole, r) {
		if p.Home.ID == e.self {
			return p.Share
		}
	}
	return Quota{}
}

// dropExpired forgets what nobody acts on any more.
func (e *Allocator) dropExpired(now time.Duration, account string) {
	for len(e.rosters) > 1 && e.rosters[len(e.rosters)-1].expires <= now {
		e.rosters = e.rosters[:len(e.rosters)-1]
	}
	list := e.changedQuotas[account]
	for len(list) > 1 && list[len(list)-1].expires <= now {
		list = list[:len(list)-1]
	}
	switch len(list) {
	case 0:
	case 1:
		e.unchangedSince = max(e.unchangedSince, list[0].soleSince)
		delete(e.changedQuotas, account)
	default:
		e.changedQuotas[account] = list
	}
}
