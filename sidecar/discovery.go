package sidecar

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/internal/wait"
	"amaranthstile/membership"
)

const (
	// initialContactInterval is the time until contacts are read for the second time, and between readings while no other
	// instance is known: by then, instances that started at the same time have registered. While unknown instances are
	// listed, the interval grows by contactIntervalGrowth, since these may have left for good; otherwise it is
	// maxContactInterval.
	initialContactInterval = 1500 * time.Millisecond
	contactIntervalGrowth  = 4
	maxContactInterval     = time.Minute
	// maxSyncsPerRead bounds the listed but unknown instances that an instance synchronizes with after each reading. One
	// synchronization exchanges the complete views, so a few are enough to merge the two parts of a divided fleet.
	maxSyncsPerRead = 2
)

// contactCursor walks through the list of registered instances one page at a time, in a circle. Each instance begins
// behind its own name: together they read the whole list, although none reads much of it, and each part of a divided
// fleet borders on another one somewhere on the circle.
type contactCursor struct {
	after    string // the name behind which the next page starts
	readings int
}

// advance moves the cursor behind a page that was read.
func (c *contactCursor) advance(p ContactPage) {
	c.after = p.Next
	c.readings++
}

// discovery finds other instances through the store.
type discovery struct {
	store   Store
	members *gossip.Members
	self    membership.Record
	peers   []netip.AddrPort
	event   *event.Logger
	// onFirstContacts is called with the addresses that the first reading lists.
	onFirstContacts func([]netip.AddrPort)
	// registration is the contact of this instance. The store may lack it after it came back from an older copy.
	registration *registration
	generations  *generations
}

// run registers this instance in the store, again in each generation of the store, and joins the listed instances, until
// ctx ends.
func (d *discovery) run(ctx context.Context) {
	d.members.Join(d.peers)
	backoff := wait.Backoff{Min: minBackoff, Max: maxBackoff}
	cursor := contactCursor{after: d.self.Name}
	interval := time.Duration(0)
	for ctx.Err() == nil {
		found, err := d.registerAndRead(ctx, &cursor)
		if err != nil {
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		foundUnknown := d.syncWithUnknown(found) > 0
		interval = nextContactInterval(interval, cursor.readings, foundUnknown, len(d.members.Directory().Records()) <= 1)
		d.sleep(ctx, interval/2+rand.N(interval))
	}
}

// sleep waits for a time, or until this instance has to register again.
func (d *discovery) sleep(ctx context.Context, duration time.Duration) {
	_, changed := d.generations.current()
	if !d.registration.isCurrent() {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}

// nextContactInterval returns the mean time until the next reading. The interval before the first one is 0; alone reports
// that no other instance is known.
func nextContactInterval(last time.Duration, readings int, foundUnknown, alone bool) time.Duration {
	switch {
	case alone || readings == 1:
		return initialContactInterval
	case foundUnknown:
		return min(contactIntervalGrowth*max(last, initialContactInterval), maxContactInterval)
	}
	return maxContactInterval
}

// registerAndRead registers this instance, unless it is registered, and reads the next contacts, which needs no
// registration.
func (d *discovery) registerAndRead(ctx context.Context, cursor *contactCursor) ([]Contact, error) {
	var registerErr error
	if !d.registration.isCurrent() {
		registerErr = d.registration.write(ctx)
	}
	found, err := d.readContacts(ctx, cursor)
	if err != nil {
		d.event.Log(event.PlatformAway, event.F("call", "contacts"), event.F("error", err.Error()))
		return nil, err
	}
	return found, registerErr
}

// syncWithUnknown synchronizes with listed instances that the membership does not know. When a fleet starts in two
// parts that do not see each other, each part would otherwise take itself for the whole fleet. It returns how many
// synchronizations it started.
func (d *discovery) syncWithUnknown(found []Contact) int {
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
	return synced
}

// readContacts reads the next contacts in the store and gives their addresses to the membership.
func (d *discovery) readContacts(ctx context.Context, cursor *contactCursor) ([]Contact, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	fresh := cursor.readings == 0
	page, err := d.store.Contacts(ctx, cursor.after, fresh)
	if err == nil && len(page.Contacts) == 0 && cursor.after != "" {
		page, err = d.store.Contacts(ctx, "", fresh) // the cursor was at the end of the list
	}
	if err != nil {
		return nil, err
	}
	d.generations.observe(page.Generation)
	addresses := slices.Clone(d.peers)
	for _, c := range page.Contacts {
		addresses = append(addresses, c.Control)
	}
	d.members.Join(addresses)
	if cursor.readings == 0 {
		d.onFirstContacts(addresses)
	}
	cursor.advance(page)
	return page.Contacts, nil
}
