package instance

import (
	"context"
	"encoding/json"
	mathrand "math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"amaranthstile/gossip"
	"amaranthstile/internal/wait"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/store"
)

const (
	// contactsPrefix precedes the failure domain in the names of the objects that hold contacts.
	contactsPrefix = "contacts/"
	// targetContacts is how many contacts a failure domain has in the platform; contactsMax bounds the object.
	targetContacts = 4
	maxContacts    = 8
	// maxOtherDomains is how many contacts of other failure domains are read at the start.
	maxOtherDomains = 3
	// joinTimeout bounds how long a starting instance waits for the view of one of its contacts. After that it takes
	// them for gone and starts a fleet of its own.
	joinTimeout = 5 * time.Second
	// The contacts are looked after by one instance of each failure domain, seldom once all is quiet.
	firstSweepInterval = 250 * time.Millisecond
	sweepInterval = time.Minute
	aloneSweepInterval = 10 * time.Second
	// maxContactWrites bounds how often a write starts over because another instance wrote meanwhile.
	maxContactWrites = 3
)

// contact is an instance that others ask when they join.
type contact struct {
	ID      membership.ID  `json:"id"`
	Control netip.AddrPort `json:"control"`
}

// contactList is the object of one failure domain.
type contactList struct {
	Contacts []contact `json:"contacts"`
}

// discovery finds other instances through the platform, and through the peers in the settings. A failure domain
// keeps a few contacts in one object; it is written when one is missing, never by the clock of each instance.
type discovery struct {
	client  store.Client
	self    contact
	domain  string
	peers   []netip.AddrPort
	members *gossip.Members
	rand    *mathrand.Rand
	listed  bool // this instance is in the object, as far as it knows
	joined  chan struct{}
}

func newDiscovery(client store.Client, m *gossip.Members, self membership.Record, peers []netip.AddrPort) *discovery {
	return &discovery{
		client: client, members: m, domain: self.Domain, peers: peers,
		self: contact{ID: self.ID, Control: self.Control}, rand: gossip.NewRand(),
		joined: make(chan struct{}),
	}
}

func contactsObjectName(domain string) string {
	plain := func(r rune) rune {
		if (r >= 'a' && r <= 'z') || (r >= '0' && r <= '9') {
			return r
		}
		return '-'
	}
	return contactsPrefix + strings.Map(plain, strings.ToLower(domain))
}

// run joins and then looks after the contacts until ctx ends.
func (d *discovery) run(ctx context.Context) {
	d.members.Join(d.peers)
	d.joinFleet(ctx)
	every := firstSweepInterval
	for ctx.Err() == nil {
		wait.Sleep(ctx, every/2+time.Duration(d.rand.Int64N(int64(every))))
		d.sweep(ctx)
		limit := sweepInterval
		if d.alone() {
			limit = aloneSweepInterval
		}
		every = min(2*every, limit)
	}
}

func (d *discovery) alone() bool { return len(d.members.Directory().Records()) <= 1 }

// joinFleet reads the contacts, joins and adds itself where contacts are missing. The instance has joined once it has
// the whole view of another one, or there is nobody to ask.
func (d *discovery) joinFleet(ctx context.Context) {
	if d.readContacts(ctx) {
		timer := time.NewTimer(joinTimeout)
		defer timer.Stop()
		select {
		case <-d.members.Synced:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	close(d.joined)
	d.refresh(ctx, false)
}

// readContacts passes the contacts of the own and a few other failure domains on; it reports whether it found any.
func (d *discovery) readContacts(ctx context.Context) bool {
	own := contactsObjectName(d.domain)
	names := []string{own}
	objects, err := d.client.List(ctx, contactsPrefix)
	if err != nil {
		return false
	}
	d.rand.Shuffle(len(objects), func(a, b int) { objects[a], objects[b] = objects[b], objects[a] })
	for _, o := range objects {
		if o.Name != own && len(names) <= maxOtherDomains {
			names = append(names, o.Name)
		}
	}
	found := slices.Clone(d.peers)
	for _, name := range names {
		list, _, err := d.read(ctx, name)
		if err != nil {
			continue
		}
		for _, c := range list {
			found = append(found, c.Control)
		}
	}
	d.members.Join(found)
	return len(found) > 0
}

func (d *discovery) read(ctx context.Context, name string) ([]contact, store.Version, error) {
	o, err := d.client.Get(ctx, name)
	if result.Is(err, result.PlatformNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var list contactList
	if err := json.Unmarshal(o.Value, &list); err != nil {
		list = contactList{} // an unreadable object is written anew
	}
	return list.Contacts, o.Version, nil
}

// sweep runs at the one instance of the failure domain that looks after its contacts. It also looks for
// instances of another failure domain, or at a peer in the settings, that this side does not know.
func (d *discovery) sweep(ctx context.Context) {
	if !slices.Contains(d.members.Directory().Chosen(d.domain, "contacts", 1), d.self.ID) {
		return
	}
	d.refresh(ctx, true)
	d.syncOtherDomains(ctx)
}

// syncOtherDomains synchronizes with one contact of each of a few failure domains that this instance sees nobody of, or
// of any one where it sees all, in case the fleet is split.
func (d *discovery) syncOtherDomains(ctx context.Context) {
	d.syncIfUnknown(d.peers)
	objects, err := d.client.List(ctx, contactsPrefix)
	if err != nil {
		return
	}
	seen := make(map[string]bool)
	for _, r := range d.members.Directory().Records() {
		seen[contactsObjectName(r.Domain)] = true
	}
	unseen := slices.DeleteFunc(slices.Clone(objects), func(o store.Object) bool { return seen[o.Name] })
	if len(unseen) == 0 {
		unseen = objects
	}
	d.rand.Shuffle(len(unseen), func(a, b int) { unseen[a], unseen[b] = unseen[b], unseen[a] })
	for n, o := range unseen {
		if n == maxOtherDomains || (n > 0 && seen[o.Name]) {
			return
		}
		list, _, err := d.read(ctx, o.Name)
		if err != nil {
			continue
		}
		var found []netip.AddrPort
		for _, c := range list {
			found = append(found, c.Control)
		}
		d.syncIfUnknown(found)
	}
}

// syncIfUnknown synchronizes with one of the addresses if it belongs to no known instance.
func (d *discovery) syncIfUnknown(found []netip.AddrPort) {
	if len(found) == 0 {
		return
	}
	c := found[d.rand.IntN(len(found))]
	for _, r := range d.members.Directory().Records() {
		if r.Control == c {
			return
		}
	}
	d.members.SyncWith(c)
}

// refresh writes the contacts of the own failure domain if some are missing, or, where the view is complete,
// dead. A lost answer is harmless: the next sweep reads what came of it.
func (d *discovery) refresh(ctx context.Context, complete bool) {
	for range maxContactWrites {
		held, version, err := d.read(ctx, contactsObjectName(d.domain))
		if err != nil {
			return
		}
		next := d.nextContacts(held, complete)
		d.listed = slices.Contains(next, d.self)
		if slices.Equal(next, held) || d.write(ctx, version, next) {
			return
		}
		d.joinThrough(held)
	}
}

// write reports whether there is nothing more to do.
func (d *discovery) write(ctx context.Context, before store.Version, next []contact) bool {
	data, err := json.Marshal(contactList{Contacts: next})
	if err != nil {
		return true
	}
	_, err = d.client.Put(ctx, contactsObjectName(d.domain), before, data)
	return !result.Is(err, result.PlatformConflict)
}

// joinThrough joins through the contacts that another instance wrote meanwhile.
func (d *discovery) joinThrough(held []contact) {
	found := slices.Clone(d.peers)
	for _, c := range held {
		found = append(found, c.Control)
	}
	d.members.Join(found)
}

// nextContacts returns what the object should hold: with a complete view the live ones of those held, filled up
// by others that are live; without, those held and this instance if there are too few.
func (d *discovery) nextContacts(held []contact, complete bool) []contact {
	view := d.members.Directory()
	var next []contact
	for _, c := range held {
		r, ok := view.Record(c.ID)
		if !complete || (ok && !r.Leaving) {
			next = append(next, c)
		}
	}
	if !complete {
		if len(next) < targetContacts || d.alone() {
			next = append(next, d.self)
		}
		return next[max(0, len(next)-maxContacts):]
	}
	for _, id := range view.Chosen(d.domain, "contacts", targetContacts) {
		c := contact{ID: id}
		if r, ok := view.Record(id); ok {
			c.Control = r.Control
		}
		if len(next) < targetContacts && !slices.Contains(next, c) {
			next = append(next, c)
		}
	}
	return next
}

// removeSelf takes this instance out of the contacts at a planned removeSelf.
func (d *discovery) removeSelf(ctx context.Context) {
	if !d.listed {
		return
	}
	held, version, err := d.read(ctx, contactsObjectName(d.domain))
	if err != nil {
		return
	}
	next := slices.DeleteFunc(slices.Clone(held), func(c contact) bool { return c.ID == d.self.ID })
	if !slices.Equal(next, held) {
		d.write(ctx, version, next)
	}
}
