package quota

import (
	"amaranthstile/ticket"
)

// Strict returns the index under the strictest of the configuration in force and each pending ticket: a key that
// may have been revoked and an account that may have been removed are missing, a rate that may have been lowered is
// lowered, and whatever may have been granted is not there yet. The account function returns the accounts in force.
func (x *Index) Strict(pending []*ticket.Ticket, account func(name string) (ticket.Object[ticket.Account], bool)) *Index {
	changes := make(map[string]*ticket.Account)
	for _, t := range pending {
		for name, next := range t.Accounts {
			strictest, found := changes[name]
			if !found {
				o, _ := account(name)
				strictest = o.Value
			}
			if strictest != nil {
				changes[name] = stricter(strictest, next)
			}
		}
	}
	return x.With(changes)
}

// stricter returns an account that allows only what both states allow; b is nil if the account was removed.
func stricter(a, b *ticket.Account) *ticket.Account {
	if b == nil {
		return nil
	}
	out := *a
	out.Rate, out.Burst = min(a.Rate, b.Rate), min(a.Burst, b.Burst)
	out.Keys = nil
	kept := make(map[ticket.Hash]bool, len(b.Keys))
	for _, k := range b.Keys {
		kept[k] = true
	}
	for _, k := range a.Keys {
		if kept[k] {
			out.Keys = append(out.Keys, k)
		}
	}
	return &out
}
