package ticket

import (
	"slices"

	"amaranthstile/internal/cow"
)

const (
	// maxRecords is the largest number of accepted tickets whose records a ConfigState keeps.
	maxRecords = 8192
	// minRecentRecords is how many of the most recently accepted tickets keep their records whatever their numbers.
	minRecentRecords = 4096
	// maxTombstones is the largest number of removed objects whose tombstones a ConfigState keeps.
	maxTombstones = 16384
	// dropDivisor divides the limit of the records or tombstones; the quotient is about how many are dropped at once.
	dropDivisor = 8
)

// limits bounds what a ConfigState keeps. All instances use the same limits, since these decide which tickets are
// refused.
type limits struct{ records, recent, tombstones int }

var defaultLimits = limits{records: maxRecords, recent: minRecentRecords, tombstones: maxTombstones}

// Apply puts an accepted change in force. It ignores a revision that is already in force, and returns false if an
// earlier revision is missing.
func (c *ConfigState) Apply(e Entry) bool {
	if e.Revision <= c.revision {
		return true
	}
	if e.Revision != c.revision+1 {
		return false
	}
	if e.Roster != nil {
		c.roster = e.Roster
	}
	if e.Ticket != nil {
		c.applyTicket(e.Revision, e.Ticket)
	}
	c.revision = e.Revision
	return true
}

// Restore implements Replica.
func (c *ConfigState) Restore(other *ConfigState) bool {
	if other.revision <= c.revision {
		return false
	}
	kept := c.limits
	*c = *other.Clone()
	c.limits = kept
	return true
}

func (c *ConfigState) applyTicket(revision Revision, t *Ticket) {
	c.unindex(t)
	c.services = applyObjects(c.services, t.Number, t.Services)
	c.routes = applyObjects(c.routes, t.Number, t.Routes)
	c.accounts = applyObjects(c.accounts, t.Number, t.Accounts)
	c.index(t.Routes, t.Accounts)
	c.tombstones = updateTombstones(c.tombstones, t)
	c.addRecord(Record{Number: t.Number, Revision: revision, Digest: t.Digest()})
	c.dropTombstones()
}

// applyObjects returns m with the changes of ticket number applied; a nil value deletes the object.
func applyObjects[T any](m cow.Map[string, Object[T]], number uint64, changes map[string]*T) cow.Map[string, Object[T]] {
	if len(changes) == 0 {
		return m
	}
	e := m.Edit()
	for name, v := range changes {
		if v == nil {
			e.Delete(name)
			continue
		}
		e.Set(name, Object[T]{Number: number, Value: v})
	}
	return e.Map()
}

// unindex removes from the indexes the objects that the ticket replaces or removes.
func (c *ConfigState) unindex(t *Ticket) {
	if len(t.Routes) > 0 {
		prefixes, counts := c.prefixes.Edit(), c.routeCounts.Edit()
		for name := range t.Routes {
			if old, ok := c.routes.Get(name); ok {
				prefixes.Delete(hostPrefix{old.Value.Host, old.Value.Prefix})
				countServices(counts, old.Value, -1)
			}
		}
		c.prefixes, c.routeCounts = prefixes.Map(), counts.Map()
	}
	if len(t.Accounts) > 0 {
		keys := c.keys.Edit()
		for name := range t.Accounts {
			if old, ok := c.accounts.Get(name); ok {
				for _, k := range old.Value.Keys {
					keys.Delete(k.Prefix64())
				}
			}
		}
		c.keys = keys.Map()
	}
}

// countServices adds delta to the route count of each service of a route.
func countServices(counts *cow.Editor[string, int], r *Route, delta int) {
	for _, service := range r.services() {
		addCount(counts, service, delta)
	}
}

// index adds routes and accounts to the indexes.
func (c *ConfigState) index(routes map[string]*Route, accounts map[string]*Account) {
	if len(routes) > 0 {
		prefixes, counts := c.prefixes.Edit(), c.routeCounts.Edit()
		for name, r := range routes {
			if r != nil {
				prefixes.Set(hostPrefix{r.Host, r.Prefix}, name)
				countServices(counts, r, 1)
			}
		}
		c.prefixes, c.routeCounts = prefixes.Map(), counts.Map()
	}
	if len(accounts) > 0 {
		keys := c.keys.Edit()
		for name, a := range accounts {
			if a == nil {
				continue
			}
			for _, k := range a.Keys {
				keys.Set(k.Prefix64(), name)
			}
		}
		c.keys = keys.Map()
	}
}

// addCount adds delta to the route count of a service and deletes a count that reaches 0.
func addCount(counts *cow.Editor[string, int], service string, delta int) {
	n, _ := counts.Get(service)
	if n+delta == 0 {
		counts.Delete(service)
		return
	}
	counts.Set(service, n+delta)
}

// updateTombstones adds a tombstone for each object that the ticket removes, and deletes the tombstone of each object
// that it sets.
func updateTombstones(m cow.Map[objectName, uint64], t *Ticket) cow.Map[objectName, uint64] {
	e := m.Edit()
	updateTombstonesOfKind(e, kindService, t.Number, t.Services)
	updateTombstonesOfKind(e, kindRoute, t.Number, t.Routes)
	updateTombstonesOfKind(e, kindAccount, t.Number, t.Accounts)
	return e.Map()
}

// updateTombstonesOfKind updates the tombstones for the objects of one kind.
func updateTombstonesOfKind[T any](e *cow.Editor[objectName, uint64], k kind, number uint64, changes map[string]*T) {
	for name, v := range changes {
		if v == nil {
			e.Set(objectName{k, name}, number)
			continue
		}
		e.Delete(objectName{k, name})
	}
}

// addRecord stores the record of an accepted ticket. When there are too many records, it deletes those with the
// smallest numbers, except those of the most recently accepted tickets.
func (c *ConfigState) addRecord(r Record) {
	records := c.records.Edit()
	records.Set(r.Number, r)
	c.recordOrder = append(c.recordOrder, r.Number)
	if len(c.recordOrder) > c.limits.records {
		lowest := slices.Clone(c.recordOrder[:len(c.recordOrder)-c.limits.recent])
		slices.Sort(lowest)
		lowest = lowest[:c.limits.records/dropDivisor]
		for _, n := range lowest {
			records.Delete(n)
		}
		c.raiseLowWatermark(lowest[len(lowest)-1])
		c.recordOrder = slices.DeleteFunc(c.recordOrder, func(n uint64) bool {
			_, kept := records.Get(n)
			return !kept
		})
	}
	c.records = records.Map()
}

// raiseLowWatermark raises the low watermark. It deletes the tombstones at or below the watermark, which are no longer
// needed: tickets with such numbers are refused unless they are on record.
func (c *ConfigState) raiseLowWatermark(watermark uint64) {
	if watermark <= c.lowWatermark {
		return
	}
	c.lowWatermark = watermark
	e := c.tombstones.Edit()
	for name, n := range c.tombstones.All() {
		if n <= watermark {
			e.Delete(name)
		}
	}
	c.tombstones = e.Map()
}

// dropTombstones deletes the tombstones with the smallest numbers when there are too many.
func (c *ConfigState) dropTombstones() {
	if c.tombstones.Len() <= c.limits.tombstones {
		return
	}
	numbers := make([]uint64, 0, c.tombstones.Len())
	for _, n := range c.tombstones.All() {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	c.raiseLowWatermark(numbers[len(numbers)-c.limits.tombstones+c.limits.tombstones/dropDivisor-1])
}
