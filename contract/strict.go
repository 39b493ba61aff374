package contract

import (
	"amaranthstile/ticket"
)

// Strict returns the index under the stricter of what is in force and each pending ticket: a key or an account that
// may have been withdrawn is missing, a rate that may have been lowered is lowered, and what may have been granted is
// not there yet. Account gives the accounts in force.
func (x *Index) Strict(pending []*ticket.Ticket, account func(name string) (ticket.Object[ticket.Account], bool)) *Index {
	changes := make(map[string]*ticket.Account)
	for _, t := range pending {
		for name, next := range t.Accounts {
			held, touched := changes[name]
			if !touched {
				o, _ := account(name)
				held = o.Value
			}
			if held != nil {
				changes[name] = stricter(held, next)
			}
		}
	}
	return x.With(changes)
}

// stricter returns what both states of an account allow.
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
