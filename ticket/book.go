package ticket

import (
	"encoding/binary"
	"iter"
	"slices"

	"amaranthstile/internal/cow"
	"amaranthstile/result"
)

// Revision counts accepted tickets in the order of their acceptance, from 1.
type Revision uint64

// Record says that a ticket was accepted.
type Record struct {
	Number   uint64   `json:"number"`
	Revision Revision `json:"revision"`
	Digest   Hash     `json:"digest"`
}

// Object is one object in force, with the number of the ticket that set it.
type Object[T any] struct {
	Number uint64 `json:"number"`
	Value  *T     `json:"value"`
}

// ConfigState is the state after a row of accepted tickets. It is not safe for concurrent use; its owner applies
// tickets, and hands out copies made by Clone.
//
// An object that a ticket removed leaves a tombstone with the ticket's number, so that an older ticket can't
// bring it back. Tombstones and the records of accepted tickets are bounded: when some are dropped, the ConfigState
// raises its lowest number, and refuses every ticket at or below it that is not on record.
type ConfigState struct {
	limits   limits
	revision Revision
	lowest   uint64
	services cow.Map[string, Object[Service]]
	routes   cow.Map[string, Object[Route]]
	accounts cow.Map[string, Object[Account]]
	removed  cow.Map[objectName, uint64] // tombstones: numbers of the tickets that removed
	keys     cow.Map[uint64, string]     // owner of each key, by the short form of its hash
	prefixes cow.Map[hostPrefix, string] // name of the route with this host and prefix
	uses     cow.Map[string, int]        // routes that name a service
	roster   *Roster
	records  cow.Map[uint64, Record]
	order    []uint64 // numbers on record in the order of acceptance
}

// kind is a kind of object.
type kind string

const (
	kindService kind = "services"
	kindRoute   kind = "routes"
	kindAccount kind = "accounts"
)

type objectName struct {
	kind kind
	name string
}

type hostPrefix struct{ host, prefix string }

func hashName(n objectName) uint64 { return cow.HashStrings(string(n.kind), n.name) }

func hashHostPrefix(h hostPrefix) uint64 { return cow.HashStrings(h.host, h.prefix) }

// Prefix64 returns the hash's first eight bytes. A Book holds no two keys with the same ones, so that tables find
// a key by them; who looks a key up compares the whole hash besides.
func (h Hash) Prefix64() uint64 { return binary.LittleEndian.Uint64(h[:]) }

// NewConfigState returns the empty state at revision 0.
func NewConfigState() *ConfigState {
	return &ConfigState{
		limits:   defaultLimits,
		services: cow.New[string, Object[Service]](cow.HashString),
		routes:   cow.New[string, Object[Route]](cow.HashString),
		accounts: cow.New[string, Object[Account]](cow.HashString),
		removed:  cow.New[objectName, uint64](hashName),
		keys:     cow.New[uint64, string](cow.HashIdentity),
		prefixes: cow.New[hostPrefix, string](hashHostPrefix),
		uses:     cow.New[string, int](cow.HashString),
		records:  cow.New[uint64, Record](cow.HashNumber),
	}
}

// Clone returns an independent copy, whose cost does not depend on the number of objects.
func (b *ConfigState) Clone() *ConfigState {
	c := *b
	c.order = slices.Clone(b.order)
	return &c
}

// Revision returns the revision of the last applied change.
func (b *ConfigState) Revision() Revision { return b.revision }

// LowWatermark returns the number at or below which only tickets on record are known; others are refused.
func (b *ConfigState) LowWatermark() uint64 { return b.lowest }

// Services yields the services in force.
func (b *ConfigState) Services() iter.Seq2[string, Object[Service]] { return b.services.All() }

// Routes yields the routes in force.
func (b *ConfigState) Routes() iter.Seq2[string, Object[Route]] { return b.routes.All() }

// Accounts yields the client accounts in force.
func (b *ConfigState) Accounts() iter.Seq2[string, Object[Account]] { return b.accounts.All() }

// Service returns a service in force by name.
func (b *ConfigState) Service(name string) (Object[Service], bool) { return b.services.Get(name) }

// Route returns a route in force by name.
func (b *ConfigState) Route(name string) (Object[Route], bool) { return b.routes.Get(name) }

// Account returns a client account in force by name.
func (b *ConfigState) Account(name string) (Object[Account], bool) { return b.accounts.Get(name) }

// AsTicket returns everything in force as one ticket without a number, from which tables are built at once.
func (b *ConfigState) AsTicket() *Ticket {
	return &Ticket{Services: values(b.services), Routes: values(b.routes), Accounts: values(b.accounts)}
}

func values[T any](m cow.Map[string, Object[T]]) map[string]*T {
	out := make(map[string]*T, m.Len())
	for name, o := range m.All() {
		out[name] = o.Value
	}
	return out
}

// Roster returns the roster in force, nil before the first.
func (b *ConfigState) Roster() *Roster { return b.roster }

// Accepted returns the record of an accepted ticket by its number, while it is on record.
func (b *ConfigState) Accepted(number uint64) (Record, bool) { return b.records.Get(number) }

// Check decides whether t may be accepted next. It returns a record and no error if just this ticket
// was accepted before, and a zero record if it may be accepted now.
func (b *ConfigState) Check(t *Ticket) (Record, error) {
	if err := t.Validate(); err != nil {
		return Record{}, err
	}
	if r, ok := b.records.Get(t.Number); ok {
		if r.Digest == t.Digest() {
			return r, nil
		}
		return Record{}, result.New(result.TicketNumberUsed, "number: ticket %d was accepted with other content at revision %d", t.Number, r.Revision)
	}
	if t.Number <= b.lowest {
		return Record{}, result.New(result.TicketOutdated, "number: %d is not on record, and %d is the lowest number that is not", t.Number, b.lowest+1)
	}
	if err := b.checkOrder(t); err != nil {
		return Record{}, err
	}
	return Record{}, b.checkWhole(t)
}
