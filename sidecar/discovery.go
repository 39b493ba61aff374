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
	// aloneEvery is how often an instance that knows nobody reads the contacts again.
	aloneEvery = time.Second
	// contactsEvery is how often one that knows others does, against a fleet that started in two halves.
	contactsEvery = time.Minute
	// startSpread is the time over which instances that start together spread their first reading of the contacts, so that
	// most find the others registered.
	startSpread = 300 * time.Millisecond
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
	p := wait.Pause{First: firstPause, Last: lastPause}
	registered := false
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
		every := contactsEvery
		if len(d.members.Directory().Records()) <= 1 {
			every = aloneEvery
		}
		wait.Sleep(ctx, every/2+rand.N(every))
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
