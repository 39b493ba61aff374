package ticket

import (
	"maps"
	"slices"

	"amaranthstile/internal/cow"
	"amaranthstile/result"
)

// sorted returns a map's keys in order, so that of several faults the same one is always reported.
func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// checkOrder refuses a ticket that is older than what it would replace.
func (b *ConfigState) checkOrder(t *Ticket) error {
	if err := checkOrder(b, kindService, t.Number, t.Services, b.services); err != nil {
		return err
	}
	if err := checkOrder(b, kindRoute, t.Number, t.Routes, b.routes); err != nil {
		return err
	}
	return checkOrder(b, kindAccount, t.Number, t.Accounts, b.accounts)
}

func checkOrder[T any](b *ConfigState, k kind, number uint64, touched map[string]*T, held cow.Map[string, Object[T]]) error {
	for _, name := range sorted(touched) {
		if o, _ := held.Get(name); o.Number >= number {
			return result.New(result.TicketOutdated, "%s.%s: ticket %d set it, which is not older than ticket %d", k, name, o.Number, number)
		}
		if at, _ := b.removed.Get(objectName{k, name}); at >= number {
			return result.New(result.TicketOutdated, "%s.%s: ticket %d removed it, which is not older than ticket %d", k, name, at, number)
		}
	}
	return nil
}

// checkWhole refuses a ticket that would leave the state inconsistent.
func (b *ConfigState) checkWhole(t *Ticket) error {
	if err := b.checkServices(t); err != nil {
		return err
	}
	if err := b.checkPrefixes(t); err != nil {
		return err
	}
	return b.checkKeys(t)
}

func (b *ConfigState) checkServices(t *Ticket) error {
	for _, name := range sorted(t.Routes) {
		r := t.Routes[name]
		if r == nil {
			continue
		}
		for _, service := range r.services() {
			if !b.hasService(t, service) {
				return result.New(result.TicketUnknownService, "routes.%s.service: no service %q", name, service)
			}
		}
	}
	for _, name := range sorted(t.Services) {
		if t.Services[name] == nil && b.usesAfter(t, name) > 0 {
			return result.New(result.TicketServiceInUse, "services.%s: is removed while routes name it", name)
		}
	}
	return nil
}

func (b *ConfigState) hasService(t *Ticket, name string) bool {
	if s, ok := t.Services[name]; ok {
		return s != nil
	}
	_, ok := b.services.Get(name)
	return ok
}

// usesAfter counts the routes in force that name the service and that t leaves as they are.
func (b *ConfigState) usesAfter(t *Ticket, service string) int {
	n, _ := b.uses.Get(service)
	for name := range t.Routes {
		if old, ok := b.routes.Get(name); ok && slices.Contains(old.Value.services(), service) {
			n--
		}
	}
	return n
}

func (b *ConfigState) checkPrefixes(t *Ticket) error {
	seen := make(map[hostPrefix]string)
	for _, name := range sorted(t.Routes) {
		r := t.Routes[name]
		if r == nil {
			continue
		}
		at := hostPrefix{r.Host, r.Prefix}
		other, taken := b.prefixes.Get(at)
		if _, touched := t.Routes[other]; touched {
			taken = false
		}
		if again, ok := seen[at]; ok {
			other, taken = again, true
		}
		if taken {
			return result.New(result.TicketRouteTwice, "routes.%s.prefix: routes.%s has the same host and prefix", name, other)
		}
		seen[at] = name
	}
	return nil
}

func (b *ConfigState) checkKeys(t *Ticket) error {
	seen := make(map[uint64]string)
	for _, name := range sorted(t.Accounts) {
		a := t.Accounts[name]
		if a == nil {
			continue
		}
		for i, hash := range a.Keys {
			k := hash.Prefix64()
			owner, taken := b.keys.Get(k)
			if _, touched := t.Accounts[owner]; touched {
				taken = false
			}
			if again, ok := seen[k]; ok {
				owner, taken = again, true
			}
			if taken {
				return result.New(result.TicketKeyTwice, "accounts.%s.keys[%d]: the key is on accounts.%s already", name, i, owner)
			}
			seen[k] = name
		}
	}
	return nil
}
