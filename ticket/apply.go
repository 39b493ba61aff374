package ticket

import (
	"slices"

	"amaranthstile/internal/cow"
)

const (
	// maxRecords is how many accepted tickets a Book remembers by number.
	maxRecords = 8192
	// sureRecords is how many of the last accepted tickets stay on record whatever their numbers.
	sureRecords = 4096
	// maxTombstones is how many removed objects a Book remembers.
	maxTombstones = 16384
	// dropShare is the part of the records or tombstones that is dropped at once.
	dropShare = 8
)

// limits bound what a Book remembers. They are the same in every instance, since they decide what is refused.
type limits struct{ records, sure, tombstones int }

var defaultLimits = limits{records: maxRecords, sure: sureRecords, tombstones: maxTombstones}

// Apply puts an accepted change in force. It does nothing for a revision that is in force already, and
// returns false if a revision before it is missing.
func (b *ConfigState) Apply(e Entry) bool {
	if e.Revision <= b.revision {
		return true
	}
	if e.Revision != b.revision+1 {
		return false
	}
	if e.Roster != nil {
		b.roster = e.Roster
	}
	if e.Ticket != nil {
		b.applyTicket(e.Revision, e.Ticket)
	}
	b.revision = e.Revision
	return true
}

// Restore implements State.
func (b *ConfigState) Restore(o *ConfigState) bool {
	if o.revision <= b.revision {
		return false
	}
	kept := b.limits
	*b = *o.Clone()
	b.limits = kept
	return true
}

func (b *ConfigState) applyTicket(revision Revision, t *Ticket) {
	b.unindex(t)
	b.services = applyObjects(b.services, t.Number, t.Services)
	b.routes = applyObjects(b.routes, t.Number, t.Routes)
	b.accounts = applyObjects(b.accounts, t.Number, t.Accounts)
	b.index(t.Routes, t.Accounts)
	b.removed = tombstones(b.removed, t)
	b.remember(Record{Number: t.Number, Revision: revision, Digest: t.Digest()})
	b.dropTombstones()
}

func applyObjects[T any](m cow.Map[string, Object[T]], number uint64, touched map[string]*T) cow.Map[string, Object[T]] {
	if len(touched) == 0 {
		return m
	}
	e := m.Edit()
	for name, v := range touched {
		if v == nil {
			e.Delete(name)
			continue
		}
		e.Set(name, Object[T]{Number: number, Value: v})
	}
	return e.Map()
}

// unindex takes what the ticket replaces out of the indexes.
func (b *ConfigState) unindex(t *Ticket) {
	if len(t.Routes) > 0 {
		prefixes, uses := b.prefixes.Edit(), b.uses.Edit()
		for name := range t.Routes {
			if old, ok := b.routes.Get(name); ok {
				prefixes.Delete(hostPrefix{old.Value.Host, old.Value.Prefix})
				countAll(uses, old.Value, -1)
			}
		}
		b.prefixes, b.uses = prefixes.Map(), uses.Map()
	}
	if len(t.Accounts) > 0 {
		keys := b.keys.Edit()
		for name := range t.Accounts {
			if old, ok := b.accounts.Get(name); ok {
				for _, k := range old.Value.Keys {
					keys.Delete(k.Prefix64())
				}
			}
		}
		b.keys = keys.Map()
	}
}

// countAll counts a route's services.
func countAll(uses *cow.Editor[string, int], r *Route, by int) {
	for _, service := range r.services() {
		count(uses, service, by)
	}
}

// index puts routes and accounts in the indexes.
func (b *ConfigState) index(routes map[string]*Route, accounts map[string]*Account) {
	if len(routes) > 0 {
		prefixes, uses := b.prefixes.Edit(), b.uses.Edit()
		for name, r := range routes {
			if r != nil {
				prefixes.Set(hostPrefix{r.Host, r.Prefix}, name)
				countAll(uses, r, 1)
			}
		}
		b.prefixes, b.uses = prefixes.Map(), uses.Map()
	}
	if len(accounts) > 0 {
		keys := b.keys.Edit()
		for name, a := range accounts {
			if a == nil {
				continue
			}
			for _, k := range a.Keys {
				keys.Set(k.Prefix64(), name)
			}
		}
		b.keys = keys.Map()
	}
}

func count(uses *cow.Editor[string, int], service string, by int) {
	n, _ := uses.Get(service)
	if n+by == 0 {
		uses.Delete(service)
		return
	}
	uses.Set(service, n+by)
}

// tombstones records what the ticket removes and forgets what it sets again.
func tombstones(m cow.Map[objectName, uint64], t *Ticket) cow.Map[objectName, uint64] {
	e := m.Edit()
	bury(e, kindService, t.Number, t.Services)
	bury(e, kindRoute, t.Number, t.Routes)
	bury(e, kindAccount, t.Number, t.Accounts)
	return e.Map()
}

func bury[T any](e *cow.Editor[objectName, uint64], k kind, number uint64, touched map[string]*T) {
	for name, v := range touched {
		if v == nil {
			e.Set(objectName{k, name}, number)
			continue
		}
		e.Delete(objectName{k, name})
	}
}

// remember puts a ticket on record. When there are too many records, those with the smallest numbers go, but
// for the last accepted ones.
func (b *ConfigState) remember(r Record) {
	records := b.records.Edit()
	records.Set(r.Number, r)
	b.order = append(b.order, r.Number)
	if len(b.order) > b.limits.records {
		old := slices.Clone(b.order[:len(b.order)-b.limits.sure])
		slices.Sort(old)
		old = old[:b.limits.records/dropShare]
		for _, n := range old {
			records.Delete(n)
		}
		b.raise(old[len(old)-1])
		b.order = slices.DeleteFunc(b.order, func(n uint64) bool {
			_, held := records.Get(n)
			return !held
		})
	}
	b.records = records.Map()
}

// raise raises the lowest number; tombstones at or below it are needed no more.
func (b *ConfigState) raise(lowest uint64) {
	if lowest <= b.lowest {
		return
	}
	b.lowest = lowest
	e := b.removed.Edit()
	for name, n := range b.removed.All() {
		if n <= lowest {
			e.Delete(name)
		}
	}
	b.removed = e.Map()
}

// dropTombstones drops those with the smallest numbers when there are too many.
func (b *ConfigState) dropTombstones() {
	if b.removed.Len() <= b.limits.tombstones {
		return
	}
	numbers := make([]uint64, 0, b.removed.Len())
	for _, n := range b.removed.All() {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	b.raise(numbers[len(numbers)-b.limits.tombstones+b.limits.tombstones/dropShare-1])
}
