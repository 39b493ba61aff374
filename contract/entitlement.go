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
	self    string
	wait    time.Duration
	lookup  func(account string) AccountQuotas
	rosters []pastRoster // newest first
	pending []*ticket.Roster
	changed map[string][]pastWhole // accounts that changed of late, newest first
	alone   time.Duration          // from when on what is not in changed was alone in force
}

type pastRoster struct {
	roster *ticket.Roster
	alone  time.Duration // from when on it is alone in force
	until  time.Duration // until when one that was replaced counts
}

type pastWhole struct {
	whole        Quota
	alone, until time.Duration
}

// AccountQuotas are the rate and burst of an account that somebody may act on; the zero Share stands for no account.
type AccountQuotas struct {
	// Strict is the least of the others, on which this instance acts.
	Strict Quota
	// InForce is the accepted one.
	InForce Quota
	// Pending are those that may have been accepted after it.
	Pending []Quota
}

// NewAllocator returns the entitlement of the instance self. After wait nobody acts any more on a
// configuration that was replaced. Lookup gives an account as it is now.
func NewAllocator(self string, now, wait time.Duration, lookup func(account string) AccountQuotas) *Allocator {
	return &Allocator{self: self, wait: wait, lookup: lookup, alone: now, changed: make(map[string][]pastWhole)}
}

// SetRoster takes over the roster in force and the ones that are pending.
func (e *Allocator) SetRoster(now time.Duration, r *ticket.Roster, pending []*ticket.Roster) {
	e.pending = pending
	if r == nil || (len(e.rosters) > 0 && e.rosters[0].roster.Epoch >= r.Epoch) {
		return
	}
	until := now + e.wait
	if len(e.rosters) > 0 {
		e.rosters[0].until = until
	} else if r.Epoch > 1 {
		e.rosters = []pastRoster{{roster: &ticket.Roster{}, until: until}} // the one before it is not known
	} else {
		until = now
	}
	e.rosters = append([]pastRoster{{roster: r, alone: until}}, e.rosters...)
}

// RecordChange takes over that the rate and burst in force of an account changed just now.
func (e *Allocator) RecordChange(now time.Duration, account string, before, after Quota) {
	if before == after {
		return
	}
	alone := now
	list := e.changed[account]
	if len(list) == 0 {
		list = []pastWhole{{whole: before}}
	}
	if len(list) > 1 || !before.IsZero() {
		alone = now + e.wait
	}
	list[0].until = now + e.wait
	e.changed[account] = append([]pastWhole{{whole: after, alone: alone}}, list...)
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
	e.prune(now, account)
	wholes := e.lookup(account)
	whole := wholes.Strict
	if whole.IsZero() || len(e.rosters) == 0 {
		return Allocation{Total: whole, Since: now}
	}
	part, fixed := e.allowed(account, wholes)
	since := now
	if fixed {
		since = max(e.rosters[0].alone, e.alone)
		if list := e.changed[account]; len(list) > 0 {
			since = max(since, list[0].alone)
		}
		since = min(since, now)
	}
	return Allocation{Total: whole, Share: part, Since: since}
}

// allowed returns the part and whether it is the one that the newest configuration gives.
func (e *Allocator) allowed(account string, now AccountQuotas) (Quota, bool) {
	whole := now.Strict
	current := e.part(account, whole, e.rosters[0].roster)
	largest := make(map[string]Quota)
	least := current
	unknown := false
	for _, w := range e.possibleWholes(account, now) {
		for _, r := range e.possibleRosters() {
			unknown = unknown || (r.Epoch == 0)
			for _, p := range Divide(account, w, r) {
				largest[p.Coordinator.ID] = largest[p.Coordinator.ID].max(p.Share)
			}
			least = least.min(e.part(account, w, r))
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

// possibleWholes returns the rates and bursts of an account that somebody may act on.
func (e *Allocator) possibleWholes(account string, now AccountQuotas) []Quota {
	out := append([]Quota{now.Strict, now.InForce}, now.Pending...)
	for _, w := range e.changed[account] {
		out = append(out, w.whole)
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

func (e *Allocator) part(account string, whole Quota, r *ticket.Roster) Quota {
	for _, p := range Divide(account, whole, r) {
		if p.Coordinator.ID == e.self {
			return p.Share
		}
	}
	return Quota{}
}

// prune forgets what nobody acts on any more.
func (e *Allocator) prune(now time.Duration, account string) {
	for len(e.rosters) > 1 && e.rosters[len(e.rosters)-1].until <= now {
		e.rosters = e.rosters[:len(e.rosters)-1]
	}
	list := e.changed[account]
	for len(list) > 1 && list[len(list)-1].until <= now {
		list = list[:len(list)-1]
	}
	switch len(list) {
	case 0:
	case 1:
		e.alone = max(e.alone, list[0].alone)
		delete(e.changed, account)
	default:
		e.changed[account] = list
	}
}
