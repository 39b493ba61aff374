package quota

import (
	"context"
	"iter"
	"slices"

	"amaranthstile/internal/cow"
	"amaranthstile/ticket"
)

// Account is a client account ready for use.
type Account struct {
	Name   string
	Rate   float64 // requests per second over the whole fleet
	Burst  int     // requests over the whole fleet
	Weight int     // weight in fair queues, from 1
	// Priority replaces the priority of the route for the account's requests; nil keeps the priority of the route.
	Priority *int
	keys     []ticket.Hash
}

// Index finds the client account of a key; a nil Index is empty. It is immutable and replaced as a whole: With returns
// the next Index, which shares everything that did not change with the previous one.
//
// Keys are looked up by their SHA-256, so the time that a lookup takes reveals nothing about existing keys.
type Index struct {
	keys     cow.Map[uint64, *Account] // by the short form of the key's hash
	accounts cow.Map[string, *Account]
}

// NewIndex builds the index of the client accounts in force.
func NewIndex(accounts map[string]ticket.Object[ticket.Account]) *Index {
	changes := make(map[string]*ticket.Account, len(accounts))
	for name, o := range accounts {
		changes[name] = o.Value
	}
	return (*Index)(nil).With(changes)
}

// With returns the index after a change ticket: a nil account is removed, any other replaces the earlier account of
// that name. A nil index is empty.
func (x *Index) With(changes map[string]*ticket.Account) *Index {
	if x == nil {
		x = &Index{
			keys:     cow.New[uint64, *Account](cow.HashIdentity),
			accounts: cow.New[string, *Account](cow.HashString),
		}
	}
	if len(changes) == 0 {
		return x
	}
	keys, accounts := x.keys.Edit(), x.accounts.Edit()
	for name := range changes {
		if old, ok := accounts.Get(name); ok {
			for _, k := range old.keys {
				keys.Delete(k.Prefix64())
			}
			accounts.Delete(name)
		}
	}
	for name, a := range changes {
		if a == nil {
			continue
		}
		out := &Account{Name: name, Rate: a.Rate, Burst: a.Burst, Weight: max(a.Weight, 1), Priority: a.Priority, keys: a.Keys}
		accounts.Set(name, out)
		for _, k := range a.Keys {
			keys.Set(k.Prefix64(), out)
		}
	}
	return &Index{keys: keys.Map(), accounts: accounts.Map()}
}

// Find returns the account that the key belongs to.
func (x *Index) Find(key string) (*Account, bool) {
	return x.FindHash(ticket.HashKey(key))
}

// FindHash returns the account that the key with this hash belongs to.
func (x *Index) FindHash(hash ticket.Hash) (*Account, bool) {
	if x == nil {
		return nil, false
	}
	a, ok := x.keys.Get(hash.Prefix64())
	if !ok || !slices.Contains(a.keys, hash) {
		return nil, false
	}
	return a, true
}

// Account returns an account by name.
func (x *Index) Account(name string) (*Account, bool) {
	if x == nil {
		return nil, false
	}
	return x.accounts.Get(name)
}

// Accounts yields all accounts with their names.
func (x *Index) Accounts() iter.Seq2[string, *Account] { return x.accounts.All() }

// Len returns the number of accounts.
func (x *Index) Len() int { return x.accounts.Len() }

// Admitter decides when a request of an account may proceed.
type Admitter interface {
	// Admit waits until the account's rate and burst allow one more request, or until ctx ends.
	// Its errors carry one of these codes: RateExceeded if waiting can't succeed, DeadlinePassed, CallerGone or
	// NoStanding. Each is returned before anything is sent, so the request was not run.
	Admit(ctx context.Context, account *Account) error
}
