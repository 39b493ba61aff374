package ticket

import (
	"encoding/binary"
	"iter"
	"slices"

	"amaranthstile/internal/cow"
	"amaranthstile/result"
)

// Revision numbers the accepted changes in the order of their acceptance, from 1.
type Revision uint64

// Record states at which revision a ticket was accepted, and the digest of its content.
type Record struct {
	Number   uint64   `json:"number"`
	Revision Revision `json:"revision"`
	Digest   Hash     `json:"digest"`
}

// Object is an object in force, with the number of the ticket that set it.
type Object[T any] struct {
	Number uint64 `json:"number"`
	Value  *T     `json:"value"`
}

// ConfigState is the configuration after a sequence of accepted changes. It is not safe for concurrent use; its owner
// applies tickets, and hands out copies made by Clone.
//
// When a ticket removes an object, a tombstone with the ticket's number remains, so that an older ticket can't restore
// the object. Tombstones and records of accepted tickets are bounded in number: when some are dropped, the
// ConfigState raises its low watermark, and refuses every ticket at or below it that is not on record.
type ConfigState struct {
	limits       limits
	revision     Revision
	lowWatermark uint64
	services     cow.Map[string, Object[Service]]
	routes       cow.Map[string, Object[Route]]
	accounts     cow.Map[string, Object[Account]]
	tombstones   cow.Map[objectName, uint64] // number of the ticket that removed the object
	keys         cow.Map[uint64, string]     // account of each key, by the prefix of its hash
	prefixes     cow.Map[hostPrefix, string] // name of the route with this host and prefix
	routeCounts  cow.Map[string, int]        // number of routes that name a service
	roster       *Roster
	records      cow.Map[uint64, Record]
	recordOrder  []uint64 // numbers of the tickets on record, in the order of acceptance
}

// kind names the kind of an object.
type kind string

const (
	kindService kind = "services"
	kindRoute   kind = "routes"
	kindAccount kind = "accounts"
)

// objectName identifies an object of any kind.
type objectName struct {
	kind kind
	name string
}

// hostPrefix is the host and the path prefix of a route, which no two routes share.
type hostPrefix struct{ host, prefix string }

func hashName(n objectName) uint64 { return cow.HashStrings(string(n.kind), n.name) }

func hashHostPrefix(h hostPrefix) uint64 { return cow.HashStrings(h.host, h.prefix) }

// Prefix64 returns the first eight bytes of the hash. All keys in a ConfigState have different prefixes, so that tables
// can index keys by the prefix; a lookup must also compare the whole hash.
func (h Hash) Prefix64() uint64 { return binary.LittleEndian.Uint64(h[:]) }

// NewConfigState returns the empty configuration at revision 0.
func NewConfigState() *ConfigState {
	return &ConfigState{
		limits:      defaultLimits,
		services:    cow.New[string, Object[Service]](cow.HashString),
		routes:      cow.New[string, Object[Route]](cow.HashString),
		accounts:    cow.New[string, Object[Account]](cow.HashString),
		tombstones:  cow.New[objectName, uint64](hashName),
		keys:        cow.New[uint64, string](cow.HashIdentity),
		prefixes:    cow.New[hostPrefix, string](hashHostPrefix),
		routeCounts: cow.New[string, int](cow.HashString),
		records:     cow.New[uint64, Record](cow.HashNumber),
	}
}

// Clone returns an independent copy. Its cost does not depend on the number of objects.
func (c *ConfigState) Clone() *ConfigState {
	out := *c
	out.recordOrder = slices.Clone(c.recordOrder)
	return &out
}

// Revision returns the revision of the last applied change.
func (c *ConfigState) Revision() Revision { return c.revision }

// LowWatermark returns the number at or below which every ticket is refused that is not on record.
func (c *ConfigState) LowWatermark() uint64 { return c.lowWatermark }

// Services yields the services in force by name.
func (c *ConfigState) Services() iter.Seq2[string, Object[Service]] { return c.services.All() }

// Routes yields the routes in force by name.
func (c *ConfigState) Routes() iter.Seq2[string, Object[Route]] { return c.routes.All() }

// Accounts yields the client accounts in force by name.
func (c *ConfigState) Accounts() iter.Seq2[string, Object[Account]] { return c.accounts.All() }

// Service returns the service in force with this name.
func (c *ConfigState) Service(name string) (Object[Service], bool) { return c.services.Get(name) }

// Route returns the route in force with this name.
func (c *ConfigState) Route(name string) (Object[Route], bool) { return c.routes.Get(name) }

// Account returns the client account in force with this name.
func (c *ConfigState) Account(name string) (Object[Account], bool) { return c.accounts.Get(name) }

// AsTicket returns all objects in force as one ticket without a number, so that lookup tables can be built in one step.
func (c *ConfigState) AsTicket() *Ticket {
	return &Ticket{Services: values(c.services), Routes: values(c.routes), Accounts: values(c.accounts)}
}

func values[T any](m cow.Map[string, Object[T]]) map[string]*T {
	out := make(map[string]*T, m.Len())
	for name, o := range m.All() {
		out[name] = o.Value
	}
	return out
}

// Roster returns the roster in force, or nil before the first.
func (c *ConfigState) Roster() *Roster { return c.roster }

// Accepted returns the record of the accepted ticket with this number, if it is still on record.
func (c *ConfigState) Accepted(number uint64) (Record, bool) { return c.records.Get(number) }

// Check decides whether t may be accepted next. It returns a zero Record and no error if t may be accepted now, and the
// record of its acceptance if the same ticket with the same content was accepted before.
func (c *ConfigState) Check(t *Ticket) (Record, error) {
	if err := t.Validate(); err != nil {
		return Record{}, err
	}
	if r, ok := c.records.Get(t.Number); ok {
		if r.Digest == t.Digest() {
			return r, nil
		}
		return Record{}, result.New(result.TicketNumberUsed, "number: ticket %d was accepted with other content at revision %d", t.Number, r.Revision)
	}
	if t.Number <= c.lowWatermark {
		return Record{}, result.New(result.TicketOutdated, "number: %d is not on record; a new ticket needs a number of at least %d", t.Number, c.lowWatermark+1)
	}
	if err := c.checkNotOutdated(t); err != nil {
		return Record{}, err
	}
	return Record{}, c.checkConsistency(t)
}
