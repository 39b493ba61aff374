package ticket

import (
	"maps"
	"slices"

	"amaranthstile/internal/cow"
	"amaranthstile/result"
)

// sortedKeys returns the keys of a map in order, so that a ticket with several faults always gets the same error.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// checkNotOutdated refuses a ticket that is older than an object or a tombstone that it would replace.
func (c *ConfigState) checkNotOutdated(t *Ticket) error {
	if err := checkKindNotOutdated(c, kindService, t.Number, t.Services, c.services); err != nil {
		return err
	}
	if err := checkKindNotOutdated(c, kindRoute, t.Number, t.Routes, c.routes); err != nil {
		return err
	}
	return checkKindNotOutdated(c, kindAccount, t.Number, t.Accounts, c.accounts)
}

func checkKindNotOutdated[T any](c *ConfigState, k kind, number uint64, changes map[string]*T, current cow.Map[string, Object[T]]) error {
	for _, name := range sortedKeys(changes) {
		if o, _ := current.Get(name); o.Number >= number {
			return result.New(result.TicketOutdated, "%s.%s: ticket %d set it and is not older than ticket %d", k, name, o.Number, number)
		}
		if removedBy, _ := c.tombstones.Get(objectName{k, name}); removedBy >= number {
			return result.New(result.TicketOutdated, "%s.%s: ticket %d removed it and is not older than ticket %d", k, name, removedBy, number)
		}
	}
	return nil
}

// checkConsistency refuses a ticket that would make the configuration inconsistent.
func (c *ConfigState) checkConsistency(t *Ticket) error {
	if err := c.checkServices(t); err != nil {
		return err
	}
	if err := c.checkPrefixes(t); err != nil {
		return err
	}
	return c.checkKeys(t)
}

func (c *ConfigState) checkServices(t *Ticket) error {
	for _, name := range sortedKeys(t.Routes) {
		r := t.Routes[name]
		if r == nil {
			continue
		}
		for _, service := range r.services() {
			if !c.hasService(t, service) {
				return result.New(result.TicketUnknownService, "routes.%s.service: no service %q", name, service)
			}
		}
	}
	for _, name := range sortedKeys(t.Services) {
		if t.Services[name] == nil && c.remainingRoutes(t, name) > 0 {
			return result.New(result.TicketServiceInUse, "services.%s: can't be removed while routes name it", name)
		}
	}
	return nil
}

func (c *ConfigState) hasService(t *Ticket, name string) bool {
	if s, ok := t.Services[name]; ok {
		return s != nil
	}
	_, ok := c.services.Get(name)
	return ok
}

// remainingRoutes counts the routes in force that name the service and that t does not change.
func (c *ConfigState) remainingRoutes(t *Ticket, service string) int {
	n, _ := c.routeCounts.Get(service)
	for name := range t.Routes {
		if old, ok := c.routes.Get(name); ok && slices.Contains(old.Value.services(), service) {
			n--
		}
	}
	return n
}

func (c *ConfigState) checkPrefixes(t *Ticket) error {
	seen := make(map[hostPrefix]string) // routes of the ticket
	for _, name := range sortedKeys(t.Routes) {
		r := t.Routes[name]
		if r == nil {
			continue
		}
		key := hostPrefix{r.Host, r.Prefix}
		other, taken := c.prefixes.Get(key)
		if _, changed := t.Routes[other]; changed {
			taken = false
		}
		if duplicate, ok := seen[key]; ok {
			other, taken = duplicate, true
		}
		if taken {
			return result.New(result.TicketRouteTwice, "routes.%s.prefix: routes.%s has the same host and prefix", name, other)
		}
		seen[key] = name
	}
	return nil
}

func (c *ConfigState) checkKeys(t *Ticket) error {
	seen := make(map[uint64]string) // accounts of the ticket, by key
	for _, name := range sortedKeys(t.Accounts) {
		a := t.Accounts[name]
		if a == nil {
			continue
		}
		for i, hash := range a.Keys {
			k := hash.Prefix64()
			owner, taken := c.keys.Get(k)
			if _, changed := t.Accounts[owner]; changed {
				taken = false
			}
			if duplicate, ok := seen[k]; ok {
				owner, taken = duplicate, true
			}
			if taken {
				return result.New(result.TicketKeyTwice, "accounts.%s.keys[%d]: accounts.%s already has this key", name, i, owner)
			}
			seen[k] = name
		}
	}
	return nil
}
