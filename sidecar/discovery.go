package sidecar

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/internal/wait"
	"amaranthstile/membership"
	"amaranthstile/result"
)

const (
	// firstContacts is when the contacts are read again after the first time, and while the instance knows nobody: by then
	// instances that started together have registered. The time grows by contactsGrowth up to lastContacts.
	firstContacts  = 1500 * time.Millisecond
	contactsGrowth = 4
	lastContacts   = time.Minute
	// meetMost is with how many listed instances that it does not know an instance synchronizes after one reading: each brings
	// all that it knows, so that halves of a fleet become one.
	meetMost = 2
)

// discovery finds other instances through the store.
type discovery struct {
	store   Store
	members *gossip.Members
	self    membership.Record
	peers   []netip.AddrPort
	event   *event.Logger
}

// run registers this instance and joins the others, until ctx ends.
func (d *discovery) run(ctx context.Context) {
	d.members.Join(d.peers)
	p := wait.Backoff{Min: firstPause, Max: lastPause}
	registered := false
	every := firstContacts
	for ctx.Err() == nil {
		found, err := d.read(ctx)
		if err != nil {
			d.event.Log(event.PlatformAway, event.F("call", "contacts"), event.F("error", err.Error()))
			p.Wait(ctx)
			continue
		}
		if !registered && !d.listed(found) {
			if err := d.register(ctx); err != nil {
				d.event.Log(event.PlatformAway, event.F("call", "register"), event.F("error", err.Error()))
				p.Wait(ctx)
				continue
			}
		}
		registered = true
		p.Reset()
		d.meet(found)
		wait.Sleep(ctx, every/2+rand.N(every))
		every = min(contactsGrowth*every, lastContacts)
		if len(d.members.Directory().Records()) <= 1 {
			every = firstContacts
		}
	}
}

// meet synchronizes with listed instances that are not known: each half of a fleet that started in two takes itself for the
// whole.
func (d *discovery) meet(found []Contact) {
	known := make(map[netip.AddrPort]bool)
	for _, r := range d.members.Directory().Records() {
		known[r.Control] = true
	}
	rand.Shuffle(len(found), func(a, b int) { found[a], found[b] = found[b], found[a] })
	met := 0
	for _, c := range found {
		if known[c.Control] || c.Control == d.self.Control || met == meetMost {
			continue
		}
		met++
		d.members.SyncWith(c.Control)
	}
}

func (d *discovery) read(ctx context.Context) ([]Contact, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	found, err := d.store.Contacts(ctx)
	if err != nil {
		return nil, err
	}
	addresses := d.peers
	for _, c := range found {
		addresses = append(addresses, c.Control)
	}
	d.members.Join(addresses)
	return found, nil
}

// listed tells whether this instance stands among the contacts already.
func (d *discovery) listed(found []Contact) bool {
	for _, c := range found {
		if c.Name == d.self.Name && c.Control == d.self.Control {
			return true
		}
	}
	return false
}

func (d *discovery) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := d.store.Register(ctx, Contact{Name: d.self.Name, Domain: d.self.Domain, Control: d.self.Control})
	if result.Is(err, result.PlatformConflict) {
		return nil // another start of this instance was faster
	}
	return err
}
