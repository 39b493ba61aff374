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
	// initialContactInterval is the time until the contacts are read for the second time, and between readings while no
	// other instance is known: by then, instances that started at the same time have registered. The interval grows by
	// contactIntervalGrowth up to maxContactInterval.
	initialContactInterval = 1500 * time.Millisecond
	contactIntervalGrowth  = 4
	maxContactInterval     = time.Minute
	// maxSyncsPerRead bounds the listed but unknown instances that an instance synchronizes with after each reading. One
	// synchronization exchanges the complete views, so a few are enough to merge the two parts of a divided fleet.
	maxSyncsPerRead = 2
)

// discovery finds other instances through the store.
type discovery struct {
	store   Store
	members *gossip.Members
	self    membership.Record
	peers   []netip.AddrPort
	event   *event.Logger
}

// run registers this instance in the store and joins the listed instances, until ctx ends.
func (d *discovery) run(ctx context.Context) {
	d.members.Join(d.peers)
	backoff := wait.Backoff{Min: minBackoff, Max: maxBackoff}
	registered := false
	interval := initialContactInterval
	for ctx.Err() == nil {
		found, err := d.readContacts(ctx)
		if err != nil {
			d.event.Log(event.PlatformAway, event.F("call", "contacts"), event.F("error", err.Error()))
			backoff.Wait(ctx)
			continue
		}
		if !registered && !d.isListed(found) {
			if err := d.register(ctx); err != nil {
				d.event.Log(event.PlatformAway, event.F("call", "register"), event.F("error", err.Error()))
				backoff.Wait(ctx)
				continue
			}
		}
		registered = true
		backoff.Reset()
		d.syncWithUnknown(found)
		wait.Sleep(ctx, interval/2+rand.N(interval))
		interval = min(contactIntervalGrowth*interval, maxContactInterval)
		if len(d.members.Directory().Records()) <= 1 {
			interval = initialContactInterval
		}
	}
}

// syncWithUnknown synchronizes with listed instances that the membership does not know. When a fleet starts in two
// parts that do not see each other, each part would otherwise take itself for the whole fleet.
func (d *discovery) syncWithUnknown(found []Contact) {
	known := make(map[netip.AddrPort]bool)
	for _, r := range d.members.Directory().Records() {
		known[r.Control] = true
	}
	rand.Shuffle(len(found), func(a, b int) { found[a], found[b] = found[b], found[a] })
	synced := 0
	for _, c := range found {
		if known[c.Control] || c.Control == d.self.Control || synced == maxSyncsPerRead {
			continue
		}
		synced++
		d.members.SyncWith(c.Control)
	}
}

// readContacts returns the contacts in the store and gives their addresses to the membership.
func (d *discovery) readContacts(ctx context.Context) ([]Contact, error) {
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

// isListed reports whether the contacts include this instance at its present address.
func (d *discovery) isListed(found []Contact) bool {
	for _, c := range found {
		if c.Name == d.self.Name && c.Control == d.self.Control {
			return true
		}
	}
	return false
}

// register writes this instance's contact to the store.
func (d *discovery) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := d.store.Register(ctx, Contact{Name: d.self.Name, Domain: d.self.Domain, Control: d.self.Control})
	if result.Is(err, result.PlatformConflict) {
		return nil // another process with this instance's name registered at the same time
	}
	return err
}
